/** System clock and random source. Other code receives both as parameters. */

import type {Clock, Instant, Random} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';

/** Longest delay that `setTimeout` accepts. */
const MAXIMUM_TIMER_MILLISECONDS = 2 ** 31 - 1;

/** Follows the time of day, including its adjustments. */
export const systemClock: Clock = {
  now: () => as<Instant>(Date.now()),
  schedule: (at, callback) => {
    const delay = Math.max(0, at - Date.now());
    const timer = setTimeout(
      callback,
      Math.min(delay, MAXIMUM_TIMER_MILLISECONDS),
    );
    return () => clearTimeout(timer);
  },
};

/** Not seeded: every process draws a different sequence. */
export const systemRandom: Random = () => Math.random();
