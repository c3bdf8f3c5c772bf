/** A simulated weight store that slows down above four concurrent loads. */

import type {Clock} from '@siskinmux/kernel';
import {sleepFor} from '@siskinmux/kernel';
import type {WeightStore, WeightStoreReport} from '@siskinmux/ports';

/** Maximum number of concurrent loads at full speed. */
const FULL_SPEED_LOADS = 4;

/** Number of concurrent adapter loads above which each takes proportionally longer. */
const FULL_SPEED_ADAPTERS = 30;

/** Duration of an adapter load at full speed. */
const ADAPTER_LOAD_MILLISECONDS = 6;

/** Implements the weight store port in process; all engines of a deployment share it. */
export class WeightStoreStandIn implements WeightStore {
  /** Current transfer rate as a share of the normal rate. */
  rate = 1;
  private loadsInTransit = 0;
  private adaptersInTransit = 0;

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): WeightStoreStandIn {
    return new WeightStoreStandIn(options.clock);
  }

  async report(): Promise<WeightStoreReport> {
    return {
      loadsInTransit: this.loadsInTransit,
      fullSpeedLoads: FULL_SPEED_LOADS,
      rate: this.rate,
    };
  }

  /** Loads a checkpoint that takes `milliseconds` at full speed. */
  async load(milliseconds: number): Promise<void> {
    this.loadsInTransit += 1;
    const slowdown =
      Math.max(1, this.loadsInTransit / FULL_SPEED_LOADS) / this.rate;
    await this.sleep(milliseconds * slowdown);
    this.loadsInTransit -= 1;
  }

  /** Loads an adapter. */
  async loadAdapter(): Promise<void> {
    this.adaptersInTransit += 1;
    const slowdown = Math.max(1, this.adaptersInTransit / FULL_SPEED_ADAPTERS);
    await this.sleep((ADAPTER_LOAD_MILLISECONDS * slowdown) / this.rate);
    this.adaptersInTransit -= 1;
  }

  private sleep(milliseconds: number): Promise<void> {
    return sleepFor(this.clock, milliseconds);
  }
}
