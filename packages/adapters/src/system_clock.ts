/** System clock and random source. Other code receives both as parameters. */

import type {Clock, Instant, Random} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {scheduleAfterInput} from './schedule_after_input.js';

/** Longest delay that `setTimeout` accepts. */
const MAXIMUM_TIMER_MILLISECONDS = 2 ** 31 - 1;

/** Follows the time of day, including its adjustments. */
export const systemClock: Clock = {
  now: () => as<Instant>(Date.now()),
  schedule: (at, callback) => {
    const delay = Math.max(0, at - Date.now());
    return scheduleAfterInput(
      Math.min(delay, MAXIMUM_TIMER_MILLISECONDS),
      callback,
    );
  },
};

/** Not seeded: every process draws a different sequence. */
export const systemRandom: Random = () => Math.random();
