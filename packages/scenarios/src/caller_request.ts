/** Requests as their callers see them: the attempts of each and how these ended. */

import type {Instant, RequestId} from '@siskinmux/kernel';

/** Outcome of an attempt as its caller sees it. */
export type CallerOutcome =
  /** Complete and correct response. */
  | 'answered'
  /** Refused, with the statement that the request did not run. */
  | 'refused'
  /** Ran and ended in a reported failure. */
  | 'failed'
  /** Reported failure of a request that may or may not have run. */
  | 'unknown'
  /** The connection closed before the response was complete, as when a node dies. */
  | 'broken'
  /** Response that is incomplete or belongs to another request. */
  | 'wrong'
  /** No response yet. */
  | 'open';

/** One attempt of a request, sent to one node. */
export interface CallerAttempt {
  readonly id: RequestId;
  readonly node: string;
  readonly sentAt: Instant;
  readonly deadline: Instant;
  endedAt: Instant | undefined;
  end: CallerOutcome;
  /** Error code and detail of a refusal or reported failure; empty otherwise. */
  detail: string;
  /** The node was paused or killed before the attempt ended. */
  isNodeInterrupted: boolean;
  /** A graceful stop of the node began before the attempt ended. */
  isNodeStopping: boolean;
}

/** A request with all its attempts. */
export interface CallerRequest {
  readonly kind: 'text' | 'call';
  /** Model, or service and path, for reports of violations. */
  readonly label: string;
  /** Idempotency key of a call that must run at most once. */
  readonly key: string | undefined;
  readonly attempts: CallerAttempt[];
}

/** Outcome of the last attempt. */
export function finalOutcome(request: CallerRequest): CallerOutcome {
  return request.attempts.at(-1)?.end ?? 'open';
}

/** Number of requests by outcome. */
export type OutcomeCounts = Record<CallerOutcome, number>;

/** Returns a count of zero for every outcome. */
export function createOutcomeCounts(): OutcomeCounts {
  return {
    answered: 0,
    refused: 0,
    failed: 0,
    unknown: 0,
    broken: 0,
    wrong: 0,
    open: 0,
  };
}
