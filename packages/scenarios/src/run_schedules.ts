/** Runs random fault schedules until one violates an invariant. */

import fc from 'fast-check';
import type {CallerOutcome} from './caller_request.js';
import {createOutcomeCounts} from './caller_request.js';
import {randomScenario} from './random_scenario.js';
import {runScenario} from './run_scenario.js';
import type {Scenario} from './scenario_file.js';

/** Result of a series of fault schedules, which `scripts/faults.ts` sends between processes. */
export interface ScheduleReport {
  readonly runs: number;
  /** Number of requests by outcome, over all schedules. */
  readonly ends: Readonly<Record<CallerOutcome, number>>;
  /** Description of the first schedule that violated an invariant. */
  readonly counterexample: string | undefined;
}

/** Runs up to `runs` schedules from `seed` and stops at the first violation. */
export async function runSchedules(options: {
  base: Scenario;
  runs: number;
  seed: number;
  /** Whether the object service returns from older copies in each schedule. */
  hasReturns?: boolean;
}): Promise<ScheduleReport> {
  const ends = createOutcomeCounts();
  let failures: readonly string[] = [];
  const property = fc.asyncProperty(
    randomScenario(options.base, options.hasReturns),
    async scenario => {
      const result = await runScenario(scenario);
      for (const [outcome, count] of Object.entries(result.outcomeCounts)) {
        ends[outcome as CallerOutcome] += count;
      }
      if (result.failures.length > 0) failures = result.failures;
      return result.failures.length === 0;
    },
  );
  const details = await fc.check(property, {
    numRuns: options.runs,
    seed: options.seed,
    // Shrinking takes hundreds of runs; the seed and path reproduce the schedule as it is.
    endOnFailure: true,
  });
  const counterexample = details.failed
    ? describeCounterexample(details, failures)
    : undefined;
  return {runs: details.numRuns, ends, counterexample};
}

function describeCounterexample(
  details: fc.RunDetails<[Scenario]>,
  failures: readonly string[],
): string {
  const [scenario] = details.counterexample ?? [];
  const steps = scenario?.steps.filter(step => step.do !== 'load') ?? [];
  return [
    `seed ${details.seed}, path "${details.counterexamplePath}", scenario seed ${scenario?.seed}`,
    ...failures.map(failure => `  ${failure}`),
    ...steps.map(step => `  ${JSON.stringify(step)}`),
  ].join('\n');
}
