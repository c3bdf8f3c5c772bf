/**
 * This node's side of placement: knows where models are, lets requests wait for one that
 * sleeps, and refuses those that can't be served in time.
 */

import type {
  AdapterName,
  CancelTimer,
  Clock,
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
  Random,
  RefusalError,
  ServiceName,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  after,
  earlier,
  jitter,
  refuseNotRun,
  sleepUntil,
  until,
} from '@siskinmux/kernel';
import type {EndpointDescription, EndpointTable} from '@siskinmux/endpoints';
import type {
  AdapterGrant,
  EngineHolding,
  Forecast,
  NodeUsage,
  WaitingRequests,
} from '@siskinmux/placement';
import {adapterKey, addWaiting} from '@siskinmux/placement';
import type {AllocatorLink, AllocatorListener} from './allocator_link.js';
import type {
  ChoiceDependencies,
  EndpointNeed,
  FindEndpoint,
} from './endpoint_choice.js';
import {chooseEngine} from './endpoint_choice.js';
import type {LoadBook} from './load_book.js';

/**
 * Usage gathers this long into one message, for a few nodes and for each of many: so
 * the allocator hears some 250 messages a second however many nodes there are. What
 * begins to wait, and what runs where a model gives way, is told at once.
 */
const USAGE_MILLISECONDS: Milliseconds = 25;
const USAGE_MILLISECONDS_PER_NODE: Milliseconds = 4;

/** Usage is repeated this often, so that the allocator knows that the node lives. */
export const REPEAT_MILLISECONDS: Milliseconds = 500;

/** Time from the send of a request to its first event, when the engine is not crowded. */
const FIRST_EVENT_MILLISECONDS: Milliseconds = 250;

/** Returns are spread over this share of their time, so that callers don't come together. */
const RETURN_SPREAD = 0.25;

/** When a caller may come back while no allocator is known; a takeover takes about as long. */
const RETURN_MILLISECONDS: Milliseconds = 1_000;

/**
 * How long after an allocator was lost requests wait for the next one: a takeover takes
 * about half a second. Later they are refused at once.
 */
const TAKEOVER_MILLISECONDS: Milliseconds = 1_000;

/** Pause before an engine is tried again that just refused a model or an adapter. */
const AGAIN_MILLISECONDS: Milliseconds = 30;

/** An engine that lacked a model is left out for it; the allocator reads its state meanwhile. */
const MISSING_MILLISECONDS: Milliseconds = 120;

interface Waiter {
  readonly need: EndpointNeed;
  readonly wake: (refusal: RefusalError | undefined) => void;
}

/** What the client needs from its surroundings. */
export interface PlacementClientOptions {
  readonly table: EndpointTable;
  readonly load: LoadBook;
  readonly choice: ChoiceDependencies;
  readonly clock: Clock;
  readonly random: Random;
  /** Whether a service's engines are declared to offer a model. */
  readonly isDeclared: (service: ServiceName, model: ModelName) => boolean;
  readonly engineServices: () => readonly ServiceName[];
}

/** Finds engines for requests. */
export class PlacementClient implements AllocatorListener {
  private link: AllocatorLink | undefined;
  private readonly holdings = new Map<EndpointId, ReadonlySet<ModelName>>();
  private readonly waiters = new Set<Waiter>();
  private readonly arrivals = new Map<ServiceName, Map<ModelName, number>>();
  private readonly grants = new Map<string, AdapterGrant>();
  /** Engines that lacked a model, until when they are left out for it. */
  private readonly missing = new Map<string, Instant>();
  private nodes = 1;
  private cancelFlush: CancelTimer | undefined;
  private flushAt: Instant | undefined;
  private flushedAt: Instant | undefined;

  /** When the last allocator was lost, or the node began without one. */
  private lostAt: Instant;
  private readonly linkWaiters = new Set<() => void>();

  private constructor(private readonly options: PlacementClientOptions) {
    this.lostAt = options.clock.now();
  }

  static create(options: PlacementClientOptions): PlacementClient {
    return new PlacementClient(options);
  }

  /** Uses an allocator from now on; undefined when it was lost. */
  setAllocator(link: AllocatorLink | undefined): void {
    if (this.link !== undefined) this.lostAt = this.options.clock.now();
    this.link = link;
    this.holdings.clear();
    if (link === undefined) return;
    this.flush();
    for (const wake of this.linkWaiters) wake();
  }

  /** Notes that a request has begun or ended at an engine. */
  noteLoad(): void {
    this.scheduleFlush(this.usagePause);
  }

  /** Takes over how many nodes the system has. */
  noteNodes(nodes: number): void {
    this.nodes = nodes;
  }

  /** Leaves an engine out for a model until the allocator has looked again. */
  noteMissing(engine: EndpointId, model: ModelName): void {
    const service = this.options.table.get(engine)?.service;
    if (service === undefined) return;
    const missingUntil = after(this.options.clock.now(), MISSING_MILLISECONDS);
    this.missing.set(`${engine} ${model}`, missingUntil);
    for (const [key, grant] of this.grants) {
      if (grant.engine === engine) this.grants.delete(key);
    }
    this.link?.noteMissing(service, engine, model);
  }

