/**
 * Queue of the requests that one node holds back while all engines for them are full. Orders
 * them by the rank of their team, by their route and by the time left until their objective,
 * and shares the capacity fairly between the teams of one rank.
 */

import {Heap} from 'heap-js';
import type {Instant, Milliseconds, TeamName} from '@siskinmux/kernel';
import {after, earlier, until} from '@siskinmux/kernel';
import type {StakeOrder} from './capacity_order.js';
import {CapacityOrder} from './capacity_order.js';
import type {CapacityRequest, Flow, TeamLine} from './capacity_request.js';
import {flowKey, lineKey, turnsKey, yieldsUntil} from './capacity_request.js';
import {copyState} from './copy_state.js';
import {RoomRate} from './room_rate.js';
import type {ServedRequest} from './service_shares.js';
import {ServiceShares} from './service_shares.js';
import {TeamTurns} from './team_turns.js';

/** An estimated wait is multiplied by this, as a request that expires has waited in vain. */
const WAIT_MARGIN = 1.2;

/**
 * Share of the time until it can no longer start for which requests of a flow may be expected to
 * miss their objective before the overload counts as lasting. Callers honor return times up to
 * this share of the time they have left.
 */
const OVERLOAD_WINDOW_SHARE = 1 / 3;

/** With fewer held requests of a team, its measured rate is that of its arrivals. */
const LEAST_BACKLOG = 4;

/**
 * Requests of a flow that are held also in a lasting overload, so that each slot is used. Each of
 * them makes the others late.
 */
const LEAST_HELD = 3;

/** Earliest return of a refused request. */
const MINIMUM_RETURN_MILLISECONDS: Milliseconds = 100;

/** Return times are spread over this at most; no caller waits longer. */
const RETURN_HORIZON_MILLISECONDS: Milliseconds = 30_000;

/** Groups and teams that were without held requests for this long are forgotten. */
const FORGET_AFTER_MILLISECONDS: Milliseconds = 120_000;

/** Requests that one node holds at most. */
export const MAXIMUM_HELD_REQUESTS = 2_000;

/** Outcome of {@link CapacityQueue.offer}. */
export type HoldDecision =
  | {readonly kind: 'held'}
  /** It couldn't start in time; there is room for an equal request at `retryAt`. */
  | {readonly kind: 'refused'; readonly retryAt: Instant};

/** A request that has waited in vain. */
export interface ExpiredRequest<Item> {
  readonly item: Item;
  readonly retryAt: Instant;
}

interface Estimate {
  /** Held requests of the same team and route. */
  readonly held: number;
  readonly wait: Milliseconds;
  /** Mean interval between two requests of the same team that are sent. */
  readonly interval: Milliseconds;
}

/** The held requests of one node. */
export class CapacityQueue<Item extends CapacityRequest> {
  private readonly flows = new Map<string, Flow<Item>>();
  private readonly lines = new Map<string, TeamLine>();
  private readonly groups = new Map<
    string,
    {size: number; usedAt: Instant; rate: RoomRate}
  >();
  /** Turns by group and rank, while requests of these are held. */
  private readonly turns = new Map<string, TeamTurns>();
  private readonly order: CapacityOrder<Item>;
  private total = 0;

  private constructor(private readonly shares: ServiceShares) {
    this.order = CapacityOrder.create(shares);
  }

  static create<Item extends CapacityRequest>(): CapacityQueue<Item> {
    return new CapacityQueue(ServiceShares.create());
  }

  /** A queue in the same state, to try a decision on. */
  copy(): CapacityQueue<Item> {
    return copyState<CapacityQueue<Item>>(this);
  }

  /** Number of held requests. */
  get size(): number {
    return this.total;
  }

  /** Number of held requests of one group. */
  sizeOf(group: string): number {
    return this.groups.get(group)?.size ?? 0;
  }

  /** Groups with held requests. */
  get heldGroups(): string[] {
    return [...this.groups].flatMap(([group, {size}]) =>
      size > 0 ? [group] : [],
    );
  }

  /** Records a request that was sent without being held; it counts for the shares. */
  recordUnheld(request: ServedRequest, now: Instant): void {
    this.shares.recordUnheld(request, now);
  }

  /** Holds a request, or refuses it at once if it is not expected to start in time. */
  offer(item: Item, now: Instant): HoldDecision {
    const estimate = this.estimate(item, now);
    const canStart =
      item.startBy > now &&
      this.total < MAXIMUM_HELD_REQUESTS &&
      (estimate === undefined ||
        (after(now, estimate.wait * WAIT_MARGIN) <= item.startBy &&
          !this.isExcess(item, estimate, now)));
    if (!canStart) {
      this.shares.recordRefused(item, now);
      const retryAt = this.takeReturn(item, estimate, now);
      return {kind: 'refused', retryAt};
    }
    this.insert(item, now);
    return {kind: 'held'};
  }

