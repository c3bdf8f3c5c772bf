/** Monotonic clock: unaffected by adjustments of the system time. */

import {performance} from 'node:perf_hooks';
import type {Clock, Instant} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {scheduleAfterInput} from './schedule_after_input.js';

/** Unix time at which `performance.now()` was 0, so that instants resemble Unix times. */
const TIME_ORIGIN = Date.now() - performance.now();

/** Schedules by elapsed time, so a step of the system time moves no deadline. */
export const steadyClock: Clock = {
  now: () => as<Instant>(TIME_ORIGIN + performance.now()),
  schedule: (at, callback) => {
    const delay = Math.max(0, at - (TIME_ORIGIN + performance.now()));
    return scheduleAfterInput(delay, callback);
  },
};

/** Reads both clocks. Only the time of day advances while the host is suspended. */
export function readClocks(): {steady: Instant; timeOfDay: Instant} {
  return {steady: steadyClock.now(), timeOfDay: as<Instant>(Date.now())};
}
