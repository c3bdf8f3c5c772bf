/**
 * In-flight requests at each endpoint from all nodes, as reported by the lease holder. With
 * many nodes, the requests of one node say little about an endpoint's load.
 */

import type {Clock, EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {InFlightCounts} from './in_flight_counts.js';

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

/** The latest report, adjusted by this node's requests since then. */
export class ClusterLoad {
  private reported = new Map<string, ReportedCount>();
  private expiresAt: Instant | undefined;
  private slowness = new Map<string, number>();
  private slownessExpiresAt: Instant | undefined;

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

  /** Replaces the report; an endpoint that is not listed has no requests. */
  update(loads: readonly EndpointLoad[]): void {
    this.expiresAt = after(this.clock.now(), STALE_AFTER_MILLISECONDS);
    this.reported = new Map(
      loads.map(([endpoint, total]) => [
        endpoint,
        {total, ownAtReport: this.inFlightCounts.at(endpoint as EndpointId)},
      ]),
    );
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
}
