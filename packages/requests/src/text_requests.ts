/** Text generation: admission, requests for replicas, routing, retries and resumed streams. */

import type {
  Clock,
  EndpointId,
  Instant,
  Random,
  RequestId,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  Outcome,
  RefusalError,
  SiskinmuxError,
  after,
  createNotRunRefusal,
} from '@siskinmux/kernel';
import type {
  Declarations,
  ModelTarget,
  Priority,
} from '@siskinmux/declarations';
import {resolveModelTarget} from '@siskinmux/declarations';
import type {
  Engine,
  GenerationChunk,
  GenerationInput,
  GenerationRequest,
} from '@siskinmux/ports';
import {
  AnswerCutError,
  EndpointBusyError,
  EndpointFailedError,
  EndpointUnreachableError,
} from '@siskinmux/ports';
import type {RetryBudget} from '@siskinmux/routing';
import {waitForRetryBackoff} from './attempt_backoff.js';
import {createDeadlineSignal} from './deadline_signal.js';
import type {DemandTracker} from './demand_tracker.js';
import type {Dispatcher} from './dispatcher.js';
import type {EndpointPool, Slot} from './endpoint_pool.js';
import {
  earliestReadyAt,
  engineCandidates,
  hasReadyReplica,
} from './engine_candidates.js';
import {enginePriorityOf, priorityClassOf} from './priority_class.js';
import type {ReplicaExchange} from './replica_exchange.js';
import type {ReplicaTable} from './replica_table.js';
import type {Trait} from '@siskinmux/containment';
import type {RequestQuarantine} from './request_quarantine.js';
import {createUnknownTargetRefusal} from './unknown_target.js';

/** Retry delay that is suggested to a caller whose request has failed. */
const RETRY_AFTER_FAILURE_MILLISECONDS = 1_000;

/** A caller's request for generated text. */
export interface TextRequest {
  readonly id: RequestId;
  /** Model, `model@version` or adapter, as sent by the caller. */
  readonly requestedName: string;
  readonly input: GenerationInput;
  readonly maximumTokens: number;
  readonly deadline: Instant | undefined;
  readonly priority: Priority | undefined;
  /** Priority of the caller's team; undefined without teams. */
  readonly teamPriority: number | undefined;
  /** What a crash of an engine may be attributed to. */
  readonly traits: readonly Trait[];
  readonly signal: AbortSignal;
}

/** A trace span of a call to an endpoint or another node. */
export interface TraceSpan {
  readonly traceparent: string | undefined;
  end(failure?: unknown): void;
}

/** Starts a trace span, with the endpoint that is called, if any. */
export type StartSpan = (name: string, endpoint?: EndpointId) => TraceSpan;

/** Dependencies of {@link TextRequests}. */
export interface TextRequestsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly declarations: () => Declarations;
  readonly dispatcher: Dispatcher;
  readonly pool: EndpointPool;
  readonly replicas: ReplicaTable;
  readonly demands: DemandTracker;
  readonly exchange: ReplicaExchange;
  readonly quarantine: RequestQuarantine;
  readonly retryBudget: RetryBudget;
  readonly engine: (id: EndpointId) => Engine;
}

/** State of a request across its attempts. */
interface GenerationContext {
  readonly request: TextRequest;
  readonly target: ModelTarget;
  readonly deadline: Instant;
  readonly priorityClass: number;
  readonly triedEndpoints: Set<EndpointId>;
  readonly signal: AbortSignal;
  deliveredTokens: number;
  retryCount: number;
}

/** Serves requests for generated text. */
export class TextRequests {
  private constructor(private readonly options: TextRequestsOptions) {}

  static create(options: TextRequestsOptions): TextRequests {
    return new TextRequests(options);
  }

