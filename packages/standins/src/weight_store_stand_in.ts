/** A weight store that serves four loads at once at full speed and slows down beyond. */

import type {Clock} from '@siskinmux/kernel';
import {sleepFor} from '@siskinmux/kernel';
import type {WeightStore, WeightStoreReport} from '@siskinmux/ports';

/** Loads served at once at full speed. */
const FULL_SPEED_LOADS = 4;

/** Adapters in transit from which each takes proportionally longer. */
const FULL_SPEED_ADAPTERS = 30;

/** Time of one adapter below that number. */
const ADAPTER_MILLISECONDS = 6;

/** Shared by all engines of a deployment. */
export class WeightStoreStandIn implements WeightStore {
  /** Share of its normal rate that the store gives. */
  rate = 1;
  private loads = 0;
  private adapters = 0;

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): WeightStoreStandIn {
    return new WeightStoreStandIn(options.clock);
  }

  async report(): Promise<WeightStoreReport> {
    return {
      loadsInTransit: this.loads,
      fullSpeedLoads: FULL_SPEED_LOADS,
      rate: this.rate,
    };
  }

  /** Resolves when a checkpoint that takes `milliseconds` at full speed has arrived. */
  async load(milliseconds: number): Promise<void> {
    this.loads += 1;
    const slowdown = Math.max(1, this.loads / FULL_SPEED_LOADS) / this.rate;
    await this.sleep(milliseconds * slowdown);
    this.loads -= 1;
  }

  /** Resolves when an adapter has arrived. */
  async loadAdapter(): Promise<void> {
    this.adapters += 1;
    const slowdown = Math.max(1, this.adapters / FULL_SPEED_ADAPTERS);
    await this.sleep((ADAPTER_MILLISECONDS * slowdown) / this.rate);
    this.adapters -= 1;
  }

  private sleep(milliseconds: number): Promise<void> {
    return sleepFor(this.clock, milliseconds);
  }
}
