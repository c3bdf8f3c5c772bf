/**
 * Decides how long an idle model stays loaded. The timeout is the one that would have
 * cost least over the observed gaps between the model's requests, where idle accelerator
 * time and cold starts both have a cost.
 */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';

/**
 * Histogram of gaps: the upper bound of each bucket is twice that of the one before, from
 * one second to about nine hours.
 */
const FIRST_BUCKET_MILLISECONDS: Milliseconds = 1_000;
const BUCKET_COUNT = 16;

/** Factor by which each new gap reduces the weight of older ones. */
const GAP_DECAY_FACTOR = 0.95;

/** Weight of the prior assumption, in observed gaps. */
const PRIOR_WEIGHT = 1;

/** Requests closer together than this belong to one burst and count as no gap. */
const MINIMUM_GAP_MILLISECONDS: Milliseconds = 500;

/** Costs of idle time and of cold starts. */
export interface KeepAliveCosts {
  /** Cost of one millisecond of an idle, loaded model. */
  readonly idleCostPerMillisecond: number;
  /** Cost of one cold start. */
  readonly coldStartCost: number;
}

/** Decides how long one idle model stays loaded. */
export interface KeepAlivePolicy {
  /** When the newest request arrived; undefined before the first. */
  readonly latestArrivalAt: Instant | undefined;
  /** Records the arrival of a request. */
  recordArrival(now: Instant): void;
  /** Returns when the model may be unloaded if no request arrives before. */
  keepUntil(idleSince: Instant, costs: KeepAliveCosts): Instant;
}

/** Keep-alive policy based on a decaying histogram of the gaps between requests. */
export class HistogramKeepAlive implements KeepAlivePolicy {
  private readonly gapWeights: number[] = new Array<number>(BUCKET_COUNT).fill(
    0,
  );
  private lastArrivalAt: Instant | undefined;

  private constructor() {}

  static create(): HistogramKeepAlive {
    return new HistogramKeepAlive();
  }

  get latestArrivalAt(): Instant | undefined {
    return this.lastArrivalAt;
  }

  recordArrival(now: Instant): void {
    if (this.lastArrivalAt !== undefined) {
      const gap = until(this.lastArrivalAt, now);
      if (gap >= MINIMUM_GAP_MILLISECONDS) this.recordGap(gap);
    }
    this.lastArrivalAt = now;
  }

  keepUntil(idleSince: Instant, costs: KeepAliveCosts): Instant {
    return after(idleSince, this.bestTimeout(costs));
  }

  private recordGap(gap: Milliseconds): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      this.gapWeights[bucket] =
        (this.gapWeights[bucket] ?? 0) * GAP_DECAY_FACTOR;
    }
    const bucket = bucketOf(gap);
    this.gapWeights[bucket] = (this.gapWeights[bucket] ?? 0) + 1;
  }

  private bestTimeout(costs: KeepAliveCosts): Milliseconds {
    // Keeping a model until its idle cost equals a cold start never costs more than twice
    // the optimum, whatever the arrivals. This is the default until gaps are observed.
    const breakEven = costs.coldStartCost / costs.idleCostPerMillisecond;
    let best = breakEven;
    let leastCost = this.expectedCost(breakEven, breakEven, costs);
    for (let bucket = -1; bucket < BUCKET_COUNT; bucket += 1) {
      const timeout = bucket < 0 ? 0 : bucketEnd(bucket);
      const cost = this.expectedCost(timeout, breakEven, costs);
      if (cost < leastCost) {
        leastCost = cost;
        best = timeout;
      }
    }
    return best;
  }

  /** Cost of a timeout over the observed gaps and over the prior. */
  private expectedCost(
    timeout: Milliseconds,
    breakEven: Milliseconds,
    costs: KeepAliveCosts,
  ): number {
    let cost = PRIOR_WEIGHT * priorCost(timeout, breakEven, costs);
    for (const [bucket, weight] of this.gapWeights.entries()) {
      if (weight > 0) cost += weight * gapCost(bucket, timeout, costs);
    }
    return cost;
  }
}

function gapCost(
  bucket: number,
  timeout: Milliseconds,
  costs: KeepAliveCosts,
): number {
  const end = bucketEnd(bucket);
  const isStillLoaded = timeout >= end;
  const idle = isStillLoaded ? (bucketStart(bucket) + end) / 2 : timeout;
  const coldStart = isStillLoaded ? 0 : costs.coldStartCost;
  return idle * costs.idleCostPerMillisecond + coldStart;
}

/**
 * Expected cost if gaps are distributed exponentially with the break-even time as mean.
 */
function priorCost(
  timeout: Milliseconds,
  breakEven: Milliseconds,
  costs: KeepAliveCosts,
): number {
  const coldStartProbability = Math.exp(-timeout / breakEven);
  const idle = breakEven * (1 - coldStartProbability);
  return (
    idle * costs.idleCostPerMillisecond +
    coldStartProbability * costs.coldStartCost
  );
}

function bucketOf(gap: Milliseconds): number {
  const bucket = Math.floor(Math.log2(gap / FIRST_BUCKET_MILLISECONDS)) + 1;
  return Math.min(BUCKET_COUNT - 1, Math.max(0, bucket));
}

function bucketStart(bucket: number): Milliseconds {
  return bucket === 0 ? 0 : FIRST_BUCKET_MILLISECONDS * 2 ** (bucket - 1);
}

function bucketEnd(bucket: number): Milliseconds {
  return FIRST_BUCKET_MILLISECONDS * 2 ** bucket;
}
