/** Waits that leave out the time for which this process was paused. */

import type {CancelTimer, Clock, Instant, Milliseconds} from './time.js';
import {after, until} from './time.js';

/** Interval at which such a wait checks that this process still runs. */
const CHECK_MILLISECONDS: Milliseconds = 25;

/** Most that one interval counts for; the rest of it was a pause. */
const MAXIMUM_COUNTED_MILLISECONDS: Milliseconds = 2 * CHECK_MILLISECONDS;

/**
 * Calls back at `at`, later by the time for which this process was paused until then. A process
 * that judges others by their silence has to be awake to hear them.
 */
export function scheduleWhileAwake(
  clock: Clock,
  at: Instant,
  callback: () => void,
): CancelTimer {
  let remaining = until(clock.now(), at);
  let cancel: CancelTimer = () => {};
  const wait = (): void => {
    const startedAt = clock.now();
    const delay = Math.max(0, Math.min(remaining, CHECK_MILLISECONDS));
    cancel = clock.schedule(after(startedAt, delay), () => {
      const waited = until(startedAt, clock.now());
      remaining -= Math.min(waited, MAXIMUM_COUNTED_MILLISECONDS);
      if (remaining > 0) wait();
      else callback();
    });
  };
  wait();
  return () => cancel();
}
