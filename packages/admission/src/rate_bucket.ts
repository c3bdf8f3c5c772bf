/** A token bucket. It starts empty, as its predecessor's tokens may have been used. */

import type {Instant} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';

/** Tokens that accumulate unused, in seconds of the rate. */
const BURST_SECONDS = 0.5;

/** Least burst: one token to give out, and one in reserve. */
const MINIMUM_BURST = 2;

const MILLISECONDS_PER_SECOND = 1_000;

/** Accumulates tokens at a rate, up to a burst. */
export class RateBucket {
  private tokens = 0;

  private constructor(
    private tokensPerSecond: number,
    private refilledAt: Instant,
  ) {}

  static create(tokensPerSecond: number, now: Instant): RateBucket {
    return new RateBucket(tokensPerSecond, now);
  }

  /** Most tokens that accumulate. */
  get capacity(): number {
    return Math.max(MINIMUM_BURST, this.tokensPerSecond * BURST_SECONDS);
  }

  /** Changes the rate from `now` on; tokens beyond the new burst are discarded. */
  setRate(tokensPerSecond: number, now: Instant): void {
    this.refill(now);
    this.tokensPerSecond = tokensPerSecond;
    this.tokens = Math.min(this.tokens, this.capacity);
  }

  /** Whole tokens that are available. */
  available(now: Instant): number {
    this.refill(now);
    return Math.floor(this.tokens);
  }

  /** Whether no more tokens accumulate. */
  isFull(now: Instant): boolean {
    this.refill(now);
    return this.tokens >= this.capacity;
  }

  /** Takes tokens that are available. */
  take(count: number): void {
    this.tokens -= count;
  }

  /** When the given number of tokens will have accumulated if none is taken until then. */
  readyAt(count: number, now: Instant): Instant {
    this.refill(now);
    const missing = Math.max(0, count - this.tokens);
    return after(
      now,
      Math.ceil((missing / this.tokensPerSecond) * MILLISECONDS_PER_SECOND),
    );
  }

  private refill(now: Instant): void {
    const seconds =
      Math.max(0, until(this.refilledAt, now)) / MILLISECONDS_PER_SECOND;
    this.refilledAt = now;
    this.tokens = Math.min(
      this.capacity,
      this.tokens + seconds * this.tokensPerSecond,
    );
  }
}
