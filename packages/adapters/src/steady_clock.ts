/** A clock that does not follow steps of the machine's time of day. */

import {performance} from 'node:perf_hooks';
import type {Clock, Instant} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';

/** Instants count from the time of day at the start of the process. */
const ORIGIN = Date.now() - performance.now();

/** The machine's steady clock. */
export const steadyClock: Clock = {
  now: () => as<Instant>(ORIGIN + performance.now()),
  schedule: (at, callback) => {
    const wait = Math.max(0, at - (ORIGIN + performance.now()));
    const timer = setTimeout(callback, wait);
    return () => clearTimeout(timer);
  },
};

/** Both clocks of the machine. A suspended machine's steady clock stands still. */
export function readClocks(): {steady: Instant; timeOfDay: Instant} {
  return {steady: steadyClock.now(), timeOfDay: as<Instant>(Date.now())};
}
