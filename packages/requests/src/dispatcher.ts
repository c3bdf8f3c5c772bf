/**
 * Admits requests, queues them and assigns them slots at endpoints. Every request gets a
 * slot or a refusal, at the latest when a response before its deadline is no longer
 * possible.
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
import {ErrorCode, createNotRunRefusal} from '@siskinmux/kernel';
import type {ConcurrencyLimit, QueuedRequest} from '@siskinmux/admission';
import {
  DepartureIntervalEstimate,
  QueueFullError,
  RequestQueue,
  ServiceTimeEstimate,
  decideAdmission,
} from '@siskinmux/admission';
import type {Candidate} from '@siskinmux/routing';
import {chooseEndpoint} from '@siskinmux/routing';
import type {EndpointPool, Slot} from './endpoint_pool.js';

/**
 * Minimum retry delay that a refusal suggests to its caller if the queue is full or the
 * request was queued. {@link decideAdmission} has its own for requests refused on arrival.
 */
const MINIMUM_RETRY_DELAY_MILLISECONDS: Milliseconds = 100;

/** An endpoint that can serve a target, with its concurrency limit. */
export interface DispatchCandidate extends Candidate {
  readonly concurrency: ConcurrencyLimit;
}

/** A request for a slot at one of a target's endpoints. */
export interface SlotRequest {
  /** Model version, adapter or service call; its requests share the same endpoints. */
  readonly target: string;
  /** A whole number; 0 is the most urgent. */
  readonly priorityClass: number;
  readonly deadline: Instant;
  readonly maximumQueueLength: number;
  /** Endpoints that failed this request before; used only when no other is free. */
  readonly triedEndpoints: ReadonlySet<EndpointId>;
  readonly signal: AbortSignal;
  /** Endpoints that can serve the target now, including those at their limit. */
  readonly candidates: () => readonly DispatchCandidate[];
  /** When the first endpoint is expected to be ready; undefined if unknown. */
  readonly readyAt: () => Instant | undefined;
}

interface QueuedSlotRequest extends QueuedRequest {
  readonly request: SlotRequest;
  readonly resolve: (slot: Slot) => void;
  readonly reject: (failure: unknown) => void;
  cancelTimer: CancelTimer;
}

interface TargetEstimates {
  readonly serviceTime: ServiceTimeEstimate;
  readonly departureInterval: DepartureIntervalEstimate;
}

/** Dependencies of {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly failureDomain: FailureDomain;
  readonly pool: EndpointPool;
}

/** The request queue of a node, shared by all targets. */
export class Dispatcher {
  private readonly queue = RequestQueue.create<QueuedSlotRequest>();
  private readonly estimates = new Map<string, TargetEstimates>();
  /** The last queued request of each target; it provides the target's candidates. */
  private readonly latestRequestByTarget = new Map<string, SlotRequest>();
  private isClosed = false;

  private constructor(private readonly options: DispatcherOptions) {}

  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Number of queued requests, in total or for one target. */
  waiting(target?: string): number {
    return target === undefined ? this.queue.size : this.queue.sizeOf(target);
  }

  /** Exponentially weighted mean of the time that the target's requests hold a slot. */
  serviceTimeMilliseconds(target: string): Milliseconds {
    return this.estimatesOf(target).serviceTime.meanMilliseconds;
  }

  /** Resolves with a slot. Throws a `RefusalError` with outcome "not run" otherwise. */
  async acquireSlot(request: SlotRequest): Promise<Slot> {
    if (this.isClosed) throw createNotRunRefusal(ErrorCode.ShuttingDown, '');
    if (request.signal.aborted)
      throw createNotRunRefusal(ErrorCode.CallerGone, '');
    const refuseAt = this.admit(request);
    if (this.queue.sizeOf(request.target) === 0) {
      const slot = this.tryAcquireSlot(request);
      if (slot !== undefined) return slot;
    }
    return this.enqueue(request, refuseAt);
  }

  /** Assigns free slots to queued requests, after endpoints have become ready or free. */
  dispatchQueued(): void {
    const {clock} = this.options;
    for (;;) {
      const item = this.queue.dequeue(clock.now(), target =>
        this.hasFreeEndpoint(target),
      );
      if (item === undefined) return;
      item.cancelTimer();
      const slot = this.tryAcquireSlot(item.request);
      if (slot === undefined) {
        this.requeue(item);
        return;
      }
      const hasMore = this.queue.sizeOf(item.target) > 0;
      this.estimatesOf(item.target).departureInterval.recordDeparture(
        clock.now(),
        hasMore,
      );
      item.resolve(slot);
    }
  }

  /** Refuses new requests; queued ones are still served. */
  close(): void {
    this.isClosed = true;
  }

