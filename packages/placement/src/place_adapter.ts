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
import type {DemandBook} from './demand_book.js';
import type {AdapterPlace, EngineBook} from './engine_book.js';
import {adapterKey} from './engine_book.js';

/** What is asked for. */
export interface AdapterNeed {
  readonly model: ModelName;
  readonly adapter: AdapterName;
  /** Endpoints that have refused the request. */
  readonly excluded: ReadonlySet<EndpointId>;
}

/** An engine that has the adapter or can take it. */
export type AdapterPlacement =
  | {
      readonly kind: 'held';
      readonly engine: EngineBook;
      readonly placed: AdapterPlace;
    }
  | {
      readonly kind: 'load';
      readonly engine: EngineBook;
      /** The adapter that gives way; undefined when a place is free. */
      readonly unload: AdapterPlace | undefined;
    };

/** Part of an engine's slots in use that outweighs bringing the adapter to another one. */
const SPREAD_SHARE = 0.375;

/** Where the request can run; undefined when no engine has the model and room. */
export function placeAdapter(
  need: AdapterNeed,
  engines: readonly EngineBook[],
  demand: DemandBook,
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
        demand.totalAt(left.id) / left.slots -
        demand.totalAt(right.id) / right.slots,
    );
  const key = adapterKey(need.model, need.adapter);
  const held = heldPlacement(key, holders);
  const isCrowded =
    held !== undefined &&
    held.engine !== holders[0] &&
    demand.totalAt(held.engine.id) >= SPREAD_SHARE * held.engine.slots;
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
  holders: readonly EngineBook[],
): Extract<AdapterPlacement, {kind: 'held'}> | undefined {
  for (const engine of holders) {
    const place = engine.adapters.get(key);
    if (place !== undefined && place.state !== 'leaving') {
      return {kind: 'held', engine, placed: place};
    }
  }
  return undefined;
}

function loadPlacement(
  holders: readonly EngineBook[],
  maximumAdapters: number,
  now: Instant,
): AdapterPlacement | undefined {
  const free = holders.find(engine => engine.adapters.size < maximumAdapters);
  if (free !== undefined) {
    return {kind: 'load', engine: free, unload: undefined};
  }
  let best: {engine: EngineBook; place: AdapterPlace} | undefined;
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