  /** Removes and returns the next request whose group has room. */
  take(
    now: Instant,
    hasRoom: (group: string) => boolean,
    stakeOrder: StakeOrder = 'age',
  ): Item | undefined {
    const flow = this.chooseFlow(now, hasRoom, stakeOrder);
    const item = flow?.heap.pop();
    if (flow === undefined || item === undefined) return undefined;
    const weight = this.shares.weightOf(item.team, now);
    flow.turns.recordSent(item.team, item.cost / weight);
    this.shares.recordServed(item, now);
    flow.line.rate.recordDeparture(now);
    this.groups.get(item.group)?.rate.recordDeparture(now);
    this.recordRemoval(item, flow, now);
    return item;
  }

  /** The request that {@link take} would return. */
  peek(
    now: Instant,
    hasRoom: (group: string) => boolean,
    stakeOrder: StakeOrder = 'age',
  ): Item | undefined {
    return this.chooseFlow(now, hasRoom, stakeOrder)?.heap.peek();
  }

  /** Removes a request, for example because its caller is gone; false if it is not held. */
  remove(item: Item, now: Instant): boolean {
    const flow = this.flows.get(flowKey(item));
    if (flow === undefined || !flow.heap.remove(item)) return false;
    this.recordRemoval(item, flow, now);
    return true;
  }

  /** Removes and returns all requests of one group; they don't count as served. */
  takeGroup(group: string, now: Instant): Item[] {
    const items = [...this.flows.values()].flatMap(flow =>
      flow.group === group ? flow.heap.toArray() : [],
    );
    for (const item of items) this.remove(item, now);
    return items;
  }

  /** Removes and returns the requests that can no longer start in time. */
  takeExpired(now: Instant): ExpiredRequest<Item>[] {
    const expired = [...this.flows.values()].flatMap(({heap}) =>
      heap.toArray().filter(({startBy}) => startBy <= now),
    );
    for (const item of expired) this.remove(item, now);
    return expired.map(item => {
      this.shares.recordRefused(item, now);
      const estimate = this.estimate(item, now);
      return {item, retryAt: this.takeReturn(item, estimate, now)};
    });
  }

  private chooseFlow(
    now: Instant,
    hasRoom: (group: string) => boolean,
    stakeOrder: StakeOrder,
  ): Flow<Item> | undefined {
    const known = new Map<string, boolean>();
    const servable = [...this.flows.values()].filter(({group}) => {
      const has = known.get(group) ?? hasRoom(group);
      known.set(group, has);
      return has;
    });
    return this.order.choose(servable, now, stakeOrder);
  }

  /**
   * Whether a request would only lengthen a queue in which requests have missed their objective
   * for long. As many are served with a short queue, and in time.
   */
  private isExcess(item: Item, {held, wait}: Estimate, now: Instant): boolean {
    if (after(now, wait) <= item.objectiveAt) return false;
    const {overloads} = this.findLine(item, now);
    const overloadWindow = until(now, item.startBy) * OVERLOAD_WINDOW_SHARE;
    const before = overloads.get(item.route);
    const since =
      before !== undefined && until(before.seenAt, now) <= overloadWindow
        ? before.since
        : now;
    overloads.set(item.route, {since, seenAt: now});
    return until(since, now) > overloadWindow && held >= LEAST_HELD;
  }

  /** Expected wait of a request that is held now; undefined if it can't be told. */
  private estimate(item: Item, now: Instant): Estimate | undefined {
    const estimate = this.calculateEstimate(item, now);
    // Costs that sum up to no finite number say nothing.
    return estimate !== undefined &&
      Number.isFinite(estimate.wait) &&
      Number.isFinite(estimate.interval)
      ? estimate
      : undefined;
  }

  private calculateEstimate(item: Item, now: Instant): Estimate | undefined {
    const groupRate = this.groups.get(item.group)?.rate.perMillisecond(now);
    if (groupRate === undefined) return undefined;
    let ahead = 0;
    let heldOfKind = 0;
    const heldByTeam = new Map([[item.team, 0]]);
    // The request itself is offered too, which counts while the kind was hardly offered before.
    const ownOffered = Math.max(item.cost, this.shares.offeredOf(item, now));
    let otherOffered = 0;
    for (const {heap, line, teamPriority, group} of this.flows.values()) {
      const head = heap.peek();
      if (group !== item.group || head === undefined) continue;
      if (teamPriority < item.teamPriority) ahead += heap.size();
      if (teamPriority !== item.teamPriority) continue;
      const heldOfTeam = heldByTeam.get(line.team) ?? 0;
      heldByTeam.set(line.team, heldOfTeam + heap.size());
      if (line.team !== item.team) continue;
      const yields =
        now < yieldsUntil(head) && head.routePriority >= item.routePriority;
      if (head.route === item.route) heldOfKind += heap.size();
      else if (!yields) otherOffered += this.shares.offeredOf(head, now);
    }
    const measured = this.lines.get(lineKey(item))?.rate.perMillisecond(now);
    const heldOfTeam = heldByTeam.get(item.team) ?? 0;
    if (measured !== undefined && heldOfTeam >= LEAST_BACKLOG) {
      const offered = ownOffered + otherOffered;
      const kindShare = offered > 0 ? ownOffered / offered : 1;
      const wait = (heldOfKind / kindShare + 1) / measured;
      return {held: heldOfKind, wait, interval: 1 / measured};
    }
    ahead += this.countAheadInTurn(item, heldOfKind, heldByTeam, now);
    const weights = [...heldByTeam.keys()].map(team =>
      this.shares.weightOf(team, now),
    );
    const weight = this.shares.weightOf(item.team, now);
    const share = weight / weights.reduce((sum, one) => sum + one, 0);
    return {
      held: heldOfKind,
      wait: (ahead + 1) / groupRate,
      interval: 1 / (measured ?? groupRate * share),
    };
  }

