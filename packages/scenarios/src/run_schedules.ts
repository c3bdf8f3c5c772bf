/** Runs random fault schedules and counts what the invariants find. */

import fc from 'fast-check';
import type {CallerEnd} from './caller_record.js';
import {noEnds} from './caller_record.js';
import {randomScenario} from './random_scenario.js';
import {runScenario} from './run_scenario.js';
import type {Scenario} from './scenario_file.js';

/** What many schedules came to. */
export interface ScheduleReport {
  readonly runs: number;
  readonly ends: Readonly<Record<CallerEnd, number>>;
  /** The first schedule that broke an invariant. */
  readonly counterexample: string | undefined;
}

/** Runs `runs` schedules from `seed`; stops at the first that breaks an invariant. */
export async function runSchedules(options: {
  base: Scenario;
  runs: number;
  seed: number;
}): Promise<ScheduleReport> {
  const ends = noEnds();
  let failures: readonly string[] = [];
  const property = fc.asyncProperty(
    randomScenario(options.base),
    async scenario => {
      const result = await runScenario(scenario);
      for (const [end, count] of Object.entries(result.outcomeCounts)) {
        ends[end as CallerEnd] += count;
      }
      if (result.failures.length > 0) failures = result.failures;
      return result.failures.length === 0;
    },
  );
  const details = await fc.check(property, {
    numRuns: options.runs,
    seed: options.seed,
    // Making a schedule smaller takes hundreds of runs; its seed and path bring it back.
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
