/** Decides whether a request is sent to a second endpoint while a first one is silent. */

import type {Instant} from '@siskinmux/kernel';
import type {RetryBudget} from '@siskinmux/routing';
import type {RequestProgress} from './retry_decision.js';
import {MAXIMUM_SENDS, allowsAnotherRun} from './retry_decision.js';

/**
 * `send`, or why not: its route, deadline, sends, or what the caller has got rule it out; another
 * run goes on; no other endpoint could begin it now; or the retry budget is empty.
 */
export type SecondRunDecision =
  'send' | 'not_allowed' | 'other_run' | 'no_alternative' | 'over_budget';

/** What is known about a request whose endpoint is silent. */
export interface SecondRunInput {
  readonly progress: RequestProgress;
  readonly now: Instant;
  /** Whether the response of another endpoint could still be passed on. */
  readonly isContinuable: boolean;
  /** Whether the request may run at one endpoint at a time only. */
  readonly isOnProbation: boolean;
  /** Whether another endpoint serves the request, too, and isn't silent. */
  readonly hasOtherRun: boolean;
  readonly hasAlternative: () => boolean;
  /** Charged if the request is sent. */
  readonly budget: RetryBudget;
}

/** Decides about a second run and charges it to the retry budget. */
export function decideSecondRun({
  progress,
  now,
  isContinuable,
  isOnProbation,
  hasOtherRun,
  hasAlternative,
  budget,
}: SecondRunInput): SecondRunDecision {
  const {sends, deadline} = progress;
  if (
    !allowsAnotherRun(progress) ||
    !isContinuable ||
    isOnProbation ||
    sends >= MAXIMUM_SENDS ||
    now >= deadline
  )
    return 'not_allowed';
  if (hasOtherRun) return 'other_run';
  if (!hasAlternative()) return 'no_alternative';
  return budget.tryAcquireRetry() ? 'send' : 'over_budget';
}
