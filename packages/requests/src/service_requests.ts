/** Calls of plain services: repeatable ones with retries, others at most once. */

import type {
  Clock,
  EmitEvent,
  EndpointId,
  FailureDomain,
  Fingerprint,
  IdempotencyKey,
  Instant,
  NodeId,
  Random,
  RequestId,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  Outcome,
  SiskinmuxError,
  after,
  as,
  until,
} from '@siskinmux/kernel';
import type {
  Declarations,
  Priority,
  ServiceCallDeclaration,
  ServiceDeclaration,
} from '@siskinmux/declarations';
import {PRIORITIES, ownEntry, policyOf} from '@siskinmux/declarations';
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
import type {PlainService, ServiceAnswer, ServiceCall} from '@siskinmux/ports';
import {EndpointBusyError, EndpointUnreachableError} from '@siskinmux/ports';
import type {RetryBudget} from '@siskinmux/routing';
import {pauseBeforeRetry} from './attempt_backoff.js';
import type {Dispatcher, Option} from './dispatcher.js';
import type {EndpointPool, Slot} from './endpoint_pool.js';
import {
  RefusalError,
  refuseNotRun,
  refuseUnknown,
  refuseUnknownTarget,
  toRefusal,
} from './refusal.js';
import {limitWork} from './request_limits.js';
import {LATE_ANSWER, OUTCOME_UNKNOWN} from './request_events.js';
import type {StartHop} from './text_requests.js';

/** Largest answer that is kept for resends. */
const KEPT_ANSWER_BYTES = 4_096;

/** How long after its deadline an answer is still listened for. */
const LATE_ANSWER_MILLISECONDS = 30_000;

/** Time to ask whether a call ran. */
const SETTLE_MILLISECONDS = 1_000;

/** Highest limit of an endpoint, as a multiple of what is declared. */
const MOST_CONCURRENCY_FACTOR = 4;

/** A caller's call of a plain service. */
export interface ServiceRequest {
  readonly id: RequestId;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string;
  readonly idempotencyKey: IdempotencyKey | undefined;
  readonly deadline: Instant | undefined;
  readonly priority: Priority | undefined;
  readonly fingerprint: Fingerprint;
  readonly signal: AbortSignal;
}

/** The endpoint's answer, or the one kept from an earlier run. */
export interface ServiceReply {
  readonly answer: ServiceAnswer;
  readonly isReplay: boolean;
}

/** What service requests need from their surroundings. */
export interface ServiceRequestsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly node: NodeId;
  readonly declarations: () => Declarations;
  readonly dispatcher: Dispatcher;
  readonly pool: EndpointPool;
  readonly ledger: Ledger;
  readonly budget: RetryBudget;
  readonly service: (id: EndpointId) => PlainService;
  /** Whether a host is fit for new work. */
  readonly isHostUsable: (host: string) => boolean;
  readonly createAttemptId: () => AttemptId;
  readonly emit: EmitEvent;
}

interface Journey {
  readonly request: ServiceRequest;
  readonly declaration: ServiceDeclaration;
  readonly call: ServiceCallDeclaration;
  readonly callName: string;
  readonly deadline: Instant;
  readonly avoid: Set<EndpointId>;
  retries: number;
}

/** An attempt that holds its key and may dispatch. */
interface GrantedAttempt {
  readonly key: ClaimKey;
  readonly attempt: AttemptId;
  readonly expiresAt: Instant;
}

/** Serves calls of plain services. */
export class ServiceRequests {
  private constructor(private readonly options: ServiceRequestsOptions) {}

  static create(options: ServiceRequestsOptions): ServiceRequests {
    return new ServiceRequests(options);
  }

  /** The answer, or a `RefusalError` whose outcome is true. */
  async serve(
    request: ServiceRequest,
    startHop: StartHop,
  ): Promise<ServiceReply> {
    const journey = this.begin(request);
    if (journey.call.repeatable) {
      const answer = await this.serveRepeatable(journey, startHop);
      return {answer, isReplay: false};
    }
    return this.serveOnce(journey, startHop);
  }

  private begin(request: ServiceRequest): Journey {
    const {clock, declarations} = this.options;
    const declaration = ownEntry(declarations().services, request.service);
    const found = declaration && findCall(declaration, request);
    if (declaration === undefined || found === undefined) {
      const subject = `${request.method} ${request.service}${request.path}`;
      throw refuseUnknownTarget(declarations(), subject);
    }
    const [callName, call] = found;
    const now = clock.now();
    const deadline =
      request.deadline ?? after(now, call.default_deadline_milliseconds);
    if (deadline <= now) throw refuseNotRun(ErrorCode.DeadlinePassed, '');
    this.options.budget.noteRequest();
    return {
      request,
      declaration,
      call,
      callName,
      deadline,
      avoid: new Set(),
      retries: 0,
    };
  }

  /** Running it twice is harmless, so any failure may be followed by another try. */
  private async serveRepeatable(
    journey: Journey,
    startHop: StartHop,
  ): Promise<ServiceAnswer> {
    const {clock} = this.options;
    const {request, deadline} = journey;
    for (;;) {
      const slot = await this.place(journey);
      const work = limitWork(clock, request.signal, deadline);
      try {
        return await this.dispatch(journey, slot, startHop, work.signal);
      } catch (failure) {
        if (request.signal.aborted) {
          slot.end('abandoned');
          throw refuseUnknown('the caller left');
        }
        await this.retryOrThrow(journey, slot, failure, Outcome.Unknown);
      } finally {
        work.release();
      }
    }
  }

