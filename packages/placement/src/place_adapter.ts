/**
 * At which engine an adapter is used. Answers requests that need one of many adapters
 * of a busy model: an adapter is a cache entry of the engine, filled while the request
 * waits, and the one that was granted longest ago gives way.
 */

import type {
  AdapterName,
  EndpointId,
  Instant,
  ModelName,
} from '@siskinmux/kernel';
import type {DemandAggregator} from './demand_aggregator.js';
import type {PlacedAdapter, EngineView} from './engine_view.js';
import {adapterKey} from './engine_view.js';

/** What is asked for. */
export interface AdapterRequest {
  readonly model: ModelName;
  readonly adapter: AdapterName;
  /** Endpoints that have refused the request. */
  readonly excluded: ReadonlySet<EndpointId>;
}

/** An engine that has the adapter or can take it. */
export type AdapterPlacement =
  | {
      readonly kind: 'held';
      readonly engine: EngineView;
      readonly place: PlacedAdapter;
    }
  | {
      readonly kind: 'load';
      readonly engine: EngineView;
      /** The adapter that gives way; undefined when a place is free. */
      readonly unload: PlacedAdapter | undefined;
    };

/** Part of an engine's slots in use that outweighs bringing the adapter to another one. */
const SPREAD_SHARE = 0.375;

/** Where the request can run; undefined when no engine has the model and room. */
export function placeAdapter(
  need: AdapterRequest,
  engines: readonly EngineView[],
  demand: DemandAggregator,
  maximumAdapters: number,
  now: Instant,
): AdapterPlacement | undefined {
  const holders = engines
    .filter(
      engine =>
        engine.isReady(need.model) &&
        !engine.isDraining &&
        engine.orderCount !== undefined &&
        !need.excluded.has(engine.id),
    )
    .sort(
      (left, right) =>
        demand.runningAtEngine(left.id) / left.slots -
        demand.runningAtEngine(right.id) / right.slots,
    );
  const key = adapterKey(need.model, need.adapter);
  const held = heldPlacement(key, holders);
  const isCrowded =
    held !== undefined &&
    held.engine !== holders[0] &&
    demand.runningAtEngine(held.engine.id) >= SPREAD_SHARE * held.engine.slots;
  if (held !== undefined && !isCrowded) return held;
  const others = holders.filter(
    // An engine takes no adapter while it changes its models. One that the adapter is
    // leaving gives the place up under the adapter's name: it can't have it anew.
    engine => !engine.isChanging && !engine.adapters.has(key),
  );
  return loadPlacement(others, maximumAdapters, now) ?? held;
}

/** The least used engine that has the adapter and keeps it. */
function heldPlacement(
  key: string,
  holders: readonly EngineView[],
): Extract<AdapterPlacement, {kind: 'held'}> | undefined {
  for (const engine of holders) {
    const place = engine.adapters.get(key);
    if (place !== undefined && place.state !== 'leaving') {
      return {kind: 'held', engine, place};
    }
  }
  return undefined;
}

function loadPlacement(
  holders: readonly EngineView[],
  maximumAdapters: number,
  now: Instant,
): AdapterPlacement | undefined {
  const free = holders.find(engine => engine.adapters.size < maximumAdapters);
  if (free !== undefined) {
    return {kind: 'load', engine: free, unload: undefined};
  }
  let best: {engine: EngineView; place: PlacedAdapter} | undefined;
  for (const engine of holders) {
    for (const place of engine.adapters.values()) {
      // Nodes may still send to an adapter that was granted to them.
      if (place.state !== 'ready' || place.grantedUntil > now) continue;
      if (best && place.grantedUntil >= best.place.grantedUntil) continue;
      best = {engine, place};
    }
  }
  if (best === undefined) return undefined;
  return {kind: 'load', engine: best.engine, unload: best.place};
}
