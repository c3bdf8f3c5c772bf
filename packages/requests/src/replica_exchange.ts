/**
 * Talks to the allocators: tells them what waits and learns which replicas are
 * ready. Nothing is sent for models that nobody asks for.
 */

import type {
  CancelTimer,
  Clock,
  FailureDomain,
  Milliseconds,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {SiskinmuxError, after, as} from '@siskinmux/kernel';
import type {ExchangeResponse, ExchangeRequest} from '@siskinmux/allocation';
import type {Declarations} from '@siskinmux/declarations';
import {rankMembers} from '@siskinmux/routing';
import type {DemandTracker} from './demand_tracker.js';
import type {ReplicaTable} from './replica_table.js';

/** Pause between two exchanges with one domain. */
const EXCHANGE_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

/** Pause while something waits for a load. */
const WAITING_INTERVAL_MILLISECONDS: Milliseconds = 50;

/** Time for an allocator's answer. */
const EXCHANGE_TIMEOUT_MILLISECONDS: Milliseconds = 1_500;

/** Waiting requests for each slot from which another domain is asked too. */
const WAITING_PER_SLOT = 2;

/** What the exchange needs from its surroundings. */
export interface ReplicaExchangeOptions {
  readonly clock: Clock;
  readonly node: NodeId;
  readonly declarations: () => Declarations;
  readonly demands: DemandTracker;
  readonly replicas: ReplicaTable;
  readonly ask: (
    domain: FailureDomain,
    message: ExchangeRequest,
    until: ReturnType<Clock['now']>,
  ) => Promise<ExchangeResponse>;
  /** Called after the table has changed. */
  readonly onAnswer: () => void;
}

/** A node's exchanges with all allocators. */
export class ReplicaExchange {
  private readonly running = new Set<FailureDomain>();
  private readonly again = new Set<FailureDomain>();
  private readonly scheduled = new Set<FailureDomain>();
  private readonly timers = new Set<CancelTimer>();
  private isStopped = false;

  private constructor(private readonly options: ReplicaExchangeOptions) {}

  static create(options: ReplicaExchangeOptions): ReplicaExchange {
    return new ReplicaExchange(options);
  }

  /** Starts the regular exchanges. */
  start(): void {
    this.tick();
  }

  /** Ends all exchanges. */
  stop(): void {
    this.isStopped = true;
    for (const cancel of this.timers) cancel();
  }

  /** Tells the allocators at once that a request waits for a model. */
  wake(model: ModelName): void {
    for (const domain of this.domainsFor(model)) this.exchange(domain);
  }

  /** Failure domains that may hold a model, the one that is asked first in front. */
  allDomains(model: ModelName): FailureDomain[] {
    const declared = this.options.declarations().models[model]?.replicas ?? {};
    const domains = Object.entries(declared)
      .filter(([, limit]) => limit > 0)
      .map(([domain]) => as<FailureDomain>(domain));
    return rankMembers(`model/${model}`, domains);
  }

  private tick(): void {
    if (this.isStopped) return;
    const models = this.options.demands.activeModels();
    const domains = new Set(models.flatMap(model => this.domainsFor(model)));
    for (const domain of domains) this.exchange(domain);
    this.later(EXCHANGE_INTERVAL_MILLISECONDS, () => this.tick());
  }

  private later(pause: Milliseconds, callback: () => void): void {
    const {clock} = this.options;
    const cancel = clock.schedule(after(clock.now(), pause), () => {
      this.timers.delete(cancel);
      callback();
    });
    this.timers.add(cancel);
  }

  /** Whether requests wait for something that this domain may load. */
  private isAwaited(domain: FailureDomain): boolean {
    const {demands} = this.options;
    const models = demands
      .activeModels()
      .filter(model => this.domainsFor(model).includes(domain));
    return demands.demands(new Set(models)).some(({waiting}) => waiting > 0);
  }

  /**
   * The first domain in a model's order, and the next ones as far as those before
   * have no place or can't take all that waits: all nodes wake the same replica.
   */
  private domainsFor(model: ModelName): FailureDomain[] {
    const ranked = this.allDomains(model);
    const used: FailureDomain[] = [];
    for (const domain of ranked) {
      used.push(domain);
      if (!this.needsNext(domain, model)) break;
    }
    return used;
  }

  private needsNext(domain: FailureDomain, model: ModelName): boolean {
    const {replicas, demands} = this.options;
    if (replicas.isUnreachable(domain)) return true;
    if (!replicas.isFresh(domain, model)) return false;
    if (replicas.refusalReason(domain, model) !== undefined) return true;
    const known = replicas.allReplicas(domain, model);
    const waiting = demands
      .demands(new Set([model]))
      .reduce((sum, demand) => sum + demand.waiting, 0);
    const slots = known.reduce((sum, replica) => sum + replica.slots, 0);
    return known.length > 0 && waiting > slots * WAITING_PER_SLOT;
  }

  private exchange(domain: FailureDomain): void {
    if (this.isStopped) return;
    if (this.running.has(domain)) {
      this.again.add(domain);
      return;
    }
    this.running.add(domain);
    void this.exchangeOnce(domain).finally(() => {
      this.running.delete(domain);
      if (this.again.delete(domain)) this.exchange(domain);
      else if (this.isAwaited(domain)) this.exchangeSoon(domain);
    });
  }

  private exchangeSoon(domain: FailureDomain): void {
    if (this.isStopped || this.scheduled.has(domain)) return;
    this.scheduled.add(domain);
    this.later(WAITING_INTERVAL_MILLISECONDS, () => {
      this.scheduled.delete(domain);
      this.exchange(domain);
    });
  }

  private async exchangeOnce(domain: FailureDomain): Promise<void> {
    const {clock, node, demands, replicas, ask, onAnswer} = this.options;
    const models = demands
      .activeModels()
      .filter(model => this.allDomains(model).includes(domain));
    const wanted = new Set(
      models.filter(model => this.domainsFor(model).includes(domain)),
    );
    const message: ExchangeRequest = {
      node,
      demands: demands.demands(wanted),
      models,
    };
    try {
      const until = after(clock.now(), EXCHANGE_TIMEOUT_MILLISECONDS);
      replicas.applyAnswer(await ask(domain, message, until), models);
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      replicas.noteUnreachable(domain);
    }
    onAnswer();
  }
}
