/**
 * Admits requests, lets them wait in order, and gives them a place at an endpoint.
 * Every request that enters leaves with a place or with a refusal, at the latest
 * when it could not be answered in time any more.
 */

import type {
  CancelTimer,
  Clock,
  EndpointId,
  FailureDomain,
  Instant,
  Milliseconds,
  Random,
} from '@siskinmux/kernel';
import {ErrorCode, refuseNotRun} from '@siskinmux/kernel';
import type {ConcurrencyLimit, QueuedRequest} from '@siskinmux/admission';
import {
  DrainIntervalEstimate,
  QueueFullError,
  RequestQueue,
  ServiceTimeEstimate,
  decideAdmission,
} from '@siskinmux/admission';
import type {Candidate} from '@siskinmux/routing';
import {chooseEndpoint} from '@siskinmux/routing';
import type {EndpointPool, Slot} from './endpoint_pool.js';

/** Least pause that a refusal asks for. */
const LEAST_RETRY_MILLISECONDS: Milliseconds = 100;

/** An endpoint that can serve a target, with its limit. */
export interface Option extends Candidate {
  readonly concurrency: ConcurrencyLimit;
}

/** What a request needs to get a place. */
export interface SlotRequest {
  /** Requests of one target share its endpoints. */
  readonly target: string;
  readonly priorityClass: number;
  readonly deadline: Instant;
  readonly maximumQueue: number;
  /** Endpoints that failed this request before; used only if there is no other. */
  readonly avoid: ReadonlySet<EndpointId>;
  readonly signal: AbortSignal;
  /** Endpoints that can serve the target now, busy ones included. */
  readonly candidates: () => readonly Option[];
  /** When a first endpoint is expected to be ready. */
  readonly readyAt: () => Instant | undefined;
}

interface Waiting extends QueuedRequest {
  readonly request: SlotRequest;
  readonly resolve: (slot: Slot) => void;
  readonly reject: (failure: unknown) => void;
  cancelTimer: CancelTimer;
}

interface TargetEstimates {
  readonly serviceTime: ServiceTimeEstimate;
  readonly drain: DrainIntervalEstimate;
}

/** What the dispatcher needs from its surroundings. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly failureDomain: FailureDomain;
  readonly pool: EndpointPool;
}

/** The one queue of a node. */
export class Dispatcher {
  private readonly queue = RequestQueue.create<Waiting>();
  private readonly estimates = new Map<string, TargetEstimates>();
  private readonly sources = new Map<string, SlotRequest>();
  private isClosed = false;

  private constructor(private readonly options: DispatcherOptions) {}

  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Requests that wait, in all or for one target. */
  waiting(target?: string): number {
    return target === undefined ? this.queue.size : this.queue.sizeOf(target);
  }

  /** Measured time of a target's requests at an endpoint. */
  serviceTime(target: string): Milliseconds {
    return this.estimatesOf(target).serviceTime.meanMilliseconds;
  }

  /** A place at an endpoint, or a `RefusalError` with outcome "not run". */
  async place(request: SlotRequest): Promise<Slot> {
    if (this.isClosed) throw refuseNotRun(ErrorCode.ShuttingDown, '');
    if (request.signal.aborted) throw refuseNotRun(ErrorCode.CallerGone, '');
    const refuseAt = this.admit(request);
    if (this.queue.sizeOf(request.target) === 0) {
      const slot = this.tryStart(request);
      if (slot !== undefined) return slot;
    }
    return this.wait(request, refuseAt);
  }

  /** Looks again for places, after endpoints have become ready or free. */
  pump(): void {
    const {clock} = this.options;
    for (;;) {
      const item = this.queue.dequeue(clock.now(), target =>
        this.hasRoom(target),
      );
      if (item === undefined) return;
      item.cancelTimer();
      const slot = this.tryStart(item.request);
      if (slot === undefined) {
        this.requeue(item);
        return;
      }
      const hasMore = this.queue.sizeOf(item.target) > 0;
      this.estimatesOf(item.target).drain.recordDeparture(clock.now(), hasMore);
      item.resolve(slot);
    }
  }

  /** Takes no new requests; those that wait are still served. */
  close(): void {
    this.isClosed = true;
  }

