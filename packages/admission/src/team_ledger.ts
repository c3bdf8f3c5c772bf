/** One team at the lease holder: its budget, the requests that wait for it, the nodes' shares. */

import type {Instant, Milliseconds, NodeId} from '@siskinmux/kernel';
import {after, earlier, later, until} from '@siskinmux/kernel';
import type {QuotaAuthority} from './team_budget.js';
import {copyState} from './copy_state.js';
import {TeamBudget} from './team_budget.js';
import {TeamLoads} from './team_loads.js';
import type {QuotaRate, QuotaRules} from './team_quota_rules.js';
import {freeAmount, minimumShare, timeFor} from './team_quota_rules.js';
import {WindowCount} from './window_count.js';

/** Part of a burst below which the team is metered. */
const METERED_BELOW = 0.5;

/** Part of a burst above which metering stops, after the time that follows. */
const FILLED_ABOVE = 0.8;
const FILLED_MILLISECONDS: Milliseconds = 1_000;

/**
 * Time in which a node that doesn't receive what it is told is found to be lost. It goes by what it
 * was told before meanwhile.
 */
const UNHEARD_MILLISECONDS: Milliseconds = 3_000;

/** Turns are rounded up to whole milliseconds, so that they may move by one while nothing changes. */
const TURN_ROUNDING_MILLISECONDS: Milliseconds = 1;

/** Parts of a window in which grants are counted; unused ones come back within a second. */
const GRANTED_SLOTS = 2;

const NO_ALLOWANCE: TeamState = {free: 0, share: 0};

/** Part of the free amount that is spread evenly; the rest follows the load of the nodes. */
const EVEN_PART = 0.3;

/** A node is told of a changed free amount or share if it differs by more than this part. */
const CHANGE_PART = 0.25;

/** Or of a share that differs by more than this, since few large shares add up to a large error. */
const SHARE_CHANGE = 0.02;

/**
 * Latest time at which a refused request is told to return, unless the bucket takes longer. Later
 * ones begin anew at the earliest time: callers would not wait for so long.
 */
const MAXIMUM_RETURN_MILLISECONDS: Milliseconds = 4_000;

/** `unowned`: this holder no longer decides. */
export type QuotaDecision =
  | {readonly kind: 'granted'}
  | {readonly kind: 'refused' | 'unowned'; readonly retryAt: Instant};

/** Receives the decision on a request, once. */
export type SettleQuota = (decision: QuotaDecision) => void;

/** What a node may admit of a team. */
export interface TeamState {
  /** Amount that the node may have admitted beyond what the holder knows; 0 for a metered team. */
  readonly free: number;
  /** The node's part of the team's admitted load. */
  readonly share: number;
}

interface HeartbeatFigures {
  readonly at: Instant;
  /** Amount that all nodes together may have admitted without this holder's knowledge. */
  readonly free: number;
  /** Part of the quota that is not kept for lost nodes. */
  readonly connectedPart: number;
}

interface AnnouncedState extends TeamState {
  readonly at: Instant;
  /** The most that the node may still go by if it has not received this. */
  readonly before: TeamState;
}

interface Waiter {
  readonly node: NodeId;
  readonly amount: number;
  readonly waitUntil: Instant;
  readonly settle: SettleQuota;
}

/** Decides on the requests of one team. */
export class TeamLedger {
  private readonly budget: TeamBudget;
  private readonly loads: TeamLoads;
  private readonly announced = new Map<NodeId, AnnouncedState>();
  /** Loads of lost nodes, which count again when they are back. */
  private readonly lostLoads = new Map<NodeId, number>();
  /** What nodes were granted in the last window, less what they have given back. */
  private readonly granted = new Map<NodeId, WindowCount>();
  private waiters: Waiter[] = [];
  private waitingAmount = 0;
  /** When the first wait ends, or earlier; undefined if nothing waits. */
  private waitEnd: Instant | undefined;
  /** When the next refused request is told to return. */
  private nextReturnAt: Instant;
  private metered = true;
  private filledSince: Instant | undefined;
  private figures: HeartbeatFigures | undefined;

