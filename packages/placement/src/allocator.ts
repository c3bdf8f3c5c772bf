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
import type {NodeUsage} from './demand_aggregator.js';
import {DemandAggregator} from './demand_aggregator.js';
import {EngineView} from './engine_view.js';
import type {EngineOrderClient, OrderAuthority} from './engine_order_client.js';
import type {LoadLimiter} from './load_limiter.js';
import {ModelChangeExecutor} from './model_change_executor.js';
import {OrderQueue} from './order_queue.js';
import type {AdapterRequest} from './place_adapter.js';
import {forecastReadiness} from './readiness_forecast.js';
import type {ReadinessForecast} from './readiness_forecast.js';
import {ENGINE_ADOPTED} from './placement_events.js';
import {planModels} from './plan_models.js';

/** An engine's report lags behind its orders by some hundred milliseconds. */
export const REPORT_LAG_MILLISECONDS: Milliseconds = 300;

/** Longest wait for a report, and the pause before the next try. */
const REPORT_MILLISECONDS: Milliseconds = 500;
const REPORT_PAUSE_MILLISECONDS: Milliseconds = 100;

/** Changes of demand gather this long before the next plan. */
const PLAN_DELAY_MILLISECONDS: Milliseconds = 8;

/** A plan is made at least this often, for what only time changes. */
const PLAN_INTERVAL_MILLISECONDS: Milliseconds = 200;

/** What nodes may use at an engine. */
export interface AvailableModels {
  readonly engine: EndpointId;
  /** Models that take requests. */
  readonly models: readonly ModelName[];
}

/** What an allocator needs from its surroundings. */
export interface AllocatorOptions {
  readonly service: ServiceName;
  readonly orders: EngineOrderClient;
  readonly loadLimiter: LoadLimiter;
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /** The right to order at this moment; undefined when there is none. */
  readonly authority: () => OrderAuthority | undefined;
  readonly onFenced: () => void;
  /** Told when what nodes may use at an engine has changed. */
  readonly onAvailableModels: (holding: AvailableModels) => void;
  /** Told when the outlook of waiting models has been worked out anew. */
  readonly onForecasts: (forecasts: readonly ReadinessForecast[]) => void;
}

/** One engine with its orders. */
export interface ManagedEngine {
  readonly view: EngineView;
  readonly orderQueue: OrderQueue;
}

