/**
 * A rate limit that all nodes share. One node owns it and gives out permits, each for a
 * send within a short time. Requests without another endpoint wait in order of their
 * priority; the others only get permits that would be lost otherwise.
 */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {after, earlier, later} from '@siskinmux/kernel';
import {RateBucket} from './rate_bucket.js';

/** How long a permit is valid; bounds how far sends can bunch. */
export const PERMIT_LIFETIME_MILLISECONDS: Milliseconds = 500;

/** Permits given out at once, in seconds of the rate, which bounds the messages at high rates. */
const BATCH_SECONDS = 0.05;

/** Latest time at which a refused request is told to return. */
const MAXIMUM_RETURN_MILLISECONDS: Milliseconds = 30_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** A request for a permit. */
export interface PermitRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Until when the request can wait; undefined if it has other endpoints to try. */
  readonly waitUntil: Instant | undefined;
}

/**
 * Permits for `count` sends until `validUntil`, or when the caller may try again. `unowned`:
 * no node gives out permits now.
 */
export type PermitDecision =
  | {
      readonly kind: 'granted';
      readonly count: number;
      readonly validUntil: Instant;
    }
  | {readonly kind: 'refused' | 'unowned'; readonly retryAt: Instant};

/** Receives the decision on a request that waits. */
export type SettlePermit = (decision: PermitDecision) => void;

interface Waiter extends PermitRequest {
  readonly waitUntil: Instant;
  readonly settle: SettlePermit;
}

/** One limit with the requests that wait for it. The owner calls {@link advance}. */
export class SharedRate {
  private readonly bucket: RateBucket;
  /** In the order in which they are served. */
  private waiters: Waiter[] = [];
  /** When the next refused request is told to return. */
  private nextReturnAt: Instant;

  private constructor(
    private perSecond: number,
    now: Instant,
  ) {
    this.bucket = RateBucket.create(perSecond, now);
    this.nextReturnAt = now;
  }

  static create(perSecond: number, now: Instant): SharedRate {
    return new SharedRate(perSecond, now);
  }

  /** Number of requests that wait. */
  get waitingCount(): number {
    return this.waiters.length;
  }

  /** Whether permits would be lost because nobody needs them. */
  hasUnused(now: Instant): boolean {
    return this.waiters.length === 0 && this.bucket.isFull(now);
  }

  /** Changes the rate from `now` on, and refuses those who would now wait for too long. */
  setRate(perSecond: number, now: Instant): void {
    if (perSecond === this.perSecond) return;
    this.perSecond = perSecond;
    this.bucket.setRate(perSecond, now);
    this.refuseLateWaiters(now);
  }

  /** Decides at once, or calls `settle` later for a request that waits. */
  request(
    {priority, waitUntil}: PermitRequest,
    settle: SettlePermit,
    now: Instant,
  ): void {
    this.advance(now);
    if (waitUntil === undefined) {
      settle(this.decideWithoutWait(now));
      return;
    }
    if (this.waiters.length === 0 && this.bucket.available(now) >= 1) {
      settle(this.grant(this.batchSize(now), now));
      return;
    }
    const behind = this.waiters.findIndex(waiter => waiter.priority > priority);
    const position = behind < 0 ? this.waiters.length : behind;
    this.waiters.splice(position, 0, {priority, waitUntil, settle});
    this.refuseLateWaiters(now);
  }

  /** Grants the permits that are due. */
  advance(now: Instant): void {
    while (this.waiters.length > 0 && this.bucket.available(now) >= 1)
      this.waiters.shift()?.settle(this.grant(1, now));
  }

  /** When {@link advance} has something to do; undefined if nothing waits. */
  nextAdvanceAt(now: Instant): Instant | undefined {
    return this.waiters.length === 0 ? undefined : this.bucket.readyAt(1, now);
  }

  /** Ends the limit: those who wait may send. */
  end(now: Instant): void {
    const {waiters} = this;
    this.waiters = [];
    for (const {settle} of waiters)
      settle({
        kind: 'granted',
        count: 1,
        validUntil: after(now, PERMIT_LIFETIME_MILLISECONDS),
      });
  }

  /** Ends the wait of all, since another node owns the limit from now on. */
  abandon(now: Instant): void {
    const {waiters} = this;
    this.waiters = [];
    for (const {settle} of waiters) settle({kind: 'unowned', retryAt: now});
  }

  private decideWithoutWait(now: Instant): PermitDecision {
    if (this.hasUnused(now)) return this.grant(this.batchSize(now), now);
    const count = this.waiters.length + this.bucket.capacity;
    return {kind: 'refused', retryAt: this.bucket.readyAt(count, now)};
  }

  private grant(count: number, now: Instant): PermitDecision {
    this.bucket.take(count);
    return {
      kind: 'granted',
      count,
      validUntil: after(now, PERMIT_LIFETIME_MILLISECONDS),
    };
  }

  private batchSize(now: Instant): number {
    const batch = Math.max(1, Math.floor(this.perSecond * BATCH_SECONDS));
    return Math.min(batch, this.bucket.available(now));
  }

  /** A waiter is refused as soon as it is known that its turn comes too late. */
  private refuseLateWaiters(now: Instant): void {
    const kept: Waiter[] = [];
    const refused: Waiter[] = [];
    for (const waiter of this.waiters) {
      const turnAt = this.bucket.readyAt(kept.length + 1, now);
      (turnAt > waiter.waitUntil ? refused : kept).push(waiter);
    }
    this.waiters = kept;
    for (const {settle} of refused)
      settle({kind: 'refused', retryAt: this.takeReturnTime(now)});
  }

  /**
   * Spreads the return of refused requests at the rate of the limit. Beyond the latest time it
   * starts over: most of them won't return.
   */
  private takeReturnTime(now: Instant): Instant {
    const freeAt = this.bucket.readyAt(this.waiters.length + 1, now);
    const latest = after(now, MAXIMUM_RETURN_MILLISECONDS);
    const next = later(this.nextReturnAt, freeAt);
    const returnAt = next > latest ? earlier(freeAt, latest) : next;
    this.nextReturnAt = after(
      returnAt,
      MILLISECONDS_PER_SECOND / this.perSecond,
    );
    return returnAt;
  }
}
