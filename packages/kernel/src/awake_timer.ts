/** Waits that leave out the time for which this process was paused. */

import type {CancelTimer, Clock, Instant} from './time.js';
import {after, until} from './time.js';

/** Parts of a wait, each of which ends with a turn of the event loop. */
const PARTS = 8;

/** Most that a part counts for, relative to its length; the rest of it was a pause. */
const MAXIMUM_COUNTED_RATIO = 1.25;

/**
 * Calls back at `at`, later by the time for which this process was paused until then. A process
 * that judges others by their silence has to be awake to hear them.
 */
export function scheduleWhileAwake(
  clock: Clock,
  at: Instant,
  callback: () => void,
): CancelTimer {
  let remaining = Math.max(0, until(clock.now(), at));
  const part = remaining / PARTS;
  let cancel: CancelTimer = () => {};
  const wait = (): void => {
    const startedAt = clock.now();
    const end = after(startedAt, Math.min(remaining, part));
    cancel = clock.schedule(end, () => {
      const waited = until(startedAt, clock.now());
      remaining -= Math.min(waited, part * MAXIMUM_COUNTED_RATIO);
      if (remaining > 0) wait();
      else callback();
    });
  };
  wait();
  return () => cancel();
}
