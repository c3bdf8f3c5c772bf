/** Port to one instance of a plain service. */

import type {IdempotencyKey, Instant, RequestId} from '@siskinmux/kernel';

/** A call as a plain service takes it. */
export interface ServiceCall {
  readonly requestId: RequestId;
  readonly method: string;
  /** Path below the service's root, with the query. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string;
  readonly idempotencyKey: IdempotencyKey | undefined;
  readonly deadline: Instant;
  readonly traceparent: string | undefined;
}

/** A whole answer of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** What a service says about a call that it was asked about. */
export type RunReport =
  | {readonly kind: 'ran'; readonly answer: ServiceResponse}
  /** It did not run, and the service will refuse it from now on. */
  | {readonly kind: 'sealed'}
  | {readonly kind: 'unknown'};

/** One instance of a plain service as the system uses it. */
export interface PlainService {
  /**
   * Runs a call. Throws `EndpointUnreachableError` and `EndpointBusyError` (not
   * run), and `AnswerCutError` when the outcome is unknown.
   */
  call(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse>;
  /** Asks whether a call ran and forbids it from running later, for services that declare it. */
  queryAndSeal(key: IdempotencyKey, signal: AbortSignal): Promise<RunReport>;
}
