/** Figures that the lease holder and the nodes derive from a team's quota in the same way. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';

/** A token bucket that all nodes share. */
export interface QuotaRate {
  /** What an amount of the quota is. */
  readonly unit: 'requests' | 'tokens';
  readonly perSecond: number;
  readonly burst: number;
}

/** How far the admitted amount of a window may exceed the quota. */
export interface QuotaRules {
  readonly windowMilliseconds: Milliseconds;
  /** Part of the quota of a window that may be admitted beyond it. */
  readonly overage: number;
  /** Amount that may be admitted beyond that, in tokens; quotas in requests have none. */
  readonly tolerance: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Part of a team's allowed excess that nodes may admit before the lease holder knows of it. The
 * rest is for nodes that are cut off.
 */
const FREE_PART_OF_EXCESS = 0.6;

/** Least part of a quota that all nodes without a lease holder admit together. */
const MINIMUM_SHARE_OF_ALL_NODES = 0.1;

/** Amount by which the quota may be exceeded in one window. */
export function allowedExcess(quota: QuotaRate, rules: QuotaRules): number {
  const {unit, perSecond, burst} = quota;
  const {windowMilliseconds, overage, tolerance} = rules;
  const inWindow = amountIn(perSecond, windowMilliseconds) + burst;
  return overage * inWindow + (unit === 'tokens' ? tolerance : 0);
}

/** Amount that all nodes together may have admitted without the lease holder's knowledge. */
export function freeAmount(quota: QuotaRate, rules: QuotaRules): number {
  return allowedExcess(quota, rules) * FREE_PART_OF_EXCESS;
}

/** Least share of one node without a lease holder. */
export function minimumShare(nodeCount: number): number {
  return MINIMUM_SHARE_OF_ALL_NODES / Math.max(1, nodeCount);
}

/** Amount that accumulates at a rate. */
export function amountIn(perSecond: number, time: Milliseconds): number {
  return (perSecond * time) / MILLISECONDS_PER_SECOND;
}

/** Time in which an amount accumulates at a rate, in whole milliseconds. */
export function timeFor(amount: number, perSecond: number): Milliseconds {
  return Math.ceil((amount / perSecond) * MILLISECONDS_PER_SECOND);
}

/** Part of a share that is left at `now`; it falls to 0 within one window from `since` on. */
export function shareLeft(
  since: Instant,
  now: Instant,
  {windowMilliseconds}: QuotaRules,
): number {
  const age = Math.max(0, until(since, now));
  return Math.max(0, 1 - age / windowMilliseconds);
}

/** A burst lasts as long at most, in seconds of the rate. */
const MAXIMUM_BURST_SECONDS = 1;

/**
 * The bucket by which a quota is enforced. A quota allows its rate and its burst once in any window. A
 * burst of more than a second's rate is spread over the window instead of being used up at its
 * start, so that what is allowed in a window is admitted in each window, not only in the first.
 */
export function enforcedRate<Quota extends QuotaRate>(
  quota: Quota,
  {windowMilliseconds}: QuotaRules,
): Quota {
  const seconds = windowMilliseconds / MILLISECONDS_PER_SECOND;
  if (quota.burst <= quota.perSecond * MAXIMUM_BURST_SECONDS) return quota;
  const inWindow = quota.perSecond * seconds + quota.burst;
  const perSecond = inWindow / (seconds + MAXIMUM_BURST_SECONDS);
  return {...quota, perSecond, burst: perSecond * MAXIMUM_BURST_SECONDS};
}