  /**
   * Streams the response; the last chunk is an `end`. Throws a `RefusalError` if the
   * stream can't be completed, even after some tokens.
   */
  async *generate(
    request: TextRequest,
    startSpan: StartSpan,
  ): AsyncIterable<GenerationChunk> {
    const {clock, demands, retryBudget} = this.options;
    const target = this.resolveTarget(request);
    const deadline =
      request.deadline ??
      after(clock.now(), target.declaration.default_deadline_milliseconds);
    this.throwIfNotAllowed(request, deadline);
    retryBudget.recordRequest();
    const demand = demands.track(target, deadline);
    const deadlineSignal = createDeadlineSignal(
      clock,
      request.signal,
      deadline,
    );
    const context: GenerationContext = {
      request,
      target,
      deadline,
      priorityClass: priorityClassOf(
        request.teamPriority,
        request.priority ?? target.declaration.priority,
      ),
      triedEndpoints: new Set(),
      signal: deadlineSignal.signal,
      deliveredTokens: 0,
      retryCount: 0,
    };
    try {
      this.requestReplicaIfNone(target);
      for (;;) {
        const slot = await this.acquireSlot(context);
        demand.start();
        if (yield* this.attempt(context, slot, startSpan)) return;
        demand.wait();
        await this.waitForBackoff(context);
      }
    } finally {
      deadlineSignal.release();
      demand.end();
    }
  }

  private resolveTarget(request: TextRequest): ModelTarget {
    const {declarations} = this.options;
    const target = resolveModelTarget(declarations(), request.requestedName);
    if (target !== undefined) return target;
    throw createUnknownTargetRefusal(declarations(), request.requestedName);
  }

  private throwIfNotAllowed(request: TextRequest, deadline: Instant): void {
    const {clock, quarantine} = this.options;
    if (deadline <= clock.now()) {
      throw createNotRunRefusal(ErrorCode.DeadlinePassed, '');
    }
    quarantine.throwIfQuarantined(request.traits);
  }

  private requestReplicaIfNone(target: ModelTarget): void {
    const {exchange} = this.options;
    if (hasReadyReplica(this.options, target)) return;
    const domains = exchange.rankedDomains(target.model);
    if (domains.length === 0) {
      throw createNotRunRefusal(
        ErrorCode.NoEndpoint,
        `${target.model} is declared without replicas`,
      );
    }
    exchange.notifyAllocators(target.model);
  }

  private async acquireSlot(context: GenerationContext): Promise<Slot> {
    const {target, request} = context;
    const name = `${target.model}@${target.version}`;
    try {
      return await this.options.dispatcher.acquireSlot({
        target:
          target.adapter === undefined ? name : `${name}+${target.adapter}`,
        priorityClass: context.priorityClass,
        deadline: context.deadline,
        maximumQueueLength: target.declaration.maximum_queue,
        triedEndpoints: context.triedEndpoints,
        signal: request.signal,
        candidates: () =>
          engineCandidates(this.options, target, request.input, engine =>
            this.options.quarantine.canRunOn(engine, request.traits),
          ),
        readyAt: () => earliestReadyAt(this.options, target),
      });
    } catch (failure) {
      // Once tokens have been delivered, the outcome "not run" would be wrong.
      if (context.deliveredTokens === 0 || !(failure instanceof RefusalError)) {
        throw failure;
      }
      throw answerCutRefusal(failure);
    }
  }

  /**
   * Runs one attempt. Returns true if the response is complete, false if the request may be
   * retried.
   */
  private async *attempt(
    context: GenerationContext,
    slot: Slot,
    startSpan: StartSpan,
  ): AsyncGenerator<GenerationChunk, boolean> {
    const {engine, quarantine} = this.options;
    const {traits} = context.request;
    const isSuspect = quarantine.isSuspect(traits);
    if (isSuspect) quarantine.recordSuspectStart(slot.endpoint);
    const span = startSpan('engine generate', slot.endpoint);
    try {
      const chunks = engine(slot.endpoint).generate(
        toGenerationRequest(context, span.traceparent),
        context.signal,
      );
      for await (const chunk of chunks) {
        slot.recordFirstByte();
        if (chunk.kind === 'token') context.deliveredTokens += 1;
        else slot.end('answered');
        yield chunk;
      }
      quarantine.recordSuccess(traits);
      span.end();
      return true;
    } catch (failure) {
      span.end(failure);
      await this.handleFailure(context, slot, failure, isSuspect);
      return false;
    } finally {
      slot.end('abandoned');
      span.end();
      if (isSuspect) quarantine.recordSuspectEnd(slot.endpoint);
    }
  }

