/** Pause before a request is tried again, with jitter, never past its deadline. */

import type {Clock, Instant, Milliseconds, Random} from '@siskinmux/kernel';
import {after, earlier, jitter, sleepUntil} from '@siskinmux/kernel';

const FIRST_PAUSE_MILLISECONDS: Milliseconds = 10;
const LONGEST_PAUSE_MILLISECONDS: Milliseconds = 500;
const PAUSE_JITTER = 0.5;

/** Waits before try number `retry`, counted from 1. */
export function waitForRetryBackoff(
  clock: Clock,
  random: Random,
  retry: number,
  deadline: Instant,
): Promise<void> {
  const pause = Math.min(
    LONGEST_PAUSE_MILLISECONDS,
    FIRST_PAUSE_MILLISECONDS * 2 ** (retry - 1),
  );
  const at = after(clock.now(), jitter(random, pause, PAUSE_JITTER));
  return sleepUntil(clock, earlier(at, deadline));
}
