/**
 * Ejects failing endpoints from routing for a limited time, up to a share of all
 * endpoints.
 */

import type {EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** Consecutive failures that eject an endpoint. */
const FAILURES_TO_EJECT = 3;

/** Each repeated ejection is twice as long as the one before, up to the maximum. */
const INITIAL_EJECTION_MILLISECONDS: Milliseconds = 1_000;
const MAXIMUM_EJECTION_MILLISECONDS: Milliseconds = 30_000;

/** Largest share of the endpoints that may be ejected at once. */
const MAXIMUM_EJECTED_SHARE = 0.5;

interface EndpointRecord {
  failures: number;
  ejections: number;
  /** When the last ejection began. */
  ejectedAt: Instant | undefined;
  ejectedUntil: Instant;
}

/** Endpoint health, derived from this node's own requests only. */
export class OutlierDetector {
  private readonly records = new Map<EndpointId, EndpointRecord>();

  private constructor() {}

  static create(): OutlierDetector {
    return new OutlierDetector();
  }

  /** Records a request to which the endpoint responded. */
  recordSuccess(endpoint: EndpointId): void {
    this.records.delete(endpoint);
  }

  /**
   * Records a failure that was caused by the endpoint rather than by the request, which was sent
   * at `sentAt`. All requests in flight fail together when an endpoint pauses, so those sent
   * before an ejection don't lengthen it.
   */
  recordFailure(endpoint: EndpointId, now: Instant, sentAt = now): void {
    const record = this.records.get(endpoint) ?? {
      failures: 0,
      ejections: 0,
      ejectedAt: undefined,
      ejectedUntil: now,
    };
    if (record.ejectedAt !== undefined && sentAt <= record.ejectedAt) return;
    record.failures += 1;
    if (record.failures >= FAILURES_TO_EJECT) {
      const durationMilliseconds =
        INITIAL_EJECTION_MILLISECONDS * 2 ** record.ejections;
      record.ejectedUntil = after(
        now,
        Math.min(durationMilliseconds, MAXIMUM_EJECTION_MILLISECONDS),
      );
      record.ejectedAt = now;
      record.ejections += 1;
      // A single failure after the ejection ejects the endpoint again.
      record.failures = FAILURES_TO_EJECT - 1;
    }
    this.records.set(endpoint, record);
  }

  /**
   * Returns the endpoints that may be used. When more are ejected than the maximum share
   * allows, those whose ejection ends first are returned as well.
   */
  usableEndpoints(
    endpoints: readonly EndpointId[],
    now: Instant,
  ): EndpointId[] {
    const ejected = endpoints
      .filter(endpoint => this.ejectedUntil(endpoint) > now)
      .sort(
        (left, right) => this.ejectedUntil(left) - this.ejectedUntil(right),
      );
    const maximumEjected = Math.floor(endpoints.length * MAXIMUM_EJECTED_SHARE);
    const reinstated = new Set(
      ejected.slice(0, Math.max(0, ejected.length - maximumEjected)),
    );
    return endpoints.filter(
      endpoint =>
        this.ejectedUntil(endpoint) <= now || reinstated.has(endpoint),
    );
  }

  private ejectedUntil(endpoint: EndpointId): number {
    return this.records.get(endpoint)?.ejectedUntil ?? 0;
  }
}
