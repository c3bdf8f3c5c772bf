/** Exponential backoff with jitter between attempts, cut off at the request's deadline. */

import type {Clock, Instant, Milliseconds, Random} from '@siskinmux/kernel';
import {after, earlier, jitter, sleepUntil} from '@siskinmux/kernel';

const INITIAL_BACKOFF_MILLISECONDS: Milliseconds = 10;
const MAXIMUM_BACKOFF_MILLISECONDS: Milliseconds = 500;
/** Share by which each backoff is randomized in either direction. */
const BACKOFF_JITTER = 0.5;

/** Waits before the given retry; the first one is 1. */
export function waitForRetryBackoff(
  clock: Clock,
  random: Random,
  retry: number,
  deadline: Instant,
): Promise<void> {
  const backoffMilliseconds = Math.min(
    MAXIMUM_BACKOFF_MILLISECONDS,
    INITIAL_BACKOFF_MILLISECONDS * 2 ** (retry - 1),
  );
  const retryAt = after(
    clock.now(),
    jitter(random, backoffMilliseconds, BACKOFF_JITTER),
  );
  return sleepUntil(clock, earlier(retryAt, deadline));
}
