/** Decides at arrival whether a request can be answered before its deadline. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';

/** Least pause that a refusal asks for. */
const LEAST_RETRY_MILLISECONDS: Milliseconds = 100;

/** What is known of a request's chances. */
export interface AdmissionInput {
  readonly now: Instant;
  readonly deadline: Instant;
  /** Requests that will be served before this one. */
  readonly requestsAhead: number;
  /** Requests that its endpoints run at once; 0 while none is ready. */
  readonly capacity: number;
  /** Measured mean time of one request at an endpoint. */
  readonly meanServiceMilliseconds: Milliseconds;
  /** Time at an endpoint that few requests exceed. */
  readonly upperServiceMilliseconds: Milliseconds;
  /** Measured time between two requests that leave the queue. */
  readonly drainIntervalMilliseconds: Milliseconds | undefined;
  /** When the first endpoint is ready, as far as that is known. */
  readonly readyAt: Instant | undefined;
}

/** What comes of it. */
export type AdmissionDecision =
  /** Worth waiting, until `refuseAt`. */
  | {readonly kind: 'admit'; readonly refuseAt: Instant}
  /** It can't make it; a request sent at `retryAt` could. */
  | {readonly kind: 'refuse'; readonly retryAt: Instant};

/** Admits what is expected to be answered in time and refuses the rest at once. */
export function decideAdmission(facts: AdmissionInput): AdmissionDecision {
  const {now, deadline, upperServiceMilliseconds: cautiousServiceTime} = facts;
  const startsAt = after(firstStart(facts), queueTime(facts));
  const answeredAt = after(startsAt, cautiousServiceTime);
  if (answeredAt <= deadline) {
    return {kind: 'admit', refuseAt: after(deadline, -cautiousServiceTime)};
  }
  const lateBy = until(deadline, answeredAt);
  return {
    kind: 'refuse',
    retryAt: after(now, Math.max(lateBy, LEAST_RETRY_MILLISECONDS)),
  };
}

function firstStart(facts: AdmissionInput): Instant {
  const {now, readyAt, capacity} = facts;
  if (capacity > 0 || readyAt === undefined || readyAt < now) return now;
  return readyAt;
}

/** Other nodes use the same endpoints, so what was measured counts before what is allowed. */
function queueTime(facts: AdmissionInput): Milliseconds {
  const {requestsAhead: ahead, drainIntervalMilliseconds: drainInterval, meanServiceMilliseconds: serviceTime, capacity} = facts;
  const allowed = serviceTime / Math.max(1, capacity);
  return ahead * Math.max(allowed, drainInterval ?? 0);
}
