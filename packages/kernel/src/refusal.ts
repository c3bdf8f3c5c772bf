/** Errors that end a request without an endpoint's response, and state its outcome. */

import {ErrorCode, SiskinmuxError} from './errors.js';
import {Outcome} from './outcome.js';
import type {Instant} from './time.js';

/** A request was refused, failed, or has an unknown outcome. */
export class RefusalError extends SiskinmuxError {
  constructor(
    code: ErrorCode,
    detail: string,
    /** Whether the request took effect. */
    readonly outcome: Outcome,
    /** Earliest time at which a retry is useful; sent to the caller. */
    readonly retryAt?: Instant,
    options?: ErrorOptions,
  ) {
    super(code, detail, options);
  }
}

/** Creates a refusal of a request that certainly did not run. */
export function createNotRunRefusal(
  code: ErrorCode,
  detail: string,
  retryAt?: Instant,
): RefusalError {
  return new RefusalError(code, detail, Outcome.NotRun, retryAt);
}

/** Creates a refusal of a request that may have run. */
export function createUnknownOutcomeRefusal(
  detail: string,
  cause?: unknown,
): RefusalError {
  return new RefusalError(
    ErrorCode.OutcomeUnknown,
    detail,
    Outcome.Unknown,
    undefined,
    {cause},
  );
}

/** Converts a typed failure; `outcome` applies to failures that state none. Rethrows defects. */
export function toRefusal(failure: unknown, outcome: Outcome): RefusalError {
  if (failure instanceof RefusalError) return failure;
  if (failure instanceof SiskinmuxError) {
    return new RefusalError(failure.code, failure.detail, outcome, undefined, {
      cause: failure,
    });
  }
  throw failure;
}
