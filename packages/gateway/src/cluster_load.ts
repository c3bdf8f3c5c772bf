/**
 * In-flight requests at each endpoint from all nodes, as reported by the lease holder. With
 * many nodes, the requests of one node say little about an endpoint's load.
 */

import type {
  EndpointDescription,
  EndpointTableChange,
} from '@siskinmux/endpoints';
import type {
  Clock,
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import type {NodeUsage} from '@siskinmux/placement';
import type {LoadEstimate} from '@siskinmux/routing';
import {EngineLoads, EngineSpeeds} from '@siskinmux/routing';
import type {InFlightCounts} from './in_flight_counts.js';
import {OwnUsageReports} from './own_usage_reports.js';

/** Age at which a report is stale; three reports arrive in this time. */
const STALE_AFTER_MILLISECONDS: Milliseconds = 1_000;

/** Age at which what is known of slow engines is outdated; several reports arrive in this time. */
const SLOWNESS_STALE_AFTER_MILLISECONDS: Milliseconds = 15_000;

/**
 * Mean gap between two events at a slow engine, relative to the greatest that isn't slow, as encoded
 * in messages between nodes.
 */
export type EngineSlowness = [engine: string, slowness: number];

/** In-flight requests at one endpoint, as encoded in messages between nodes. */
export type EndpointLoad = [endpoint: string, requests: number];

interface ReportedCount {
  readonly total: number;
  /** This node's requests when the report arrived. */
  readonly ownAtReport: number;
}

/** What this node assumes about an engine, for log lines. */
export interface AssumedLoad {
  /** Requests in flight from all nodes. */
  readonly requests: number;
  /** Age of the reports; undefined if only this node's own requests are known. */
  readonly age: Milliseconds | undefined;
}

/** The latest report, and estimates from it and from this node's own requests. */
export class ClusterLoad {
  private reported = new Map<string, ReportedCount>();
  private expiresAt: Instant | undefined;
  private slowness = new Map<string, number>();
  private slownessExpiresAt: Instant | undefined;
  private readonly ownReports = OwnUsageReports.create();
  private readonly speeds = EngineSpeeds.create();
  private readonly loads = EngineLoads.create(this.speeds);

  private constructor(
    private readonly clock: Clock,
    private readonly inFlightCounts: InFlightCounts,
  ) {}

  static create(options: {
    clock: Clock;
    inFlightCounts: InFlightCounts;
  }): ClusterLoad {
    return new ClusterLoad(options.clock, options.inFlightCounts);
  }

  /** Whether the latest report is recent enough to use. */
  get isFresh(): boolean {
    return this.expiresAt !== undefined && this.clock.now() < this.expiresAt;
  }

  /**
   * Replaces the report; an endpoint that is not listed has no requests. `writtenAt` is when
   * the lease holder wrote it, as far as known.
   */
  update(
    loads: readonly EndpointLoad[],
    writtenAt: Instant = this.clock.now(),
  ): void {
    this.expiresAt = after(this.clock.now(), STALE_AFTER_MILLISECONDS);
    this.reported = new Map(
      loads.map(([endpoint, total]) => [
        endpoint,
        {total, ownAtReport: this.inFlightCounts.at(as<EndpointId>(endpoint))},
      ]),
    );
    const {countsAt, meanAge} = this.ownReports.before(writtenAt);
    this.loads.applyReport({
      loads: new Map(
        loads.map(([endpoint, total]) => [as<EndpointId>(endpoint), total]),
      ),
      ownAt: countsAt ?? (endpoint => this.inFlightCounts.at(endpoint)),
      countedAt: after(writtenAt, -meanAge),
      arrivedAt: this.clock.now(),
    });
  }

  /** Requests at an endpoint: the reported count plus this node's change since then. */
  at(endpoint: EndpointId): number {
    const {total, ownAtReport} = this.reported.get(endpoint) ?? {
      total: 0,
      ownAtReport: 0,
    };
    return Math.max(0, total + this.inFlightCounts.at(endpoint) - ownAtReport);
  }

  /** Replaces what is known of slow engines; one that is not listed isn't slow. */
  updateSlowness(slow: readonly EngineSlowness[]): void {
    this.slownessExpiresAt = after(
      this.clock.now(),
      SLOWNESS_STALE_AFTER_MILLISECONDS,
    );
    this.slowness = new Map(slow);
  }

  /** How slow an engine is; 1 if it isn't, or that is unknown. */
  slownessOf(engine: EndpointId): number {
    const isKnown =
      this.slownessExpiresAt !== undefined &&
      this.clock.now() < this.slownessExpiresAt;
    return (isKnown ? this.slowness.get(engine) : undefined) ?? 1;
  }

  /** Estimates an engine's load from the reports, this node's requests and rejections. */
  estimate({id, slots}: EndpointDescription): LoadEstimate {
    const own = this.inFlightCounts.at(id);
    return this.loads.estimate({endpoint: id, slots, own}, this.clock.now());
  }

  /** The same, for log lines. */
  assumedAt(engine: EndpointDescription): AssumedLoad {
    const {knownRequests, unseenRequests} = this.estimate(engine);
    const age = this.loads.ageAt(this.clock.now());
    return {
      requests: Math.round(knownRequests + unseenRequests),
      age: age === undefined ? undefined : Math.round(age),
    };
  }

  /** Records a usage report to the lease holder, which counts it in its next heartbeats. */
  recordUsageReport(service: ServiceName, {inFlight}: NodeUsage): void {
    this.ownReports.record(service, inFlight, this.clock.now());
  }

  /** Called when this node gets another lease holder, which knows none of its reports. */
  onHolderChange(): void {
    this.ownReports.clear();
  }

  /** Records a request that an engine has served. */
  recordServed(
    {id, service}: EndpointDescription,
    model: ModelName,
    sentAt: Instant,
  ): void {
    const now = this.clock.now();
    const kind = `${service}/${model}`;
    this.speeds.recordCompleted(id, kind, until(sentAt, now), now);
  }

  /** Records that an engine rejected a request without running it. */
  recordRejection({id}: EndpointDescription): void {
    this.loads.recordRejection(id, this.clock.now());
  }

  /** Drops what is known about engines that have ended. */
  applyEndpointChanges(changes: readonly EndpointTableChange[]): void {
    for (const {id, before, now} of changes)
      if (before !== undefined && before.incarnation !== now?.incarnation)
        this.loads.forget(id);
  }
}
