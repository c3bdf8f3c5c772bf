/** Calls that may not be repeated: claimed before they are sent, and sent at most once. */

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
  refuseNotRun,
  refuseUnknown,
  toRefusal,
  until,
} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import {policyOf} from '@siskinmux/declarations';
import type {
  AttemptEnd,
  AttemptId,
  ClaimKey,
  ClaimReply,
  ClaimRequest,
  KeptAnswer,
  Ledger,
} from '@siskinmux/ledger';
import {claimKeyOf} from '@siskinmux/ledger';
import type {PlainService, ServiceAnswer} from '@siskinmux/ports';
import type {Slot} from './endpoint_pool.js';
import {LATE_ANSWER, OUTCOME_UNKNOWN} from './request_events.js';
import {limitWork} from './request_limits.js';
import type {ServiceDispatcher} from './service_dispatch.js';
import {isNotRun} from './service_dispatch.js';
import type {ServiceJourney, ServiceReply} from './service_journey.js';
import type {StartSpan} from './text_requests.js';

/** Largest answer that is kept for resends. */
const KEPT_ANSWER_BYTES = 4_096;

/** How long after its deadline an answer is still listened for. */
const LATE_ANSWER_MILLISECONDS = 30_000;

/** Time to ask whether a call ran. */
const SETTLE_MILLISECONDS = 1_000;

/** What such calls need from their surroundings. */
export interface OnceCallsOptions {
  readonly clock: Clock;
  readonly node: NodeId;
  readonly declarations: () => Declarations;
  readonly dispatch: ServiceDispatcher;
  readonly ledger: Ledger;
  readonly service: (id: EndpointId) => PlainService;
  readonly createAttemptId: () => AttemptId;
  readonly emit: EmitEvent;
}

/** An attempt that holds its key and may dispatch. */
interface GrantedAttempt {
  readonly key: ClaimKey;
  readonly attempt: AttemptId;
  readonly expiresAt: Instant;
}

/** Serves calls that may not be repeated. */
export class OnceCalls {
  private constructor(private readonly options: OnceCallsOptions) {}

  static create(options: OnceCallsOptions): OnceCalls {
    return new OnceCalls(options);
  }

  /** The answer, the one kept from an earlier run, or a true refusal. */
  async serve(
    journey: ServiceJourney,
    startHop: StartSpan,
  ): Promise<ServiceReply> {
    const {request, deadline} = journey;
    const {idempotencyKey} = request;
    if (idempotencyKey === undefined) {
      throw refuseNotRun(ErrorCode.MissingIdempotencyKey, journey.callName);
    }
    const hop = startHop('claim');
    const claim = this.claimOf(journey, idempotencyKey, hop.traceparent);
    const reply = await this.claim(claim, deadline).finally(() => hop.end());
    if (reply.kind !== 'granted') return replyToResend(reply);
    const granted: GrantedAttempt = claim;
    const answer = await this.runGranted(journey, granted, startHop);
    return {answer, isReplay: false};
  }

  private claimOf(
    journey: ServiceJourney,
    key: IdempotencyKey,
    traceparent: string | undefined,
  ): ClaimRequest {
    const {clock, node, declarations, createAttemptId} = this.options;
    const retention = policyOf(declarations()).claim_retention_milliseconds;
    const {request, deadline} = journey;
    return {
      key: claimKeyOf(`${request.service}/${journey.callName}`, key),
      fingerprint: request.fingerprint,
      attempt: createAttemptId(),
      node,
      deadline,
      expiresAt: after(clock.now(), retention + until(clock.now(), deadline)),
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
      // The claim may be written all the same. Nothing was dispatched and nothing
      // will be, so a resend may run once the owner has heard of this end.
      this.report(claim, {kind: 'not_run'});
      throw toRefusal(failure, Outcome.NotRun);
    }
  }

  private async runGranted(
    journey: ServiceJourney,
    granted: GrantedAttempt,
    startHop: StartSpan,
  ): Promise<ServiceAnswer> {
    for (;;) {
      let slot: Slot;
      try {
        slot = await this.options.dispatch.place(journey);
        this.throwIfTooLate(journey, slot);
      } catch (failure) {
        this.report(granted, {kind: 'not_run'});
        throw toRefusal(failure, Outcome.NotRun);
      }
      try {
        return await this.dispatchOnce(journey, granted, slot, startHop);
      } catch (failure) {
        if (!isNotRun(failure)) throw failure;
        try {
          await this.options.dispatch.retryOrThrow(
            journey,
            slot,
            failure,
            Outcome.NotRun,
          );
        } catch (refusal) {
          this.report(granted, {kind: 'not_run'});
          throw refusal;
        }
      }
    }
  }

