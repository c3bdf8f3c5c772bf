/**
 * Selects the engine on which an adapter is used. Adapters are cache entries of the
 * engines: a missing one is loaded while the request waits, and the one whose grant
 * expired first is evicted. This serves models with more adapters than fit into an engine.
 */

import type {
  AdapterName,
  EndpointId,
  Instant,
  ModelName,
} from '@siskinmux/kernel';
import type {EngineView, PlacedAdapter} from './engine_view.js';
import {adapterKey} from './engine_view.js';
import type {ServiceDemand} from './service_demand.js';

/** A request for an engine that has an adapter. */
export interface AdapterRequest {
  readonly model: ModelName;
  readonly adapter: AdapterName;
  /** Endpoints that already refused the caller's request. */
  readonly excluded: ReadonlySet<EndpointId>;
}

/** An engine that has the adapter or can load it. */
export type AdapterPlacement =
  | {
      readonly kind: 'held';
      readonly engine: EngineView;
      readonly placed: PlacedAdapter;
    }
  | {
      readonly kind: 'load';
      readonly engine: EngineView;
      /** The adapter to evict; undefined when the engine has room for one more. */
      readonly unload: PlacedAdapter | undefined;
    };

/**
 * Share of an engine's slots in use from which its adapter is loaded on another engine as
 * well.
 */
const ADAPTER_SPREAD_SHARE = 0.375;

/**
 * Selects an engine that has the model; undefined when none of these has the adapter or
 * can load it.
 */
export function placeAdapter(
  request: AdapterRequest,
  engines: readonly EngineView[],
  demand: ServiceDemand,
  maximumAdapters: number,
  now: Instant,
): AdapterPlacement | undefined {
  const candidates = engines
    .filter(
      engine =>
        engine.isReady(request.model) &&
        !engine.isDraining &&
        engine.orderCount !== undefined &&
        !request.excluded.has(engine.id),
    )
    .sort(
      (left, right) =>
        Number(left.requestLimit !== undefined) -
          Number(right.requestLimit !== undefined) ||
        demand.inFlightAtEngine(left.id) / left.slots -
          demand.inFlightAtEngine(right.id) / right.slots,
    );
  const key = adapterKey(request.model, request.adapter);
  const heldPlacement = findHeldAdapter(key, candidates);
  const shouldSpread =
    heldPlacement !== undefined &&
    heldPlacement.engine !== candidates[0] &&
    (heldPlacement.engine.requestLimit !== undefined ||
      demand.inFlightAtEngine(heldPlacement.engine.id) >=
        ADAPTER_SPREAD_SHARE * heldPlacement.engine.slots);
  if (heldPlacement !== undefined && !shouldSpread) return heldPlacement;
  const loadCandidates = candidates.filter(
    // An engine accepts no adapter while it changes its models. Nor can it reload an
    // adapter that it is unloading: the end of the unload removes the entry of that name.
    engine => !engine.isChanging && !engine.adapters.has(key),
  );
  return planAdapterLoad(loadCandidates, maximumAdapters, now) ?? heldPlacement;
}

/** The least loaded engine that has the adapter and isn't unloading it. */
function findHeldAdapter(
  key: string,
  candidates: readonly EngineView[],
): Extract<AdapterPlacement, {kind: 'held'}> | undefined {
  for (const engine of candidates) {
    const placed = engine.adapters.get(key);
    if (placed !== undefined && placed.state !== 'leaving') {
      return {kind: 'held', engine, placed};
    }
  }
  return undefined;
}

function planAdapterLoad(
  candidates: readonly EngineView[],
  maximumAdapters: number,
  now: Instant,
): AdapterPlacement | undefined {
  const engineWithRoom = candidates.find(
    engine => engine.adapters.size < maximumAdapters,
  );
  if (engineWithRoom !== undefined) {
    return {kind: 'load', engine: engineWithRoom, unload: undefined};
  }
  let oldest: {engine: EngineView; placed: PlacedAdapter} | undefined;
  for (const engine of candidates) {
    for (const placed of engine.adapters.values()) {
      // Nodes may still send requests for an adapter during its grant.
      if (placed.state !== 'ready' || placed.grantedUntil > now) continue;
      if (oldest && placed.grantedUntil >= oldest.placed.grantedUntil) continue;
      oldest = {engine, placed};
    }
  }
  if (oldest === undefined) return undefined;
  return {kind: 'load', engine: oldest.engine, unload: oldest.placed};
}
