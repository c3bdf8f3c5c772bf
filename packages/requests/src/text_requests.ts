/** Text generation: admission, waking, routing, retries and resumed streams. */

import type {
  Clock,
  EndpointId,
  Fingerprint,
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
  refuseNotRun,
} from '@siskinmux/kernel';
import type {
  Declarations,
  ModelTarget,
  Priority,
} from '@siskinmux/declarations';
import {PRIORITIES, resolveModelTarget} from '@siskinmux/declarations';
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
import {pauseBeforeRetry} from './attempt_backoff.js';
import type {DemandTracker} from './demand_tracker.js';
import type {RequestQuarantine} from './crash_watch.js';
import type {Dispatcher} from './dispatcher.js';
import type {EndpointPool, Slot} from './endpoint_pool.js';
import {
  engineOptions,
  firstReadyAt,
  hasReadyReplica,
} from './engine_options.js';
import {refuseUnknownTarget} from './refusal.js';
import type {ReplicaExchange} from './replica_exchange.js';
import type {ReplicaTable} from './replica_table.js';
import {limitWork} from './request_limits.js';

/** Pause that a refusal after failed tries asks for. */
const RETRY_LATER_MILLISECONDS = 1_000;

/** A caller's request for text. */
export interface TextRequest {
  readonly id: RequestId;
  /** Model, `model@version` or adapter, as the caller wrote it. */
  readonly requested: string;
  readonly input: GenerationInput;
  readonly maximumTokens: number;
  readonly deadline: Instant | undefined;
  readonly priority: Priority | undefined;
  readonly fingerprint: Fingerprint;
  readonly signal: AbortSignal;
}

/** A hop to an endpoint or another node that is being traced. */
export interface DispatchHop {
  readonly traceparent: string | undefined;
  end(failure?: unknown): void;
}

/** Starts a hop, to an endpoint if one is named. */
export type StartSpan = (name: string, endpoint?: EndpointId) => DispatchHop;

/** What text requests need from their surroundings. */
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
  readonly budget: RetryBudget;
  readonly engine: (id: EndpointId) => Engine;
}

/** One request on its way, over all its tries. */
interface Journey {
  readonly request: TextRequest;
  readonly target: ModelTarget;
  readonly deadline: Instant;
  readonly priorityClass: number;
  readonly avoid: Set<EndpointId>;
  readonly signal: AbortSignal;
  delivered: number;
  retries: number;
}

/** Serves requests for text. */
export class TextRequests {
  private constructor(private readonly options: TextRequestsOptions) {}

  static create(options: TextRequestsOptions): TextRequests {
    return new TextRequests(options);
  }

  /**
   * Streams the answer. The last chunk is an `end`; a stream that can't be
   * completed throws a `RefusalError`, also after some tokens.
   */
  async *generate(
    request: TextRequest,
    startHop: StartSpan,
  ): AsyncIterable<GenerationChunk> {
    const {clock, demands, budget} = this.options;
    const target = this.resolve(request);
    const deadline =
      request.deadline ??
      after(clock.now(), target.declaration.default_deadline_milliseconds);
    this.checkAllowed(request, deadline);
    budget.recordRequest();
    const demand = demands.enter(target, deadline);
    const work = limitWork(clock, request.signal, deadline);
    const journey: Journey = {
      request,
      target,
      deadline,
      priorityClass: PRIORITIES.indexOf(
        request.priority ?? target.declaration.priority,
      ),
      avoid: new Set(),
      signal: work.signal,
      delivered: 0,
      retries: 0,
    };
    try {
      this.wakeIfAsleep(target);
      for (;;) {
        const slot = await this.place(journey);
        demand.start();
        if (yield* this.attempt(journey, slot, startHop)) return;
        demand.wait();
        await this.pause(journey);
      }
    } finally {
      work.release();
      demand.end();
    }
  }

  private resolve(request: TextRequest): ModelTarget {
    const {declarations} = this.options;
    const target = resolveModelTarget(declarations(), request.requested);
    if (target !== undefined) return target;
    throw refuseUnknownTarget(declarations(), request.requested);
  }

  private checkAllowed(request: TextRequest, deadline: Instant): void {
    const {clock, quarantine: crashes} = this.options;
    if (deadline <= clock.now()) {
      throw refuseNotRun(ErrorCode.DeadlinePassed, '');
    }
    crashes.throwIfQuarantined(request.fingerprint);
  }

  private wakeIfAsleep(target: ModelTarget): void {
    const {exchange} = this.options;
    if (hasReadyReplica(this.options, target)) return;
    const domains = exchange.allDomains(target.model);
    if (domains.length === 0) {
      throw refuseNotRun(
        ErrorCode.NoEndpoint,
        `${target.model} is declared without replicas`,
      );
    }
    exchange.wake(target.model);
  }

