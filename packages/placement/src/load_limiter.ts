/** Limits concurrent loads from the weight store, over all engines of all services. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';

/**
 * Initial and maximum number of concurrent loads. How many loads the weight store serves
 * at full speed isn't declared: above that number, each load takes proportionally longer
 * and none finishes earlier. The limit doubles while loads are as fast as an uncontended
 * one. After loads have once been slowed down, it grows by one.
 */
const INITIAL_CONCURRENCY = 1;
const MAXIMUM_CONCURRENCY = 8;

/**
 * A load that takes longer than an uncontended one by this factor was slowed down by
 * others.
 */
const SLOWED_FACTOR = 1.25;

/**
 * Share of the declared rate that is used, as a previous lease holder may have started
 * loads that this one doesn't know of.
 */
const USABLE_RATE_SHARE = 0.8;

/**
 * Ends a load; further calls have no effect. A load that completed passes its duration and
 * the duration of an uncontended load.
 */
export type FinishLoad = (timing?: {
  loadMilliseconds: Milliseconds;
  uncontendedMilliseconds: Milliseconds;
}) => void;

interface LoadInProgress {
  readonly initialLoads: number;
  peakLoads: number;
  /**
   * Limit that a later load reached which has ended in time beside this one. It shows that the store
   * serves as many at full speed only if this one ends in time, too: a store may serve one after
   * the other.
   */
  provenLimit: number;
}

/** Adapts the number of concurrent loads to the speed of completed ones. */
export class LoadLimiter {
  /**
   * Loads in progress, each with the number of concurrent loads at its start, itself included, and
   * with their peak. Loads that join at its end may have slowed it, but don't show that it would
   * have been as fast beside them.
   */
  private readonly inProgress = new Set<LoadInProgress>();

  private hasBeenSlowed = false;

  private constructor(
    private readonly windowMilliseconds: Milliseconds,
    private limit: number,
    private readonly starts: Instant[],
  ) {}

  /**
   * `windowMilliseconds` is the window in which starts of loads are counted.
   * `initialLimit` is the limit that the previous lease holder had reached, and
   * `earlierStarts` are the loads that it started last, if known.
   */
  static create(
    windowMilliseconds: Milliseconds,
    initialLimit = INITIAL_CONCURRENCY,
    earlierStarts: readonly Instant[] = [],
  ): LoadLimiter {
    return new LoadLimiter(windowMilliseconds, initialLimit, [
      ...earlierStarts,
    ]);
  }

  /** When the latest loads started, oldest first. */
  get recentStarts(): readonly Instant[] {
    return this.starts;
  }

  /** Concurrent loads that the weight store is assumed to serve at full speed. */
  get concurrencyLimit(): number {
    return this.limit;
  }

  /**
   * Loads that may start now; negative when more are in progress than the limit, or `maximum`,
   * allows.
   */
  availableLoads(
    loadsPerSecond: number,
    now: Instant,
    maximum = MAXIMUM_CONCURRENCY,
  ): number {
    while (
      this.starts[0] !== undefined &&
      until(this.starts[0], now) >= this.windowMilliseconds
    ) {
      this.starts.shift();
    }
    const maximumInWindow = Math.max(
      1,
      Math.floor(
        ((loadsPerSecond * this.windowMilliseconds) / 1_000) *
          USABLE_RATE_SHARE,
      ),
    );
    return Math.min(
      Math.min(this.limit, maximum) - this.inProgress.size,
      maximumInWindow - this.starts.length,
    );
  }

  /** Records the start of a load; the returned function has to be called when it ends. */
  startLoad(now: Instant): FinishLoad {
    this.starts.push(now);
    const concurrentLoads = this.inProgress.size + 1;
    const load: LoadInProgress = {
      initialLoads: concurrentLoads,
      peakLoads: concurrentLoads,
      provenLimit: concurrentLoads,
    };
    const earlier = [...this.inProgress];
    this.inProgress.add(load);
    for (const other of this.inProgress)
      other.peakLoads = Math.max(other.peakLoads, concurrentLoads);
    return timing => {
      if (!this.inProgress.delete(load) || timing === undefined) return;
      this.adjustLimit(
        load,
        earlier.filter(other => this.inProgress.has(other)),
        timing.loadMilliseconds,
        timing.uncontendedMilliseconds,
      );
    };
  }

  private adjustLimit(
    {peakLoads, provenLimit}: LoadInProgress,
    earlierLoads: readonly LoadInProgress[],
    loadMilliseconds: Milliseconds,
    uncontendedMilliseconds: Milliseconds,
  ): void {
    if (loadMilliseconds > uncontendedMilliseconds * SLOWED_FACTOR) {
      const servedAtFullSpeed = Math.floor(
        (peakLoads * uncontendedMilliseconds * SLOWED_FACTOR) /
          loadMilliseconds,
      );
      this.limit = Math.max(
        INITIAL_CONCURRENCY,
        Math.min(this.limit, servedAtFullSpeed),
      );
      this.hasBeenSlowed = true;
    } else if (earlierLoads.length > 0) {
      for (const earlier of earlierLoads)
        earlier.provenLimit = Math.max(earlier.provenLimit, provenLimit);
    } else if (provenLimit >= this.limit) {
      const raised = this.hasBeenSlowed ? this.limit + 1 : this.limit * 2;
      this.limit = Math.min(MAXIMUM_CONCURRENCY, raised);
    }
  }
}