  private constructor(
    private quota: QuotaRate,
    private readonly rules: QuotaRules,
    private readonly authority: (now: Instant) => QuotaAuthority,
    now: Instant,
  ) {
    this.budget = TeamBudget.create(quota, rules, now);
    this.loads = TeamLoads.create(now);
    this.nextReturnAt = now;
  }

  /** `authority` is called with each decision. */
  static create(
    quota: QuotaRate,
    rules: QuotaRules,
    authority: (now: Instant) => QuotaAuthority,
    now: Instant,
  ): TeamLedger {
    return new TeamLedger(quota, rules, authority, now);
  }

  get isMetered(): boolean {
    return this.metered;
  }

  /** Amount that is available; negative while the team is in debt. */
  available(now: Instant): number {
    this.budget.refill(this.authority(now), now);
    return this.budget.available;
  }

  setQuota(quota: QuotaRate, now: Instant): void {
    this.advance(now);
    this.figures = undefined;
    this.quota = quota;
    this.budget.setQuota(quota, now);
    this.refuseLate(now);
  }

  /**
   * Records what a node has admitted without asking; a negative amount was granted but not used.
   * What exceeds the node's grants of the last window is ignored: its total has been reset.
   */
  recordAdmitted(node: NodeId, amount: number, now: Instant): void {
    this.budget.refill(this.authority(now), now);
    const counted = amount < 0 ? -this.takeBack(node, -amount, now) : amount;
    this.budget.recordAdmitted(node, counted, now);
    if (amount > 0) this.loads.add(node, amount, now);
    this.updateMetering(now);
  }

  /** Takes an amount that was admitted before this holder decided. */
  takeEarlier(amount: number): void {
    this.budget.take(amount);
  }

  /** Seeds the share of a node that another holder has told it. */
  seedShare(node: NodeId, share: number, now: Instant): void {
    this.loads.addShare(node, share, this.quota.perSecond, now);
  }

  /** Decides at once, or calls `settle` later for a request whose turn comes by `waitUntil`. */
  request(
    node: NodeId,
    amount: number,
    waitUntil: Instant,
    settle: SettleQuota,
    now: Instant,
  ): void {
    this.advance(now);
    if (this.waiters.length === 0 && this.budget.fits(amount, now)) {
      this.grant(node, amount, settle, now);
      return;
    }
    const turnAt = this.budget.readyAt(this.waitingAmount + amount, now);
    if (turnAt > waitUntil) {
      settle({kind: 'refused', retryAt: this.takeReturnTime(amount, now)});
      return;
    }
    this.waiters.push({node, amount, waitUntil, settle});
    this.waitingAmount += amount;
    this.waitEnd = earlier(this.waitEnd ?? waitUntil, waitUntil);
  }

  /** What {@link request} would decide now; undefined if the request would wait for its turn. */
  preview(
    node: NodeId,
    amount: number,
    waitUntil: Instant,
    now: Instant,
  ): QuotaDecision | undefined {
    const waiters = this.waiters.map(each => ({...each, settle: () => {}}));
    const state = copyState<object>({...this, waiters});
    const copy = Object.assign(
      Object.create(TeamLedger.prototype) as TeamLedger,
      state,
    );
    let decided: QuotaDecision | undefined;
    const settle = (decision: QuotaDecision): void => {
      decided = decision;
    };
    copy.request(node, amount, waitUntil, settle, now);
    return decided;
  }

  /** Grants what is due, and refuses those whose wait ends before their turn. */
  advance(now: Instant): void {
    this.budget.refill(this.authority(now), now);
    for (;;) {
      const [next] = this.waiters;
      if (next === undefined || !this.budget.fits(next.amount, now)) break;
      this.waiters.shift();
      this.waitingAmount -= next.amount;
      this.grant(next.node, next.amount, next.settle, now);
    }
    if (this.waitEnd !== undefined && now >= this.waitEnd) this.refuseLate(now);
    this.updateMetering(now);
  }