  private async place(journey: Journey): Promise<Slot> {
    const {target, request} = journey;
    const name = `${target.model}@${target.version}`;
    try {
      return await this.options.dispatcher.place({
        target:
          target.adapter === undefined ? name : `${name}+${target.adapter}`,
        priorityClass: journey.priorityClass,
        deadline: journey.deadline,
        maximumQueue: target.declaration.maximum_queue,
        avoid: journey.avoid,
        signal: request.signal,
        candidates: () =>
          engineOptions(this.options, target, request.input, engine =>
            this.options.quarantine.mayRunAt(engine, request.fingerprint),
          ),
        readyAt: () => firstReadyAt(this.options, target),
      });
    } catch (failure) {
      // After some tokens, "not run" would not be true any more.
      if (journey.delivered === 0 || !(failure instanceof RefusalError)) {
        throw failure;
      }
      throw cutRefusal(failure);
    }
  }

  /** One try; true when the answer is complete, false when another try is allowed. */
  private async *attempt(
    journey: Journey,
    slot: Slot,
    startHop: StartSpan,
  ): AsyncGenerator<GenerationChunk, boolean> {
    const {engine, quarantine: crashes} = this.options;
    const {fingerprint} = journey.request;
    const isSuspect = crashes.isSuspect(fingerprint);
    if (isSuspect) crashes.enter(slot.endpoint);
    const hop = startHop('engine generate', slot.endpoint);
    try {
      const chunks = engine(slot.endpoint).generate(
        toGeneration(journey, hop.traceparent),
        journey.signal,
      );
      for await (const chunk of chunks) {
        slot.noteFirstByte();
        if (chunk.kind === 'token') journey.delivered += 1;
        else slot.end('answered');
        yield chunk;
      }
      if (isSuspect) crashes.clearSuspicion(fingerprint);
      hop.end();
      return true;
    } catch (failure) {
      hop.end(failure);
      await this.afterFailure(journey, slot, failure, isSuspect);
      return false;
    } finally {
      slot.end('abandoned');
      hop.end();
      if (isSuspect) crashes.leave(slot.endpoint);
    }
  }

  /** Returns when the request may be tried again, and throws its final answer otherwise. */
  private async afterFailure(
    journey: Journey,
    slot: Slot,
    failure: unknown,
    isSuspect: boolean,
  ): Promise<void> {
    if (!(failure instanceof SiskinmuxError)) throw failure;
    this.throwIfEnded(journey, slot, failure);
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
    journey.avoid.add(slot.endpoint);
    if (failure instanceof AnswerCutError) {
      const {fingerprint, signal} = journey.request;
      await this.options.quarantine.blameIfDead(
        fingerprint,
        slot.endpoint,
        isSuspect,
        signal,
      );
    }
    if (!this.options.budget.tryAcquireRetry())
      throw this.giveUp(journey, failure);
    this.options.exchange.wake(journey.target.model);
  }

  private throwIfEnded(
    journey: Journey,
    slot: Slot,
    failure: SiskinmuxError,
  ): void {
    if (!journey.signal.aborted) return;
    const isCallerGone = journey.request.signal.aborted;
    slot.end(isCallerGone ? 'abandoned' : 'late');
    const code = isCallerGone ? ErrorCode.CallerGone : ErrorCode.DeadlinePassed;
    const outcome =
      failure instanceof AnswerCutError ? Outcome.Failed : Outcome.NotRun;
    throw new RefusalError(code, '', outcome, undefined, {cause: failure});
  }

  private giveUp(journey: Journey, failure: SiskinmuxError): RefusalError {
    const isNotRun =
      journey.delivered === 0 &&
      (failure instanceof EndpointBusyError ||
        failure instanceof EndpointUnreachableError);
    const retryAt = after(this.options.clock.now(), RETRY_LATER_MILLISECONDS);
    return new RefusalError(
      failure.code,
      failure.detail,
      isNotRun ? Outcome.NotRun : Outcome.Failed,
      retryAt,
      {cause: failure},
    );
  }

  private pause(journey: Journey): Promise<void> {
    const {clock, random} = this.options;
    journey.retries += 1;
    return pauseBeforeRetry(clock, random, journey.retries, journey.deadline);
  }
}

function toGeneration(
  journey: Journey,
  traceparent: string | undefined,
): GenerationRequest {
  const {request, target, deadline, delivered, priorityClass} = journey;
  return {
    requestId: request.id,
    model: target.model,
    version: target.version,
    adapter: target.adapter,
    input: request.input,
    maximumTokens: request.maximumTokens,
    priority: PRIORITIES.length - priorityClass,
    deadline,
    traceparent,
    resumeAfter: delivered,
  };
}

function cutRefusal(failure: RefusalError): RefusalError {
  return new RefusalError(
    ErrorCode.AnswerCut,
    failure.message,
    Outcome.Failed,
    failure.retryAt,
    {cause: failure},
  );
}
