/** Port to one instance of a plain service. */

import type {IdempotencyKey, Instant, RequestId} from '@siskinmux/kernel';

/** A call to a plain service. */
export interface ServiceCall {
  readonly requestId: RequestId;
  readonly method: string;
  /** Path relative to the root of the service, with the query string. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string;
  readonly idempotencyKey: IdempotencyKey | undefined;
  readonly deadline: Instant;
  readonly traceparent: string | undefined;
}

/** A complete response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Reply of a service to {@link PlainService.queryAndSeal}. */
export type ExecutionReport =
  | {readonly kind: 'ran'; readonly answer: ServiceResponse}
  /** The call did not run, and the service rejects it from now on. */
  | {readonly kind: 'sealed'}
  /** The service can't tell whether the call ran. */
  | {readonly kind: 'unknown'};

/** Client of one instance of a plain service. */
export interface PlainService {
  /**
   * Runs a call. Throws `EndpointUnreachableError` and `EndpointBusyError` (not
   * run), and `AnswerCutError` when the outcome is unknown.
   */
  call(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse>;
  /**
   * Queries whether a call ran, and if not, prevents it from running later. Only for
   * services that declare support for it.
   */
  queryAndSeal(
    key: IdempotencyKey,
    signal: AbortSignal,
  ): Promise<ExecutionReport>;
}