  /** Held requests of a rank that go before a new one if teams take turns by their shares. */
  private countAheadInTurn(
    item: Item,
    heldOfKind: number,
    heldByTeam: ReadonlyMap<TeamName | undefined, number>,
    now: Instant,
  ): number {
    const {team, cost} = item;
    const turns = this.turns.get(turnsKey(item));
    const start = turns?.startOf(team) ?? 0;
    const turn = start + (heldOfKind * cost) / this.shares.weightOf(team, now);
    let ahead = heldOfKind;
    for (const [other, held] of heldByTeam) {
      if (other === team) continue;
      const time = turns?.timeOf(other) ?? 0;
      const weight = this.shares.weightOf(other, now);
      const before = Math.ceil(Math.max(0, turn - time) * (weight / cost));
      ahead += Math.min(held, before);
    }
    return ahead;
  }

  /** Assigns the next return time of a team's refused requests. */
  private takeReturn(
    item: Item,
    estimate: Estimate | undefined,
    now: Instant,
  ): Instant {
    const line = this.findLine(item, now);
    const {wait = 0, interval = MINIMUM_RETURN_MILLISECONDS} = estimate ?? {};
    // By then the queue has become so short that an equal request would be in time.
    const lateBy = wait - Math.max(0, until(now, item.objectiveAt));
    const horizon = after(now, RETURN_HORIZON_MILLISECONDS);
    const first = earlier(
      after(now, Math.max(MINIMUM_RETURN_MILLISECONDS, lateBy)),
      horizon,
    );
    const {lastReturnAt} = line;
    const next =
      lastReturnAt === undefined ? first : after(lastReturnAt, interval);
    const retryAt = next <= first || next > horizon ? first : next;
    line.lastReturnAt = retryAt;
    return retryAt;
  }

  private insert(item: Item, now: Instant): void {
    const line = this.findLine(item, now);
    const key = flowKey(item);
    let flow = this.flows.get(key);
    if (flow === undefined) {
      const {group, teamPriority} = item;
      const heap = new Heap<Item>(
        (left, right) => left.objectiveAt - right.objectiveAt,
      );
      const turns = this.findTurns(item);
      flow = {group, teamPriority, line, turns, heap};
      this.flows.set(key, flow);
    }
    flow.heap.push(item);
    line.size += 1;
    line.rate.beginBacklog(now);
    const group = this.groups.get(item.group) ?? {
      size: 0,
      usedAt: now,
      rate: RoomRate.create(),
    };
    group.size += 1;
    group.usedAt = now;
    group.rate.beginBacklog(now);
    this.groups.set(item.group, group);
    flow.turns.add(item.team);
    this.total += 1;
  }

  private recordRemoval(item: Item, flow: Flow<Item>, now: Instant): void {
    const {line, heap} = flow;
    if (heap.isEmpty()) this.flows.delete(flowKey(item));
    line.size -= 1;
    if (line.size === 0) line.rate.endBacklog(now);
    const group = this.groups.get(item.group);
    if (group !== undefined) {
      group.size -= 1;
      if (group.size === 0) group.rate.endBacklog(now);
    }
    flow.turns.remove(item.team);
    if (flow.turns.held === 0) this.turns.delete(turnsKey(item));
    this.total -= 1;
  }

  private findTurns(item: Item): TeamTurns {
    const key = turnsKey(item);
    const known = this.turns.get(key);
    if (known !== undefined) return known;
    const turns = TeamTurns.create();
    this.turns.set(key, turns);
    return turns;
  }

  private findLine(item: Item, now: Instant): TeamLine {
    const key = lineKey(item);
    const known = this.lines.get(key);
    if (known !== undefined) {
      known.usedAt = now;
      return known;
    }
    // Teams and models come and go with the versions of the configuration.
    for (const [other, {size, usedAt}] of this.lines) {
      if (size === 0 && until(usedAt, now) > FORGET_AFTER_MILLISECONDS)
        this.lines.delete(other);
    }
    for (const [group, {size, usedAt}] of this.groups) {
      if (size === 0 && until(usedAt, now) > FORGET_AFTER_MILLISECONDS)
        this.groups.delete(group);
    }
    const line: TeamLine = {
      team: item.team,
      size: 0,
      usedAt: now,
      rate: RoomRate.create(),
      overloads: new Map(),
      lastReturnAt: undefined,
    };
    this.lines.set(key, line);
    return line;
  }
}
