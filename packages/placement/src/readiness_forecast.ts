/** Earliest time at which a model can be ready for the requests that wait for it. */

import type {SoftwareVersion} from '@siskinmux/endpoints';
import type {Instant, Milliseconds, ModelName} from '@siskinmux/kernel';
import {after, earlier} from '@siskinmux/kernel';
import type {EngineDeclaration, ServiceModel} from '@siskinmux/routes';
import type {EngineView} from './engine_view.js';
import type {ServiceDemand} from './service_demand.js';

/**
 * Expected time until an engine that can't start a change now can evict a model; a stream
 * takes about as long.
 */
const EVICTION_WAIT_MILLISECONDS: Milliseconds = 600;

/** When a model can be ready at the earliest. */
export interface ReadinessForecast {
  readonly model: ModelName;
  /** Set for requests that only this software version can serve. */
  readonly boundTo?: SoftwareVersion;
  readonly readyAt: Instant;
}

export interface ReadinessForecastInput {
  readonly now: Instant;
  readonly declaration: EngineDeclaration;
  readonly engines: readonly EngineView[];
  readonly demand: ServiceDemand;
  /** Loads from the weight store that may start now. */
  readonly availableStoreLoads: number;
}

/** Forecasts when each model that requests wait for can be ready. */
export function forecastReadiness(
  input: ReadinessForecastInput,
): ReadinessForecast[] {
  const forecasts: ReadinessForecast[] = [];
  for (const model of input.demand.waitingByModel.keys()) {
    const declared = input.declaration.models.get(model);
    if (declared === undefined) continue;
    forecasts.push({model, readyAt: earliestReadyAt(declared, input)});
  }
  for (const {model, boundTo} of input.demand.boundWaiting) {
    const declared = input.declaration.models.get(model);
    if (declared === undefined) continue;
    const engines = input.engines.filter(
      ({softwareVersion}) => softwareVersion === boundTo,
    );
    const readyAt = earliestReadyAt(declared, {...input, engines});
    forecasts.push({model, boundTo, readyAt});
  }
  return forecasts;
}

function earliestReadyAt(
  declared: ServiceModel,
  input: ReadinessForecastInput,
): Instant {
  const {now, engines} = input;
  const {store: storeLoadMilliseconds} = declared.loadMilliseconds;
  // When no load may start, a load in progress has to finish first.
  const delay =
    input.availableStoreLoads > 0
      ? EVICTION_WAIT_MILLISECONDS
      : storeLoadMilliseconds;
  let earliest = after(now, storeLoadMilliseconds + delay);
  let isLoading = false;
  for (const engine of engines) {
    if (engine.isDraining) continue;
    const placed = engine.models.get(declared.name);
    // Requests that wait although the model is ready there have got no permit.
    if (placed?.state === 'ready' && engine.requestLimit !== undefined)
      continue;
    if (placed?.state === 'loading' && !isLoading) {
      isLoading = true;
      earliest = placed.readyAt;
    }
    if (placed !== undefined) earliest = earlier(earliest, placed.readyAt);
    else if (engine.pendingLoad?.model === declared.name) {
      earliest = earlier(earliest, engine.pendingLoad.readyAt);
    } else if (engine.nearestWeightTier(declared.name) !== 'store') {
      earliest = earlier(earliest, localLoadReadyAt(engine, declared, input));
    }
  }
  return earliest;
}

function localLoadReadyAt(
  engine: EngineView,
  declared: ServiceModel,
  {now}: ReadinessForecastInput,
): Instant {
  const loadMilliseconds =
    declared.loadMilliseconds[engine.nearestWeightTier(declared.name)];
  return after(
    now,
    loadMilliseconds + (engine.canPlanChange ? 0 : EVICTION_WAIT_MILLISECONDS),
  );
}
