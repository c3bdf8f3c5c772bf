/**
 * This node's latest usage reports. A heartbeat of the lease holder counts a node's requests as
 * they were in its last report, not as they are when the heartbeat arrives.
 */

import type {
  EndpointId,
  Instant,
  Milliseconds,
  ServiceName,
} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';
import type {NodeUsage} from '@siskinmux/placement';

/** Reports kept for each service; a heartbeat is hardly older than that. */
const MAXIMUM_REPORTS = 4;

/** Time that a report takes to the lease holder, across failure domains. */
const LINK_MILLISECONDS: Milliseconds = 3;

interface UsageReport {
  readonly sentAt: Instant;
  readonly counts: ReadonlyMap<EndpointId, number>;
}

/** What a heartbeat contains of the nodes' reports. */
export interface CountedUsage {
  /** This node's requests in the reports; undefined if it has sent none. */
  readonly countsAt: ((endpoint: EndpointId) => number) | undefined;
  /** Mean age of a node's last report, taken from the interval between this node's. */
  readonly meanAge: Milliseconds;
}

/** Keeps the latest reports of each service. */
export class OwnUsageReports {
  private readonly reports = new Map<ServiceName, UsageReport[]>();

  private constructor() {}

  static create(): OwnUsageReports {
    return new OwnUsageReports();
  }

  record(
    service: ServiceName,
    inFlight: NodeUsage['inFlight'],
    sentAt: Instant,
  ): void {
    const counts = new Map<EndpointId, number>();
    for (const {engine, count} of inFlight)
      counts.set(engine, (counts.get(engine) ?? 0) + count);
    const kept = this.reports.get(service) ?? [];
    kept.push({sentAt, counts});
    if (kept.length > MAXIMUM_REPORTS) kept.shift();
    this.reports.set(service, kept);
  }

  clear(): void {
    this.reports.clear();
  }

  /** What a heartbeat contains that was written at an instant. */
  before(writtenAt: Instant): CountedUsage {
    if (this.reports.size === 0) return {countsAt: undefined, meanAge: 0};
    const latestAt = after(writtenAt, -LINK_MILLISECONDS);
    const counts = new Map<EndpointId, number>();
    let meanAge = 0;
    for (const reports of this.reports.values()) {
      const counted = reports.filter(({sentAt}) => sentAt <= latestAt);
      for (const [endpoint, count] of counted.at(-1)?.counts ?? [])
        counts.set(endpoint, count);
      meanAge = Math.max(meanAge, meanInterval(reports) / 2);
    }
    return {countsAt: endpoint => counts.get(endpoint) ?? 0, meanAge};
  }
}

function meanInterval(reports: readonly UsageReport[]): Milliseconds {
  const [first] = reports;
  const last = reports.at(-1);
  if (first === undefined || last === undefined || first === last) return 0;
  return until(first.sentAt, last.sentAt) / (reports.length - 1);
}