  private admit(request: SlotRequest): Instant {
    const {clock} = this.options;
    const now = clock.now();
    const capacity = request
      .candidates()
      .reduce((sum, option) => sum + option.limit, 0);
    const estimates = this.estimatesOf(request.target);
    const decision = decideAdmission({
      now,
      deadline: request.deadline,
      requestsAhead: this.queue.countAhead({
        ...request,
        refuseAt: request.deadline,
        enqueuedAt: now,
      }),
      capacity,
      meanServiceMilliseconds: estimates.serviceTime.meanMilliseconds,
      upperServiceMilliseconds: estimates.serviceTime.upperMilliseconds,
      drainIntervalMilliseconds: estimates.drain.intervalMilliseconds,
      readyAt: request.readyAt(),
    });
    if (decision.kind === 'admit') return decision.refuseAt;
    throw refuseNotRun(
      ErrorCode.DeadlineUnreachable,
      request.target,
      decision.retryAt,
    );
  }

  private wait(request: SlotRequest, refuseAt: Instant): Promise<Slot> {
    const {clock} = this.options;
    return new Promise((resolve, reject) => {
      const item: Waiting = {
        target: request.target,
        priorityClass: request.priorityClass,
        deadline: request.deadline,
        refuseAt,
        enqueuedAt: clock.now(),
        request,
        resolve,
        reject,
        cancelTimer: () => {},
      };
      try {
        this.queue.enqueue(item, request.maximumQueue);
      } catch (failure) {
        reject(this.refusalOf(failure, request));
        return;
      }
      this.sources.set(request.target, request);
      item.cancelTimer = this.limitWait(item);
    });
  }

  /** Ends a wait at its instant, or when the caller goes away. */
  private limitWait(item: Waiting): CancelTimer {
    const {signal} = item.request;
    const leave = (code: ErrorCode): void => {
      if (!this.queue.remove(item)) return;
      item.cancelTimer();
      item.reject(refuseNotRun(code, item.target, this.retryAt(item.target)));
    };
    const onAbort = (): void => leave(ErrorCode.CallerGone);
    signal.addEventListener('abort', onAbort, {once: true});
    const cancel = this.options.clock.schedule(item.refuseAt, () =>
      leave(ErrorCode.DeadlineUnreachable),
    );
    return () => {
      cancel();
      signal.removeEventListener('abort', onAbort);
    };
  }

  private requeue(item: Waiting): void {
    this.queue.enqueue(item, Infinity);
    item.cancelTimer = this.limitWait(item);
  }

  private refusalOf(failure: unknown, request: SlotRequest): unknown {
    if (!(failure instanceof QueueFullError)) return failure;
    const retryAt = this.retryAt(request.target);
    return refuseNotRun(ErrorCode.QueueFull, failure.detail, retryAt);
  }

  /** When half of what waits for a target will have been served. */
  private retryAt(target: string): Instant {
    const now = this.options.clock.now();
    const source = this.sources.get(target);
    const capacity =
      source?.candidates().reduce((sum, option) => sum + option.limit, 0) ?? 0;
    const readyAt = source?.readyAt() ?? now;
    const {serviceTime, drain: measured} = this.estimatesOf(target);
    const interval =
      measured.intervalMilliseconds ??
      serviceTime.meanMilliseconds / Math.max(1, capacity);
    const drain = (this.queue.sizeOf(target) * interval) / 2;
    return (Math.max(now, readyAt) +
      Math.max(LEAST_RETRY_MILLISECONDS, drain)) as Instant;
  }

  private hasRoom(target: string): boolean {
    const source = this.sources.get(target);
    return source?.candidates().some(hasRoom) ?? false;
  }

  private tryStart(request: SlotRequest): Slot | undefined {
    const {clock, random, failureDomain, pool} = this.options;
    const free = request.candidates().filter(hasRoom);
    const preferred = free.filter(({endpoint}) => !request.avoid.has(endpoint));
    const chosen = chooseEndpoint(preferred.length > 0 ? preferred : free, {
      now: clock.now(),
      failureDomain,
      random,
    }) as Option | undefined;
    if (chosen === undefined) return undefined;
    const estimates = this.estimatesOf(request.target);
    return pool.start(chosen.endpoint, chosen.concurrency, (how, stayed) => {
      // What was given up at its deadline took at least as long as it stayed.
      const isTimed = how === 'answered' || how === 'late';
      if (isTimed) estimates.serviceTime.record(stayed);
      this.pump();
    });
  }

  private estimatesOf(target: string): TargetEstimates {
    let estimates = this.estimates.get(target);
    if (estimates === undefined) {
      estimates = {
        serviceTime: ServiceTimeEstimate.create(),
        drain: DrainIntervalEstimate.create(),
      };
      this.estimates.set(target, estimates);
    }
    return estimates;
  }
}

function hasRoom(option: Option): boolean {
  return option.inFlight < option.limit;
}
