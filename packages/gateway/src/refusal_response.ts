/** Encodes refusals for callers: RFC 9457 problem details with `Retry-After`. */

import type {Instant, RefusalError, RequestId} from '@siskinmux/kernel';
import {ERROR_MESSAGES, ErrorCode, Outcome} from '@siskinmux/kernel';

/** A complete HTTP response. */
export interface RefusalResponse {
  readonly status: number;
  readonly headers: string[];
  readonly body: Buffer;
}

const NOT_RUN_STATUS = 503;
/** Leaves open whether the request has run. */
const UNKNOWN_STATUS = 504;

const QUOTA_STATUS = 429;
const HEAD_TIMEOUT_STATUS = 408;
const MISDIRECTED_STATUS = 421;

const CALLER_ERROR_STATUSES: Partial<Record<ErrorCode, number>> = {
  [ErrorCode.UnknownTarget]: 404,
  [ErrorCode.Unauthenticated]: 401,
  [ErrorCode.QuotaExceeded]: QUOTA_STATUS,
  [ErrorCode.BodyTooLarge]: 413,
  [ErrorCode.HeadTooLarge]: 431,
  [ErrorCode.HeadTimeout]: HEAD_TIMEOUT_STATUS,
  [ErrorCode.InvalidRequest]: 400,
};

/** Statuses by which callers know that the request has not run and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  NOT_RUN_STATUS,
  QUOTA_STATUS,
  HEAD_TIMEOUT_STATUS,
  MISDIRECTED_STATUS,
]);

/** Whether callers take a request that is answered with this status for not run. */
export function statesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** HTTP status of a refusal. */
export function refusalStatus({code, outcome}: RefusalError): number {
  return (
    CALLER_ERROR_STATUSES[code] ??
    (outcome === Outcome.NotRun ? NOT_RUN_STATUS : UNKNOWN_STATUS)
  );
}

/** Whether a response with this status says when the request may return. */
export function mayReturnAfter(status: number): boolean {
  return status === NOT_RUN_STATUS || status === QUOTA_STATUS;
}

/** Builds the HTTP response for a refusal. */
export function refusalResponse(
  refusal: RefusalError,
  id: RequestId,
  now: Instant,
): RefusalResponse {
  const status = refusalStatus(refusal);
  const body = Buffer.from(
    JSON.stringify({
      type: `urn:siskinmux:problem:${refusal.code}`,
      title: ERROR_MESSAGES[refusal.code],
      status,
      detail: refusal.detail,
      outcome: refusal.outcome,
      request: id,
    }),
  );
  const headers = [
    'Content-Type',
    'application/problem+json',
    'Content-Length',
    String(body.length),
  ];
  if (mayReturnAfter(status) && refusal.retryAt !== undefined) {
    const seconds = Math.max(0, refusal.retryAt - now) / 1_000;
    headers.push('Retry-After', seconds.toFixed(3));
  }
  return {status, headers, body};
}