  /** When {@link advance} has something to do; undefined if nothing waits. */
  nextAdvanceAt(now: Instant): Instant | undefined {
    const [next] = this.waiters;
    if (next === undefined) return undefined;
    const turnAt = this.budget.readyAt(next.amount, now);
    return later(earlier(turnAt, this.waitEnd ?? turnAt), after(now, 1));
  }

  /** The node's part of the admitted load, as kept for it while its connection is lost. */
  shareOf(node: NodeId, now: Instant): number {
    return this.loads.shareOf(node) * this.figuresAt(now).connectedPart;
  }

  /** What a node may admit now, if that is not about what it was told last. */
  takeChange(
    node: NodeId,
    nodeCount: number,
    now: Instant,
  ): TeamState | undefined {
    const {free: freeOfAll, connectedPart} = this.figuresAt(now);
    const share = this.loads.shareOf(node) * connectedPart;
    const even = EVEN_PART / Math.max(1, nodeCount);
    const part = even + (1 - EVEN_PART) * share;
    const free = this.metered ? 0 : Math.floor(freeOfAll * part);
    const shared = share >= minimumShare(nodeCount) ? share : 0;
    const announced = this.announced.get(node);
    if (announced !== undefined && !isChanged(announced, free, shared))
      return undefined;
    const before =
      announced === undefined
        ? NO_ALLOWANCE
        : greatestAnnouncedAt(announced, now);
    this.announced.set(node, {free, share: shared, at: now, before});
    return {free, share: shared};
  }

  /** Keeps what a lost node may admit by itself. */
  loseNode(node: NodeId, heardAt: Instant, now: Instant): void {
    this.budget.refill(this.authority(now), now);
    const announced = this.announced.get(node);
    const most =
      announced === undefined
        ? NO_ALLOWANCE
        : greatestAnnouncedAt(announced, heardAt);
    this.budget.loseNode(node, most, heardAt, now);
    this.figures = undefined;
    this.announced.delete(node);
    this.lostLoads.set(node, this.loads.remove(node, now));
    const waiting = this.waiters;
    this.waiters = waiting.filter(waiter => waiter.node !== node);
    for (const {amount, settle, node: waitingNode} of waiting) {
      if (waitingNode !== node) continue;
      this.waitingAmount -= amount;
      settle({kind: 'unowned', retryAt: now});
    }
    this.updateMetering(now);
  }

  returnNode(node: NodeId, now: Instant): void {
    this.budget.refill(this.authority(now), now);
    this.budget.returnNode(node, now);
    this.figures = undefined;
    this.loads.add(node, this.lostLoads.get(node) ?? 0, now);
    this.lostLoads.delete(node);
  }

  /** Keeps a share for nodes that have not connected to this holder yet. */
  keepShare(placeholder: NodeId, share: number, since: Instant): void {
    this.budget.keepShare(placeholder, share, since);
    this.figures = undefined;
  }

  /** Forgets a node that has been lost for long. */
  forgetNode(node: NodeId): void {
    this.lostLoads.delete(node);
    this.granted.delete(node);
  }

  /** Ends the wait of all; `decision` goes to each. */
  end(decision: QuotaDecision): void {
    const {waiters} = this;
    this.waiters = [];
    this.waitingAmount = 0;
    this.waitEnd = undefined;
    for (const {settle} of waiters) settle(decision);
  }

