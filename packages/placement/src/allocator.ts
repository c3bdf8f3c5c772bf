/**
 * The allocator of one engine service: knows what each engine may hold, hears what the
 * nodes need, and orders. Runs at the holder of the lease only.
 */

import type {
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
  NodeId,
  ServiceName,
} from '@siskinmux/kernel';
import {after, sleepFor} from '@siskinmux/kernel';
import type {EndpointDescription} from '@siskinmux/endpoints';
import type {EngineDeclaration} from '@siskinmux/routes';
import {AdapterCache} from './adapter_cache.js';
import type {AdapterGrant} from './adapter_cache.js';
import type {NodeUsage} from './demand_book.js';
import {DemandBook} from './demand_book.js';
import {EngineBook} from './engine_book.js';
import type {EngineOrders, OrderAuthority} from './engine_orders.js';
import type {LoadCeiling} from './load_ceiling.js';
import {ModelChanger} from './model_changer.js';
import {OrderLine} from './order_line.js';
import type {AdapterNeed} from './place_adapter.js';
import {forecastModels} from './forecast.js';
import type {Forecast} from './forecast.js';
import {ENGINE_ADOPTED} from './placement_events.js';
import {planModels} from './plan_models.js';

/** An engine's report lags behind its orders by some hundred milliseconds. */
export const REPORT_LAG_MILLISECONDS: Milliseconds = 300;

/** Longest wait for a report, and the pause before the next try. */
const REPORT_MILLISECONDS: Milliseconds = 500;
const REPORT_PAUSE_MILLISECONDS: Milliseconds = 100;

/** Changes of demand gather this long before the next plan. */
const PLAN_MILLISECONDS: Milliseconds = 8;

/** A plan is made at least this often, for what only time changes. */
const REGULAR_PLAN_MILLISECONDS: Milliseconds = 200;

/** What nodes may use at an engine. */
export interface EngineHolding {
  readonly engine: EndpointId;
  /** Models that take requests. */
  readonly models: readonly ModelName[];
}

/** What an allocator needs from its surroundings. */
export interface AllocatorOptions {
  readonly service: ServiceName;
  readonly orders: EngineOrders;
  readonly ceiling: LoadCeiling;
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /** The right to order at this moment; undefined when there is none. */
  readonly authority: () => OrderAuthority | undefined;
  readonly onFenced: () => void;
  /** Told when what nodes may use at an engine has changed. */
  readonly onHolding: (holding: EngineHolding) => void;
  /** Told when the outlook of waiting models has been worked out anew. */
  readonly onForecasts: (forecasts: readonly Forecast[]) => void;
}

/** One engine with its orders. */
export interface ManagedEngine {
  readonly book: EngineBook;
  readonly orderQueue: OrderLine;
}

/** Allocates models and adapters to the engines of a service. */
export class Allocator {
  private readonly engines = new Map<EndpointId, ManagedEngine>();
  private readonly demand = DemandBook.create();
  private readonly adapters: AdapterCache;
  private readonly changer: ModelChanger;
  /** Engines whose state is being read, each once at a time. */
  private readonly reading = new Map<EngineBook, Promise<void>>();
  private declaration: EngineDeclaration | undefined;
  private isPlanned = false;
  private isStopped = false;

  private constructor(private readonly options: AllocatorOptions) {
    const {clock, emit} = options;
    this.adapters = AdapterCache.create({
      clock,
      emit,
      demand: this.demand,
      orders: options.orders,
      engines: () => this.engines,
      maximumAdapters: () => this.declaration?.maximumAdapters ?? 0,
      readAgain: engine => this.readAgain(engine),
    });
    this.changer = ModelChanger.create({
      clock,
      emit,
      orders: options.orders,
      ceiling: options.ceiling,
      demand: this.demand,
      declaration: () => this.declaration,
      publish: book => this.publish(book),
      readAgain: engine => this.readAgain(engine),
    });
    void this.planRegularly();
  }

  static create(options: AllocatorOptions): Allocator {
    return new Allocator(options);
  }

  /** Takes over what the operators declare of the service's engines. */
  updateDeclaration(declaration: EngineDeclaration): void {
    this.declaration = declaration;
    this.plan();
  }

  /** Takes over what an engine says of itself in the platform's list. */
  noteEngine(description: EndpointDescription): void {
    const known = this.engines.get(description.id);
    if (known?.book.incarnation !== description.incarnation) {
      this.meet(description);
      return;
    }
    const {book} = known;
    book.takeCopies(description.copies);
    if (description.isDraining !== book.isDraining) {
      book.isDraining = description.isDraining;
      this.publish(book);
    }
    this.changer.noteDescription(description);
    this.plan();
  }

  /** Forgets an engine that has gone. */
  dropEngine(engine: EndpointId): void {
    this.engines.get(engine)?.orderQueue.close();
    this.engines.delete(engine);
    this.options.onHolding({engine, models: []});
    this.plan();
  }

  /** Takes over what a node says of its requests; what waits is planned for at once. */
  noteUsage(node: NodeId, usage: NodeUsage): void {
    const hadWaiting = this.demand.hasWaiting(node);
    this.demand.note(node, usage, this.options.clock.now());
    if (hadWaiting || usage.waiting.length > 0) this.plan();
  }

