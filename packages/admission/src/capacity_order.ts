/**
 * Order in which held requests are sent: by the rank of their team, in turn between the teams of
 * one rank, by their kind and by the time left until their objective.
 */

import type {Instant} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import type {CapacityRequest, Flow} from './capacity_request.js';
import {yieldsUntil} from './capacity_request.js';
import type {ServiceShares} from './service_shares.js';
import type {TeamTurns} from './team_turns.js';

/**
 * Requests of average cost by which one team may be ahead of another of its rank, so that a more
 * urgent request can go first.
 */
const SHARE_SLACK_REQUESTS = 16;

/** Kinds whose served shares differ by less than a step are ordered by urgency alone. */
const RATIO_STEPS = 20;

/**
 * Steps by which a less urgent kind is read as better served. With one, a node that sees a few
 * requests a second serves it more often than urgent kinds, as its shares vary by several percent.
 */
const LESS_URGENT_STEPS = 2;

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

/**
 * What decides between requests at stake of different kinds while hardly anything is refused: the
 * time that they have waited, or the urgency of their kind.
 */
export type StakeOrder = 'age' | 'urgency';

/** Chooses the flow whose first request is sent next. */
export class CapacityOrder<Item extends CapacityRequest> {
  private constructor(private readonly shares: ServiceShares) {}

  static create<Item extends CapacityRequest>(
    shares: ServiceShares,
  ): CapacityOrder<Item> {
    return new CapacityOrder(shares);
  }

  /** The flow whose first request goes next, among those whose group has room. */
  choose(
    flows: readonly Flow<Item>[],
    now: Instant,
    stakeOrder: StakeOrder,
  ): Flow<Item> | undefined {
    return (
      this.findStarved(flows, now) ?? this.findNext(flows, now, stakeOrder)
    );
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
    stakeOrder: StakeOrder,
  ): Flow<Item> | undefined {
    const rank = Math.min(...flows.map(({teamPriority}) => teamPriority));
    const sameRank = flows.filter(({teamPriority}) => teamPriority === rank);
    let best: {flow: Flow<Item>; order: readonly number[]} | undefined;
    for (const [turns, ofGroup] of byTurns(sameRank)) {
      const least = turns.advance();
      const slack = this.shareSlack(ofGroup, now);
      for (const flow of ofGroup) {
        const head = flow.heap.peek();
        const lead = turns.timeOf(flow.line.team) - least;
        if (head === undefined || lead > slack) continue;
        const order = this.orderOf(head, lead, now, stakeOrder);
        if (best === undefined || isBefore(order, best.order))
          best = {flow, order};
      }
    }
    return best?.flow;
  }

  /** Place of the first request of a flow among those of its rank; compared number by number. */
  private orderOf(
    head: Item,
    lead: number,
    now: Instant,
    stakeOrder: StakeOrder,
  ): readonly number[] {
    const {routePriority, arrivedAt, objectiveAt} = head;
    const step = Math.floor(this.shares.kindRatio(head, now) * RATIO_STEPS);
    const phase = phaseOf(head, now);
    // A kind that has yielded for most of its time doesn't yield further as long as the others
    // lose nothing but time.
    if (
      stakeOrder === 'age' &&
      phase === Phase.AtStake &&
      this.shares.servesNearlyAll(now)
    )
      return [step, phase, arrivedAt, lead];
    // A less urgent kind is read as served more often, so that it isn't in fact.
    const readStep = step + (routePriority > 0 ? LESS_URGENT_STEPS : 0);
    return phase === Phase.Yielding
      ? [readStep, phase, routePriority, objectiveAt, lead]
      : [readStep, phase, routePriority, lead, objectiveAt];
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

/** Flows by the turns that their teams take. */
function byTurns<Item extends CapacityRequest>(
  flows: readonly Flow<Item>[],
): Map<TeamTurns, Flow<Item>[]> {
  const found = new Map<TeamTurns, Flow<Item>[]>();
  for (const flow of flows) {
    const others = found.get(flow.turns);
    if (others === undefined) found.set(flow.turns, [flow]);
    else others.push(flow);
  }
  return found;
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