  onHoldings(service: ServiceName, holdings: readonly EngineHolding[]): void {
    for (const {engine, models} of holdings) {
      this.noteGivingWay(engine, models);
      this.holdings.set(engine, new Set(models));
    }
    for (const waiter of this.waiters) {
      if (waiter.need.service !== service) continue;
      if (this.holders(waiter.need).length > 0) waiter.wake(undefined);
    }
  }

  onForecasts(service: ServiceName, forecasts: readonly Forecast[]): void {
    const readyAt = new Map(
      forecasts.map(({model, readyAt: at}) => [model, at]),
    );
    for (const {need, wake} of this.waiters) {
      if (need.service !== service || need.model === undefined) continue;
      const at = readyAt.get(need.model);
      if (at === undefined) continue;
      if (after(at, FIRST_EVENT_MILLISECONDS) <= need.uselessAt) continue;
      wake(this.refuseUntil(need.model, at));
    }
  }

  /** Finds an engine that has the model, and the adapter if one is needed. */
  readonly find: FindEndpoint = async need => {
    const {model, service} = need;
    if (model === undefined) throw refuseNotRun(ErrorCode.NoEndpoint, service);
    if (!this.options.isDeclared(service, model)) {
      throw refuseNotRun(ErrorCode.NoEndpoint, model);
    }
    if (need.isFirst) this.noteArrival(service, model);
    for (;;) {
      const holders = this.holders(need);
      const fresh = holders.filter(({id}) => !need.excluded.has(id));
      if (holders.length === 0) {
        await this.waitForLink(need, model);
        await this.waitForModel(need, model);
        continue;
      }
      // An engine that refused may only have been between two orders.
      if (fresh.length === 0) await this.pause(need);
      const usable = fresh.length > 0 ? fresh : holders;
      const found =
        need.adapter === undefined
          ? chooseEngine(usable, this.options.choice)
          : await this.findWithAdapter(need, model, need.adapter);
      if (found !== undefined) return found;
      await this.pause(need);
    }
  };

  /** Tells the allocator that the node lives, unless it spoke lately. */
  sendHeartbeat(): void {
    const {clock} = this.options;
    const {flushedAt} = this;
    const isRecent =
      flushedAt !== undefined &&
      clock.now() < after(flushedAt, REPEAT_MILLISECONDS);
    if (!isRecent) this.flush();
  }

  /** Sends usage to the allocator. */
  flush(): void {
    this.cancelFlush?.();
    this.flushAt = undefined;
    this.flushedAt = this.options.clock.now();
    for (const service of this.options.engineServices()) {
      this.link?.noteUsage(service, this.usageOf(service));
    }
  }

  /** Engines that take requests for the model now. */
  private holders(need: EndpointNeed): EndpointDescription[] {
    const {model} = need;
    if (model === undefined) return [];
    return this.options.table
      .usable(need.service)
      .filter(endpoint => this.holds(endpoint, model));
  }

  private holds(endpoint: EndpointDescription, model: ModelName): boolean {
    if (this.isMissing(endpoint.id, model)) return false;
    const told = this.link && this.holdings.get(endpoint.id);
    if (told !== undefined) return told.has(model);
    return endpoint.models.some(held => held.model === model);
  }

  private isMissing(engine: EndpointId, model: ModelName): boolean {
    const key = `${engine} ${model}`;
    const missingUntil = this.missing.get(key);
    if (missingUntil === undefined) return false;
    if (missingUntil > this.options.clock.now()) return true;
    this.missing.delete(key);
    return false;
  }

  private async findWithAdapter(
    need: EndpointNeed,
    model: ModelName,
    adapter: AdapterName,
  ): Promise<EndpointDescription | undefined> {
    const {clock, table} = this.options;
    const key = `${need.service}/${adapterKey(model, adapter)}`;
    const known = this.grants.get(key);
    const grant = this.isValid(known, need, model)
      ? known
      : await this.link?.wantAdapter(need.service, {
          model,
          adapter,
          excluded: need.excluded,
        });
    if (grant === undefined) {
      const listed = this.listedWithAdapter(need, model, adapter);
      if (listed === undefined) await this.waitForLink(need, model);
      return listed;
    }
    this.grants.set(key, grant);
    if (grant.usableAt > clock.now()) {
      await sleepUntil(clock, grant.usableAt);
    }
    return table.get(grant.engine);
  }

  private isValid(
    grant: AdapterGrant | undefined,
    need: EndpointNeed,
    model: ModelName,
  ): grant is AdapterGrant {
    if (grant === undefined || need.excluded.has(grant.engine)) return false;
    if (grant.validUntil <= this.options.clock.now()) return false;
    const engine = this.options.table.get(grant.engine);
    return (
      engine !== undefined &&
      engine.service === need.service &&
      !engine.isDraining &&
      this.holds(engine, model)
    );
  }

