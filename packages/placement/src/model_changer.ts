/** Carries out one change of models at an engine: gives notice, unloads, loads, waits. */

import type {
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
} from '@siskinmux/kernel';
import {after, sleepFor, sleepUntil, until} from '@siskinmux/kernel';
import type {EndpointDescription} from '@siskinmux/endpoints';
import type {EngineDeclaration} from '@siskinmux/routes';
import type {ManagedEngine} from './allocator.js';
import type {DemandBook} from './demand_book.js';
import type {EngineBook} from './engine_book.js';
import type {EngineOrders, HoldingChange} from './engine_orders.js';
import type {EndLoad, LoadCeiling} from './load_ceiling.js';
import {CHANGE_ENDED, CHANGE_PLANNED} from './placement_events.js';
import type {ModelChange} from './plan_models.js';

/**
 * Notice that nodes get before a model is unloaded: what they send, and what they say
 * of it, is on its way for some milliseconds.
 */
const NOTICE_MILLISECONDS: Milliseconds = 30;

/** Time that an engine takes to unload a model that nothing runs on. */
const UNLOAD_MILLISECONDS: Milliseconds = 46;

/** Pause before an order is sent again to an engine that is still unloading. */
const UNLOADING_PAUSE_MILLISECONDS: Milliseconds = 8;

/** From then on an engine's report says whether it is still unloading, or lost count. */
const UNLOADING_REPORTED_MILLISECONDS: Milliseconds = 400;

/** Longest time that an unload may wait for the requests that slipped in before it. */
const UNLOADING_MILLISECONDS: Milliseconds = 12_000;

/** Longest wait for a report. */
const REPORT_MILLISECONDS: Milliseconds = 500;

/** Pause between two looks whether a load has ended. */
const LOADING_PAUSE_MILLISECONDS: Milliseconds = 40;

/** Beyond the declared time of a load from the engine's own copy. */
const COPY_MARGIN_MILLISECONDS: Milliseconds = 15;

/** After that, a report shows the model: it lags by some hundred milliseconds. */
const CONFIRM_MILLISECONDS: Milliseconds = 300;

/** A load takes this many times its time alone before it counts as lost. */
const LOST_LOAD_FACTOR = 6;

/** What carrying out needs. */
export interface ModelChangerOptions {
  readonly clock: Clock;
  readonly emit: EmitEvent;
  readonly orders: EngineOrders;
  readonly ceiling: LoadCeiling;
  readonly demand: DemandBook;
  readonly declaration: () => EngineDeclaration | undefined;
  readonly publish: (book: EngineBook) => void;
  /** Reads the engine's state again, when an order did not fit what was believed. */
  readonly readAgain: (engine: ManagedEngine) => Promise<void>;
}

/** Carries out changes. */
export class ModelChanger {
  /** Engines that wait for a load, and what to call when the list shows it. */
  private readonly loading = new Map<
    EndpointId,
    (models: readonly ModelName[]) => void
  >();

  private constructor(private readonly options: ModelChangerOptions) {}

  static create(options: ModelChangerOptions): ModelChanger {
    return new ModelChanger(options);
  }

  /** Takes note of what an engine lists as held. */
  noteDescription({id, models}: EndpointDescription): void {
    this.loading.get(id)?.(models.map(({model}) => model));
  }

  /** Carries a change out; ends when the model is ready or the change was given up. */
  async run(engine: ManagedEngine, change: ModelChange): Promise<void> {
    const {emit, clock} = this.options;
    const {book} = engine;
    const begunAt = clock.now();
    const alone = this.aloneFor(change);
    book.incoming = {model: change.load, readyAt: after(begunAt, alone)};
    emit(CHANGE_PLANNED, {
      engine: book.id,
      load: change.load,
      unload: change.unload.join(' '),
      tier: change.tier,
      reason: change.reason,
    });
    // Counted from here on: plans are made while others still give way to the load.
    const endLoad =
      change.tier === 'store'
        ? this.options.ceiling.startLoad(begunAt)
        : () => undefined;
    const end = await this.carryOut(engine, change, endLoad);
    endLoad();
    book.incoming = undefined;
    emit(CHANGE_ENDED, {
      engine: book.id,
      load: change.load,
      end,
      milliseconds: Math.round(until(begunAt, clock.now())),
    });
    if (end === 'misfit') await this.options.readAgain(engine);
  }