  private async serveOnce(
    journey: Journey,
    startHop: StartHop,
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
    journey: Journey,
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
    journey: Journey,
    granted: GrantedAttempt,
    startHop: StartHop,
  ): Promise<ServiceAnswer> {
    for (;;) {
      let slot: Slot;
      try {
        slot = await this.place(journey);
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
          await this.retryOrThrow(journey, slot, failure, Outcome.NotRun);
        } catch (refusal) {
          this.report(granted, {kind: 'not_run'});
          throw refusal;
        }
      }
    }
  }

  /** A resend may be told "unknown" from the deadline on, so nothing starts then. */
  private throwIfTooLate(journey: Journey, slot: Slot): void {
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
    journey: Journey,
    granted: GrantedAttempt,
    slot: Slot,
    startHop: StartHop,
  ): Promise<ServiceAnswer> {
    const {clock} = this.options;
    const {deadline} = journey;
    const listening = limitWork(
      clock,
      new AbortController().signal,
      after(deadline, LATE_ANSWER_MILLISECONDS),
    );
    const running = this.dispatch(journey, slot, startHop, listening.signal);
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
    journey: Journey,
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
    journey: Journey,
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

  private async askOutcome(journey: Journey) {
    const {clock, service} = this.options;
    const {idempotencyKey} = journey.request;
    if (idempotencyKey === undefined) return undefined;
    for (const {endpoint} of this.serviceOptions(journey)) {
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

  private async dispatch(
    journey: Journey,
    slot: Slot,
    startHop: StartHop,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const {request, deadline} = journey;
    const hop = startHop('service call', slot.endpoint);
    const call: ServiceCall = {
      requestId: request.id,
      method: request.method,
      path: request.path,
      contentType: request.contentType,
      body: request.body,
      idempotencyKey: request.idempotencyKey,
      deadline,
      traceparent: hop.traceparent,
    };
    try {
      const answer = await this.options
        .service(slot.endpoint)
        .call(call, signal);
      slot.end('answered');
      hop.end();
      return answer;
    } catch (failure) {
      hop.end(failure);
      throw failure;
    }
  }

  /** Returns when another try is allowed, and throws the final answer otherwise. */
  private async retryOrThrow(
    journey: Journey,
    slot: Slot,
    failure: unknown,
    outcome: Outcome,
  ): Promise<void> {
    const {clock, random, budget} = this.options;
    if (!(failure instanceof SiskinmuxError)) throw failure;
    const isLate = clock.now() >= journey.deadline;
    if (isLate) slot.end('late');
    slot.end(failure instanceof EndpointBusyError ? 'busy' : 'failed');
    journey.avoid.add(slot.endpoint);
    journey.retries += 1;
    const truth = isNotRun(failure) ? Outcome.NotRun : outcome;
    if (isLate || !budget.tryRetry()) {
      throw toRefusal(failure, truth);
    }
    await pauseBeforeRetry(clock, random, journey.retries, journey.deadline);
  }

  private place(journey: Journey): Promise<Slot> {
    const {request, declaration, call, callName} = journey;
    return this.options.dispatcher.place({
      target: `${request.service}/${callName}`,
      priorityClass: PRIORITIES.indexOf(request.priority ?? call.priority),
      deadline: journey.deadline,
      maximumQueue: declaration.maximum_queue,
      avoid: journey.avoid,
      signal: request.signal,
      options: () => this.serviceOptions(journey),
      readyAt: () => undefined,
    });
  }

  private serviceOptions(journey: Journey): Option[] {
    const {declarations, pool, isHostUsable} = this.options;
    const {service} = journey.request;
    const declared = Object.entries(declarations().endpoints).flatMap(
      ([name, endpoint]) =>
        endpoint.kind === 'service' &&
        endpoint.service === service &&
        isHostUsable(endpoint.host)
          ? [{id: as<EndpointId>(name), endpoint}]
          : [],
    );
    const usable = new Set(pool.usable(declared.map(({id}) => id)));
    return declared
      .filter(({id}) => usable.has(id))
      .map(({id, endpoint}) => {
        const concurrency = pool.limit(id, journey.callName, {
          initial: endpoint.concurrency,
          least: 1,
          most: endpoint.concurrency * MOST_CONCURRENCY_FACTOR,
        });
        return {
          endpoint: id,
          failureDomain: as<FailureDomain>(endpoint.failure_domain),
          inFlight: concurrency.inFlight,
          limit: concurrency.value,
          reportedLoad: 0,
          reportedAt: undefined,
          slots: endpoint.concurrency,
          hasAdapter: true,
          isPrefixHome: false,
          concurrency,
        };
      });
  }
}

function isNotRun(failure: unknown): boolean {
  return (
    failure instanceof EndpointUnreachableError ||
    failure instanceof EndpointBusyError
  );
}

/** The call whose path prefix fits best. */
function findCall(
  declaration: ServiceDeclaration,
  request: ServiceRequest,
): [string, ServiceCallDeclaration] | undefined {
  return Object.entries(declaration.calls)
    .filter(
      ([, call]) =>
        (call.methods as readonly string[]).includes(request.method) &&
        isBelow(request.path, call.path),
    )
    .sort(([, left], [, right]) => right.path.length - left.path.length)[0];
}

function isBelow(path: string, prefix: string): boolean {
  const plain = path.split('?', 1)[0] ?? '';
  const root = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
  return plain === root || plain.startsWith(`${root}/`);
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
