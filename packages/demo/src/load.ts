/** A steady mix of requests, bounded in number. */

import type {Clock} from '@siskinmux/kernel';
import {sleepFor} from '@siskinmux/kernel';
import type {CallerOutcome, CallerResult, DemoCaller} from './caller.js';

/** Pause between two requests of one caller. */
const THINK_MILLISECONDS = 20;

/** Most requests of one caller. */
const MOST_REQUESTS = 2_000;

/** Tokens of each text. */
const TOKENS = 8;

/** Load that runs until it is told to end. */
export interface RunningLoad {
  /** Ends the load; resolves with everything that was sent. */
  end(): Promise<readonly CallerResult[]>;
}

/** Starts callers that alternate between text and coupons. */
export function startLoad(options: {
  clock: Clock;
  caller: DemoCaller;
  callers: number;
  model: string;
}): RunningLoad {
  const {clock, caller, callers, model} = options;
  const results: CallerResult[] = [];
  let isEnding = false;
  const run = async (): Promise<void> => {
    for (let sent = 0; sent < MOST_REQUESTS && !isEnding; sent += 1) {
      results.push(
        sent % 2 === 0
          ? await caller.coupon()
          : await caller.text(model, TOKENS),
      );
      await sleepFor(clock, THINK_MILLISECONDS);
    }
  };
  const running = Promise.all(Array.from({length: callers}, run));
  return {
    end: async () => {
      isEnding = true;
      await running;
      return results;
    },
  };
}

/** How many results had each outcome. */
export function countOutcomes(
  results: readonly CallerResult[],
): Record<CallerOutcome, number> {
  const counts = {answered: 0, refused: 0, unknown: 0, wrong: 0, dropped: 0};
  for (const {outcome} of results) counts[outcome] += 1;
  return counts;
}
