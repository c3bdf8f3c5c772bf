/** Decides whether a request is sent again after a failed send. */

import type {Instant} from '@siskinmux/kernel';
import type {Route} from '@siskinmux/routes';
import {isRetryable} from '@siskinmux/routes';
import type {RetryBudget} from '@siskinmux/routing';
import type {AttemptResult} from './attempt_result.js';

/** Maximum sends per request, including those that no endpoint ran. */
export const MAXIMUM_SENDS = 4;

/**
 * Whether and why a failed request is sent again: without a charge to the retry budget or
 * with one; or not, because another endpoint still serves it, the budget is empty, or its route,
 * deadline or sends rule it out.
 */
export type RetryDecision =
  'free' | 'charged' | 'other_run' | 'over_budget' | 'not_allowed';

/** What a request has used so far. */
export interface RequestProgress {
  readonly route: Route;
  readonly deadline: Instant;
  readonly sends: number;
  /** Sends that an endpoint ran, may have run or may run now. */
  readonly runs: number;
}

/** Whether the route lets a request that may have run be sent to one more endpoint. */
export function allowsAnotherRun({route, runs}: RequestProgress): boolean {
  return isRetryable(route) && runs < route.maximumRuns;
}

/** Decides about a retry and charges it to the budget. */
export function decideRetry(
  result: AttemptResult,
  progress: RequestProgress,
  budget: RetryBudget,
  now: Instant,
): RetryDecision {
  if (progress.sends >= MAXIMUM_SENDS || now >= progress.deadline)
    return 'not_allowed';
  if (result.kind === 'stream_broken' && !result.canResume)
    return 'not_allowed';
  if (result.kind === 'not_run') {
    // Retrying a request that was never sent costs no retry budget.
    if (!result.isSent) return 'free';
  } else if (!allowsAnotherRun(progress)) {
    return 'not_allowed';
  }
  return budget.tryAcquireRetry() ? 'charged' : 'over_budget';
}
