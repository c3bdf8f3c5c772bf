/**
 * Adaptive concurrency limit, derived from latency. Each endpoint and class of call has
 * a limit of its own, so that a slow class cannot use up the slots of another.
 */

import type {Milliseconds} from '@siskinmux/kernel';

/** Multiple of the lowest observed latency above which requests queue at the endpoint. */
const CONGESTED_LATENCY_RATIO = 2;

/**
 * Added to the congestion threshold, so that jitter of very short latencies is ignored.
 */
const CONGESTED_SLACK_MILLISECONDS = 5;

/** Factor by which congestion lowers the limit. */
const DECREASE_FACTOR = 0.9;

/**
 * Share by which the lowest latency grows with each sample, so that old minima expire.
 */
const LOWEST_LATENCY_DRIFT = 0.001;

/** Initial value and range of a {@link ConcurrencyLimit}. */
export interface ConcurrencyBounds {
  readonly initial: number;
  readonly minimum: number;
  readonly maximum: number;
}

/** Additive increase while latency is near its minimum, multiplicative decrease above. */
export class ConcurrencyLimit {
  private limit: number;
  private lowestLatencyMilliseconds: Milliseconds | undefined;
  private running = 0;
  /** Requests started before the last decrease that have not ended yet. */
  private startedBeforeDecrease = 0;

  private constructor(private readonly bounds: ConcurrencyBounds) {
    this.limit = bounds.initial;
  }

  static create(bounds: ConcurrencyBounds): ConcurrencyLimit {
    return new ConcurrencyLimit(bounds);
  }

  /** Requests that may run concurrently. */
  get value(): number {
    return Math.floor(this.limit);
  }

  /** Requests that are running now. */
  get inFlight(): number {
    return this.running;
  }

  /** Whether another request may start. */
  get canStart(): boolean {
    return this.running < this.value;
  }

  /** Records the start of a request. Callers must check {@link canStart} first. */
  start(): void {
    this.running += 1;
  }

  /**
   * Records the end of a request; `latency` is undefined when it does not reflect load.
   */
  finish(latency: Milliseconds | undefined): void {
    const wasFull = this.running >= this.value;
    const hasStartedBeforeDecrease = this.recordEnd();
    if (latency === undefined) return;
    const lowest = this.updateLowestLatency(latency);
    const congestedAbove =
      lowest * CONGESTED_LATENCY_RATIO + CONGESTED_SLACK_MILLISECONDS;
    if (latency > congestedAbove) {
      if (!hasStartedBeforeDecrease) this.decrease();
    } else if (wasFull) {
      this.setLimit(this.limit + 1 / this.limit);
    }
  }

  /** Records the end of a request that the endpoint refused because it was full. */
  finishRefused(): void {
    if (!this.recordEnd()) this.decrease();
  }

  /**
   * Records an end and returns whether it belongs to a request that was in flight at the
   * last decrease. Such a request does not reflect the new limit and must not lower it
   * again, so that a burst of slow requests counts as one sign of congestion.
   */
  private recordEnd(): boolean {
    this.running -= 1;
    if (this.startedBeforeDecrease === 0) return false;
    this.startedBeforeDecrease -= 1;
    return true;
  }

  private updateLowestLatency(latency: Milliseconds): Milliseconds {
    const drifted =
      this.lowestLatencyMilliseconds === undefined
        ? latency
        : this.lowestLatencyMilliseconds * (1 + LOWEST_LATENCY_DRIFT);
    this.lowestLatencyMilliseconds = Math.min(drifted, latency);
    return this.lowestLatencyMilliseconds;
  }

  private decrease(): void {
    this.startedBeforeDecrease = this.running;
    this.setLimit(this.limit * DECREASE_FACTOR);
  }

  private setLimit(limit: number): void {
    const {minimum, maximum} = this.bounds;
    this.limit = Math.min(maximum, Math.max(minimum, limit));
  }
}