/** Allocates models and adapters to the engines of a service. */
export class Allocator {
  private readonly engines = new Map<EndpointId, ManagedEngine>();
  private readonly demand = DemandAggregator.create();
  private readonly adapters: AdapterCache;
  private readonly changeExecutor: ModelChangeExecutor;
  /** Engines whose state is being read, each once at a time. */
  private readonly pendingReads = new Map<EngineView, Promise<void>>();
  private declaration: EngineDeclaration | undefined;
  private isPlanScheduled = false;
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
      resynchronize: engine => this.resynchronize(engine),
    });
    this.changeExecutor = ModelChangeExecutor.create({
      clock,
      emit,
      orders: options.orders,
      loadLimiter: options.loadLimiter,
      demand: this.demand,
      declaration: () => this.declaration,
      publish: view => this.publish(view),
      resynchronize: engine => this.resynchronize(engine),
    });
    void this.planPeriodically();
  }

  static create(options: AllocatorOptions): Allocator {
    return new Allocator(options);
  }

  /** Takes over what the operators declare of the service's engines. */
  updateDeclaration(declaration: EngineDeclaration): void {
    this.declaration = declaration;
    this.schedulePlan();
  }

  /** Takes over what an engine says of itself in the platform's list. */
  updateEngine(description: EndpointDescription): void {
    const known = this.engines.get(description.id);
    if (known?.view.incarnation !== description.incarnation) {
      this.addEngine(description);
      return;
    }
    const {view} = known;
    view.replaceCopies(description.copies);
    if (description.isDraining !== view.isDraining) {
      view.isDraining = description.isDraining;
      this.publish(view);
    }
    this.changeExecutor.updateDescription(description);
    this.schedulePlan();
  }

  /** Forgets an engine that has gone. */
  removeEngine(engine: EndpointId): void {
    this.engines.get(engine)?.orderQueue.close();
    this.engines.delete(engine);
    this.options.onAvailableModels({engine, models: []});
    this.schedulePlan();
  }

  /** Takes over what a node says of its requests; what waits is planned for at once. */
  recordUsage(node: NodeId, usage: NodeUsage): void {
    const hadWaiting = this.demand.hasWaiting(node);
    this.demand.recordUsage(node, usage, this.options.clock.now());
    if (hadWaiting || usage.waiting.length > 0) this.schedulePlan();
  }

  /** Forgets a node that has gone. */
  removeNode(node: NodeId): void {
    this.demand.removeNode(node);
    this.schedulePlan();
  }

  /** Reads an engine's state again: it lacks a model, or an adapter that was granted. */
  reportMissingModel(id: EndpointId, model: ModelName): void {
    const engine = this.engines.get(id);
    if (engine === undefined || !engine.view.isOperable) return;
    if (!engine.view.isReady(model)) return;
    void this.resynchronize(engine);
  }

  /** An engine at which an adapter can be used; undefined when there is none now. */
  async requestAdapter(
    need: AdapterRequest,
  ): Promise<AdapterGrant | undefined> {
    return this.adapters.requestGrant(need);
  }

  /** Requests of all nodes by engine, where there are any. */
  get loads(): ReadonlyMap<EndpointId, number> {
    return this.demand.runningByEngine;
  }

  /** What nodes may use at each engine. */
  availableModels(): AvailableModels[] {
    // Until an engine's state was read, nodes go by the platform's list.
    return [...this.engines.values()]
      .filter(({view}) => view.orderCount !== undefined)
      .map(({view}) => availableModelsOf(view));
  }

  /** Orders nothing any more. */
  stop(): void {
    this.isStopped = true;
    for (const {orderQueue} of this.engines.values()) orderQueue.close();
  }

  private addEngine(description: EndpointDescription): void {
    const {orders, clock, emit, authority, onFenced} = this.options;
    this.engines.get(description.id)?.orderQueue.close();
    const view = EngineView.create(description);
    const orderQueue = OrderQueue.create({
      engine: view,
      orders,
      clock,
      emit,
      authority,
      onFenced,
    });
    const engine = {view, orderQueue};
    this.engines.set(view.id, engine);
    // An order of the holder before may not be in the report yet.
    void this.resynchronize(engine);
  }

  /** Reads an engine's state before its first order, and after an order that did not fit. */
  private async readState({view}: ManagedEngine): Promise<void> {
    const {orders, clock, emit} = this.options;
    while (this.isManaged(view)) {
      const report = await orders.report(
        view,
        after(clock.now(), REPORT_MILLISECONDS),
      );
      if (!this.isManaged(view)) return;
      if (report !== undefined && !report.isBusy) {
        view.applyReport(report, clock.now());
        emit(ENGINE_ADOPTED, {
          engine: view.id,
          orders: report.orderCount,
          models: [...view.models.keys()].join(' '),
          adapters: [...view.adapters.keys()].join(' '),
          inMemory: [...view.inMemory].join(' '),
          onDisk: [...view.onDisk].join(' '),
        });
        this.publish(view);
        this.schedulePlan();
        return;
      }
      await sleepFor(this.options.clock, REPORT_PAUSE_MILLISECONDS);
    }
  }

  /** Reads an engine's state again, once its report shows every order so far. */
  private resynchronize(engine: ManagedEngine): Promise<void> {
    const known = this.pendingReads.get(engine.view);
    if (known !== undefined) return known;
    const reading = this.readStateWhenDrained(engine).finally(() =>
      this.pendingReads.delete(engine.view),
    );
    this.pendingReads.set(engine.view, reading);
    return reading;
  }

  private async readStateWhenDrained(engine: ManagedEngine): Promise<void> {
    engine.view.orderCount = undefined;
    await engine.orderQueue.drained();
    await sleepFor(this.options.clock, REPORT_LAG_MILLISECONDS);
    await this.readState(engine);
  }

  private isManaged(view: EngineView): boolean {
    return !this.isStopped && this.engines.get(view.id)?.view === view;
  }

  private publish(view: EngineView): void {
    if (this.isManaged(view))
      this.options.onAvailableModels(availableModelsOf(view));
  }

  private async planPeriodically(): Promise<void> {
    while (!this.isStopped) {
      await sleepFor(this.options.clock, PLAN_INTERVAL_MILLISECONDS);
      this.runPlan();
    }
  }

  private schedulePlan(): void {
    if (this.isPlanScheduled || this.isStopped) return;
    this.isPlanScheduled = true;
    const {clock} = this.options;
    clock.schedule(after(clock.now(), PLAN_DELAY_MILLISECONDS), () => {
      this.isPlanScheduled = false;
      this.runPlan();
    });
  }

  private runPlan(): void {
    const {declaration} = this;
    const {authority, loadLimiter, clock} = this.options;
    if (declaration === undefined || this.isStopped) return;
    const now: Instant = clock.now();
    const engines = [...this.engines.values()].map(({view}) => view);
    const storeLoads = loadLimiter.availableLoads(
      declaration.maximumStoreLoadsPerSecond,
      now,
    );
    const input = {
      now,
      declaration,
      engines,
      demand: this.demand,
      storeLoads,
      loadsAtOnce: loadLimiter.concurrencyLimit,
    };
    if (authority() !== undefined) {
      const changes = planModels(input);
      for (const change of changes) {
        const engine = this.engines.get(change.engine);
        if (engine === undefined) continue;
        void this.changeExecutor
          .run(engine, change)
          .then(() => this.schedulePlan());
      }
    }
    this.options.onForecasts(forecastReadiness(input));
  }
}

function availableModelsOf(view: EngineView): AvailableModels {
  const models = [...view.models.values()]
    .filter(({state}) => state === 'ready')
    .map(({model}) => model);
  return {engine: view.id, models: view.isDraining ? [] : models};
}