  private async carryOut(
    engine: ManagedEngine,
    change: ModelChange,
    endLoad: EndLoad,
  ): Promise<'ready' | 'in_use' | 'misfit' | 'unsent'> {
    if (change.unload.length > 0 && !(await this.drainModels(engine.book, change))) {
      return 'in_use';
    }
    let isUnloading = false;
    for (const model of change.unload) {
      const end = await this.unload(engine, model, isUnloading);
      if (end !== 'done') return end;
      isUnloading = true;
    }
    return this.load(engine, change, isUnloading, endLoad);
  }

  /** Gives notice; false when the models are in use after all. */
  private async drainModels(book: EngineBook, change: ModelChange): Promise<boolean> {
    const {clock, demand, publish} = this.options;
    const places = change.unload.flatMap(model => book.models.get(model) ?? []);
    for (const place of places) place.state = 'closing';
    publish(book);
    await sleepFor(this.options.clock, NOTICE_MILLISECONDS);
    const isIdle = places.every(
      ({model}) => demand.runningAt(book.id, model) === 0,
    );
    for (const place of places) {
      place.state = isIdle ? 'unloading' : 'ready';
      place.since = clock.now();
    }
    if (!isIdle) publish(book);
    return isIdle;
  }

  private async unload(
    engine: ManagedEngine,
    model: ModelName,
    isUnloading: boolean,
  ): Promise<'done' | 'misfit' | 'unsent'> {
    const {book} = engine;
    const change = {operation: 'unload', model, adapter: undefined} as const;
    const end = await this.sendUntilAccepted(engine, change, isUnloading);
    if (end === 'done') book.dropModel(model);
    if (end === 'unsent') this.resumeModel(book, model);
    return end;
  }

  private async load(
    engine: ManagedEngine,
    planned: ModelChange,
    isUnloading: boolean,
    endLoad: EndLoad,
  ): Promise<'ready' | 'misfit' | 'unsent'> {
    const {book} = engine;
    const {clock} = this.options;
    const {load: model, tier} = planned;
    const alone = this.aloneFor(planned);
    const place = {
      model,
      state: 'loading' as const,
      since: clock.now(),
      readyAt: after(clock.now(), alone),
    };
    book.models.set(model, place);
    const change = {operation: 'load', model, adapter: undefined} as const;
    const end = await this.sendUntilAccepted(engine, change, isUnloading);
    if (end === 'unsent') book.dropModel(model);
    if (end !== 'done') return end;
    const acceptedAt = clock.now();
    place.readyAt = after(acceptedAt, alone);
    const isLoaded =
      tier === 'store'
        ? await this.waitUntilHeld(book, model, place.readyAt, alone)
        : await this.waitForCopy(engine, model, place.readyAt);
    if (!isLoaded) return 'misfit';
    endLoad({loadMilliseconds: until(acceptedAt, clock.now()), alone});
    book.models.set(model, {
      model,
      state: 'ready',
      since: clock.now(),
      readyAt: clock.now(),
    });
    book.inMemory.add(model);
    book.onDisk.add(model);
    this.options.publish(book);
    return 'ready';
  }

  /** Time that a change's load takes alone. */
  private aloneFor({load, tier}: ModelChange): Milliseconds {
    const declared = this.options.declaration()?.models.get(load);
    return declared?.loadMilliseconds[tier] ?? 0;
  }

