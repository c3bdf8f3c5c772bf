/**
 * Order in which held requests are sent: by the rank of their team, in turn between the teams of
 * one rank, by their kind and by the time left until their objective.
 */

import type {Instant, TeamName} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import type {CapacityRequest, Flow} from './capacity_request.js';
import {yieldsUntil} from './capacity_request.js';
import type {ServiceShares} from './service_shares.js';

/**
 * Requests of average cost by which one team may be ahead of another of its rank, so that a more
 * urgent request can go first.
 */
const SHARE_SLACK_REQUESTS = 16;

/** Kinds whose served shares differ by less than a step are ordered by urgency alone. */
const RATIO_STEPS = 20;

/** Share of the time until it can no longer start that is left when a late request goes first. */
const CRITICAL_TIME_SHARE = 0.25;

/** What waiting does to a request; the first are sent first. */
enum Phase {
  /** It is about to miss its objective, or its deadline. */
  AtStake,
  /** It has time left. */
  Yielding,
  /** It has missed its objective, and has time until its deadline. */
  Late,
}

/** Chooses the flow whose first request is sent next. */
export class CapacityOrder<Item extends CapacityRequest> {
  /** Cost sent for a team, divided by its weight: the team with the smallest is next. */
  private readonly virtualTimes = new Map<TeamName | undefined, number>();
  private virtualTime = 0;

  private constructor(private readonly shares: ServiceShares) {}

  static create<Item extends CapacityRequest>(
    shares: ServiceShares,
  ): CapacityOrder<Item> {
    return new CapacityOrder(shares);
  }

  /** Virtual time of a team that holds requests. */
  timeOf(team: TeamName | undefined): number {
    return this.virtualTimes.get(team) ?? 0;
  }

  /** Virtual time at which a team would begin to hold requests now. */
  startOf(team: TeamName | undefined): number {
    return Math.max(this.timeOf(team), this.virtualTime);
  }

  /** Records that a team holds requests again; it gains no credit while it holds none. */
  begin(team: TeamName | undefined): void {
    this.virtualTimes.set(team, this.startOf(team));
  }

  /** Records that a team holds no requests any more. */
  end(team: TeamName | undefined): void {
    if (this.timeOf(team) <= this.virtualTime) this.virtualTimes.delete(team);
  }

  /** Records that a request was sent. */
  recordSent({team, cost}: Item, now: Instant): void {
    const weight = this.shares.weightOf(team, now);
    this.virtualTimes.set(team, this.timeOf(team) + cost / weight);
  }

  /** The flow whose first request goes next, among those whose group has room. */
  choose(flows: readonly Flow<Item>[], now: Instant): Flow<Item> | undefined {
    return this.findStarved(flows, now) ?? this.findNext(flows, now);
  }

  private findStarved(
    flows: readonly Flow<Item>[],
    now: Instant,
  ): Flow<Item> | undefined {
    let found: {flow: Flow<Item>; ratio: number} | undefined;
    for (const flow of flows) {
      const head = flow.heap.peek();
      if (head === undefined || head.objectiveAt > now) continue;
      if (!this.shares.isStarved(head.team, now)) continue;
      const ratio = this.shares.relativeRatio(head.team, now);
      if (found === undefined || ratio < found.ratio) found = {flow, ratio};
    }
    return found?.flow;
  }

  /** The flow whose first request goes next, by rank, share, kind and time left. */
  private findNext(
    flows: readonly Flow<Item>[],
    now: Instant,
  ): Flow<Item> | undefined {
    const rank = Math.min(...flows.map(({teamPriority}) => teamPriority));
    const sameRank = flows.filter(({teamPriority}) => teamPriority === rank);
    const least = Math.min(...sameRank.map(({line}) => this.timeOf(line.team)));
    if (sameRank.length > 0) this.virtualTime = least;
    const limit = least + this.shareSlack(sameRank, now);
    let best: {flow: Flow<Item>; order: readonly number[]} | undefined;
    for (const flow of sameRank) {
      const head = flow.heap.peek();
      const time = this.timeOf(flow.line.team);
      if (head === undefined || time > limit) continue;
      const order = this.orderOf(head, time, now);
      if (best === undefined || isBefore(order, best.order))
        best = {flow, order};
    }
    return best?.flow;
  }

  /** Place of the first request of a flow among those of its rank; compared number by number. */
  private orderOf(
    head: Item,
    virtualTime: number,
    now: Instant,
  ): readonly number[] {
    const {routePriority, objectiveAt} = head;
    const ratio = this.shares.kindRatio(head, now) * RATIO_STEPS;
    // A less urgent kind is read as served more often, so that it isn't in fact.
    const step = Math.floor(ratio) + Math.min(1, routePriority);
    const phase = phaseOf(head, now);
    return phase === Phase.Yielding
      ? [step, phase, routePriority, objectiveAt, virtualTime]
      : [step, phase, routePriority, virtualTime, objectiveAt];
  }

  private shareSlack(flows: readonly Flow<Item>[], now: Instant): number {
    let cost = 0;
    let weight = 0;
    for (const {heap, line} of flows) {
      cost += heap.peek()?.cost ?? 0;
      weight += this.shares.weightOf(line.team, now);
    }
    return weight > 0 ? (SHARE_SLACK_REQUESTS * cost) / weight : 0;
  }
}

function phaseOf(item: CapacityRequest, now: Instant): Phase {
  const {arrivedAt, objectiveAt, startBy} = item;
  const criticalTime = until(arrivedAt, startBy) * CRITICAL_TIME_SHARE;
  if (until(now, startBy) <= criticalTime) return Phase.AtStake;
  if (objectiveAt <= now) return Phase.Late;
  return now < yieldsUntil(item) ? Phase.Yielding : Phase.AtStake;
}

function isBefore(left: readonly number[], right: readonly number[]): boolean {
  const index = left.findIndex((value, at) => value !== right[at]);
  return index >= 0 && (left[index] ?? 0) < (right[index] ?? 0);
}
