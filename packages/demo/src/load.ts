/** Generates a steady mix of requests, limited in number. */

import type {Clock} from '@siskinmux/kernel';
import {sleepFor} from '@siskinmux/kernel';
import type {CallerResult, DemoCaller, DemoOutcome} from './caller.js';

/** Pause of a caller between two requests. */
const REQUEST_PAUSE_MILLISECONDS = 20;

/** Limit on the requests of one caller. */
const MAXIMUM_REQUESTS_PER_CALLER = 2_000;

/** Length of each requested text. */
const TOKENS_PER_TEXT = 8;

/** Load that runs until {@link RunningLoad.end} is called. */
export interface RunningLoad {
  /** Stops the load; resolves with the results of all requests once they have finished. */
  end(): Promise<readonly CallerResult[]>;
}

/** Starts callers that alternate between coupon and text requests. */
export function startLoad(options: {
  clock: Clock;
  caller: DemoCaller;
  callers: number;
  model: string;
}): RunningLoad {
  const {clock, caller, callers, model} = options;
  const results: CallerResult[] = [];
  let isEnding = false;
  const runCaller = async (): Promise<void> => {
    for (
      let sent = 0;
      sent < MAXIMUM_REQUESTS_PER_CALLER && !isEnding;
      sent += 1
    ) {
      results.push(
        sent % 2 === 0
          ? await caller.coupon()
          : await caller.text(model, TOKENS_PER_TEXT),
      );
      await sleepFor(clock, REQUEST_PAUSE_MILLISECONDS);
    }
  };
  const finished = Promise.all(Array.from({length: callers}, runCaller));
  return {
    end: async () => {
      isEnding = true;
      await finished;
      return results;
    },
  };
}

/** Counts results by outcome. */
export function countOutcomes(
  results: readonly CallerResult[],
): Record<DemoOutcome, number> {
  const counts = {answered: 0, refused: 0, unknown: 0, wrong: 0, dropped: 0};
  for (const {outcome} of results) counts[outcome] += 1;
  return counts;
}