  private admit(request: SlotRequest): Instant {
    const {clock} = this.options;
    const now = clock.now();
    const capacity = request
      .candidates()
      .reduce((sum, candidate) => sum + candidate.limit, 0);
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
      departureIntervalMilliseconds:
        estimates.departureInterval.intervalMilliseconds,
      readyAt: request.readyAt(),
    });
    if (decision.kind === 'admit') return decision.refuseAt;
    throw createNotRunRefusal(
      ErrorCode.DeadlineUnreachable,
      request.target,
      decision.retryAt,
    );
  }

  private enqueue(request: SlotRequest, refuseAt: Instant): Promise<Slot> {
    const {clock} = this.options;
    return new Promise((resolve, reject) => {
      const item: QueuedSlotRequest = {
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
        this.queue.enqueue(item, request.maximumQueueLength);
      } catch (failure) {
        reject(this.refusalOf(failure, request));
        return;
      }
      this.latestRequestByTarget.set(request.target, request);
      item.cancelTimer = this.scheduleRefusal(item);
    });
  }

  /** Refuses a queued request at its `refuseAt`, or when its caller disconnects. */
  private scheduleRefusal(item: QueuedSlotRequest): CancelTimer {
    const {signal} = item.request;
    const refuse = (code: ErrorCode): void => {
      if (!this.queue.remove(item)) return;
      item.cancelTimer();
      item.reject(
        createNotRunRefusal(
          code,
          item.target,
          this.estimateRetryAt(item.target),
        ),
      );
    };
    const onAbort = (): void => refuse(ErrorCode.CallerGone);
    signal.addEventListener('abort', onAbort, {once: true});
    const cancel = this.options.clock.schedule(item.refuseAt, () =>
      refuse(ErrorCode.DeadlineUnreachable),
    );
    return () => {
      cancel();
      signal.removeEventListener('abort', onAbort);
    };
  }

  private requeue(item: QueuedSlotRequest): void {
    this.queue.enqueue(item, Infinity);
    item.cancelTimer = this.scheduleRefusal(item);
  }

  private refusalOf(failure: unknown, request: SlotRequest): unknown {
    if (!(failure instanceof QueueFullError)) return failure;
    const retryAt = this.estimateRetryAt(request.target);
    return createNotRunRefusal(ErrorCode.QueueFull, failure.detail, retryAt);
  }

  /** When half of the target's queue is expected to have been served. */
  private estimateRetryAt(target: string): Instant {
    const now = this.options.clock.now();
    const latestRequest = this.latestRequestByTarget.get(target);
    const capacity =
      latestRequest
        ?.candidates()
        .reduce((sum, candidate) => sum + candidate.limit, 0) ?? 0;
    const readyAt = latestRequest?.readyAt() ?? now;
    const {serviceTime, departureInterval} = this.estimatesOf(target);
    const intervalMilliseconds =
      departureInterval.intervalMilliseconds ??
      serviceTime.meanMilliseconds / Math.max(1, capacity);
    const halfQueueMilliseconds =
      (this.queue.sizeOf(target) * intervalMilliseconds) / 2;
    return (Math.max(now, readyAt) +
      Math.max(
        MINIMUM_RETRY_DELAY_MILLISECONDS,
        halfQueueMilliseconds,
      )) as Instant;
  }

  private hasFreeEndpoint(target: string): boolean {
    const latestRequest = this.latestRequestByTarget.get(target);
    return latestRequest?.candidates().some(hasFreeSlot) ?? false;
  }

  private tryAcquireSlot(request: SlotRequest): Slot | undefined {
    const {clock, random, failureDomain, pool} = this.options;
    const free = request.candidates().filter(hasFreeSlot);
    const preferred = free.filter(
      ({endpoint}) => !request.triedEndpoints.has(endpoint),
    );
    const chosen = chooseEndpoint(preferred.length > 0 ? preferred : free, {
      now: clock.now(),
      failureDomain,
      random,
    }) as DispatchCandidate | undefined;
    if (chosen === undefined) return undefined;
    const estimates = this.estimatesOf(request.target);
    return pool.acquireSlot(
      chosen.endpoint,
      chosen.concurrency,
      (reason, heldMilliseconds) => {
        // A request that missed its deadline needed at least the time that it held its slot.
        const isSample = reason === 'answered' || reason === 'late';
        if (isSample) estimates.serviceTime.record(heldMilliseconds);
        this.dispatchQueued();
      },
    );
  }

  private estimatesOf(target: string): TargetEstimates {
    let estimates = this.estimates.get(target);
    if (estimates === undefined) {
      estimates = {
        serviceTime: ServiceTimeEstimate.create(),
        departureInterval: DepartureIntervalEstimate.create(),
      };
      this.estimates.set(target, estimates);
    }
    return estimates;
  }
}

function hasFreeSlot(candidate: DispatchCandidate): boolean {
  return candidate.inFlight < candidate.limit;
}