  /** Returns if the request may be retried. Throws the final refusal otherwise. */
  private async handleFailure(
    context: GenerationContext,
    slot: Slot,
    failure: unknown,
    isSuspect: boolean,
  ): Promise<void> {
    if (!(failure instanceof SiskinmuxError)) throw failure;
    this.throwIfAborted(context, slot, failure);
    if (failure instanceof EndpointFailedError) {
      slot.end('answered');
      throw new RefusalError(
        failure.code,
        failure.detail,
        Outcome.Failed,
        undefined,
        {cause: failure},
      );
    }
    slot.end(failure instanceof EndpointBusyError ? 'busy' : 'failed');
    context.triedEndpoints.add(slot.endpoint);
    if (failure instanceof AnswerCutError) {
      const {traits, signal} = context.request;
      await this.options.quarantine.attributeCrash(
        {
          traits,
          engine: slot.endpoint,
          wasSuspect: isSuspect,
          hadResponded: context.deliveredTokens > 0,
        },
        signal,
      );
    }
    if (!this.options.retryBudget.tryAcquireRetry())
      throw this.finalRefusal(context, failure);
    this.options.exchange.notifyAllocators(context.target.model);
  }

  private throwIfAborted(
    context: GenerationContext,
    slot: Slot,
    failure: SiskinmuxError,
  ): void {
    if (!context.signal.aborted) return;
    const isCallerGone = context.request.signal.aborted;
    slot.end(isCallerGone ? 'abandoned' : 'late');
    const code = isCallerGone ? ErrorCode.CallerGone : ErrorCode.DeadlinePassed;
    const outcome =
      failure instanceof AnswerCutError ? Outcome.Failed : Outcome.NotRun;
    throw new RefusalError(code, '', outcome, undefined, {cause: failure});
  }

  private finalRefusal(
    context: GenerationContext,
    failure: SiskinmuxError,
  ): RefusalError {
    const isNotRun =
      context.deliveredTokens === 0 &&
      (failure instanceof EndpointBusyError ||
        failure instanceof EndpointUnreachableError);
    const retryAt = after(
      this.options.clock.now(),
      RETRY_AFTER_FAILURE_MILLISECONDS,
    );
    return new RefusalError(
      failure.code,
      failure.detail,
      isNotRun ? Outcome.NotRun : Outcome.Failed,
      retryAt,
      {cause: failure},
    );
  }

  private waitForBackoff(context: GenerationContext): Promise<void> {
    const {clock, random} = this.options;
    context.retryCount += 1;
    return waitForRetryBackoff(
      clock,
      random,
      context.retryCount,
      context.deadline,
    );
  }
}

function toGenerationRequest(
  context: GenerationContext,
  traceparent: string | undefined,
): GenerationRequest {
  const {request, target, deadline, deliveredTokens, priorityClass} = context;
  return {
    requestId: request.id,
    model: target.model,
    version: target.version,
    adapter: target.adapter,
    input: request.input,
    maximumTokens: request.maximumTokens,
    priority: enginePriorityOf(priorityClass),
    deadline,
    traceparent,
    resumeAfter: deliveredTokens,
  };
}

function answerCutRefusal(failure: RefusalError): RefusalError {
  return new RefusalError(
    ErrorCode.AnswerCut,
    failure.message,
    Outcome.Failed,
    failure.retryAt,
    {cause: failure},
  );
}
