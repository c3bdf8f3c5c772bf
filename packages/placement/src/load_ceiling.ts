/** Limits loads from the weight store, over all engines. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';

/**
 * Loads that run at once, at first and at most. Nobody declares how many the weight
 * store carries at full speed: beyond, each takes longer in proportion and none ends
 * earlier. The number doubles while loads take no longer than one alone, and grows by
 * one after it has once been too large.
 */
const FIRST_AT_ONCE = 1;
const MOST_AT_ONCE = 8;

/** A load that took so much longer than one alone was slowed by the others. */
const SLOWED_FACTOR = 1.25;

/** Part of the declared rate that is used; a holder before may have begun loads unseen. */
const RATE_SHARE = 0.8;

/**
 * Ends a load; further calls do nothing. A load that came to its end tells the time that
 * it took, and the time that one takes alone.
 */
export type EndLoad = (timing?: {
  loadMilliseconds: Milliseconds;
  alone: Milliseconds;
}) => void;

/** Loads that are under way or began lately. */
export class LoadCeiling {
  private readonly begun: Instant[] = [];
  /** Loads under way, each with the most that it has run beside, itself included. */
  private readonly running = new Set<{beside: number}>();

  private wasSlowed = false;

  private constructor(
    private readonly windowMilliseconds: Milliseconds,
    private atOnce: number,
  ) {}

  /** `knownAtOnce` is what a holder before has found out, if it was heard of. */
  static create(
    windowMilliseconds: Milliseconds,
    knownAtOnce = FIRST_AT_ONCE,
  ): LoadCeiling {
    return new LoadCeiling(windowMilliseconds, knownAtOnce);
  }

  /** Loads that the weight store has been seen to carry at full speed. */
  get knownAtOnce(): number {
    return this.atOnce;
  }

  /** Loads that may begin now; negative when more are under way than should be. */
  availableLoads(loadsPerSecond: number, now: Instant): number {
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
    return Math.min(
      this.atOnce - this.running.size,
      inWindow - this.begun.length,
    );
  }

  /** Notes a load that begins; returns what to call when it has ended. */
  startLoad(now: Instant): EndLoad {
    this.begun.push(now);
    const load = {beside: 0};
    this.running.add(load);
    for (const each of this.running) {
      each.beside = Math.max(each.beside, this.running.size);
    }
    return timing => {
      if (!this.running.delete(load) || timing === undefined) return;
      this.learn(load.beside, timing.loadMilliseconds, timing.alone);
    };
  }

  private learn(beside: number, took: Milliseconds, alone: Milliseconds): void {
    if (took > alone * SLOWED_FACTOR) {
      const carried = Math.floor((beside * alone * SLOWED_FACTOR) / took);
      this.atOnce = Math.max(FIRST_AT_ONCE, Math.min(this.atOnce, carried));
      this.wasSlowed = true;
    } else if (beside >= this.atOnce) {
      const more = this.wasSlowed ? this.atOnce + 1 : this.atOnce * 2;
      this.atOnce = Math.min(MOST_AT_ONCE, more);
    }
  }
}
