/** Time and chance of the machine. The only place that reads either. */

import type {Clock, Instant, Random} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';

/** Longest wait that a timer of the runtime can be set to. */
const LONGEST_TIMER_MILLISECONDS = 2 ** 31 - 1;

/** The machine's clock. */
export const systemClock: Clock = {
  now: () => as<Instant>(Date.now()),
  schedule: (at, callback) => {
    const wait = Math.max(0, at - Date.now());
    const timer = setTimeout(
      callback,
      Math.min(wait, LONGEST_TIMER_MILLISECONDS),
    );
    return () => clearTimeout(timer);
  },
};

/** The machine's chance. */
export const systemRandom: Random = () => Math.random();
