/** Refusals as callers see them: RFC 9457 problem details, and when to come back. */

import type {Instant, RefusalError, RequestId} from '@siskinmux/kernel';
import {ERROR_MESSAGES, ErrorCode, Outcome} from '@siskinmux/kernel';

/** A whole answer. */
export interface RefusalResponse {
  readonly status: number;
  readonly headers: string[];
  readonly body: Buffer;
}

/** 503 promises that the request has not run and will not; 504 promises nothing. */
const NOT_RUN = 503;
const UNKNOWN = 504;

const CALLER_MISTAKES: Partial<Record<ErrorCode, number>> = {
  [ErrorCode.UnknownTarget]: 404,
  [ErrorCode.BodyTooLarge]: 413,
  [ErrorCode.InvalidRequest]: 400,
};

/** The answer that a refusal amounts to. */
export function refusalResponse(
  refusal: RefusalError,
  id: RequestId,
  now: Instant,
): RefusalResponse {
  const status =
    CALLER_MISTAKES[refusal.code] ??
    (refusal.outcome === Outcome.NotRun ? NOT_RUN : UNKNOWN);
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
  if (status === NOT_RUN && refusal.retryAt !== undefined) {
    const seconds = Math.max(0, refusal.retryAt - now) / 1_000;
    headers.push('Retry-After', seconds.toFixed(3));
  }
  return {status, headers, body};
}
