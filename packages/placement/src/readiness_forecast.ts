/** When a model that requests wait for can be ready, at best. */

import type {Instant, Milliseconds, ModelName} from '@siskinmux/kernel';
import {after, earlier} from '@siskinmux/kernel';
import type {EngineDeclaration, ModelDeclaration} from '@siskinmux/routes';
import type {DemandAggregator} from './demand_aggregator.js';
import type {EngineView} from './engine_view.js';

/** Time until an engine whose places are all in use gets one free; about a stream's length. */
const PLACE_MILLISECONDS: Milliseconds = 600;

/** The outlook of a model. */
export interface ReadinessForecast {
  readonly model: ModelName;
  readonly readyAt: Instant;
}

/** What a forecast is made from. */
export interface ReadinessForecastInput {
  readonly now: Instant;
  readonly declaration: EngineDeclaration;
  readonly engines: readonly EngineView[];
  readonly demand: DemandAggregator;
  /** Loads from the weight store that may begin. */
  readonly storeLoads: number;
}

/** The outlook of every model that requests wait for. */
export function forecastReadiness(
  input: ReadinessForecastInput,
): ReadinessForecast[] {
  const forecasts: ReadinessForecast[] = [];
  for (const model of input.demand.waitingModels.keys()) {
    const declared = input.declaration.models.get(model);
    if (declared === undefined) continue;
    forecasts.push({model, readyAt: readyAt(declared, input)});
  }
  return forecasts;
}

function readyAt(
  declared: ModelDeclaration,
  input: ReadinessForecastInput,
): Instant {
  const {now, engines} = input;
  const {store} = declared.loadMilliseconds;
  // Without a free load, one that is under way has to end first.
  const wait = input.storeLoads > 0 ? PLACE_MILLISECONDS : store;
  let best = after(now, store + wait);
  let isLoading = false;
  for (const engine of engines) {
    if (engine.isDraining) continue;
    const place = engine.models.get(declared.name);
    if (place?.state === 'loading' && !isLoading) {
      isLoading = true;
      best = place.readyAt;
    }
    if (place !== undefined) best = earlier(best, place.readyAt);
    else if (engine.incoming?.model === declared.name) {
      best = earlier(best, engine.incoming.readyAt);
    } else if (engine.nearestWeightTier(declared.name) !== 'store') {
      best = earlier(best, loadedAt(engine, declared, input));
    }
  }
  return best;
}

function loadedAt(
  engine: EngineView,
  declared: ModelDeclaration,
  {now}: ReadinessForecastInput,
): Instant {
  const load =
    declared.loadMilliseconds[engine.nearestWeightTier(declared.name)];
  return after(now, load + (engine.isOperable ? 0 : PLACE_MILLISECONDS));
}
