/**
 * Concurrency limit that finds its level from latency, one per endpoint and class
 * of call, so that a slow class never takes the slots of another.
 */

import type {Milliseconds} from '@siskinmux/kernel';

/** Latency above this multiple of the best seen means that the endpoint queues. */
const CONGESTED_RATIO = 2;

/** Slack that a congested reading needs besides, so that tiny latencies don't flap. */
const CONGESTED_SLACK_MILLISECONDS = 5;

/** Factor of a decrease. */
const DECREASE = 0.9;

/** Share by which the best latency drifts up with each sample, to forget old bests. */
const BEST_DRIFT = 0.001;

/** Bounds of a limit. */
export interface ConcurrencyBounds {
  readonly initial: number;
  readonly least: number;
  readonly maximum: number;
}

/** Additive increase while latency is near its best, multiplicative decrease above. */
export class ConcurrencyLimit {
  private limit: number;
  private best: Milliseconds | undefined;
  private running = 0;
  /** Requests that were in flight at the last decrease and have not ended yet. */
  private fromBefore = 0;

  private constructor(private readonly bounds: ConcurrencyBounds) {
    this.limit = bounds.initial;
  }

  static create(bounds: ConcurrencyBounds): ConcurrencyLimit {
    return new ConcurrencyLimit(bounds);
  }

  /** Requests allowed at once. */
  get value(): number {
    return Math.floor(this.limit);
  }

  /** Requests that run now. */
  get inFlight(): number {
    return this.running;
  }

  /** Whether one more may start. */
  get hasRoom(): boolean {
    return this.running < this.value;
  }

  /** Notes a start; the caller has checked {@link hasRoom}. */
  start(): void {
    this.running += 1;
  }

  /** Notes an end with its latency, or undefined when it says nothing about load. */
  finish(latency: Milliseconds | undefined): void {
    const wasBusy = this.running >= this.value;
    const isFromBefore = this.noteEnd();
    if (latency === undefined) return;
    const best = this.updateBest(latency);
    const congestedFrom = best * CONGESTED_RATIO + CONGESTED_SLACK_MILLISECONDS;
    if (latency > congestedFrom) {
      if (!isFromBefore) this.decrease();
    } else if (wasBusy) {
      this.move(this.limit + 1 / this.limit);
    }
  }

  /** The endpoint refused for want of room. */
  refuse(): void {
    if (!this.noteEnd()) this.decrease();
  }

  /**
   * One burst is one sign of congestion: what was in flight when the limit was last
   * decreased says nothing of the limit that came of it.
   */
  private noteEnd(): boolean {
    this.running -= 1;
    if (this.fromBefore === 0) return false;
    this.fromBefore -= 1;
    return true;
  }

  private updateBest(latency: Milliseconds): Milliseconds {
    const drifted =
      this.best === undefined ? latency : this.best * (1 + BEST_DRIFT);
    this.best = Math.min(drifted, latency);
    return this.best;
  }

  private decrease(): void {
    this.fromBefore = this.running;
    this.move(this.limit * DECREASE);
  }

  private move(limit: number): void {
    const {least, maximum: most} = this.bounds;
    this.limit = Math.min(most, Math.max(least, limit));
  }
}
