/** Chooses the endpoint of a request among those that can take it now. */

import type {
  EndpointId,
  FailureDomain,
  Instant,
  Random,
} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';

/** Age from which a load report says nothing any more. */
const REPORT_LIFETIME_MILLISECONDS = 2_000;

/** Part that a fresh report has in the estimate; the rest are this node's own requests. */
const REPORT_WEIGHT = 0.2;

/** What a missing adapter, a foreign prefix and another domain cost, in filled engines. */
const MISSING_ADAPTER_COST = 0.3;
const FOREIGN_PREFIX_COST = 1.5;
export const CROSS_DOMAIN_COST = 0.1;

/** Chance that keeps nodes that see the same from all going one way. */
const TIE_BREAK = 0.01;

/** An endpoint that could serve a request. */
export interface Candidate {
  readonly endpoint: EndpointId;
  readonly failureDomain: FailureDomain;
  /** This node's own requests that run there. */
  readonly inFlight: number;
  /** Requests that this node may run there at once. */
  readonly limit: number;
  /** Requests of all nodes, by the endpoint's last report. */
  readonly reportedLoad: number;
  readonly reportedAt: Instant | undefined;
  /** Requests that the endpoint runs at once, by its report. */
  readonly slots: number;
  readonly hasAdapter: boolean;
  /** Whether the request's prefix hashes to this endpoint. */
  readonly isPrefixHome: boolean;
}

/** What a choice depends on besides the candidates. */
export interface ChoiceContext {
  readonly now: Instant;
  readonly failureDomain: FailureDomain;
  readonly random: Random;
}

/**
 * The candidate with the least cost. A report is older than most requests take, so
 * its parts say little, but its sum says how many requests the other nodes have for
 * each of one's own: one's own requests, scaled by that, are the estimate, and are
 * always up to date.
 */
export function chooseEndpoint(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): Candidate | undefined {
  const scale = fleetScale(candidates);
  let chosen: Candidate | undefined;
  let least = Infinity;
  for (const candidate of candidates) {
    const cost =
      costOf(candidate, context, scale) + TIE_BREAK * context.random();
    if (cost >= least) continue;
    least = cost;
    chosen = candidate;
  }
  return chosen;
}

/** Requests of all nodes for each one of this node. */
function fleetScale(candidates: readonly Candidate[]): number {
  let own = 0;
  let reported = 0;
  for (const {inFlight, reportedLoad} of candidates) {
    own += inFlight;
    reported += reportedLoad;
  }
  return Math.max(1, reported / Math.max(1, own));
}

/** Estimated load in filled engines, plus the costs of a poor fit. */
function costOf(
  candidate: Candidate,
  context: ChoiceContext,
  scale: number,
): number {
  let cost = estimatedLoad(candidate, context.now, scale) / candidate.slots;
  if (!candidate.hasAdapter) cost += MISSING_ADAPTER_COST;
  if (!candidate.isPrefixHome) cost += FOREIGN_PREFIX_COST;
  if (candidate.failureDomain !== context.failureDomain) {
    cost += CROSS_DOMAIN_COST;
  }
  return cost;
}

/** The report's part fades with its age. */
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
