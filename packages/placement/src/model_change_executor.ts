/**
 * Executes a change of models on an engine: drains and unloads the evicted models, then
 * loads the new one.
 */

import type {EndpointDescription} from '@siskinmux/endpoints';
import type {
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
} from '@siskinmux/kernel';
import {after, sleepFor, sleepUntil, until} from '@siskinmux/kernel';
import type {EngineDeclaration} from '@siskinmux/routes';
import type {ManagedEngine} from './allocator.js';
import type {EngineChange} from './engine_order_client.js';
import type {EngineReportReader} from './engine_report_reader.js';
import type {EngineView} from './engine_view.js';
import type {FinishLoad, LoadLimiter} from './load_limiter.js';
import {CHANGE_ENDED, CHANGE_PLANNED} from './placement_events.js';
import type {ModelChange} from './plan_models.js';
import type {ServiceDemand} from './service_demand.js';

/**
 * Delay between withdrawing a model from the nodes and unloading it: their last requests
 * and usage reports take a few milliseconds to arrive.
 */
const DRAIN_DELAY_MILLISECONDS: Milliseconds = 30;

/**
 * How long requests in flight may keep a replica that is being evicted. Most streams end in this
 * time; the engine lets the others end before it unloads the model.
 */
const DRAIN_TIMEOUT_MILLISECONDS: Milliseconds = 4_000;

/** Interval at which the requests in flight at such a replica are checked. */
const DRAIN_POLL_INTERVAL_MILLISECONDS: Milliseconds = 40;

/** Delay between an accepted unload and the next order; unloading an idle model takes as long. */
const UNLOAD_WAIT_MILLISECONDS: Milliseconds = 46;

/**
 * Delay before an order is resent to an engine that is still unloading; it grows with the time
 * that the engine has taken, as streams that still run take seconds.
 */
const UNLOAD_RETRY_DELAY_MILLISECONDS: Milliseconds = 8;
const MAXIMUM_UNLOAD_RETRY_DELAY_MILLISECONDS: Milliseconds = 100;
const UNLOAD_RETRY_DELAY_SHARE = 0.1;

/**
 * Delay after which the engine's report is read to check that it is still unloading. An
 * order count that differs from the view's means that the view is outdated.
 */
const UNLOAD_REPORT_DELAY_MILLISECONDS: Milliseconds = 400;

/** Timeout of an unload, which waits for requests that arrived just before it. */
const UNLOAD_TIMEOUT_MILLISECONDS: Milliseconds = 12_000;

/** Timeout for reading a report. */
const REPORT_TIMEOUT_MILLISECONDS: Milliseconds = 500;

/** Poll interval for the end of a load. */
const LOAD_POLL_INTERVAL_MILLISECONDS: Milliseconds = 40;

/** Added to the declared time of a load from the engine's own copy. */
const LOCAL_LOAD_MARGIN_MILLISECONDS: Milliseconds = 15;

/**
 * Delay until a report shows a loaded model: reports lag by a few hundred milliseconds.
 * Equals REPORT_LAG_MILLISECONDS of the allocator, which waits for the same lag.
 */
const VERIFICATION_DELAY_MILLISECONDS: Milliseconds = 300;

/**
 * A load counts as lost when it is late by this many times its uncontended duration plus
 * {@link UNLOAD_TIMEOUT_MILLISECONDS}.
 */
const LOST_LOAD_FACTOR = 6;

/** Dependencies of {@link ModelChangeExecutor}. */
export interface ModelChangeExecutorOptions {
  readonly clock: Clock;
  readonly emit: EmitEvent;
  readonly reports: EngineReportReader;
  readonly loadLimiter: LoadLimiter;
  readonly demand: ServiceDemand;
  readonly declaration: () => EngineDeclaration | undefined;
  /** Announces to nodes which models they may use on the engine. */
  readonly publish: (view: EngineView) => void;
  /** Reads the engine's state again, as the outcome of an order contradicts the view. */
  readonly resynchronize: (engine: ManagedEngine) => Promise<void>;
}

/** Executes changes of models, each on a different engine. */
export class ModelChangeExecutor {
  /**
   * Called with the models of an engine's latest description while it loads from the
   * weight store.
   */
  private readonly loadListeners = new Map<
    EndpointId,
    (models: readonly ModelName[]) => void
  >();

  private constructor(private readonly options: ModelChangeExecutorOptions) {}

  static create(options: ModelChangeExecutorOptions): ModelChangeExecutor {
    return new ModelChangeExecutor(options);
  }

  /** Passes on the loaded models of a new description to the change that waits for them. */
  updateDescription({id, models}: EndpointDescription): void {
    this.loadListeners.get(id)?.(models.map(({model}) => model));
  }

