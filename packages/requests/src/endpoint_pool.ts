/** Concurrency limits and health of the endpoints, as observed by this node. */

import type {Clock, EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import type {ConcurrencyBounds} from '@siskinmux/admission';
import {ConcurrencyLimit} from '@siskinmux/admission';
import {OutlierDetector} from '@siskinmux/routing';

/** Why a slot was released. */
export type SlotEndReason =
  /** The endpoint responded. */
  | 'answered'
  /** The endpoint refused the request because it was at capacity. */
  | 'busy'
  /** The endpoint was unreachable or its response broke off. */
  | 'failed'
  /** The deadline passed before the response was complete. */
  | 'late'
  /** The request ended for another reason, such as a disconnected caller. */
  | 'abandoned';

/** Capacity for one request at an endpoint, held until {@link Slot.end}. */
export interface Slot {
  readonly endpoint: EndpointId;
  /** Records the first byte of the response; the latency up to it indicates congestion. */
  recordFirstByte(): void;
  /** Releases the slot; further calls do nothing. */
  end(reason: SlotEndReason): void;
}

/** Concurrency limits and outlier detection for all endpoints. */
export class EndpointPool {
  private readonly limits = new Map<string, ConcurrencyLimit>();
  private readonly outliers = OutlierDetector.create();

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): EndpointPool {
    return new EndpointPool(options.clock);
  }

  /** The limit of an endpoint for a class of call, created on first use. */
  concurrencyLimit(
    endpoint: EndpointId,
    callClass: string,
    bounds: ConcurrencyBounds,
  ): ConcurrencyLimit {
    const key = `${endpoint} ${callClass}`;
    let limit = this.limits.get(key);
    if (limit === undefined) {
      limit = ConcurrencyLimit.create(bounds);
      this.limits.set(key, limit);
    }
    return limit;
  }

  /** The given endpoints without those ejected for failures. */
  usableEndpoints(endpoints: readonly EndpointId[]): EndpointId[] {
    return this.outliers.usableEndpoints(endpoints, this.clock.now());
  }

  /** Acquires a slot. `onEnd` receives why it was released and how long it was held. */
  acquireSlot(
    endpoint: EndpointId,
    limit: ConcurrencyLimit,
    onEnd: (reason: SlotEndReason, heldMilliseconds: Milliseconds) => void,
  ): Slot {
    limit.start();
    const startedAt = this.clock.now();
    let firstByteAt: Instant | undefined;
    let isEnded = false;
    return {
      endpoint,
      recordFirstByte: () => {
        firstByteAt ??= this.clock.now();
      },
      end: reason => {
        if (isEnded) return;
        isEnded = true;
        const now = this.clock.now();
        this.recordHealth(endpoint, reason, now, startedAt);
        if (reason === 'busy') limit.finishRefused();
        else limit.finish(latencySample(reason, startedAt, firstByteAt, now));
        onEnd(reason, until(startedAt, now));
      },
    };
  }

  private recordHealth(
    endpoint: EndpointId,
    reason: SlotEndReason,
    now: Instant,
    startedAt: Instant,
  ): void {
    if (reason === 'answered') this.outliers.recordSuccess(endpoint);
    else if (reason === 'failed')
      this.outliers.recordFailure(endpoint, now, startedAt);
  }
}

function latencySample(
  reason: SlotEndReason,
  startedAt: Instant,
  firstByteAt: Instant | undefined,
  endedAt: Instant,
): Milliseconds | undefined {
  if (reason === 'answered') return until(startedAt, firstByteAt ?? endedAt);
  // An endpoint that sends no byte before the deadline is congested.
  const hasNoResponse = reason === 'late' && firstByteAt === undefined;
  return hasNoResponse ? until(startedAt, endedAt) : undefined;
}
