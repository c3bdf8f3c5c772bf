/** Chooses an endpoint for a request among those that can accept it now. */

import type {
  EndpointId,
  FailureDomain,
  Instant,
  Random,
} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';

/** Age from which a load report is ignored. */
const REPORT_LIFETIME_MILLISECONDS = 2_000;

/**
 * Weight of a fresh report in the load estimate; this node's own requests have the
 * rest.
 */
const REPORT_WEIGHT = 0.2;

/**
 * Costs of an endpoint without the adapter, without the cached prefix, or in another
 * failure domain. Unit: the load of one engine whose slots are all in use.
 */
const ADAPTER_MISS_COST = 0.3;
const PREFIX_MISS_COST = 1.5;
export const CROSS_DOMAIN_COST = 0.1;

/**
 * Random cost, so that nodes with the same reports do not all choose the same endpoint.
 */
const MAXIMUM_TIE_BREAK_COST = 0.01;

/** An endpoint that can serve a request. */
export interface Candidate {
  readonly endpoint: EndpointId;
  readonly failureDomain: FailureDomain;
  /** Requests of this node that run at the endpoint. */
  readonly inFlight: number;
  /** Requests that this node may run at the endpoint concurrently. */
  readonly limit: number;
  /** Requests of all nodes according to the endpoint's last report. */
  readonly reportedLoad: number;
  readonly reportedAt: Instant | undefined;
  /** Requests that the endpoint can run concurrently, according to its report. */
  readonly slots: number;
  readonly hasAdapter: boolean;
  /**
   * Whether the request's prompt prefix hashes to this endpoint, which may have it
   * cached.
   */
  readonly isPrefixOwner: boolean;
}

/** Inputs of a choice other than the candidates. */
export interface ChoiceContext {
  readonly now: Instant;
  readonly failureDomain: FailureDomain;
  readonly random: Random;
}

/**
 * Returns the candidate with the lowest cost. A report is usually older than a request
 * takes, so the reported load of a single endpoint is outdated. The sum of all reports
 * still tells how many requests all nodes have for each request of this node. The load
 * estimate therefore scales this node's own requests, which are always current.
 */
export function chooseEndpoint(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): Candidate | undefined {
  const scale = requestsPerOwnRequest(candidates);
  let chosen: Candidate | undefined;
  let least = Infinity;
  for (const candidate of candidates) {
    const cost =
      costOf(candidate, context, scale) +
      MAXIMUM_TIE_BREAK_COST * context.random();
    if (cost >= least) continue;
    least = cost;
    chosen = candidate;
  }
  return chosen;
}

/** Ratio of the requests of all nodes to those of this node, at least 1. */
function requestsPerOwnRequest(candidates: readonly Candidate[]): number {
  let own = 0;
  let reported = 0;
  for (const {inFlight, reportedLoad} of candidates) {
    own += inFlight;
    reported += reportedLoad;
  }
  return Math.max(1, reported / Math.max(1, own));
}

/** Estimated load as a share of the endpoint's slots, plus the costs of a poor match. */
function costOf(
  candidate: Candidate,
  context: ChoiceContext,
  scale: number,
): number {
  let cost = estimatedLoad(candidate, context.now, scale) / candidate.slots;
  if (!candidate.hasAdapter) cost += ADAPTER_MISS_COST;
  if (!candidate.isPrefixOwner) cost += PREFIX_MISS_COST;
  if (candidate.failureDomain !== context.failureDomain) {
    cost += CROSS_DOMAIN_COST;
  }
  return cost;
}

/**
 * Blends the report with the scaled own requests; its weight falls linearly with its
 * age.
 */
function estimatedLoad(
  candidate: Candidate,
  now: Instant,
  scale: number,
): number {
  const {reportedAt, reportedLoad, inFlight} = candidate;
  const scaled = inFlight * scale;
  if (reportedAt === undefined) return scaled;
  const age = until(reportedAt, now) / REPORT_LIFETIME_MILLISECONDS;
  const weight = REPORT_WEIGHT * Math.max(0, 1 - age);
  return scaled + weight * (reportedLoad - scaled);
}
