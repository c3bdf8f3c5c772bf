/** Counts events by their times. */

import type {Instant} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** The most events in any window of the given length. */
export function mostInWindow(
  times: readonly Instant[],
  windowMilliseconds: number,
): number {
  let most = 0;
  let first = 0;
  for (const [last, time] of times.entries()) {
    while (after(times[first]!, windowMilliseconds) <= time) first += 1;
    most = Math.max(most, last - first + 1);
  }
  return most;
}
