/**
 * How long an idle model stays loaded: the time that would have cost least over the
 * gaps between its own requests, weighing idle accelerators against cold starts.
 */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';

/** Gap buckets: each is twice the one before, from one second to about nine hours. */
const FIRST_BUCKET_MILLISECONDS: Milliseconds = 1_000;
const BUCKETS = 16;

/** Factor by which old gaps count less with each new one. */
const DECAY = 0.95;

/** Gaps that the assumption before any observation is worth. */
const PRIOR_WEIGHT = 1;

/** Requests closer together than this belong to one burst and are no gap. */
const BURST_MILLISECONDS: Milliseconds = 500;

/** What idle time and cold starts cost. */
export interface KeepAliveCosts {
  /** Cost of one millisecond of an idle, loaded model. */
  readonly idleCostPerMillisecond: number;
  /** Cost of one cold start. */
  readonly coldStartCost: number;
}

/** Decides how long one idle model stays loaded. */
export interface KeepAlivePolicy {
  /** When the last request arrived. */
  readonly latestArrivalAt: Instant | undefined;
  /** Notes a request. */
  recordArrival(now: Instant): void;
  /** When the model may be unloaded if no request comes before. */
  keepUntil(idleSince: Instant, costs: KeepAliveCosts): Instant;
}

/** A model's arrivals, as far as they matter for keeping it loaded. */
export class HistogramKeepAlive implements KeepAlivePolicy {
  private readonly gaps: number[] = new Array<number>(BUCKETS).fill(0);
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
      if (gap >= BURST_MILLISECONDS) this.noteGap(gap);
    }
    this.lastArrivalAt = now;
  }

  keepUntil(idleSince: Instant, costs: KeepAliveCosts): Instant {
    return after(idleSince, this.bestTimeout(costs));
  }

  private noteGap(gap: Milliseconds): void {
    for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
      this.gaps[bucket] = (this.gaps[bucket] ?? 0) * DECAY;
    }
    const bucket = bucketOf(gap);
    this.gaps[bucket] = (this.gaps[bucket] ?? 0) + 1;
  }

  private bestTimeout(costs: KeepAliveCosts): Milliseconds {
    // Keeping for as long as a cold start costs is never worse than twice the
    // optimum, whatever the arrivals; it stands in until gaps were observed.
    const breakEven = costs.coldStartCost / costs.idleCostPerMillisecond;
    let best = breakEven;
    let leastCost = this.costOf(breakEven, breakEven, costs);
    for (let bucket = -1; bucket < BUCKETS; bucket += 1) {
      const timeout = bucket < 0 ? 0 : bucketEnd(bucket);
      const cost = this.costOf(timeout, breakEven, costs);
      if (cost < leastCost) {
        leastCost = cost;
        best = timeout;
      }
    }
    return best;
  }

  /** Cost over the observed gaps, and over a prior gap of unknown length. */
  private costOf(
    timeout: Milliseconds,
    breakEven: Milliseconds,
    costs: KeepAliveCosts,
  ): number {
    let cost = PRIOR_WEIGHT * priorCost(timeout, breakEven, costs);
    for (const [bucket, weight] of this.gaps.entries()) {
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
  const isCovered = timeout >= end;
  const idle = isCovered ? (bucketStart(bucket) + end) / 2 : timeout;
  const coldStart = isCovered ? 0 : costs.coldStartCost;
  return idle * costs.idleCostPerMillisecond + coldStart;
}

/** Expected cost if gaps were spread exponentially around the break-even time. */
function priorCost(
  timeout: Milliseconds,
  breakEven: Milliseconds,
  costs: KeepAliveCosts,
): number {
  const missed = Math.exp(-timeout / breakEven);
  const idle = breakEven * (1 - missed);
  return idle * costs.idleCostPerMillisecond + missed * costs.coldStartCost;
}

function bucketOf(gap: Milliseconds): number {
  const exact = Math.floor(Math.log2(gap / FIRST_BUCKET_MILLISECONDS)) + 1;
  return Math.min(BUCKETS - 1, Math.max(0, exact));
}

function bucketStart(bucket: number): Milliseconds {
  return bucket === 0 ? 0 : FIRST_BUCKET_MILLISECONDS * 2 ** (bucket - 1);
}

function bucketEnd(bucket: number): Milliseconds {
  return FIRST_BUCKET_MILLISECONDS * 2 ** bucket;
}
