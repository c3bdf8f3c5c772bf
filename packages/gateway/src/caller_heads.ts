/** Limits on the heads of callers' requests, by the configuration in force, and their refusals. */

import {STATUS_CODES} from 'node:http';
import type {HeadLimit, HeadLimits, HeadRules} from '@siskinmux/forwarding';
import type {
  Clock,
  Milliseconds,
  RefusalError,
  RequestId,
} from '@siskinmux/kernel';
import {ErrorCode, after, as, createNotRunRefusal} from '@siskinmux/kernel';
import type {CallerLimits} from '@siskinmux/routes';
import {refusalResponse} from './refusal_response.js';

/** `Retry-After` of a head above a limit that may have been raised. */
const LIMIT_RETRY_AFTER_MILLISECONDS: Milliseconds = 500;

/** What the limits follow from. */
export interface CallerHeadsOptions {
  readonly clock: Clock;
  /** Limits of the configuration in force; undefined before the first one. */
  readonly limits: () => CallerLimits | undefined;
  readonly areLimitsCurrent: () => boolean;
}

/** What the heads of callers' requests are subject to. */
export function callerHeadRules({
  clock,
  limits,
  areLimitsCurrent,
}: CallerHeadsOptions): HeadRules {
  return {
    clock,
    limits: () => headLimitsOf(limits()),
    refuse: limit =>
      encodeRefusal(refusalOf(limit, areLimitsCurrent(), clock), clock),
  };
}

function headLimitsOf(
  limits: CallerLimits | undefined,
): HeadLimits | undefined {
  if (limits === undefined) return undefined;
  const {maximumHeaderBytes, headerTimeoutMilliseconds} = limits;
  return {
    maximumBytes: maximumHeaderBytes,
    timeoutMilliseconds: headerTimeoutMilliseconds,
  };
}

/** A head is refused for its length for good only if the limit is current, as a body is. */
function refusalOf(
  limit: HeadLimit,
  isLimitCurrent: boolean,
  clock: Clock,
): RefusalError {
  if (limit === 'head_time')
    return createNotRunRefusal(ErrorCode.HeadTimeout, '');
  return isLimitCurrent
    ? createNotRunRefusal(ErrorCode.HeadTooLarge, '')
    : createNotRunRefusal(
        ErrorCode.ConfigurationUnavailable,
        '',
        after(clock.now(), LIMIT_RETRY_AFTER_MILLISECONDS),
      );
}

/** The head has not been parsed, so that there is no response object to write to. */
function encodeRefusal(refusal: RefusalError, clock: Clock): Buffer {
  const unknownId = as<RequestId>('');
  const {status, headers, body} = refusalResponse(
    refusal,
    unknownId,
    clock.now(),
  );
  const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status]}`];
  for (let index = 0; index < headers.length; index += 2)
    lines.push(`${headers[index]}: ${headers[index + 1]}`);
  lines.push('Connection: close', '', '');
  return Buffer.concat([Buffer.from(lines.join('\r\n')), body]);
}
