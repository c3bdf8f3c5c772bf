/** Takes endpoints that fail out of routing for a while, never more than a share of them. */

import type {EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** Failures in a row that eject an endpoint. */
const FAILURES_TO_EJECT = 3;

/** First and longest ejection; each repeat doubles it. */
const FIRST_EJECTION_MILLISECONDS: Milliseconds = 1_000;
const LONGEST_EJECTION_MILLISECONDS: Milliseconds = 30_000;

/** Largest share of the endpoints that may be ejected at once. */
const MAXIMUM_EJECTED_SHARE = 0.5;

interface Record {
  failures: number;
  ejections: number;
  ejectedUntil: Instant;
}

/** Health of endpoints as this node's own requests show it. */
export class OutlierDetector {
  private readonly records = new Map<EndpointId, Record>();

  private constructor() {}

  static create(): OutlierDetector {
    return new OutlierDetector();
  }

  /** Notes a request that the endpoint answered. */
  noteSuccess(endpoint: EndpointId): void {
    this.records.delete(endpoint);
  }

  /** Notes a failure that points to the endpoint rather than to the request. */
  noteFailure(endpoint: EndpointId, now: Instant): void {
    const record = this.records.get(endpoint) ?? {
      failures: 0,
      ejections: 0,
      ejectedUntil: now,
    };
    record.failures += 1;
    if (record.failures >= FAILURES_TO_EJECT) {
      const length = FIRST_EJECTION_MILLISECONDS * 2 ** record.ejections;
      record.ejectedUntil = after(
        now,
        Math.min(length, LONGEST_EJECTION_MILLISECONDS),
      );
      record.ejections += 1;
      // One more failure after the ejection ejects again.
      record.failures = FAILURES_TO_EJECT - 1;
    }
    this.records.set(endpoint, record);
  }

  /**
   * The endpoints that may be used. When too many are ejected, those whose
   * ejection ends first are used all the same.
   */
  usableEndpoints(endpoints: readonly EndpointId[], now: Instant): EndpointId[] {
    const ejected = endpoints
      .filter(endpoint => this.ejectedUntil(endpoint) > now)
      .sort(
        (left, right) => this.ejectedUntil(left) - this.ejectedUntil(right),
      );
    const allowed = Math.floor(endpoints.length * MAXIMUM_EJECTED_SHARE);
    const kept = new Set(
      ejected.slice(0, Math.max(0, ejected.length - allowed)),
    );
    return endpoints.filter(
      endpoint => this.ejectedUntil(endpoint) <= now || kept.has(endpoint),
    );
  }

  private ejectedUntil(endpoint: EndpointId): number {
    return this.records.get(endpoint)?.ejectedUntil ?? 0;
  }
}
