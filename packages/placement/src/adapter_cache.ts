/** Loads adapters on demand, with the engines as caches, and grants their use to nodes. */

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
import type {EngineReportReader} from './engine_report_reader.js';
import type {EngineView, PlacedAdapter} from './engine_view.js';
import {adapterKey} from './engine_view.js';
import type {QueuedOrderOutcome} from './order_queue.js';
import type {AdapterPlacement, AdapterRequest} from './place_adapter.js';
import {placeAdapter} from './place_adapter.js';
import {ADAPTER_PLACED} from './placement_events.js';
import type {ServiceDemand} from './service_demand.js';

/**
 * Time from the acceptance of a load until nodes can use the adapter: the load from the
 * adapter store, and delays at nodes and engines.
 */
const ADAPTER_LOAD_MILLISECONDS: Milliseconds = 8;

/** How long a node may use an adapter after a grant; each request for a grant renews it. */
export const GRANT_DURATION_MILLISECONDS: Milliseconds = 1_500;

/**
 * Added to the end of a grant before the adapter may be evicted, so that requests sent
 * just before the end have started to run.
 */
const GRANT_MARGIN_MILLISECONDS: Milliseconds = 100;

/** Poll interval for the unload of an adapter in use; a stream takes about as long. */
const UNLOAD_POLL_MILLISECONDS: Milliseconds = 700;

/** A request whose load failed this often is refused; its node may request the grant again. */
const MAXIMUM_AWAITED_LOADS = 2;

/** Permission for a node to send requests for an adapter to an engine. */
export interface AdapterGrant {
  readonly engine: EndpointId;
  /** When requests may first be sent. */
  readonly usableAt: Instant;
  readonly validUntil: Instant;
}

/** Dependencies of {@link AdapterCache}. */
export interface AdapterCacheOptions {
  readonly clock: Clock;
  readonly emit: EmitEvent;
  readonly demand: ServiceDemand;
  readonly reports: EngineReportReader;
  readonly engines: () => ReadonlyMap<EndpointId, ManagedEngine>;
  readonly maximumAdapters: () => number;
  /** Reads the engine's state again from its report. */
  readonly resynchronize: (engine: ManagedEngine) => Promise<void>;
}

/** Grants adapters, and orders the load of missing ones. */
export class AdapterCache {
  /** Loads in progress, shared by concurrent requests for the same adapter. */
  private readonly pendingLoads = new Map<
    string,
    Promise<AdapterGrant | undefined>
  >();

  private constructor(private readonly options: AdapterCacheOptions) {}

  static create(options: AdapterCacheOptions): AdapterCache {
    return new AdapterCache(options);
  }

  /**
   * Grants the use of an adapter, which is loaded first if necessary; undefined when no
   * engine has it or can load it now.
   */
  async requestGrant(
    request: AdapterRequest,
  ): Promise<AdapterGrant | undefined> {
    const {clock, demand, engines, maximumAdapters} = this.options;
    const key = adapterKey(request.model, request.adapter);
    // After a failed load, one of the requests that waited for it starts the next one.
    for (let awaited = 0; ; awaited += 1) {
      const pending = this.pendingLoads.get(key);
      if (pending === undefined) break;
      if (awaited === MAXIMUM_AWAITED_LOADS) return undefined;
      const grant = await pending;
      if (grant !== undefined && !request.excluded.has(grant.engine))
        return grant;
    }
    const views = [...engines().values()].map(({view}) => view);
    const placement = placeAdapter(
      request,
      views,
      demand,
      maximumAdapters(),
      clock.now(),
    );
    if (placement === undefined) return undefined;
    if (placement.kind === 'held')
      return this.grant(placement.engine, placement.placed);
    const loading = this.load(
      request.model,
      request.adapter,
      placement,
    ).finally(() => this.pendingLoads.delete(key));
    this.pendingLoads.set(key, loading);
    return loading;
  }

  private grant(view: EngineView, placed: PlacedAdapter): AdapterGrant {
    const {clock} = this.options;
    const validUntil = after(
      later(clock.now(), placed.usableAt),
      GRANT_DURATION_MILLISECONDS,
    );
    placed.grantedUntil = after(validUntil, GRANT_MARGIN_MILLISECONDS);
    return {engine: view.id, usableAt: placed.usableAt, validUntil};
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
      // Removed without an await before the next addition, so that no other load uses the
      // freed room.
      view.adapters.delete(adapterKey(unload.model, unload.adapter));
    }
    // The adapter counts toward the maximum before its order is sent, as an order without
    // a response may be executed.
    const placed = view.addAdapter(model, adapter, 'arriving', clock.now());
    const result = await engine.orderQueue.send({
      operation: 'load',
      model,
      adapter,
    });
    if (result === 'accepted' || result === 'done') {
      const delay = result === 'done' ? 0 : ADAPTER_LOAD_MILLISECONDS;
      placed.usableAt = after(clock.now(), delay);
      placed.state = 'ready';
      return this.grant(view, placed);
    }
    if (result === 'unsent' || result === 'refused') {
      view.adapters.delete(adapterKey(model, adapter));
    }
    this.resynchronizeAfter(engine, result);
    return undefined;
  }

  /**
   * Unloads an adapter; true if it was removed at once, so that its room is free. An
   * adapter that requests still use keeps its room until they end.
   */
  private async unload(
    engine: ManagedEngine,
    placed: PlacedAdapter,
  ): Promise<boolean> {
    const {model, adapter} = placed;
    placed.state = 'leaving';
    const result = await engine.orderQueue.send({
      operation: 'unload',
      model,
      adapter,
    });
    if (result === 'done') return true;
    if (result === 'accepted') {
      void this.waitUntilUnloaded(engine, placed);
      return false;
    }
    placed.state = 'ready';
    this.resynchronizeAfter(engine, result);
    return false;
  }

  /**
   * Engines refuse adapter orders during a change of models; after any other failure the
   * view is outdated.
   */
  private resynchronizeAfter(
    engine: ManagedEngine,
    result: QueuedOrderOutcome,
  ): void {
    if (result === 'unsent') return;
    if (result === 'refused' && engine.view.isChanging) return;
    void this.options.resynchronize(engine);
  }

  private async waitUntilUnloaded(
    {view}: ManagedEngine,
    placed: PlacedAdapter,
  ): Promise<void> {
    const {clock, reports} = this.options;
    const {model, adapter} = placed;
    const key = adapterKey(model, adapter);
    while (view.adapters.get(key) === placed) {
      await sleepFor(clock, UNLOAD_POLL_MILLISECONDS);
      const report = await reports.read(
        view,
        after(clock.now(), UNLOAD_POLL_MILLISECONDS),
      );
      const isStillLoaded =
        report === undefined ||
        report.isBusy ||
        report.models.some(
          loaded => loaded.model === model && loaded.adapters.includes(adapter),
        );
      if (isStillLoaded || view.adapters.get(key) !== placed) continue;
      view.adapters.delete(key);
    }
  }
}
