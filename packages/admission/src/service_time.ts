/** Running estimates of how long a target's requests take and how fast its queue drains. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.1;

/** Mean deviations above the mean that a cautious estimate allows for. */
const CAUTION = 3;

/** Exponentially weighted mean and deviation of service times. */
export class ServiceTimeEstimate {
  private mean: Milliseconds | undefined;
  private deviation: Milliseconds = 0;

  private constructor() {}

  static create(): ServiceTimeEstimate {
    return new ServiceTimeEstimate();
  }

  /** The mean, or 0 before the first sample: nothing is refused on a guess. */
  get meanMilliseconds(): Milliseconds {
    return this.mean ?? 0;
  }

  /** A time that few requests exceed. */
  get cautious(): Milliseconds {
    return this.meanMilliseconds + CAUTION * this.deviation;
  }

  /** Takes the time that one request spent at its endpoint. */
  record(sample: Milliseconds): void {
    if (this.mean === undefined) {
      this.mean = sample;
      return;
    }
    const error = sample - this.mean;
    this.mean += SAMPLE_WEIGHT * error;
    this.deviation += SAMPLE_WEIGHT * (Math.abs(error) - this.deviation);
  }
}

/** Mean time between two requests that leave a queue which never runs empty. */
export class DrainEstimate {
  private mean: Milliseconds | undefined;
  private lastAt: Instant | undefined;

  private constructor() {}

  static create(): DrainEstimate {
    return new DrainEstimate();
  }

  /** The mean, or undefined while no backlog was observed. */
  get interval(): Milliseconds | undefined {
    return this.mean;
  }

  /** Notes that a request left the queue; `hasMore` if others wait behind it. */
  noteLeft(now: Instant, hasMore: boolean): void {
    if (this.lastAt !== undefined) {
      const sample = until(this.lastAt, now);
      this.mean =
        this.mean === undefined
          ? sample
          : this.mean + SAMPLE_WEIGHT * (sample - this.mean);
    }
    // After an empty queue the next interval says how rare requests are, not how fast it drains.
    this.lastAt = hasMore ? now : undefined;
  }
}