  /** Executes a change; resolves when the model is ready or the change was given up. */
  async run(engine: ManagedEngine, change: ModelChange): Promise<void> {
    const {emit, clock} = this.options;
    const {view} = engine;
    const startedAt = clock.now();
    const uncontendedMilliseconds = this.uncontendedLoadMilliseconds(change);
    view.pendingLoad = {
      model: change.load,
      readyAt: after(startedAt, uncontendedMilliseconds),
    };
    emit(CHANGE_PLANNED, {
      engine: view.id,
      load: change.load,
      unload: change.unload.join(' '),
      tier: change.tier,
      reason: change.reason,
      isDraining: change.isDraining || undefined,
    });
    // Counted before the evictions, as further plans are made while they are in progress.
    const finishLoad =
      change.tier === 'store'
        ? this.options.loadLimiter.startLoad(startedAt)
        : () => undefined;
    const end = await this.unloadAndLoad(engine, change, finishLoad);
    finishLoad();
    view.pendingLoad = undefined;
    emit(CHANGE_ENDED, {
      engine: view.id,
      load: change.load,
      end,
      milliseconds: Math.round(until(startedAt, clock.now())),
    });
    if (end === 'misfit') await this.options.resynchronize(engine);
  }

  /**
   * Resolves to how the change ended. `in_use`: a model to be evicted is still in use.
   * `misfit`: the view is outdated, or the load was lost. `unsent`: no order may be sent
   * to the engine now.
   */
  private async unloadAndLoad(
    engine: ManagedEngine,
    change: ModelChange,
    finishLoad: FinishLoad,
  ): Promise<'ready' | 'in_use' | 'misfit' | 'unsent'> {
    if (
      change.unload.length > 0 &&
      !(await this.drainModels(engine.view, change))
    ) {
      return 'in_use';
    }
    let isUnloading = false;
    for (const model of change.unload) {
      const result = await this.unload(engine, model, isUnloading);
      if (result !== 'done') return result;
      isUnloading = true;
    }
    return this.load(engine, change, isUnloading, finishLoad);
  }

  /**
   * Withdraws the models to be evicted, and lets their requests end if other replicas take the next
   * ones; restores them and returns false if they are still needed.
   */
  private async drainModels(
    view: EngineView,
    change: ModelChange,
  ): Promise<boolean> {
    const {clock, demand, publish} = this.options;
    const evicted = change.unload.flatMap(
      model => view.models.get(model) ?? [],
    );
    for (const placed of evicted) placed.state = 'closing';
    publish(view);
    await sleepFor(this.options.clock, DRAIN_DELAY_MILLISECONDS);
    const isInUse = (): boolean =>
      evicted.some(({model}) => demand.inFlightForModelAt(view.id, model) > 0);
    // A request that waits for an evicted model shows that its other replicas are gone.
    const isMissed = (): boolean =>
      evicted.some(({model}) => demand.isWaitedFor(model));
    if (change.isDraining) await this.waitWhile(() => isInUse() && !isMissed());
    const mayUnload = change.isDraining ? !isMissed() : !isInUse();
    for (const placed of evicted) {
      placed.state = mayUnload ? 'unloading' : 'ready';
      placed.since = clock.now();
    }
    if (!mayUnload) publish(view);
    return mayUnload;
  }

  private async waitWhile(isDraining: () => boolean): Promise<void> {
    const {clock} = this.options;
    const endsAt = after(clock.now(), DRAIN_TIMEOUT_MILLISECONDS);
    while (isDraining() && clock.now() < endsAt)
      await sleepFor(clock, DRAIN_POLL_INTERVAL_MILLISECONDS);
  }

  private async unload(
    engine: ManagedEngine,
    model: ModelName,
    isUnloading: boolean,
  ): Promise<'done' | 'misfit' | 'unsent'> {
    const {view} = engine;
    const change = {operation: 'unload', model, adapter: undefined} as const;
    const result = await this.sendUntilAccepted(engine, change, isUnloading);
    if (result === 'done') view.removeModel(model);
    if (result === 'unsent') this.resumeModel(view, model);
    return result;
  }

  private async load(
    engine: ManagedEngine,
    planned: ModelChange,
    isUnloading: boolean,
    finishLoad: FinishLoad,
  ): Promise<'ready' | 'misfit' | 'unsent'> {
    const {view} = engine;
    const {clock} = this.options;
    const {load: model, tier} = planned;
    const uncontendedMilliseconds = this.uncontendedLoadMilliseconds(planned);
    const placed = {
      model,
      state: 'loading' as const,
      since: clock.now(),
      readyAt: after(clock.now(), uncontendedMilliseconds),
    };
    view.models.set(model, placed);
    const change = {operation: 'load', model, adapter: undefined} as const;
    const result = await this.sendUntilAccepted(engine, change, isUnloading);
    if (result === 'unsent') view.removeModel(model);
    if (result !== 'done') return result;
    const acceptedAt = clock.now();
    placed.readyAt = after(acceptedAt, uncontendedMilliseconds);
    const isLoaded =
      tier === 'store'
        ? await this.waitUntilReported(
            view,
            model,
            placed.readyAt,
            uncontendedMilliseconds,
          )
        : await this.waitForLocalLoad(engine, model, placed.readyAt);
    if (!isLoaded) return 'misfit';
    finishLoad({
      loadMilliseconds: until(acceptedAt, clock.now()),
      uncontendedMilliseconds,
    });
    view.models.set(model, {
      model,
      state: 'ready',
      since: clock.now(),
      readyAt: clock.now(),
    });
    view.inMemory.add(model);
    view.onDisk.add(model);
    this.options.publish(view);
    return 'ready';
  }

