/** Running estimate of how long a target's requests take. */

import type {Milliseconds} from '@siskinmux/kernel';

/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.1;

/** Exponentially weighted mean of service times. */
export class ServiceTimeEstimate {
  private mean: Milliseconds | undefined;

  private constructor() {}

  static create(): ServiceTimeEstimate {
    return new ServiceTimeEstimate();
  }

  /** The estimate, or 0 before the first sample: nothing is refused on a guess. */
  get value(): Milliseconds {
    return this.mean ?? 0;
  }

  /** Takes the time that one request spent at its endpoint. */
  record(sample: Milliseconds): void {
    this.mean =
      this.mean === undefined
        ? sample
        : this.mean + SAMPLE_WEIGHT * (sample - this.mean);
  }
}