  /** A resend may be told "unknown" from the deadline on, so nothing starts then. */
  private throwIfTooLate(journey: ServiceJourney, slot: Slot): void {
    if (this.options.clock.now() < journey.deadline) return;
    slot.end('abandoned');
    throw refuseNotRun(ErrorCode.DeadlinePassed, '');
  }

  /**
   * Sends a call that must not be sent twice. The caller gets its final answer at
   * the deadline; the call itself is listened to for longer, since a late answer
   * settles what would otherwise stay unknown.
   */
  private dispatchOnce(
    journey: ServiceJourney,
    granted: GrantedAttempt,
    slot: Slot,
    startHop: StartSpan,
  ): Promise<ServiceAnswer> {
    const {clock} = this.options;
    const {deadline} = journey;
    const listening = limitWork(
      clock,
      new AbortController().signal,
      after(deadline, LATE_ANSWER_MILLISECONDS),
    );
    const running = this.options.dispatch.dispatch(
      journey,
      slot,
      startHop,
      listening.signal,
    );
    const settled = this.settle(journey, granted, slot, running).finally(() =>
      listening.release(),
    );
    return new Promise((resolve, reject) => {
      const cancel = clock.schedule(deadline, () =>
        reject(refuseUnknown('no answer before the deadline')),
      );
      settled.then(resolve, reject).finally(cancel);
    });
  }

  /** Waits for the call's end and has the ledger remember it. */
  private async settle(
    journey: ServiceJourney,
    granted: GrantedAttempt,
    slot: Slot,
    running: Promise<ServiceAnswer>,
  ): Promise<ServiceAnswer> {
    const {clock, emit} = this.options;
    try {
      const answer = await running;
      this.report(granted, {kind: 'answered', answer: keep(answer)});
      if (clock.now() > journey.deadline) {
        emit(LATE_ANSWER, {service: journey.request.service});
      }
      return answer;
    } catch (failure) {
      if (isNotRun(failure)) throw failure;
      slot.end('failed');
      return this.resolveUnknown(journey, granted, failure);
    }
  }

  /** The connection broke after the call was sent: only the service itself may know. */
  private async resolveUnknown(
    journey: ServiceJourney,
    granted: GrantedAttempt,
    failure: unknown,
  ): Promise<ServiceAnswer> {
    const {request, declaration} = journey;
    this.options.emit(OUTCOME_UNKNOWN, {
      service: request.service,
      call: journey.callName,
      request: request.id,
    });
    if (declaration.outcome_query === 'sealing') {
      const report = await this.askOutcome(journey);
      if (report?.kind === 'ran') {
        this.report(granted, {kind: 'answered', answer: keep(report.answer)});
        return report.answer;
      }
      if (report?.kind === 'sealed') {
        this.report(granted, {kind: 'not_run'});
        throw refuseNotRun(ErrorCode.EndpointUnreachable, 'settled as not run');
      }
    }
    this.report(granted, {kind: 'unknown'});
    throw refuseUnknown('the connection to the endpoint broke', failure);
  }

  private async askOutcome(journey: ServiceJourney) {
    const {clock, service} = this.options;
    const {idempotencyKey} = journey.request;
    if (idempotencyKey === undefined) return undefined;
    for (const {endpoint} of this.options.dispatch.instanceCandidates(journey)) {
      const work = limitWork(
        clock,
        new AbortController().signal,
        after(clock.now(), SETTLE_MILLISECONDS),
      );
      try {
        const report = await service(endpoint).settle(
          idempotencyKey,
          work.signal,
        );
        if (report.kind !== 'unknown') return report;
      } catch (failure) {
        if (!(failure instanceof SiskinmuxError)) throw failure;
      } finally {
        work.release();
      }
    }
    return undefined;
  }

  private report(granted: GrantedAttempt, end: AttemptEnd): void {
    const {key, attempt, expiresAt} = granted;
    void this.options.ledger.reportEnd(key, attempt, end, expiresAt);
  }
}

function keep(answer: ServiceAnswer): KeptAnswer | undefined {
  if (Buffer.byteLength(answer.body) > KEPT_ANSWER_BYTES) return undefined;
  const {status, contentType, body} = answer;
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
      throw refuseNotRun(ErrorCode.IdempotencyKeyReused, '');
    case 'too_late':
      throw refuseNotRun(ErrorCode.DeadlinePassed, '');
    default:
      throw refuseUnknown('an earlier request with this key has no known end');
  }
}
