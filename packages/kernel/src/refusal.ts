/** Final answers that are not the endpoint's own, each with a truthful outcome. */

import {ErrorCode, SiskinmuxError} from './errors.js';
import {Outcome} from './outcome.js';
import type {Instant} from './time.js';

/** A request was refused or its outcome is not known. */
export class RefusalError extends SiskinmuxError {
  constructor(
    code: ErrorCode,
    detail: string,
    /** What is true of the request's effect. */
    readonly outcome: Outcome,
    /** When sending it again makes sense. */
    readonly retryAt?: Instant,
    options?: ErrorOptions,
  ) {
    super(code, detail, options);
  }
}

/** A refusal of something that certainly did not run. */
export function createNotRunRefusal(
  code: ErrorCode,
  detail: string,
  retryAt?: Instant,
): RefusalError {
  return new RefusalError(code, detail, Outcome.NotRun, retryAt);
}

/** An answer for something that may have run. */
export function createUnknownOutcomeRefusal(detail: string, cause?: unknown): RefusalError {
  return new RefusalError(
    ErrorCode.OutcomeUnknown,
    detail,
    Outcome.Unknown,
    undefined,
    {cause},
  );
}

/** Any failure as a refusal; `outcome` holds for failures that don't say themselves. */
export function toRefusal(failure: unknown, outcome: Outcome): RefusalError {
  if (failure instanceof RefusalError) return failure;
  if (failure instanceof SiskinmuxError) {
    return new RefusalError(failure.code, failure.detail, outcome, undefined, {
      cause: failure,
    });
  }
  throw failure;
}