  /** Without an allocator, the list says which engines have an adapter; it may be old. */
  private listedWithAdapter(
    need: EndpointNeed,
    model: ModelName,
    adapter: AdapterName,
  ): EndpointDescription | undefined {
    if (this.link !== undefined) return undefined;
    const listed = this.holders(need).filter(
      ({id, models}) =>
        !need.excluded.has(id) &&
        models.some(
          held => held.model === model && held.adapters.includes(adapter),
        ),
    );
    return chooseEngine(listed, this.options.choice);
  }

  /** Resolves when there is an allocator; refuses when none comes in time. */
  private async waitForLink(
    need: EndpointNeed,
    model: ModelName,
  ): Promise<void> {
    const {clock} = this.options;
    const takenOverAt = after(this.lostAt, TAKEOVER_MILLISECONDS);
    const endsAt = earlier(takenOverAt, need.uselessAt);
    if (this.link === undefined && clock.now() < endsAt) {
      await new Promise<void>(resolve => {
        const wake = (): void => {
          this.linkWaiters.delete(wake);
          need.cancelled.removeEventListener('abort', wake);
          cancel();
          resolve();
        };
        const cancel = clock.schedule(endsAt, wake);
        need.cancelled.addEventListener('abort', wake);
        this.linkWaiters.add(wake);
      });
    }
    if (this.link !== undefined) return;
    throw this.refuseUntil(model, after(clock.now(), RETURN_MILLISECONDS));
  }

  private waitForModel(need: EndpointNeed, model: ModelName): Promise<void> {
    const {clock} = this.options;
    return new Promise((resolve, reject) => {
      const wake = (refusal: RefusalError | undefined): void => {
        this.waiters.delete(waiter);
        cancel();
        need.cancelled.removeEventListener('abort', stop);
        this.scheduleFlush(this.usagePause);
        if (refusal === undefined) resolve();
        else reject(refusal);
      };
      const stop = (): void => wake(refuseNotRun(ErrorCode.CallerGone, model));
      const waiter = {need, wake};
      const cancel = clock.schedule(need.uselessAt, () =>
        wake(this.refuseUntil(model, after(clock.now(), RETURN_MILLISECONDS))),
      );
      need.cancelled.addEventListener('abort', stop);
      this.waiters.add(waiter);
      this.scheduleFlush(0);
    });
  }

  private refuseUntil(model: ModelName, at: Instant): RefusalError {
    const {clock, random} = this.options;
    const wait = Math.max(0, until(clock.now(), at));
    const spread = wait + jitter(random, RETURN_SPREAD / 2, 1) * wait;
    return refuseNotRun(
      ErrorCode.NoEndpoint,
      model,
      after(clock.now(), spread),
    );
  }

  private async pause(need: EndpointNeed): Promise<void> {
    const {clock} = this.options;
    const at = after(clock.now(), AGAIN_MILLISECONDS);
    if (at >= need.uselessAt || need.cancelled.aborted) {
      throw refuseNotRun(
        ErrorCode.NoEndpoint,
        need.model ?? need.service,
        after(clock.now(), RETURN_MILLISECONDS),
      );
    }
    await sleepUntil(clock, at);
  }

  private noteArrival(service: ServiceName, model: ModelName): void {
    const counts = this.arrivals.get(service) ?? new Map<ModelName, number>();
    counts.set(model, (counts.get(model) ?? 0) + 1);
    this.arrivals.set(service, counts);
    this.scheduleFlush(this.usagePause);
  }

  private get usagePause(): Milliseconds {
    return Math.max(
      USAGE_MILLISECONDS,
      this.nodes * USAGE_MILLISECONDS_PER_NODE,
    );
  }

  private scheduleFlush(wait: Milliseconds): void {
    const {clock} = this.options;
    const at = after(clock.now(), wait);
    if (this.flushAt !== undefined && this.flushAt <= at) return;
    this.cancelFlush?.();
    this.flushAt = at;
    this.cancelFlush = clock.schedule(at, () => this.flush());
  }

  /** The allocator unloads a model unless it hears soon that requests run on it. */
  private noteGivingWay(
    engine: EndpointId,
    models: readonly ModelName[],
  ): void {
    const isRunning = this.options.load
      .byModelAt(id => id === engine)
      .some(({model}) => !models.includes(model));
    if (isRunning) this.scheduleFlush(0);
  }

  private usageOf(service: ServiceName): NodeUsage {
    const {table, load} = this.options;
    const arrived = [...(this.arrivals.get(service) ?? [])];
    this.arrivals.delete(service);
    return {
      waiting: this.waitingOf(service),
      running: load
        .byModelAt(id => table.get(id)?.service === service)
        .map(({endpoint, model, count}) => ({engine: endpoint, model, count})),
      arrived: arrived.map(([model, count]) => ({model, count})),
    };
  }

  private waitingOf(service: ServiceName): WaitingRequests[] {
    const byModel = new Map<ModelName, WaitingRequests>();
    for (const {need} of this.waiters) {
      const {model, priority, uselessAt} = need;
      if (need.service !== service || model === undefined) continue;
      addWaiting(byModel, {model, count: 1, priority, uselessAt});
    }
    return [...byModel.values()];
  }
}