  /** Declared duration of a change's load without concurrent loads. */
  private uncontendedLoadMilliseconds({load, tier}: ModelChange): Milliseconds {
    const declared = this.options.declaration()?.models.get(load);
    return declared?.loadMilliseconds[tier] ?? 0;
  }

  /**
   * A load from the engine's own copy takes the declared time, and a report would show
   * its end late. The model counts as ready after that time; a later report verifies it.
   */
  private async waitForLocalLoad(
    engine: ManagedEngine,
    model: ModelName,
    readyAt: Instant,
  ): Promise<boolean> {
    const {clock} = this.options;
    await sleepUntil(clock, after(readyAt, LOCAL_LOAD_MARGIN_MILLISECONDS));
    void this.verifyLoaded(engine, model);
    return true;
  }

  private async verifyLoaded(
    engine: ManagedEngine,
    model: ModelName,
  ): Promise<void> {
    const {clock, reports} = this.options;
    const {view} = engine;
    await sleepFor(this.options.clock, VERIFICATION_DELAY_MILLISECONDS);
    const {orderCount} = view;
    const report = await reports.read(
      view,
      after(clock.now(), REPORT_TIMEOUT_MILLISECONDS),
    );
    const isUnchanged =
      report !== undefined &&
      orderCount !== undefined &&
      view.orderCount === orderCount &&
      !view.isChanging &&
      view.isReady(model);
    if (!isUnchanged) return;
    if (report.models.some(loaded => loaded.model === model)) return;
    await this.options.resynchronize(engine);
  }

  /**
   * Resolves to true when the engine's report or description shows the model, false if
   * the load was lost.
   */
  private async waitUntilReported(
    view: EngineView,
    model: ModelName,
    readyAt: Instant,
    uncontendedMilliseconds: Milliseconds,
  ): Promise<boolean> {
    const {clock, reports} = this.options;
    let isInDescription = false;
    this.loadListeners.set(view.id, models => {
      isInDescription = models.includes(model);
    });
    const lostAt = after(
      readyAt,
      uncontendedMilliseconds * LOST_LOAD_FACTOR + UNLOAD_TIMEOUT_MILLISECONDS,
    );
    try {
      await sleepUntil(clock, readyAt);
      while (clock.now() < lostAt) {
        if (isInDescription) return true;
        const report = await reports.read(
          view,
          after(clock.now(), REPORT_TIMEOUT_MILLISECONDS),
        );
        if (report?.models.some(loaded => loaded.model === model)) return true;
        const hasEnded =
          report !== undefined &&
          !report.isBusy &&
          report.orderCount !== view.orderCount;
        if (hasEnded) return false;
        await sleepFor(this.options.clock, LOAD_POLL_INTERVAL_MILLISECONDS);
      }
      return false;
    } finally {
      this.loadListeners.delete(view.id);
    }
  }

  /**
   * Sends an order until the engine accepts it. The engine refuses orders while it
   * executes an unload of the same change; after any other refusal the view is outdated
   * (`misfit`).
   */
  private async sendUntilAccepted(
    {view, orderQueue}: ManagedEngine,
    change: EngineChange,
    isUnloading: boolean,
  ): Promise<'done' | 'misfit' | 'unsent'> {
    const {clock} = this.options;
    const startedAt = clock.now();
    if (isUnloading)
      await sleepFor(this.options.clock, UNLOAD_WAIT_MILLISECONDS);
    for (;;) {
      const result = await orderQueue.send(change);
      if (result === 'accepted' || result === 'done') return 'done';
      if (result === 'unsent') return 'unsent';
      if (result !== 'refused' || !isUnloading) return 'misfit';
      const waited = until(startedAt, clock.now());
      if (waited > UNLOAD_TIMEOUT_MILLISECONDS) return 'misfit';
      if (waited > UNLOAD_REPORT_DELAY_MILLISECONDS) {
        if (!(await this.isStillUnloading(view))) return 'misfit';
      }
      await sleepFor(clock, unloadRetryDelay(waited));
    }
  }

  private async isStillUnloading(view: EngineView): Promise<boolean> {
    const {clock, reports} = this.options;
    const report = await reports.read(
      view,
      after(clock.now(), REPORT_TIMEOUT_MILLISECONDS),
    );
    // Without a report the state is unknown, so the order is retried.
    return report === undefined || report.orderCount === view.orderCount;
  }

  private resumeModel(view: EngineView, model: ModelName): void {
    const placed = view.models.get(model);
    if (placed === undefined) return;
    placed.state = 'ready';
    this.options.publish(view);
  }
}

function unloadRetryDelay(waited: Milliseconds): Milliseconds {
  return Math.min(
    MAXIMUM_UNLOAD_RETRY_DELAY_MILLISECONDS,
    Math.max(
      UNLOAD_RETRY_DELAY_MILLISECONDS,
      waited * UNLOAD_RETRY_DELAY_SHARE,
    ),
  );
}
