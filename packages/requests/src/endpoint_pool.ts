/** This node's own dealings with each endpoint: what runs there, limits and health. */

import type {Clock, EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import type {ConcurrencyBounds} from '@siskinmux/admission';
import {ConcurrencyLimit} from '@siskinmux/admission';
import {OutlierDetector} from '@siskinmux/routing';

/** How a request's stay at an endpoint ended. */
export type SlotEnd =
  /** The endpoint answered. */
  | 'answered'
  /** The endpoint took no more work. */
  | 'busy'
  /** The endpoint could not be reached or broke off. */
  | 'failed'
  /** The deadline came first. */
  | 'late'
  /** The caller went away. */
  | 'abandoned';

/** A place at an endpoint that one request holds. */
export interface Slot {
  readonly endpoint: EndpointId;
  /** Notes the first sign of the answer, from which congestion is judged. */
  noteFirstByte(): void;
  /** Gives the place back; further calls do nothing. */
  end(how: SlotEnd): void;
}

/** Limits and health of all endpoints. */
export class EndpointPool {
  private readonly limits = new Map<string, ConcurrencyLimit>();
  private readonly outliers = OutlierDetector.create();

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): EndpointPool {
    return new EndpointPool(options.clock);
  }

  /** The limit of one endpoint for one class of call. */
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

  /** The endpoints that are not ejected for failing. */
  usable(endpoints: readonly EndpointId[]): EndpointId[] {
    return this.outliers.usableEndpoints(endpoints, this.clock.now());
  }

  /** Takes a place; `onEnd` is told how long the request stayed. */
  start(
    endpoint: EndpointId,
    limit: ConcurrencyLimit,
    onEnd: (how: SlotEnd, stayed: Milliseconds) => void,
  ): Slot {
    limit.start();
    const startedAt = this.clock.now();
    let firstByteAt: Instant | undefined;
    let isEnded = false;
    return {
      endpoint,
      noteFirstByte: () => {
        firstByteAt ??= this.clock.now();
      },
      end: how => {
        if (isEnded) return;
        isEnded = true;
        const now = this.clock.now();
        this.noteEnd(endpoint, how, now);
        if (how === 'busy') limit.finishRefused();
        else limit.finish(latencyOf(how, startedAt, firstByteAt, now));
        onEnd(how, until(startedAt, now));
      },
    };
  }

  private noteEnd(endpoint: EndpointId, how: SlotEnd, now: Instant): void {
    if (how === 'answered') this.outliers.recordSuccess(endpoint);
    else if (how === 'failed') this.outliers.recordFailure(endpoint, now);
  }
}

function latencyOf(
  how: SlotEnd,
  startedAt: Instant,
  firstByteAt: Instant | undefined,
  endedAt: Instant,
): Milliseconds | undefined {
  if (how === 'answered') return until(startedAt, firstByteAt ?? endedAt);
  // No sign of an answer until the deadline is the plainest sign of congestion.
  const isStuck = how === 'late' && firstByteAt === undefined;
  return isStuck ? until(startedAt, endedAt) : undefined;
}
