/** Converts failures into RFC 9457 problem details for callers and operators. */

import type {Instant} from '@siskinmux/kernel';
import {
  ERROR_MESSAGES,
  ErrorCode,
  Outcome,
  RefusalError,
  SiskinmuxError,
} from '@siskinmux/kernel';

/** Media type of problem details. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

/** JSON body of a problem response. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** Whether the request took effect, as far as this node can guarantee it. */
  readonly outcome: Outcome;
}

/** A problem with its response headers. */
export interface ProblemResponse {
  readonly problem: Problem;
  readonly headers: Readonly<Record<string, string>>;
}

const STATUS: Partial<Record<ErrorCode, number>> = {
  [ErrorCode.InvalidRequest]: 400,
  [ErrorCode.Unauthenticated]: 401,
  [ErrorCode.InvalidDeclaration]: 422,
  [ErrorCode.BodyTooLarge]: 413,
  [ErrorCode.UnknownTarget]: 404,
  [ErrorCode.MissingIdempotencyKey]: 400,
  [ErrorCode.IdempotencyKeyReused]: 422,
  [ErrorCode.DeadlineUnreachable]: 503,
  [ErrorCode.DeadlinePassed]: 504,
  [ErrorCode.QueueFull]: 429,
  [ErrorCode.EndpointFailed]: 502,
  [ErrorCode.AnswerCut]: 502,
  [ErrorCode.OutcomeUnknown]: 504,
  [ErrorCode.AnswerNotKept]: 409,
  [ErrorCode.RequestQuarantined]: 422,
  [ErrorCode.ConfigurationConflict]: 409,
  [ErrorCode.CallerGone]: 499,
};

const DEFAULT_STATUS = 503;

/** Converts a failure. Untyped failures are defects and are rethrown. */
export function toProblem(failure: unknown, now: Instant): ProblemResponse {
  if (!(failure instanceof SiskinmuxError)) throw failure;
  const {code, detail} = failure;
  const outcome =
    failure instanceof RefusalError ? failure.outcome : Outcome.NotRun;
  const status = httpStatusOf(code);
  return {
    problem: {
      type: `urn:siskinmux:problem:${code}`,
      title: ERROR_MESSAGES[code],
      status,
      detail,
      outcome,
    },
    headers: retryHeaders(failure, now),
  };
}

/** HTTP status of an error code. */
export function httpStatusOf(code: ErrorCode): number {
  return STATUS[code] ?? DEFAULT_STATUS;
}

/** `retry-after` has whole seconds, rounded up so that the caller does not retry too early. */
function retryHeaders(
  failure: SiskinmuxError,
  now: Instant,
): Record<string, string> {
  if (!(failure instanceof RefusalError)) return {};
  if (failure.retryAt === undefined) return {};
  const seconds = Math.max(1, Math.ceil((failure.retryAt - now) / 1_000));
  return {'retry-after': String(seconds)};
}
