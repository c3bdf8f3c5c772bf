/** Estimates of a target's service time and of the departure interval of its queue. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';

/** Weight of the newest sample in an exponentially weighted mean. */
const SAMPLE_WEIGHT = 0.1;

/** Mean deviations that the upper estimate adds to the mean. */
const DEVIATIONS_IN_UPPER_ESTIMATE = 3;

/** Exponentially weighted mean and mean deviation of service times. */
export class ServiceTimeEstimate {
  private mean: Milliseconds | undefined;
  private deviation: Milliseconds = 0;

  private constructor() {}

  static create(): ServiceTimeEstimate {
    return new ServiceTimeEstimate();
  }

  /** The mean; 0 before the first sample, so that no request is refused without data. */
  get meanMilliseconds(): Milliseconds {
    return this.mean ?? 0;
  }

  /** An upper estimate that few requests exceed. */
  get upperMilliseconds(): Milliseconds {
    return (
      this.meanMilliseconds + DEVIATIONS_IN_UPPER_ESTIMATE * this.deviation
    );
  }

  /** Records how long one request took at its endpoint. */
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

/** Mean interval between two requests that leave a non-empty queue. */
export class DepartureIntervalEstimate {
  private mean: Milliseconds | undefined;
  private lastDepartureAt: Instant | undefined;

  private constructor() {}

  static create(): DepartureIntervalEstimate {
    return new DepartureIntervalEstimate();
  }

  /** The mean; undefined until a backlog was observed. */
  get intervalMilliseconds(): Milliseconds | undefined {
    return this.mean;
  }

  /** Records that a request left the queue; `hasMore` states whether others still wait. */
  recordDeparture(now: Instant, hasMore: boolean): void {
    if (this.lastDepartureAt !== undefined) {
      const sample = until(this.lastDepartureAt, now);
      this.mean =
        this.mean === undefined
          ? sample
          : this.mean + SAMPLE_WEIGHT * (sample - this.mean);
    }
    // After the queue ran empty the next interval measures arrivals, not departures.
    this.lastDepartureAt = hasMore ? now : undefined;
  }
}
