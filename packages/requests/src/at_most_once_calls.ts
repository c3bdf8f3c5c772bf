/** Calls that must not be repeated: claimed in the ledger first, and run at most once. */

import type {
  Clock,
  EmitEvent,
  EndpointId,
  IdempotencyKey,
  Instant,
  NodeId,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  Outcome,
  RefusalError,
  SiskinmuxError,
  after,
  createNotRunRefusal,
  createUnknownOutcomeRefusal,
  toRefusal,
  until,
} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import {policyOf} from '@siskinmux/declarations';
import type {
  AttemptId,
  AttemptOutcome,
  ClaimKey,
  ClaimReply,
  ClaimRequest,
  Ledger,
  StoredResponse,
} from '@siskinmux/ledger';
import {claimKeyOf} from '@siskinmux/ledger';
import type {PlainService, ServiceResponse} from '@siskinmux/ports';
import {createDeadlineSignal} from './deadline_signal.js';
import type {Slot} from './endpoint_pool.js';
import {LATE_ANSWER, OUTCOME_UNKNOWN} from './request_events.js';
import type {ServiceCallContext, ServiceReply} from './service_call_context.js';
import type {ServiceDispatcher} from './service_dispatcher.js';
import {provesNotRun} from './service_dispatcher.js';
import type {StartSpan} from './text_requests.js';

/** Maximum size of a response body that is stored for resends. */
const MAXIMUM_STORED_RESPONSE_BYTES = 4_096;

/** How long after the deadline a response is still awaited. */
const LATE_RESPONSE_WINDOW_MILLISECONDS = 30_000;

/** Timeout of the query that asks a service whether a call ran. */
const OUTCOME_QUERY_TIMEOUT_MILLISECONDS = 1_000;

/** Dependencies of {@link AtMostOnceCalls}. */
export interface AtMostOnceCallsOptions {
  readonly clock: Clock;
  readonly node: NodeId;
  readonly declarations: () => Declarations;
  readonly dispatch: ServiceDispatcher;
  readonly ledger: Ledger;
  readonly service: (id: EndpointId) => PlainService;
  readonly createAttemptId: () => AttemptId;
  readonly emit: EmitEvent;
}

/** A granted claim; its attempt may send the call. */
interface GrantedClaim {
  readonly key: ClaimKey;
  readonly attempt: AttemptId;
  readonly expiresAt: Instant;
}

/** Serves calls that must not be repeated. */
export class AtMostOnceCalls {
  private constructor(private readonly options: AtMostOnceCallsOptions) {}

  static create(options: AtMostOnceCallsOptions): AtMostOnceCalls {
    return new AtMostOnceCalls(options);
  }

  /** Resolves with a new or stored response. Throws a `RefusalError` with the outcome. */
  async serve(
    context: ServiceCallContext,
    startSpan: StartSpan,
  ): Promise<ServiceReply> {
    const {request, deadline} = context;
    const {idempotencyKey} = request;
    if (idempotencyKey === undefined) {
      throw createNotRunRefusal(
        ErrorCode.MissingIdempotencyKey,
        context.callName,
      );
    }
    const span = startSpan('claim');
    const claim = this.createClaim(context, idempotencyKey, span.traceparent);
    const reply = await this.claim(claim, deadline).finally(() => span.end());
    if (reply.kind !== 'granted') return replyToResend(reply);
    const granted: GrantedClaim = claim;
    const response = await this.runClaimedCall(context, granted, startSpan);
    return {answer: response, isReplay: false};
  }

  private createClaim(
    context: ServiceCallContext,
    key: IdempotencyKey,
    traceparent: string | undefined,
  ): ClaimRequest {
    const {clock, node, declarations, createAttemptId} = this.options;
    const retentionMilliseconds =
      policyOf(declarations()).claim_retention_milliseconds;
    const {request, deadline} = context;
    return {
      key: claimKeyOf(`${request.service}/${context.callName}`, key),
      fingerprint: request.fingerprint,
      attempt: createAttemptId(),
      node,
      deadline,
      expiresAt: after(
        clock.now(),
        retentionMilliseconds + until(clock.now(), deadline),
      ),
      traceparent,
    };
  }

  private async claim(
    claim: ClaimRequest,
    deadline: Instant,
  ): Promise<ClaimReply> {
    try {
      return await this.options.ledger.claim(claim, deadline);
    } catch (failure) {
      // The claim may have been written nevertheless. The call was not sent and will not
      // be, so a resend may run once the owner has received this report.
      this.reportOutcome(claim, {kind: 'not_run'});
      throw toRefusal(failure, Outcome.NotRun);
    }
  }

  private async runClaimedCall(
    context: ServiceCallContext,
    granted: GrantedClaim,
    startSpan: StartSpan,
  ): Promise<ServiceResponse> {
    for (;;) {
      let slot: Slot;
      try {
        slot = await this.options.dispatch.acquireSlot(context);
        this.throwIfDeadlinePassed(context, slot);
      } catch (failure) {
        this.reportOutcome(granted, {kind: 'not_run'});
        throw toRefusal(failure, Outcome.NotRun);
      }
      try {
        return await this.sendOnce(context, granted, slot, startSpan);
      } catch (failure) {
        if (!provesNotRun(failure)) throw failure;
        try {
          await this.options.dispatch.waitForRetryOrThrow(
            context,
            slot,
            failure,
            Outcome.NotRun,
          );
        } catch (refusal) {
          this.reportOutcome(granted, {kind: 'not_run'});
          throw refusal;
        }
      }
    }
  }

