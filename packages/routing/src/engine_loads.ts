/**
 * Estimates the load of engines from reports of all nodes' requests in flight that are a little
 * old, and from what this node knows exactly: its own requests, and rejections that it got.
 */

import type {EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import type {EngineSpeeds} from './engine_speeds.js';

/** Weight of the latest interval in the rate at which other nodes send to an engine. */
const RATE_WEIGHT = 0.5;

/** Requests that an engine is assumed to have when it rejects one, relative to its slots. */
const REJECTING_LOAD = 2;

/**
 * Time after which a rejection says nothing any more. Without reports nothing else corrects it, and
 * long requests would keep the engine out for minutes.
 */
const REJECTION_LIFETIME_MILLISECONDS: Milliseconds = 2_000;

/** Bound on reported requests relative to the slots; a higher report is taken for an error. */
const MAXIMUM_REPORTED_LOAD = 10;

/** Age from which a report says nothing any more. */
const REPORT_LIFETIME_MILLISECONDS: Milliseconds = 10_000;

/** Least interval over which a rate is calculated. */
const LEAST_INTERVAL_MILLISECONDS: Milliseconds = 50;

/** Interval that the first report is taken for; a short one spreads requests evenly. */
const FIRST_INTERVAL_MILLISECONDS: Milliseconds = 300;

/** What a report says about one engine. */
interface ReportedLoad {
  /** Requests of other nodes when they were counted. */
  readonly others: number;
  /** Requests that other nodes send to it, per millisecond. */
  readonly rate: number;
}

/** A report of the requests in flight at engines, from all nodes. */
export interface LoadReport {
  /** Engines that are not listed have no requests. */
  readonly loads: ReadonlyMap<EndpointId, number>;
  /** This node's own requests among them. */
  readonly ownAt: (endpoint: EndpointId) => number;
  /** When the requests were counted, on average over the nodes. */
  readonly countedAt: Instant;
  readonly arrivedAt: Instant;
}

/** An engine whose load is estimated. */
export interface EstimatedEngine {
  readonly endpoint: EndpointId;
  readonly slots: number;
  /** This node's requests in flight there now. */
  readonly own: number;
}

/** Estimated load of one engine. */
export interface LoadEstimate {
  /** This node's requests now, and those known of others that are left when the report is replaced. */
  readonly knownRequests: number;
  /** Requests that other nodes send from the report until it is replaced. */
  readonly unseenRequests: number;
  readonly slowness: number;
}

/** Load of engines, as one node can know it. */
export class EngineLoads {
  private reported = new Map<EndpointId, ReportedLoad>();
  private countedAt: Instant | undefined;
  /** Age of the previous report when the latest one replaced it. */
  private lastUseEndedAfter: Milliseconds = 0;
  private readonly rejections = new Map<EndpointId, Instant>();

  private constructor(private readonly speeds: EngineSpeeds) {}

  static create(speeds: EngineSpeeds): EngineLoads {
    return new EngineLoads(speeds);
  }

  /** Replaces what is known of other nodes' requests; an older report is ignored. */
  applyReport({loads, ownAt, countedAt, arrivedAt}: LoadReport): void {
    const previousAt = this.countedAt;
    if (previousAt !== undefined && countedAt <= previousAt) return;
    const hasPrevious =
      previousAt !== undefined &&
      until(previousAt, countedAt) < REPORT_LIFETIME_MILLISECONDS;
    const interval = hasPrevious
      ? Math.max(LEAST_INTERVAL_MILLISECONDS, until(previousAt, countedAt))
      : FIRST_INTERVAL_MILLISECONDS;
    const previous = hasPrevious ? this.reported : new Map<EndpointId, never>();
    const current = new Map<EndpointId, ReportedLoad>();
    for (const endpoint of new Set([...loads.keys(), ...previous.keys()])) {
      const others = Math.max(0, (loads.get(endpoint) ?? 0) - ownAt(endpoint));
      const before = previous.get(endpoint);
      if (others === 0 && before?.others === 0 && !loads.has(endpoint))
        continue;
      const slowness = this.speeds.slownessOf(endpoint, countedAt);
      const kept =
        (before?.others ?? 0) * (1 - this.endedShare(slowness, interval));
      const rate = (others - kept) / interval;
      current.set(endpoint, {
        others,
        rate:
          before === undefined
            ? rate
            : before.rate + RATE_WEIGHT * (rate - before.rate),
      });
    }
    this.lastUseEndedAfter = hasPrevious ? until(previousAt, arrivedAt) : 0;
    this.reported = current;
    this.countedAt = countedAt;
    for (const [endpoint, at] of this.rejections)
      if (at < countedAt) this.rejections.delete(endpoint);
  }

  /** Records that an engine rejected a request because of its load. */
  recordRejection(endpoint: EndpointId, now: Instant): void {
    for (const [other, at] of this.rejections)
      if (until(at, now) >= REJECTION_LIFETIME_MILLISECONDS)
        this.rejections.delete(other);
    this.rejections.set(endpoint, now);
  }

  /** Age of the latest report; undefined if it says nothing any more, or there is none. */
  ageAt(now: Instant): Milliseconds | undefined {
    if (this.countedAt === undefined) return undefined;
    const age = until(this.countedAt, now);
    return age < REPORT_LIFETIME_MILLISECONDS ? age : undefined;
  }

  /** Estimates an engine's load. */
  estimate(engine: EstimatedEngine, now: Instant): LoadEstimate {
    const {endpoint, slots, own} = engine;
    const slowness = this.speeds.slownessOf(endpoint, now);
    const age = this.ageAt(now);
    let knownRequests = own;
    let unseenRequests = 0;
    const known = this.reported.get(endpoint);
    if (age !== undefined && known !== undefined) {
      const others = Math.min(known.others, MAXIMUM_REPORTED_LOAD * slots);
      // All choices by one report add up, so each is made for the end of its use. If the first
      // ones were made for its beginning, all nodes would send these to the same engine.
      const horizon = Math.max(age, this.lastUseEndedAfter);
      // Requests that wait for a slot don't end meanwhile.
      const running = Math.min(others, slots);
      knownRequests += others - running * this.endedShare(slowness, horizon);
      unseenRequests = Math.max(0, known.rate * horizon);
    }
    const rejectedAt = this.rejections.get(endpoint);
    if (
      rejectedAt !== undefined &&
      until(rejectedAt, now) < REJECTION_LIFETIME_MILLISECONDS
    ) {
      const kept = 1 - this.endedShare(slowness, until(rejectedAt, now));
      knownRequests = Math.max(knownRequests, REJECTING_LOAD * slots * kept);
    }
    return {knownRequests, unseenRequests, slowness};
  }

  /** Drops what is known of an engine that has ended. */
  forget(endpoint: EndpointId): void {
    this.reported.delete(endpoint);
    this.rejections.delete(endpoint);
    this.speeds.forget(endpoint);
  }

  /** Share of the requests that an engine runs which end within a time. */
  private endedShare(slowness: number, milliseconds: Milliseconds): number {
    const needed = this.speeds.requestMilliseconds * slowness;
    return 1 - Math.exp(-milliseconds / needed);
  }
}
