/** Chooses the endpoint of a request among those that can take it now. */

import type {
  EndpointId,
  FailureDomain,
  Instant,
  Random,
} from '@siskinmux/kernel';
import {randomBelow, until} from '@siskinmux/kernel';

/** Age from which a load report says nothing any more. */
const REPORT_LIFETIME_MILLISECONDS = 2_000;

/** What a missing adapter, a foreign prefix and another domain cost, in busy slots. */
const MISSING_ADAPTER_COST = 0.3;
const FOREIGN_PREFIX_COST = 0.25;
const OTHER_DOMAIN_COST = 0.15;

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
 * The better of two random candidates, or of both when there are only two. Two
 * choices keep nodes that see the same stale report from all going one way. The
 * home of the request's prefix is always one of the two.
 */
export function chooseEndpoint(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): Candidate | undefined {
  if (candidates.length === 0) return undefined;
  const first =
    candidates.find(candidate => candidate.isPrefixHome) ??
    pick(candidates, context.random);
  const others = candidates.filter(candidate => candidate !== first);
  if (first === undefined || others.length === 0) return first;
  const second = pick(others, context.random);
  if (second === undefined) return first;
  return costOf(second, context) < costOf(first, context) ? second : first;
}

/** Busy share of an endpoint plus the costs of a poor fit. */
export function costOf(candidate: Candidate, context: ChoiceContext): number {
  let cost = estimatedLoad(candidate, context.now) / candidate.slots;
  if (!candidate.hasAdapter) cost += MISSING_ADAPTER_COST;
  if (!candidate.isPrefixHome) cost += FOREIGN_PREFIX_COST;
  if (candidate.failureDomain !== context.failureDomain) {
    cost += OTHER_DOMAIN_COST;
  }
  return cost;
}

/** The reported load fades with its age; one's own requests are always known. */
function estimatedLoad(candidate: Candidate, now: Instant): number {
  const {reportedAt, reportedLoad, inFlight} = candidate;
  if (reportedAt === undefined) return inFlight;
  const age = until(reportedAt, now) / REPORT_LIFETIME_MILLISECONDS;
  const weight = Math.max(0, 1 - age);
  return Math.max(inFlight, inFlight + weight * (reportedLoad - inFlight));
}

function pick(
  candidates: readonly Candidate[],
  random: Random,
): Candidate | undefined {
  return candidates[randomBelow(random, candidates.length)];
}
