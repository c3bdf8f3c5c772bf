/** Final answers that are not the endpoint's own, each with a truthful outcome. */

import type {Instant} from '@siskinmux/kernel';
import {ErrorCode, Outcome, SiskinmuxError} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';

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
export function refuseNotRun(
  code: ErrorCode,
  detail: string,
  retryAt?: Instant,
): RefusalError {
  return new RefusalError(code, detail, Outcome.NotRun, retryAt);
}

/** A refusal of a name that is not declared, or of any while nothing is known yet. */
export function refuseUnknownTarget(
  declarations: Declarations,
  requested: string,
): RefusalError {
  const isEmpty = Object.keys(declarations.endpoints).length === 0;
  // A node that has not read the configuration can't say that a name is unknown.
  return refuseNotRun(
    isEmpty ? ErrorCode.ConfigurationUnavailable : ErrorCode.UnknownTarget,
    requested,
  );
}

/** An answer for something that may have run. */
export function refuseUnknown(detail: string, cause?: unknown): RefusalError {
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
