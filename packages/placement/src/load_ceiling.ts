/** Limits loads from the weight store, over all engines. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';

/**
 * Loads that run at once. Beyond what the weight store carries at full speed each takes
 * longer in proportion, so that more of them finish no earlier.
 */
const LOADS_AT_ONCE = 4;

/** Part of the declared rate that is used; a holder before may have begun loads unseen. */
const RATE_SHARE = 0.8;

/** Loads that are under way or began lately. */
export class LoadCeiling {
  private readonly begun: Instant[] = [];
  private running = 0;

  private constructor(private readonly windowMilliseconds: Milliseconds) {}

  static create(windowMilliseconds: Milliseconds): LoadCeiling {
    return new LoadCeiling(windowMilliseconds);
  }

  /** Loads that may begin now; negative when more are under way than should be. */
  free(loadsPerSecond: number, now: Instant): number {
    while (
      this.begun[0] !== undefined &&
      until(this.begun[0], now) >= this.windowMilliseconds
    ) {
      this.begun.shift();
    }
    const inWindow = Math.max(
      1,
      Math.floor(
        ((loadsPerSecond * this.windowMilliseconds) / 1_000) * RATE_SHARE,
      ),
    );
    return Math.min(LOADS_AT_ONCE - this.running, inWindow - this.begun.length);
  }

  /** Notes a load that begins; returns what to call once when it has ended. */
  begin(now: Instant): () => void {
    this.begun.push(now);
    this.running += 1;
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      this.running -= 1;
    };
  }
}