  /**
   * A load from the engine's own copy takes the time that is declared, and a report
   * would show its end late: the model counts as ready then, and is looked for afterwards.
   */
  private async waitForCopy(
    engine: ManagedEngine,
    model: ModelName,
    readyAt: Instant,
  ): Promise<boolean> {
    const {clock} = this.options;
    await sleepUntil(clock, after(readyAt, COPY_MARGIN_MILLISECONDS));
    void this.confirm(engine, model);
    return true;
  }

  private async confirm(
    engine: ManagedEngine,
    model: ModelName,
  ): Promise<void> {
    const {clock, orders} = this.options;
    const {book} = engine;
    await sleepFor(this.options.clock, CONFIRM_MILLISECONDS);
    const {orderCount} = book;
    const report = await orders.report(
      book,
      after(clock.now(), REPORT_MILLISECONDS),
    );
    const isCurrent =
      report !== undefined &&
      orderCount !== undefined &&
      book.orderCount === orderCount &&
      !book.isChanging &&
      book.isReady(model);
    if (!isCurrent) return;
    if (report.models.some(held => held.model === model)) return;
    await this.options.readAgain(engine);
  }

  /** Resolves when the engine reports the model, or lists it. */
  private async waitUntilHeld(
    book: EngineBook,
    model: ModelName,
    readyAt: Instant,
    alone: Milliseconds,
  ): Promise<boolean> {
    const {clock, orders} = this.options;
    let isListed = false;
    this.loading.set(book.id, models => {
      isListed = models.includes(model);
    });
    const lostAt = after(
      readyAt,
      alone * LOST_LOAD_FACTOR + UNLOADING_MILLISECONDS,
    );
    try {
      await sleepUntil(clock, readyAt);
      while (clock.now() < lostAt) {
        if (isListed) return true;
        const report = await orders.report(
          book,
          after(clock.now(), REPORT_MILLISECONDS),
        );
        if (report?.models.some(held => held.model === model)) return true;
        const isOver =
          report !== undefined &&
          !report.isBusy &&
          report.orderCount !== book.orderCount;
        if (isOver) return false;
        await sleepFor(this.options.clock, LOADING_PAUSE_MILLISECONDS);
      }
      return false;
    } finally {
      this.loading.delete(book.id);
    }
  }

  /**
   * Sends an order until the engine takes it. While an unload of the same change is
   * under way, the engine refuses; any other refusal says that it was misjudged.
   */
  private async sendUntilAccepted(
    {book, orderQueue: line}: ManagedEngine,
    change: HoldingChange,
    isUnloading: boolean,
  ): Promise<'done' | 'misfit' | 'unsent'> {
    const {clock} = this.options;
    const begunAt = clock.now();
    if (isUnloading) await sleepFor(this.options.clock, UNLOAD_MILLISECONDS);
    for (;;) {
      const end = await line.send(change);
      if (end === 'accepted' || end === 'done') return 'done';
      if (end === 'unsent') return 'unsent';
      if (end !== 'refused' || !isUnloading) return 'misfit';
      const waited = until(begunAt, clock.now());
      if (waited > UNLOADING_MILLISECONDS) return 'misfit';
      if (waited > UNLOADING_REPORTED_MILLISECONDS) {
        if (!(await this.isStillUnloading(book))) return 'misfit';
      }
      await sleepFor(this.options.clock, UNLOADING_PAUSE_MILLISECONDS);
    }
  }

  private async isStillUnloading(book: EngineBook): Promise<boolean> {
    const {clock, orders} = this.options;
    const report = await orders.report(
      book,
      after(clock.now(), REPORT_MILLISECONDS),
    );
    // Without a report the engine may be anything; the order is tried once more.
    return report === undefined || report.orderCount === book.orderCount;
  }

  private resumeModel(book: EngineBook, model: ModelName): void {
    const place = book.models.get(model);
    if (place === undefined) return;
    place.state = 'ready';
    this.options.publish(book);
  }
}
