/** Arrivals like the users': mostly idle models, bursts, a campaign or a storm front. */

import type {Random} from '@siskinmux/kernel';

const HOUR_MILLISECONDS = 3_600_000;
const MINUTE_MILLISECONDS = 60_000;

/** Share of the models that wake within an hour. */
const WAKING_SHARE = 0.26;

/** Requests of one session, and the mean gap between them. */
const MEAN_SESSION_REQUESTS = 8;
const MEAN_GAP_MILLISECONDS = 25_000;

/** One model of a workload. */
export interface WorkloadModel {
  readonly name: string;
  readonly memoryGib: number;
}

/** One user's deployment and arrivals. */
export interface Workload {
  readonly name: string;
  readonly models: readonly WorkloadModel[];
  readonly engines: number;
  readonly engineGib: number;
  readonly loadMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly hours: number;
  readonly coldStartWeight: number;
  readonly idleHourWeight: number;
  /** Instants and models, in order of time. */
  readonly arrivals: readonly Arrival[];
}

/** One request. */
export interface Arrival {
  readonly at: number;
  readonly model: string;
}

/** Offers, summaries and tags; a campaign wakes all offers for an hour. */
export function createBrindlecoteWorkload(random: Random, hours: number): Workload {
  const models = [
    ...family('offers', 12, 8),
    ...family('summary', 6, 16),
    ...family('tags', 12, 4),
  ];
  const arrivals = models.flatMap(model => sessions(random, model, hours));
  for (const model of models.slice(0, 12)) {
    arrivals.push(
      ...steady(
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
    engineGib: 24,
    loadMilliseconds: 1_600,
    deadlineMilliseconds: 20_000,
    hours,
    coldStartWeight: 1,
    idleHourWeight: 1,
    arrivals: ordered(arrivals),
  };
}

/** Warnings, bulletins and reports; a storm wakes all warnings within a minute. */
export function petirWaspada(random: Random, hours: number): Workload {
  const models = [
    ...family('warning', 16, 6),
    ...family('bulletin', 14, 10),
    ...family('report', 10, 16),
  ];
  const arrivals = models.flatMap(model => sessions(random, model, hours));
  for (const model of models.slice(0, 16)) {
    const begin = HOUR_MILLISECONDS + random() * MINUTE_MILLISECONDS;
    arrivals.push(
      ...steady(random, model, begin, HOUR_MILLISECONDS / 2, 15_000),
    );
  }
  return {
    name: 'petir_waspada',
    models,
    engines: 13,
    engineGib: 40,
    loadMilliseconds: 800,
    deadlineMilliseconds: 8_000,
    hours,
    coldStartWeight: 4,
    idleHourWeight: 1,
    arrivals: ordered(arrivals),
  };
}

function family(
  name: string,
  count: number,
  memoryGib: number,
): WorkloadModel[] {
  return Array.from({length: count}, (_, index) => ({
    name: `${name}-${index + 1}`,
    memoryGib,
  }));
}

/** Sessions that begin as often as the waking share says. */
function sessions(
  random: Random,
  model: WorkloadModel,
  hours: number,
): Arrival[] {
  const arrivals: Arrival[] = [];
  const end = hours * HOUR_MILLISECONDS;
  const mean = HOUR_MILLISECONDS / WAKING_SHARE;
  for (let at = exponential(random, mean); at < end;) {
    const count = 1 + Math.floor(exponential(random, MEAN_SESSION_REQUESTS));
    for (let request = 0; request < count && at < end; request += 1) {
      arrivals.push({at, model: model.name});
      at += exponential(random, MEAN_GAP_MILLISECONDS);
    }
    at += exponential(random, mean);
  }
  return arrivals;
}

function steady(
  random: Random,
  model: WorkloadModel,
  begin: number,
  length: number,
  mean: number,
): Arrival[] {
  const arrivals: Arrival[] = [];
  for (
    let at = begin + exponential(random, mean);
    at < begin + length;
    at += exponential(random, mean)
  ) {
    arrivals.push({at, model: model.name});
  }
  return arrivals;
}

function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

function ordered(arrivals: Arrival[]): Arrival[] {
  return arrivals.sort((left, right) => left.at - right.at);
}
