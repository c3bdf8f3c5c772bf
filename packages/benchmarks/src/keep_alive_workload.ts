/**
 * Generates arrivals as in the example deployments: mostly idle models, sessions, and a
 * burst from a campaign or a storm.
 */

import type {Random} from '@siskinmux/kernel';

const HOUR_MILLISECONDS = 3_600_000;
const MINUTE_MILLISECONDS = 60_000;

/** Share of the models that start a session within an hour. */
const ACTIVE_MODEL_SHARE = 0.26;

/** Mean number of requests in a session, and the mean gap between them. */
const MEAN_SESSION_REQUESTS = 8;
const MEAN_GAP_MILLISECONDS = 25_000;

/** One model of a workload. */
export interface WorkloadModel {
  readonly name: string;
  readonly memoryGib: number;
}

/** A deployment with its arrivals. */
export interface Workload {
  readonly name: string;
  readonly models: readonly WorkloadModel[];
  readonly engines: number;
  readonly engineMemoryGib: number;
  readonly loadMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly hours: number;
  readonly coldStartWeight: number;
  readonly idleHourWeight: number;
  /** All requests, ordered by time. */
  readonly arrivals: readonly Arrival[];
}

/** Arrival of one request, in milliseconds since the start. */
export interface Arrival {
  readonly at: number;
  readonly model: string;
}

/** Offers, summaries and tags; a campaign uses all offer models for an hour. */
export function createBrindlecoteWorkload(
  random: Random,
  hours: number,
): Workload {
  const models = [
    ...createModels('offers', 12, 8),
    ...createModels('summary', 6, 16),
    ...createModels('tags', 12, 4),
  ];
  const arrivals = models.flatMap(model =>
    createSessions(random, model, hours),
  );
  for (const model of models.slice(0, 12)) {
    arrivals.push(
      ...createSteadyArrivals(
        random,
        model,
        2 * HOUR_MILLISECONDS,
        HOUR_MILLISECONDS,
        90_000,
      ),
    );
  }
  return {
    name: 'brindlecote',
    models,
    engines: 6,
    engineMemoryGib: 24,
    loadMilliseconds: 1_600,
    deadlineMilliseconds: 20_000,
    hours,
    coldStartWeight: 1,
    idleHourWeight: 1,
    arrivals: sortByTime(arrivals),
  };
}

/**
 * Warnings, bulletins and reports; a storm starts to use all warning models within a
 * minute.
 */
export function createPetirWaspadaWorkload(
  random: Random,
  hours: number,
): Workload {
  const models = [
    ...createModels('warning', 16, 6),
    ...createModels('bulletin', 14, 10),
    ...createModels('report', 10, 16),
  ];
  const arrivals = models.flatMap(model =>
    createSessions(random, model, hours),
  );
  for (const model of models.slice(0, 16)) {
    const startsAt = HOUR_MILLISECONDS + random() * MINUTE_MILLISECONDS;
    arrivals.push(
      ...createSteadyArrivals(
        random,
        model,
        startsAt,
        HOUR_MILLISECONDS / 2,
        15_000,
      ),
    );
  }
  return {
    name: 'petir_waspada',
    models,
    engines: 13,
    engineMemoryGib: 40,
    loadMilliseconds: 800,
    deadlineMilliseconds: 8_000,
    hours,
    coldStartWeight: 4,
    idleHourWeight: 1,
    arrivals: sortByTime(arrivals),
  };
}

function createModels(
  name: string,
  count: number,
  memoryGib: number,
): WorkloadModel[] {
  return Array.from({length: count}, (_, index) => ({
    name: `${name}-${index + 1}`,
    memoryGib,
  }));
}

/**
 * Generates sessions with pauses in between, at the rate that {@link ACTIVE_MODEL_SHARE}
 * sets.
 */
function createSessions(
  random: Random,
  model: WorkloadModel,
  hours: number,
): Arrival[] {
  const arrivals: Arrival[] = [];
  const endsAt = hours * HOUR_MILLISECONDS;
  const meanPauseMilliseconds = HOUR_MILLISECONDS / ACTIVE_MODEL_SHARE;
  for (
    let at = randomExponential(random, meanPauseMilliseconds);
    at < endsAt;
  ) {
    const count =
      1 + Math.floor(randomExponential(random, MEAN_SESSION_REQUESTS));
    for (let request = 0; request < count && at < endsAt; request += 1) {
      arrivals.push({at, model: model.name});
      at += randomExponential(random, MEAN_GAP_MILLISECONDS);
    }
    at += randomExponential(random, meanPauseMilliseconds);
  }
  return arrivals;
}

function createSteadyArrivals(
  random: Random,
  model: WorkloadModel,
  startsAt: number,
  durationMilliseconds: number,
  meanGapMilliseconds: number,
): Arrival[] {
  const arrivals: Arrival[] = [];
  for (
    let at = startsAt + randomExponential(random, meanGapMilliseconds);
    at < startsAt + durationMilliseconds;
    at += randomExponential(random, meanGapMilliseconds)
  ) {
    arrivals.push({at, model: model.name});
  }
  return arrivals;
}

function randomExponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

function sortByTime(arrivals: Arrival[]): Arrival[] {
  return arrivals.sort((left, right) => left.at - right.at);
}
