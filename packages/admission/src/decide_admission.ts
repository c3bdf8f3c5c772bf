/** Decides on arrival whether a request can be answered before its deadline. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';

/**
 * Minimum retry delay that a refusal on arrival suggests to its caller. The dispatcher of
 * the requests package has its own for a full queue and for requests refused while queued.
 */
const MINIMUM_RETRY_DELAY_MILLISECONDS: Milliseconds = 100;

/** State from which the completion time of a request is estimated. */
export interface AdmissionInput {
  readonly now: Instant;
  readonly deadline: Instant;
  /** Queued requests that are served before this one. */
  readonly requestsAhead: number;
  /** Requests that the target's endpoints run concurrently; 0 while none is ready. */
  readonly capacity: number;
  /** Measured mean time that an endpoint takes for one request. */
  readonly meanServiceMilliseconds: Milliseconds;
  /** Upper estimate of the same time, which few requests exceed. */
  readonly upperServiceMilliseconds: Milliseconds;
  /** Measured mean interval between two requests that leave the queue. */
  readonly departureIntervalMilliseconds: Milliseconds | undefined;
  /** When the first endpoint is expected to be ready; undefined if unknown. */
  readonly readyAt: Instant | undefined;
}

/** Outcome of {@link decideAdmission}. */
export type AdmissionDecision =
  /** The request may wait; one that has not started by `refuseAt` is refused. */
  | {readonly kind: 'admit'; readonly refuseAt: Instant}
  /** It would be late; an equal request sent at `retryAt` is expected to be in time. */
  | {readonly kind: 'refuse'; readonly retryAt: Instant};

/**
 * Admits a request that is expected to be answered in time and refuses any other at
 * once.
 */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const {now, deadline, upperServiceMilliseconds} = input;
  const startsAt = after(firstStartAt(input), queueMilliseconds(input));
  const completesAt = after(startsAt, upperServiceMilliseconds);
  if (completesAt <= deadline) {
    return {
      kind: 'admit',
      refuseAt: after(deadline, -upperServiceMilliseconds),
    };
  }
  const lateBy = until(deadline, completesAt);
  return {
    kind: 'refuse',
    retryAt: after(now, Math.max(lateBy, MINIMUM_RETRY_DELAY_MILLISECONDS)),
  };
}

function firstStartAt(input: AdmissionInput): Instant {
  const {now, readyAt, capacity} = input;
  if (capacity > 0 || readyAt === undefined || readyAt < now) return now;
  return readyAt;
}

/**
 * Other nodes use the same endpoints, so a measured departure interval longer than the
 * one that the capacity implies takes precedence.
 */
function queueMilliseconds(input: AdmissionInput): Milliseconds {
  const {
    requestsAhead,
    departureIntervalMilliseconds,
    meanServiceMilliseconds,
    capacity,
  } = input;
  const interval = meanServiceMilliseconds / Math.max(1, capacity);
  return requestsAhead * Math.max(interval, departureIntervalMilliseconds ?? 0);
}
