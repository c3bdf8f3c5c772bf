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

/** Weight of a fresh report in the load estimate; the rest is this node's own requests. */
const REPORT_WEIGHT = 0.2;

/**
 * Cost of an endpoint that doesn't have the adapter. The unit of all costs is the load of
 * one engine whose slots are all in use.
 */
const ADAPTER_MISS_COST = 0.3;

/** Cost of an endpoint that doesn't own the prompt prefix, and so is unlikely to have it cached. */
const PREFIX_MISS_COST = 1.5;

/** Cost of an endpoint in another failure domain. */
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
   * Whether this endpoint owns the request's prompt prefix by rendezvous hashing, and so
   * may have it cached.
   */
  readonly isPrefixOwner: boolean;
}

/** Inputs of the candidates' costs. */
export interface CostContext {
  readonly now: Instant;
  readonly failureDomain: FailureDomain;
}

/** Inputs of a choice other than the candidates. */
export interface ChoiceContext extends CostContext {
  readonly random: Random;
}

/**
 * Returns the candidate with the lowest cost. A report is usually older than the duration
 * of a request, so the reported load of a single endpoint is outdated. The sum of all
 * reports still shows how many requests all nodes have for each request of this node. The
 * load estimate therefore scales this node's own requests, which are always current.
 */
export function chooseEndpoint(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): Candidate | undefined {
  const scale = requestsPerOwnRequest(candidates);
  let chosen: Candidate | undefined;
  let lowestCost = Infinity;
  for (const candidate of candidates) {
    const cost =
      costOf(candidate, context, scale) +
      MAXIMUM_TIE_BREAK_COST * context.random();
    if (cost >= lowestCost) continue;
    lowestCost = cost;
    chosen = candidate;
  }
  return chosen;
}

/**
 * Weights of the candidates, in their order: how far their costs are below the least one that
 * {@link chooseEndpoint} never takes. It takes a candidate with more weight more often.
 */
export function weighEndpoints(
  candidates: readonly Candidate[],
  context: CostContext,
): number[] {
  const scale = requestsPerOwnRequest(candidates);
  const costs = candidates.map(each => costOf(each, context, scale));
  const bound = Math.min(...costs) + MAXIMUM_TIE_BREAK_COST;
  return costs.map(cost => Math.max(0, bound - cost));
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
  context: CostContext,
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
 * Blends the reported load with the node's scaled own requests. The report's weight falls
 * linearly with its age.
 */
function estimatedLoad(
  candidate: Candidate,
  now: Instant,
  scale: number,
): number {
  const {reportedAt, reportedLoad, inFlight} = candidate;
  const scaled = inFlight * scale;
  if (reportedAt === undefined) return scaled;
  const ageFraction = until(reportedAt, now) / REPORT_LIFETIME_MILLISECONDS;
  const weight = REPORT_WEIGHT * Math.max(0, 1 - ageFraction);
  return scaled + weight * (reportedLoad - scaled);
}