  /** From the deadline on, a resend may get the outcome "unknown": the call must not start. */
  private throwIfDeadlinePassed(context: ServiceCallContext, slot: Slot): void {
    if (this.options.clock.now() < context.deadline) return;
    slot.end('abandoned');
    throw createNotRunRefusal(ErrorCode.DeadlinePassed, '');
  }

  /**
   * Sends a call that must not be sent twice. The caller gets an outcome at the deadline
   * at the latest. The response is awaited for longer, since a late one settles an outcome
   * that would otherwise stay unknown.
   */
  private sendOnce(
    context: ServiceCallContext,
    granted: GrantedClaim,
    slot: Slot,
    startSpan: StartSpan,
  ): Promise<ServiceResponse> {
    const {clock} = this.options;
    const {deadline} = context;
    const responseSignal = createDeadlineSignal(
      clock,
      new AbortController().signal,
      after(deadline, LATE_RESPONSE_WINDOW_MILLISECONDS),
    );
    const call = this.options.dispatch.sendCall(
      context,
      slot,
      startSpan,
      responseSignal.signal,
    );
    const recorded = this.recordOutcome(context, granted, slot, call).finally(
      () => responseSignal.release(),
    );
    return new Promise((resolve, reject) => {
      const cancel = clock.schedule(deadline, () =>
        reject(createUnknownOutcomeRefusal('no answer before the deadline')),
      );
      recorded.then(resolve, reject).finally(cancel);
    });
  }

  /** Waits for the call to end and reports its outcome to the ledger. */
  private async recordOutcome(
    context: ServiceCallContext,
    granted: GrantedClaim,
    slot: Slot,
    call: Promise<ServiceResponse>,
  ): Promise<ServiceResponse> {
    const {clock, emit} = this.options;
    try {
      const response = await call;
      this.reportOutcome(granted, {
        kind: 'answered',
        answer: toStoredResponse(response),
      });
      if (clock.now() > context.deadline) {
        emit(LATE_ANSWER, {service: context.request.service});
      }
      return response;
    } catch (failure) {
      if (provesNotRun(failure)) throw failure;
      slot.end('failed');
      return this.resolveUnknownOutcome(context, granted, failure);
    }
  }

  /** Handles a connection that broke after the call was sent: only the service may know the outcome. */
  private async resolveUnknownOutcome(
    context: ServiceCallContext,
    granted: GrantedClaim,
    failure: unknown,
  ): Promise<ServiceResponse> {
    const {request, declaration} = context;
    this.options.emit(OUTCOME_UNKNOWN, {
      service: request.service,
      call: context.callName,
      request: request.id,
    });
    if (declaration.outcome_query === 'sealing') {
      const report = await this.queryOutcome(context);
      if (report?.kind === 'ran') {
        this.reportOutcome(granted, {
          kind: 'answered',
          answer: toStoredResponse(report.answer),
        });
        return report.answer;
      }
      if (report?.kind === 'sealed') {
        this.reportOutcome(granted, {kind: 'not_run'});
        throw createNotRunRefusal(
          ErrorCode.EndpointUnreachable,
          'settled as not run',
        );
      }
    }
    this.reportOutcome(granted, {kind: 'unknown'});
    throw createUnknownOutcomeRefusal(
      'the connection to the endpoint broke',
      failure,
    );
  }

  private async queryOutcome(context: ServiceCallContext) {
    const {clock, service} = this.options;
    const {idempotencyKey} = context.request;
    if (idempotencyKey === undefined) return undefined;
    for (const {endpoint} of this.options.dispatch.instanceCandidates(
      context,
    )) {
      const deadlineSignal = createDeadlineSignal(
        clock,
        new AbortController().signal,
        after(clock.now(), OUTCOME_QUERY_TIMEOUT_MILLISECONDS),
      );
      try {
        const report = await service(endpoint).queryAndSeal(
          idempotencyKey,
          deadlineSignal.signal,
        );
        if (report.kind !== 'unknown') return report;
      } catch (failure) {
        if (!(failure instanceof SiskinmuxError)) throw failure;
      } finally {
        deadlineSignal.release();
      }
    }
    return undefined;
  }

  private reportOutcome(granted: GrantedClaim, outcome: AttemptOutcome): void {
    const {key, attempt, expiresAt} = granted;
    void this.options.ledger.reportOutcome(key, attempt, outcome, expiresAt);
  }
}

function toStoredResponse(
  response: ServiceResponse,
): StoredResponse | undefined {
  if (Buffer.byteLength(response.body) > MAXIMUM_STORED_RESPONSE_BYTES)
    return undefined;
  const {status, contentType, body} = response;
  return {status, contentType, body};
}

function replyToResend(reply: ClaimReply): ServiceReply {
  switch (reply.kind) {
    case 'answered':
      if (reply.answer !== undefined) {
        return {answer: reply.answer, isReplay: true};
      }
      throw new RefusalError(ErrorCode.AnswerNotKept, '', Outcome.Unknown);
    case 'key_reused':
      throw createNotRunRefusal(ErrorCode.IdempotencyKeyReused, '');
    case 'too_late':
      throw createNotRunRefusal(ErrorCode.DeadlinePassed, '');
    default:
      throw createUnknownOutcomeRefusal(
        'an earlier request with this key has no known end',
      );
  }
}
