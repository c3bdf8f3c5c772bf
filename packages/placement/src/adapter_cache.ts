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
import type {DemandAggregator} from './demand_aggregator.js';
import type {PlacedAdapter, EngineView} from './engine_view.js';
import {adapterKey} from './engine_view.js';
import type {EngineOrderClient} from './engine_order_client.js';
import type {OrderResult} from './order_queue.js';
import type {AdapterRequest, AdapterPlacement} from './place_adapter.js';
import {placeAdapter} from './place_adapter.js';
import {ADAPTER_PLACED} from './placement_events.js';

/** Time of a load from the store of adapters, with what nodes and engines take to notice. */
const LOAD_MILLISECONDS: Milliseconds = 8;

/** How long nodes may use an adapter without asking again; renewed by each request. */
export const GRANT_DURATION_MILLISECONDS: Milliseconds = 1_500;

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
  readonly demand: DemandAggregator;
  readonly orders: EngineOrderClient;
  readonly engines: () => ReadonlyMap<EndpointId, ManagedEngine>;
  readonly maximumAdapters: () => number;
  readonly resynchronize: (engine: ManagedEngine) => Promise<void>;
}

/** Grants adapters and orders those that are missing. */
export class AdapterCache {
  /** Loads under way, so that requests for one adapter share them. */
  private readonly pendingLoads = new Map<
    string,
    Promise<AdapterGrant | undefined>
  >();

  private constructor(private readonly options: AdapterCacheOptions) {}

  static create(options: AdapterCacheOptions): AdapterCache {
    return new AdapterCache(options);
  }

  /** A grant; undefined when no engine can have the adapter now. */
  async requestGrant(need: AdapterRequest): Promise<AdapterGrant | undefined> {
    const {clock, demand, engines, maximumAdapters} = this.options;
    const key = adapterKey(need.model, need.adapter);
    const shared = this.pendingLoads.get(key);
    if (shared !== undefined) {
      const grant = await shared;
      if (grant !== undefined && !need.excluded.has(grant.engine)) return grant;
    }
    const views = [...engines().values()].map(({view}) => view);
    const placement = placeAdapter(
      need,
      views,
      demand,
      maximumAdapters(),
      clock.now(),
    );
    if (placement === undefined) return undefined;
    if (placement.kind === 'held')
      return this.grant(placement.engine, placement.place);
    const loading = this.load(need.model, need.adapter, placement);
    this.pendingLoads.set(key, loading);
    try {
      return await loading;
    } finally {
      if (this.pendingLoads.get(key) === loading) this.pendingLoads.delete(key);
    }
  }

  private grant(view: EngineView, place: PlacedAdapter): AdapterGrant {
    const {clock} = this.options;
    const validUntil = after(
      later(clock.now(), place.usableAt),
      GRANT_DURATION_MILLISECONDS,
    );
    place.grantedUntil = after(validUntil, GRANT_MARGIN_MILLISECONDS);
    return {engine: view.id, usableAt: place.usableAt, validUntil};
  }

  private async load(
    model: ModelName,
    adapter: AdapterName,
    placement: Extract<AdapterPlacement, {kind: 'load'}>,
  ): Promise<AdapterGrant | undefined> {
    const {clock, emit, engines} = this.options;
    const {engine: view, unload} = placement;
    const engine = engines().get(view.id);
    if (engine === undefined) return undefined;
    emit(ADAPTER_PLACED, {
      engine: view.id,
      model,
      adapter,
      unload: unload && adapterKey(unload.model, unload.adapter),
    });
    if (unload !== undefined) {
      if (!(await this.unload(engine, unload))) return undefined;
      // Given up and taken in one step, so that nobody takes it in between.
      view.adapters.delete(adapterKey(unload.model, unload.adapter));
    }
    // The place is taken before the order leaves, whatever becomes of it.
    const place = view.addAdapter(model, adapter, 'arriving', clock.now());
    const end = await engine.orderQueue.send({
      operation: 'load',
      model,
      adapter,
    });
    if (end === 'accepted' || end === 'done') {
      const wait = end === 'done' ? 0 : LOAD_MILLISECONDS;
      place.usableAt = after(clock.now(), wait);
      place.state = 'ready';
      return this.grant(view, place);
    }
    if (end === 'unsent' || end === 'refused') {
      view.adapters.delete(adapterKey(model, adapter));
    }
    this.resynchronizeAfter(engine, end);
    return undefined;
  }

  /**
   * Whether the adapter is gone, and its place the caller's; one that requests still use
   * keeps its place until then.
   */
  private async unload(
    engine: ManagedEngine,
    place: PlacedAdapter,
  ): Promise<boolean> {
    const {model, adapter} = place;
    place.state = 'leaving';
    const end = await engine.orderQueue.send({
      operation: 'unload',
      model,
      adapter,
    });
    if (end === 'done') return true;
    if (end === 'accepted') {
      void this.waitUntilUnloaded(engine, place);
      return false;
    }
    place.state = 'ready';
    this.resynchronizeAfter(engine, end);
    return false;
  }

  /** An engine refuses adapters while it changes models; any other refusal is a misjudgement. */
  private resynchronizeAfter(engine: ManagedEngine, end: OrderResult): void {
    if (end === 'unsent') return;
    if (end === 'refused' && engine.view.isChanging) return;
    void this.options.resynchronize(engine);
  }

  private async waitUntilUnloaded(
    {view}: ManagedEngine,
    place: PlacedAdapter,
  ): Promise<void> {
    const {clock, orders} = this.options;
    const {model, adapter} = place;
    const key = adapterKey(model, adapter);
    while (view.adapters.get(key) === place) {
      await sleepFor(clock, LEAVING_MILLISECONDS);
      const report = await orders.report(
        view,
        after(clock.now(), LEAVING_MILLISECONDS),
      );
      const isThere =
        report === undefined ||
        report.isBusy ||
        report.models.some(
          held => held.model === model && held.adapters.includes(adapter),
        );
      if (isThere || view.adapters.get(key) !== place) continue;
      view.adapters.delete(key);
    }
  }
}
