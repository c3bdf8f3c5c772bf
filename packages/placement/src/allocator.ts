/**
 * Allocates models and adapters to the engines of one service: tracks the state of each
 * engine and the demand of all nodes, and orders loads and unloads. Runs on the lease
 * holder only.
 */

import type {EndpointDescription, Incarnation} from '@siskinmux/endpoints';
import type {
  CancelTimer,
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
import type {EngineDeclaration} from '@siskinmux/routes';
import type {AdapterGrant} from './adapter_cache.js';
import {AdapterCache} from './adapter_cache.js';
import {EnginePace, slownessOf} from './engine_pace.js';
import type {EngineOrderClient, OrderAuthority} from './engine_order_client.js';
import {EngineReportReader} from './engine_report_reader.js';
import {EngineView} from './engine_view.js';
import type {LoadLimiter} from './load_limiter.js';
import {ModelChangeExecutor} from './model_change_executor.js';
import {OrderQueue} from './order_queue.js';
import type {AdapterRequest} from './place_adapter.js';
import {ENGINE_ADOPTED} from './placement_events.js';
import {planModels} from './plan_models.js';
import type {ReadinessForecast} from './readiness_forecast.js';
import {forecastReadiness} from './readiness_forecast.js';
import type {NodeUsage} from './service_demand.js';
import {ServiceDemand} from './service_demand.js';

/** An engine's report lags behind its orders by a few hundred milliseconds. */
export const REPORT_LAG_MILLISECONDS: Milliseconds = 300;

/** Timeout for reading a report, and the delay before the next attempt. */
const REPORT_TIMEOUT_MILLISECONDS: Milliseconds = 500;
const REPORT_RETRY_DELAY_MILLISECONDS: Milliseconds = 100;

/** An engine whose report is too long is faulty; each read costs processor time. */
const LONG_REPORT_RETRY_DELAY_MILLISECONDS: Milliseconds = 2_000;

/** Delay before a plan, so that it covers several changes of demand. */
const PLAN_DELAY_MILLISECONDS: Milliseconds = 8;

/** Time in which nodes report their usage to a new lease holder. */
const FIRST_REPORTS_MILLISECONDS: Milliseconds = 1_000;

/** Maximum time between plans, for conditions that depend on time alone. */
const PLAN_INTERVAL_MILLISECONDS: Milliseconds = 200;

/** Models that nodes may use on an engine. */
export interface AvailableModels {
  readonly engine: EndpointId;
  /** Models that accept requests; none while the engine is draining. */
  readonly models: readonly ModelName[];
}

/**
 * An engine can't change otherwise during a load from the weight store. So many engines may be busy
 * with such loads that a request that needs a change of any engine waits this long on average.
 */
const MEAN_BLOCKING_MILLISECONDS: Milliseconds = 1_700;

/** Dependencies of {@link Allocator}. */
export interface AllocatorOptions {
  readonly service: ServiceName;
  readonly orders: EngineOrderClient;
  readonly loadLimiter: LoadLimiter;
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /** Undefined while this node may not send orders. */
  readonly authority: () => OrderAuthority | undefined;
  /** Called when an engine has seen a later term. */
  readonly onFenced: () => void;
  /** Whether permits under the request limit of an engine are left unused. */
  readonly hasUnusedPermits: (incarnation: Incarnation) => boolean;
  /** Called when the models that nodes may use on an engine have changed. */
  readonly onAvailableModels: (available: AvailableModels) => void;
  /** Called with the new forecasts after each plan. */
  readonly onForecasts: (forecasts: readonly ReadinessForecast[]) => void;
}

/** An engine's state and the queue of its orders. */
export interface ManagedEngine {
  readonly view: EngineView;
  readonly orderQueue: OrderQueue;
}

/** Allocates models and adapters to the engines of a service. */
export class Allocator {
  private readonly engines = new Map<EndpointId, ManagedEngine>();
  private readonly demand = ServiceDemand.create();
  private readonly pace = EnginePace.create();
  /** Shortest objective for the gap between two events, over the routes to the service. */
  private gapObjective: Milliseconds | undefined;
  private readonly reports: EngineReportReader;
  private readonly adapterCache: AdapterCache;
  private readonly changeExecutor: ModelChangeExecutor;
  /** Reads of engine states in progress, at most one per engine. */
  private readonly pendingReads = new Map<EngineView, Promise<void>>();
  /** Cancels the removal of a node's demand. */
  private readonly removals = new Map<NodeId, CancelTimer>();
  private declaration: EngineDeclaration | undefined;
  private isPlanScheduled = false;
  private isStopped = false;
  private readonly usageKnownAt: Instant;

  private constructor(private readonly options: AllocatorOptions) {
    const {clock, emit} = options;
    this.usageKnownAt = after(clock.now(), FIRST_REPORTS_MILLISECONDS);
    const reports = EngineReportReader.create({orders: options.orders, emit});
    this.reports = reports;
    this.adapterCache = AdapterCache.create({
      clock,
      emit,
      demand: this.demand,
      reports,
      engines: () => this.engines,
      maximumAdapters: () => this.declaration?.maximumAdapters ?? 0,
      resynchronize: engine => this.resynchronize(engine),
    });
    this.changeExecutor = ModelChangeExecutor.create({
      clock,
      emit,
      reports,
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

  /** Applies a new declaration of the service's engines. */
  updateDeclaration(
    declaration: EngineDeclaration,
    gapObjective?: Milliseconds,
  ): void {
    this.declaration = declaration;
    this.gapObjective = gapObjective;
    this.schedulePlan();
  }

  /** Applies an engine's new description; a new incarnation replaces the engine's view. */
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

  /** Applies the request limit that an engine has named, or no longer names. */
  updateRequestLimit(
    incarnation: Incarnation,
    requestsPerSecond: number | undefined,
  ): void {
    for (const {view} of this.engines.values()) {
      if (view.incarnation === incarnation)
        view.requestLimit = requestsPerSecond;
    }
  }

  /** Removes an engine that has left. */
  removeEngine(engine: EndpointId): void {
    this.engines.get(engine)?.orderQueue.close();
    this.engines.delete(engine);
    this.pace.remove(engine);
    this.options.onAvailableModels({engine, models: []});
    this.schedulePlan();
  }

  /**
   * Applies a node's usage report, and schedules a plan if requests wait or have stopped
   * waiting.
   */
  recordUsage(node: NodeId, usage: NodeUsage): void {
    this.removals.get(node)?.();
    this.removals.delete(node);
    const hadWaitingRequests = this.demand.hasWaiting(node);
    const now = this.options.clock.now();
    this.demand.recordUsage(node, usage, now);
    for (const gaps of usage.gaps ?? []) {
      if (this.engines.has(gaps.engine)) this.pace.record(gaps, now);
    }
    if (hadWaitingRequests || usage.waiting.length > 0) this.schedulePlan();
  }

  /** Removes the demand of a node at an instant, unless the node reports usage before. */
  removeNode(node: NodeId, at: Instant): void {
    this.removals.get(node)?.();
    const cancel = this.options.clock.schedule(at, () => {
      this.removals.delete(node);
      this.demand.removeNode(node);
      this.schedulePlan();
    });
    this.removals.set(node, cancel);
  }

  /**
   * Reads an engine's state again, as a node found that the engine lacks a model or a
   * granted adapter.
   */
  reportMissingModel(id: EndpointId, model: ModelName): void {
    const engine = this.engines.get(id);
    if (engine === undefined || !engine.view.canPlanChange) return;
    if (!engine.view.isReady(model)) return;
    void this.resynchronize(engine);
  }

  /**
   * Grants the use of an adapter on an engine; undefined when no engine has it or can
   * load it now.
   */
  async requestAdapter(
    request: AdapterRequest,
  ): Promise<AdapterGrant | undefined> {
    return this.adapterCache.requestGrant(request);
  }

  /** In-flight requests of all nodes by engine; engines without requests are left out. */
  get inFlightByEngine(): ReadonlyMap<EndpointId, number> {
    return this.demand.inFlightByEngine;
  }

  /** Slowness of the engines whose mean gap between events puts the objective of a route at risk. */
  get slowEngines(): ReadonlyMap<EndpointId, number> {
    const slow = new Map<EndpointId, number>();
    for (const [engine, gap] of this.pace.gaps(this.options.clock.now())) {
      const slowness = slownessOf(gap, this.gapObjective);
      if (slowness > 1) slow.set(engine, slowness);
    }
    return slow;
  }

  /**
   * Models that nodes may use on each engine; engines whose state is unknown are left
   * out.
   */
  availableModels(): AvailableModels[] {
    // While an engine's state is unknown, nodes use its models in the platform's endpoint
    // list.
    return [...this.engines.values()]
      .filter(({view}) => view.orderCount !== undefined)
      .map(({view}) => availableModelsOf(view));
  }

  /** Stops planning and sending orders. */
  stop(): void {
    this.isStopped = true;
    for (const cancel of this.removals.values()) cancel();
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
    // The report may not show the last order of the previous lease holder yet.
    void this.resynchronize(engine);
  }

  /** Reads an engine's state from its report, retrying until the engine is idle. */
  private async readState({view}: ManagedEngine): Promise<void> {
    const {clock, emit} = this.options;
    while (this.isManaged(view)) {
      const report = await this.reports.read(
        view,
        after(clock.now(), REPORT_TIMEOUT_MILLISECONDS),
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
      view.hasUnknownOrder = report?.isBusy ?? false;
      await sleepFor(
        clock,
        this.reports.isTooLong(view)
          ? LONG_REPORT_RETRY_DELAY_MILLISECONDS
          : REPORT_RETRY_DELAY_MILLISECONDS,
      );
    }
  }

  /** Reads an engine's state again, once its report shows every order sent so far. */
  private resynchronize(engine: ManagedEngine): Promise<void> {
    const known = this.pendingReads.get(engine.view);
    if (known !== undefined) return known;
    const pendingRead = this.readStateWhenSettled(engine).finally(() =>
      this.pendingReads.delete(engine.view),
    );
    this.pendingReads.set(engine.view, pendingRead);
    return pendingRead;
  }

  private async readStateWhenSettled(engine: ManagedEngine): Promise<void> {
    engine.view.orderCount = undefined;
    await engine.orderQueue.settled();
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

  /** Whether nothing is requested, as far as is known; an engine that isn't read may have any model. */
  private isIdle(now: Instant): boolean {
    return (
      this.demand.isIdle &&
      now >= this.usageKnownAt &&
      [...this.engines.values()].every(
        ({view}) => view.orderCount !== undefined,
      )
    );
  }

  private runPlan(): void {
    const {declaration} = this;
    const {authority, loadLimiter, clock} = this.options;
    if (declaration === undefined || this.isStopped) return;
    const now: Instant = clock.now();
    const engines = [...this.engines.values()].map(({view}) => view);
    this.demand.recordPeaks(now);
    for (const view of engines) {
      view.eventGapMilliseconds = this.pace.gapOf(view.id, now);
      view.hasUnusedPermits =
        view.requestLimit !== undefined &&
        this.options.hasUnusedPermits(view.incarnation);
    }
    const availableStoreLoads = loadLimiter.availableLoads(
      declaration.maximumStoreLoadsPerSecond,
      now,
      maximumLoadingEngines(engines.length, declaration),
    );
    const input = {
      now,
      declaration,
      engines,
      demand: this.demand,
      // An order of the previous lease holder may be a load from the weight store.
      availableStoreLoads:
        availableStoreLoads -
        engines.filter(({hasUnknownOrder}) => hasUnknownOrder).length,
      storeLoadLimit: loadLimiter.concurrencyLimit,
      isIdle: this.isIdle(now),
      gapObjective: this.gapObjective,
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

/** The rest of a load takes half of its time on average. */
function maximumLoadingEngines(
  engineCount: number,
  {models}: EngineDeclaration,
): number {
  const longestLoad = Math.max(
    1,
    ...[...models.values()].map(({loadMilliseconds}) => loadMilliseconds.store),
  );
  return Math.ceil(
    (engineCount * 2 * MEAN_BLOCKING_MILLISECONDS) / longestLoad,
  );
}
