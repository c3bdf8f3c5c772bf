/** Text generation: admission, waking, routing, retries and resumed streams. */

import type {
  Clock,
  EndpointId,
  Fingerprint,
  Instant,
  Random,
  RequestId,
} from '@siskinmux/kernel';
import {ErrorCode, Outcome, SiskinmuxError, after} from '@siskinmux/kernel';
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
import type {CrashSuspects, RetryBudget, Suspect} from '@siskinmux/routing';
import {ownerOf} from '@siskinmux/routing';
import {pauseBeforeRetry} from './attempt_backoff.js';
import type {DemandTracker} from './demand_tracker.js';
import type {Dispatcher, Option} from './dispatcher.js';
import type {EndpointPool, Slot} from './endpoint_pool.js';
import {RefusalError, refuseNotRun, refuseUnknownTarget} from './refusal.js';
import type {ReplicaExchange} from './replica_exchange.js';
import type {KnownReplica, ReplicaTable} from './replica_table.js';
import {limitWork} from './request_limits.js';

/** Characters of the input that decide which engine has its prefix cached. */
const PREFIX_CHARACTERS = 64;

/** Time in which an engine that broke off an answer must show that it lives. */
const LIFE_SIGN_MILLISECONDS = 300;

/** Pause that a refusal after failed tries asks for. */
const RETRY_LATER_MILLISECONDS = 1_000;

/** Class of call under which engines' limits are kept. */
const TEXT_CLASS = 'text';

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
export type StartHop = (name: string, endpoint?: EndpointId) => DispatchHop;

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
  readonly suspects: CrashSuspects;
  readonly budget: RetryBudget;
  readonly engine: (id: EndpointId) => Engine;
  /** Tells the other nodes of a request that an endpoint died of. */
  readonly announceSuspect: (suspect: Suspect) => void;
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
  /** Engines on which a suspected request runs now. */
  private readonly suspectedAt = new Set<EndpointId>();

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
    startHop: StartHop,
  ): AsyncIterable<GenerationChunk> {
    const {clock, demands, budget} = this.options;
    const target = this.resolve(request);
    const deadline =
      request.deadline ??
      after(clock.now(), target.declaration.default_deadline_milliseconds);
    this.checkAllowed(request, deadline);
    budget.noteRequest();
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
    const {clock, suspects} = this.options;
    const now = clock.now();
    if (deadline <= now) throw refuseNotRun(ErrorCode.DeadlinePassed, '');
    if (suspects.suspicionOf(request.fingerprint, now) === 'quarantined') {
      throw refuseNotRun(
        ErrorCode.RequestQuarantined,
        '',
        suspects.expiresAt(request.fingerprint),
      );
    }
  }

  private wakeIfAsleep(target: ModelTarget): void {
    const {exchange} = this.options;
    if (this.knownReplicas(target).some(isReady)) return;
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
        options: () => this.engineOptions(journey),
        readyAt: () => this.readyAt(target),
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
    startHop: StartHop,
  ): AsyncGenerator<GenerationChunk, boolean> {
    const {engine, suspects, clock} = this.options;
    const {fingerprint} = journey.request;
    const isSuspect = suspects.suspicionOf(fingerprint, clock.now()) !== 'none';
    if (isSuspect) this.suspectedAt.add(slot.endpoint);
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
      if (isSuspect) suspects.noteSuccess(fingerprint);
      hop.end();
      return true;
    } catch (failure) {
      hop.end(failure);
      await this.afterFailure(journey, slot, failure, isSuspect);
      return false;
    } finally {
      slot.end('abandoned');
      hop.end();
      if (isSuspect) this.suspectedAt.delete(slot.endpoint);
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
      await this.suspectIfDead(journey, slot.endpoint, isSuspect);
    }
    if (!this.options.budget.tryRetry()) throw this.giveUp(journey, failure);
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

  /** Blames the request if the engine died; with one suspect on it, only the suspect. */
  private async suspectIfDead(
    journey: Journey,
    endpoint: EndpointId,
    isSuspect: boolean,
  ): Promise<void> {
    const {clock, engine, suspects, announceSuspect} = this.options;
    const {fingerprint, signal} = journey.request;
    const isBesideSuspect = !isSuspect && this.suspectedAt.has(endpoint);
    const until = after(clock.now(), LIFE_SIGN_MILLISECONDS);
    const work = limitWork(clock, signal, until);
    try {
      await engine(endpoint).status(work.signal);
      return;
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
    } finally {
      work.release();
    }
    if (isBesideSuspect) return;
    announceSuspect(suspects.noteDeath(fingerprint, clock.now()));
    const isQuarantined =
      suspects.suspicionOf(fingerprint, clock.now()) === 'quarantined';
    if (!isQuarantined) return;
    throw new RefusalError(
      ErrorCode.RequestQuarantined,
      '',
      Outcome.Failed,
      suspects.expiresAt(fingerprint),
    );
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

  private engineOptions(journey: Journey): Option[] {
    const {target, request} = journey;
    const {pool, suspects, clock} = this.options;
    const ready = this.knownReplicas(target).filter(isReady);
    const usable = new Set(pool.usable(ready.map(({engine}) => engine)));
    const isSuspect =
      suspects.suspicionOf(request.fingerprint, clock.now()) !== 'none';
    // Two suspects side by side could not be told apart by the next death.
    const allowed = ready.filter(
      ({engine}) =>
        usable.has(engine) && !(isSuspect && this.suspectedAt.has(engine)),
    );
    const home = prefixHome(request.input, allowed);
    return allowed.map(replica => this.toOption(replica, home));
  }

  private toOption(
    replica: KnownReplica,
    home: EndpointId | undefined,
  ): Option {
    const {engine, slots} = replica;
    const concurrency = this.options.pool.limit(engine, TEXT_CLASS, {
      initial: slots,
      least: 1,
      most: slots * 2,
    });
    return {
      endpoint: engine,
      failureDomain: replica.failureDomain,
      inFlight: concurrency.inFlight,
      limit: concurrency.value,
      reportedLoad: replica.running + replica.queued,
      reportedAt: replica.reportedAt,
      slots,
      hasAdapter: true,
      isPrefixHome: engine === home,
      concurrency,
    };
  }

  /** Replicas of the target; with an adapter, only those that hold it. */
  private knownReplicas(target: ModelTarget): KnownReplica[] {
    const {replicas, exchange} = this.options;
    const {model, version, adapter} = target;
    const domains = exchange.allDomains(model);
    const known = replicas.replicas(domains, model, version);
    if (adapter === undefined) return known;
    const holders = replicas.adapterEngines(domains, model, adapter);
    return known.filter(({engine}) => holders.has(engine));
  }

  private readyAt(target: ModelTarget): Instant | undefined {
    const loading = this.knownReplicas(target)
      .filter(replica => !isReady(replica))
      .map(({readyAt}) => readyAt);
    return loading.sort((left, right) => left - right)[0];
  }
}

function isReady(replica: KnownReplica): boolean {
  return replica.state === 'ready';
}

function prefixHome(
  input: GenerationInput,
  replicas: readonly KnownReplica[],
): EndpointId | undefined {
  const text =
    input.kind === 'prompt' ? input.prompt : (input.messages[0]?.content ?? '');
  const engines = replicas.map(({engine}) => engine);
  return ownerOf(text.slice(0, PREFIX_CHARACTERS), engines);
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