  /** Forgets a node that has gone. */
  dropNode(node: NodeId): void {
    this.demand.forget(node);
    this.plan();
  }

  /** Reads an engine's state again: it lacks a model, or an adapter that was granted. */
  noteMissing(id: EndpointId, model: ModelName): void {
    const engine = this.engines.get(id);
    if (engine === undefined || !engine.book.isOperable) return;
    if (!engine.book.isReady(model)) return;
    void this.readAgain(engine);
  }

  /** An engine at which an adapter can be used; undefined when there is none now. */
  async wantAdapter(need: AdapterNeed): Promise<AdapterGrant | undefined> {
    return this.adapters.want(need);
  }

  /** Requests of all nodes by engine, where there are any. */
  get loads(): ReadonlyMap<EndpointId, number> {
    return this.demand.engineTotals;
  }

  /** What nodes may use at each engine. */
  holdings(): EngineHolding[] {
    // Until an engine's state was read, nodes go by the platform's list.
    return [...this.engines.values()]
      .filter(({book}) => book.orderCount !== undefined)
      .map(({book}) => holdingOf(book));
  }

  /** Orders nothing any more. */
  stop(): void {
    this.isStopped = true;
    for (const {orderQueue: line} of this.engines.values()) line.close();
  }

  private meet(description: EndpointDescription): void {
    const {orders, clock, emit, authority, onFenced} = this.options;
    this.engines.get(description.id)?.orderQueue.close();
    const book = EngineBook.create(description);
    const line = OrderLine.create({
      engine: book,
      orders,
      clock,
      emit,
      authority,
      onFenced,
    });
    const engine = {book, line};
    this.engines.set(book.id, engine);
    // An order of the holder before may not be in the report yet.
    void this.readAgain(engine);
  }

  /** Reads an engine's state before its first order, and after an order that did not fit. */
  private async adopt({book}: ManagedEngine): Promise<void> {
    const {orders, clock, emit} = this.options;
    while (this.isManaged(book)) {
      const report = await orders.report(
        book,
        after(clock.now(), REPORT_MILLISECONDS),
      );
      if (!this.isManaged(book)) return;
      if (report !== undefined && !report.isBusy) {
        book.adopt(report, clock.now());
        emit(ENGINE_ADOPTED, {
          engine: book.id,
          orders: report.orderCount,
          models: [...book.models.keys()].join(' '),
          adapters: [...book.adapters.keys()].join(' '),
          inMemory: [...book.inMemory].join(' '),
          onDisk: [...book.onDisk].join(' '),
        });
        this.publish(book);
        this.plan();
        return;
      }
      await sleepFor(this.options.clock, REPORT_PAUSE_MILLISECONDS);
    }
  }

  /** Reads an engine's state again, once its report shows every order so far. */
  private readAgain(engine: ManagedEngine): Promise<void> {
    const known = this.reading.get(engine.book);
    if (known !== undefined) return known;
    const reading = this.readWhenSettled(engine).finally(() =>
      this.reading.delete(engine.book),
    );
    this.reading.set(engine.book, reading);
    return reading;
  }

  private async readWhenSettled(engine: ManagedEngine): Promise<void> {
    engine.book.orderCount = undefined;
    await engine.orderQueue.drained();
    await sleepFor(this.options.clock, REPORT_LAG_MILLISECONDS);
    await this.adopt(engine);
  }

  private isManaged(book: EngineBook): boolean {
    return !this.isStopped && this.engines.get(book.id)?.book === book;
  }

  private publish(book: EngineBook): void {
    if (this.isManaged(book)) this.options.onHolding(holdingOf(book));
  }

  private async planRegularly(): Promise<void> {
    while (!this.isStopped) {
      await sleepFor(this.options.clock, REGULAR_PLAN_MILLISECONDS);
      this.planNow();
    }
  }

  private plan(): void {
    if (this.isPlanned || this.isStopped) return;
    this.isPlanned = true;
    const {clock} = this.options;
    clock.schedule(after(clock.now(), PLAN_MILLISECONDS), () => {
      this.isPlanned = false;
      this.planNow();
    });
  }

  private planNow(): void {
    const {declaration} = this;
    const {authority, ceiling, clock} = this.options;
    if (declaration === undefined || this.isStopped) return;
    const now: Instant = clock.now();
    const engines = [...this.engines.values()].map(({book}) => book);
    const storeLoads = ceiling.availableLoads(declaration.storeLoadsPerSecond, now);
    const input = {
      now,
      declaration,
      engines,
      demand: this.demand,
      storeLoads,
      loadsAtOnce: ceiling.knownAtOnce,
    };
    if (authority() !== undefined) {
      const changes = planModels(input);
      for (const change of changes) {
        const engine = this.engines.get(change.engine);
        if (engine === undefined) continue;
        void this.changer.run(engine, change).then(() => this.plan());
      }
    }
    this.options.onForecasts(forecastModels(input));
  }
}

function holdingOf(book: EngineBook): EngineHolding {
  const models = [...book.models.values()]
    .filter(({state}) => state === 'ready')
    .map(({model}) => model);
  return {engine: book.id, models: book.isDraining ? [] : models};
}