  /**
   * Refuses those whose turn comes after the end of their wait: others' reports, a lost node or a
   * lower quota may have moved it.
   */
  private refuseLate(now: Instant): void {
    const late: Waiter[] = [];
    const waiting = this.waiters;
    this.waiters = [];
    this.waitingAmount = 0;
    this.waitEnd = undefined;
    for (const waiter of waiting) {
      const {amount, waitUntil} = waiter;
      const turnAt = this.budget.readyAt(this.waitingAmount + amount, now);
      if (turnAt > after(waitUntil, TURN_ROUNDING_MILLISECONDS)) {
        late.push(waiter);
        continue;
      }
      this.waiters.push(waiter);
      this.waitingAmount += amount;
      this.waitEnd = earlier(this.waitEnd ?? waitUntil, waitUntil);
    }
    for (const {amount, settle} of late)
      settle({kind: 'refused', retryAt: this.takeReturnTime(amount, now)});
  }

  private grant(
    node: NodeId,
    amount: number,
    settle: SettleQuota,
    now: Instant,
  ): void {
    this.budget.take(amount);
    this.countGranted(node, amount, now);
    this.loads.add(node, amount, now);
    this.updateMetering(now);
    settle({kind: 'granted'});
  }

  private countGranted(node: NodeId, amount: number, now: Instant): void {
    let granted = this.granted.get(node);
    if (granted === undefined) {
      const {windowMilliseconds} = this.rules;
      granted = WindowCount.create(windowMilliseconds, GRANTED_SLOTS);
      this.granted.set(node, granted);
    }
    granted.add(amount, now);
  }

  /** Returns how much of an amount the node can have been granted. */
  private takeBack(node: NodeId, amount: number, now: Instant): number {
    const granted = this.granted.get(node);
    if (granted === undefined) return 0;
    const left = granted.slots(now).reduce((sum, part) => sum + part, 0);
    const taken = Math.min(amount, Math.max(0, left));
    granted.add(-taken, now);
    return taken;
  }

  /** What is the same for all nodes that are told at one instant. */
  private figuresAt(now: Instant): HeartbeatFigures {
    if (this.figures?.at === now) return this.figures;
    const authority = this.authority(now);
    const free =
      authority.minority === undefined ? freeAmount(this.quota, this.rules) : 0;
    const connectedPart = 1 - this.budget.keptShare(authority, now);
    this.figures = {at: now, free, connectedPart};
    return this.figures;
  }

  private updateMetering(now: Instant): void {
    const {available} = this.budget;
    const {burst} = this.quota;
    if (available < FILLED_ABOVE * burst) this.filledSince = undefined;
    else this.filledSince ??= now;
    if (available < METERED_BELOW * burst) this.metered = true;
    else if (
      this.filledSince !== undefined &&
      until(this.filledSince, now) >= FILLED_MILLISECONDS
    )
      this.metered = false;
  }

  /** Spreads the returns of refused requests at the rate of the quota. */
  private takeReturnTime(amount: number, now: Instant): Instant {
    const freeAt = this.budget.readyAt(this.waitingAmount + amount, now);
    const latest = after(now, MAXIMUM_RETURN_MILLISECONDS);
    const next = later(this.nextReturnAt, freeAt);
    const returnAt = next > latest ? freeAt : next;
    this.nextReturnAt = after(returnAt, timeFor(amount, this.quota.perSecond));
    return returnAt;
  }
}

/** The most that a node may go by that was heard at an instant. */
function greatestAnnouncedAt(
  {free, share, at, before}: AnnouncedState,
  heardAt: Instant,
): TeamState {
  if (until(at, heardAt) > UNHEARD_MILLISECONDS) return {free, share};
  return {
    free: Math.max(free, before.free),
    share: Math.max(share, before.share),
  };
}

function isChanged(announced: TeamState, free: number, share: number): boolean {
  if (announced.free > 0 !== free > 0) return true;
  if (Math.abs(announced.share - share) > SHARE_CHANGE) return true;
  return differs(announced.free, free) || differs(announced.share, share);
}

function differs(told: number, value: number): boolean {
  return Math.abs(value - told) > CHANGE_PART * Math.max(value, told);
}
