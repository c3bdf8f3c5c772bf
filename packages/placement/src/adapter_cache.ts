/** Adapters as a cache of the engines, filled while requests wait. */

import type {
  AdapterName,
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
} from '@siskinmux/kernel';
import {after, later, sleepFor} from '@siskinmux/kernel';
import type {ManagedEngine} from './allocator.js';
import type {DemandBook} from './demand_book.js';
import type {AdapterPlace, EngineBook} from './engine_book.js';
import {adapterKey} from './engine_book.js';
import type {EngineOrders} from './engine_orders.js';
import type {OrderEnd} from './order_line.js';
import type {AdapterNeed, AdapterPlacement} from './place_adapter.js';
import {placeAdapter} from './place_adapter.js';
import {ADAPTER_PLACED} from './placement_events.js';

/** Time of a load from the store of adapters, with what nodes and engines take to notice. */
const LOAD_MILLISECONDS: Milliseconds = 8;

/** How long nodes may use an adapter without asking again; renewed by each request. */
export const GRANT_MILLISECONDS: Milliseconds = 1_500;

/** Beyond a grant: what nodes sent in its last moments has begun to run by then. */
const GRANT_MARGIN_MILLISECONDS: Milliseconds = 100;

/** Pause between two looks whether an adapter that was in use has gone; a stream's length. */
const LEAVING_MILLISECONDS: Milliseconds = 700;

/** The right of a node to send requests for an adapter to an engine. */
export interface AdapterGrant {
  readonly engine: EndpointId;
  /** From when on requests may be sent. */
  readonly usableAt: Instant;
  readonly validUntil: Instant;
}

/** What the cache needs from its surroundings. */
export interface AdapterCacheOptions {
  readonly clock: Clock;
  readonly emit: EmitEvent;
  readonly demand: DemandBook;
  readonly orders: EngineOrders;
  readonly engines: () => ReadonlyMap<EndpointId, ManagedEngine>;
  readonly maximumAdapters: () => number;
  readonly readAgain: (engine: ManagedEngine) => Promise<void>;
}

/** Grants adapters and orders those that are missing. */
export class AdapterCache {
  /** Loads under way, so that requests for one adapter share them. */
  private readonly underWay = new Map<
    string,
    Promise<AdapterGrant | undefined>
  >();

  private constructor(private readonly options: AdapterCacheOptions) {}

  static create(options: AdapterCacheOptions): AdapterCache {
    return new AdapterCache(options);
  }

  /** A grant; undefined when no engine can have the adapter now. */
  async want(need: AdapterNeed): Promise<AdapterGrant | undefined> {
    const {clock, demand, engines, maximumAdapters} = this.options;
    const key = adapterKey(need.model, need.adapter);
    const shared = this.underWay.get(key);
    if (shared !== undefined) {
      const grant = await shared;
      if (grant !== undefined && !need.excluded.has(grant.engine)) return grant;
    }
    const books = [...engines().values()].map(({book}) => book);
    const placement = placeAdapter(
      need,
      books,
      demand,
      maximumAdapters(),
      clock.now(),
    );
    if (placement === undefined) return undefined;
    if (placement.kind === 'held')
      return this.grant(placement.engine, placement.placed);
    const loading = this.load(need.model, need.adapter, placement);
    this.underWay.set(key, loading);
    try {
      return await loading;
    } finally {
      if (this.underWay.get(key) === loading) this.underWay.delete(key);
    }
  }

  private grant(book: EngineBook, place: AdapterPlace): AdapterGrant {
    const {clock} = this.options;
    const validUntil = after(
      later(clock.now(), place.usableAt),
      GRANT_MILLISECONDS,
    );
    place.grantedUntil = after(validUntil, GRANT_MARGIN_MILLISECONDS);
    return {engine: book.id, usableAt: place.usableAt, validUntil};
  }

  private async load(
    model: ModelName,
    adapter: AdapterName,
    placement: Extract<AdapterPlacement, {kind: 'load'}>,
  ): Promise<AdapterGrant | undefined> {
    const {clock, emit, engines} = this.options;
    const {engine: book, unload} = placement;
    const engine = engines().get(book.id);
    if (engine === undefined) return undefined;
    emit(ADAPTER_PLACED, {
      engine: book.id,
      model,
      adapter,
      unload: unload && adapterKey(unload.model, unload.adapter),
    });
    if (unload !== undefined) {
      if (!(await this.unload(engine, unload))) return undefined;
      // Given up and taken in one step, so that nobody takes it in between.
      book.adapters.delete(adapterKey(unload.model, unload.adapter));
    }
    // The place is taken before the order leaves, whatever becomes of it.
    const place = book.putAdapter(model, adapter, 'arriving', clock.now());
    const end = await engine.orderQueue.send({operation: 'load', model, adapter});
    if (end === 'accepted' || end === 'done') {
      const wait = end === 'done' ? 0 : LOAD_MILLISECONDS;
      place.usableAt = after(clock.now(), wait);
      place.state = 'ready';
      return this.grant(book, place);
    }
    if (end === 'unsent' || end === 'refused') {
      book.adapters.delete(adapterKey(model, adapter));
    }
    this.noteMisfit(engine, end);
    return undefined;
  }

  /**
   * Whether the adapter is gone, and its place the caller's; one that requests still use
   * keeps its place until then.
   */
  private async unload(
    engine: ManagedEngine,
    place: AdapterPlace,
  ): Promise<boolean> {
    const {model, adapter} = place;
    place.state = 'leaving';
    const end = await engine.orderQueue.send({operation: 'unload', model, adapter});
    if (end === 'done') return true;
    if (end === 'accepted') {
      void this.waitUntilGone(engine, place);
      return false;
    }
    place.state = 'ready';
    this.noteMisfit(engine, end);
    return false;
  }

  /** An engine refuses adapters while it changes models; any other refusal is a misjudgement. */
  private noteMisfit(engine: ManagedEngine, end: OrderEnd): void {
    if (end === 'unsent') return;
    if (end === 'refused' && engine.book.isChanging) return;
    void this.options.readAgain(engine);
  }

  private async waitUntilGone(
    {book}: ManagedEngine,
    place: AdapterPlace,
  ): Promise<void> {
    const {clock, orders} = this.options;
    const {model, adapter} = place;
    const key = adapterKey(model, adapter);
    while (book.adapters.get(key) === place) {
      await sleepFor(clock, LEAVING_MILLISECONDS);
      const report = await orders.report(
        book,
        after(clock.now(), LEAVING_MILLISECONDS),
      );
      const isThere =
        report === undefined ||
        report.isBusy ||
        report.models.some(
          held => held.model === model && held.adapters.includes(adapter),
        );
      if (isThere || book.adapters.get(key) !== place) continue;
      book.adapters.delete(key);
    }
  }
}
