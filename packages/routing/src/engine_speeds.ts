/** Speed of engines, as one node sees it in its own completed requests. */

import type {EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';

/** Time in which the weight of a completed request falls to a half. */
const HALF_LIFE_MILLISECONDS: Milliseconds = 15_000;

/** Records that are older have decayed to less than a thousandth, and are dropped. */
const RECORD_LIFETIME_MILLISECONDS: Milliseconds = 10 * HALF_LIFE_MILLISECONDS;

/**
 * Weight, in requests, of the assumption that an engine is as fast as the average. It limits
 * what a few requests say, and lets engines with few requests return to the average.
 */
const PRIOR_WEIGHT = 4;

/** Bound on the ratio of one request's time to the expected one, in either direction. */
const MAXIMUM_SAMPLE_RATIO = 4;

/** Bound on an engine's time relative to the average, in either direction. */
const MAXIMUM_SLOWNESS = 3;

/** Weight of one request in the expected time of its kind. */
const EXPECTATION_WEIGHT = 0.05;

/** Expected time of a request before the first one has completed. */
const INITIAL_MILLISECONDS: Milliseconds = 1_000;

/** Bound on the kinds of requests with an expected time; the one added first is dropped. */
const MAXIMUM_KINDS = 500;

/** Sum of logarithmic ratios, with their weights; both decay. */
interface SpeedRecord {
  sum: number;
  weight: number;
  updatedAt: Instant;
}

/** Estimates from this node's own requests how slow each engine is. */
export class EngineSpeeds {
  private readonly records = new Map<EndpointId, SpeedRecord>();
  /** Mean logarithm of the time of requests of one kind. */
  private readonly expectations = new Map<string, number>();
  private meanMilliseconds: Milliseconds = INITIAL_MILLISECONDS;
  private completedCount = 0;

  private constructor() {}

  static create(): EngineSpeeds {
    return new EngineSpeeds();
  }

  /** Engines of which something is known. */
  get size(): number {
    return this.records.size;
  }

  /** Mean time of this node's requests, over all engines. */
  get requestMilliseconds(): Milliseconds {
    return this.meanMilliseconds;
  }

  /**
   * Records a request that an engine completed. Only requests of one `kind`, such as those for
   * one model, are compared.
   */
  recordCompleted(
    endpoint: EndpointId,
    kind: string,
    milliseconds: Milliseconds,
    now: Instant,
  ): void {
    const logarithm = Math.log(Math.max(1, milliseconds));
    const expected = this.expectations.get(kind) ?? logarithm;
    this.expectations.set(
      kind,
      expected + EXPECTATION_WEIGHT * (logarithm - expected),
    );
    if (this.expectations.size > MAXIMUM_KINDS) {
      const [oldest] = this.expectations.keys();
      if (oldest !== undefined) this.expectations.delete(oldest);
    }
    this.completedCount += 1;
    // The first requests count fully, so that the initial value doesn't last.
    const weight = Math.max(EXPECTATION_WEIGHT, 1 / this.completedCount);
    this.meanMilliseconds +=
      weight * (Math.max(1, milliseconds) - this.meanMilliseconds);
    const bound = Math.log(MAXIMUM_SAMPLE_RATIO);
    const ratio = Math.min(bound, Math.max(-bound, logarithm - expected));
    if (!this.records.has(endpoint)) this.dropDecayed(now);
    const earlier = this.decayed(endpoint, now);
    this.records.set(endpoint, {
      sum: earlier.sum + ratio,
      weight: earlier.weight + 1,
      updatedAt: now,
    });
  }

  /** Time of a request at an engine relative to the average engine; 1 if it is unmeasured. */
  slownessOf(endpoint: EndpointId, now: Instant): number {
    if (!this.records.has(endpoint)) return 1;
    const {sum, weight} = this.decayed(endpoint, now);
    const slowness = Math.exp(sum / (weight + PRIOR_WEIGHT));
    return Math.min(MAXIMUM_SLOWNESS, Math.max(1 / MAXIMUM_SLOWNESS, slowness));
  }

  /** Drops what is known of an engine that has ended. */
  forget(endpoint: EndpointId): void {
    this.records.delete(endpoint);
  }

  /** Requests may complete at an engine that has been forgotten; nothing else removes these. */
  private dropDecayed(now: Instant): void {
    for (const [endpoint, {updatedAt}] of this.records)
      if (until(updatedAt, now) > RECORD_LIFETIME_MILLISECONDS)
        this.records.delete(endpoint);
  }

  private decayed(
    endpoint: EndpointId,
    now: Instant,
  ): {readonly sum: number; readonly weight: number} {
    const record = this.records.get(endpoint);
    if (record === undefined) return {sum: 0, weight: 0};
    const {sum, weight, updatedAt} = record;
    const share = 0.5 ** (until(updatedAt, now) / HALF_LIFE_MILLISECONDS);
    return {sum: sum * share, weight: weight * share};
  }
}
