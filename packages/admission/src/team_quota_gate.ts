/**
 * A node's decisions on requests of teams with a quota: what it admits by itself, what it asks the
 * lease holder about, and what it admits while it has none.
 */

import type {Instant, Milliseconds, Random, TeamName} from '@siskinmux/kernel';
import {after, earlier, later, until} from '@siskinmux/kernel';
import type {
  AdmittedTotal,
  TeamChange,
  TeamStatement,
} from './team_quota_ledger.js';
import {SLOTS_PER_WINDOW} from './team_quota_ledger.js';
import type {QuotaRate, QuotaRules} from './team_quota_rules.js';
import {
  amountIn,
  minimumShare,
  shareLeft,
  timeFor,
} from './team_quota_rules.js';
import {copyState} from './copy_state.js';
import {WindowCount} from './window_count.js';

/** Assumed number of nodes before a lease holder has told it. */
const UNKNOWN_NODE_COUNT = 100;

/**
 * Without a lease holder, a request is told to return after this and up to as much more: another
 * holder is elected by then.
 */
const ELECTION_MILLISECONDS: Milliseconds = 1_000;

/** Most teams without a quota whose totals are kept; the holder ignores the reset of a forgotten one. */
const MAXIMUM_REMOVED_TEAMS = 256;

/** Decision on one request. */
export type GateDecision =
  | {readonly kind: 'admitted'}
  /** The lease holder has to be asked. */
  | {readonly kind: 'ask'}
  | {readonly kind: 'refused'; readonly retryAt: Instant};

/** What a heartbeat of the lease holder says. */
export interface HolderState {
  readonly nodeCount: number;
  /** Number of the last report of this node that the state includes. */
  readonly report: number;
  /** Teams of which this node may admit something else than before. */
  readonly changes: readonly TeamChange[];
}

/** A numbered report. */
export interface GateReport<Entry> {
  readonly report: number;
  readonly teams: readonly Entry[];
}

/** What {@link TeamQuotaGate.decide} would decide, and by what knowledge. */
export interface GatePreview {
  readonly decision: GateDecision;
  /** Amount that the node may admit now without asking. */
  readonly level: number;
  /** When the lease holder was heard last; undefined if never. */
  readonly heardAt: Instant | undefined;
}

interface GatedTeam {
  quota: QuotaRate;
  /** Amount that the node may have admitted beyond what the holder knows. */
  free: number;
  share: number;
  total: number;
  /** Total that the holder's last heartbeat includes. */
  knownTotal: number;
  /** Totals of the reports that no heartbeat has included yet. */
  readonly reported: {readonly report: number; readonly total: number}[];
  reportedTotal: number;
  /** Amount that the node may admit without a holder. */
  level: number;
  refilledAt: Instant;
  readonly recent: WindowCount;
}

/** Dependencies of {@link TeamQuotaGate}. */
export interface TeamQuotaGateOptions {
  readonly rules: QuotaRules;
  readonly random: Random;
}

/** Admits, asks or refuses on one node. */
export class TeamQuotaGate {
  private readonly teams = new Map<TeamName, GatedTeam>();
  /**
   * Last totals of teams whose quota was removed, oldest first. The holder keeps them too, so a
   * quota that comes back has to go on from there.
   */
  private readonly removedTotals = new Map<TeamName, number>();
  private nodeCount: number | undefined;
  /** Undefined while the node has a lease holder that responds. */
  private withoutHolderSince: Instant | undefined;
  private heardAt: Instant;
  /** Whether the lease holder knows no quotas. */
  private isHolderUnaware = false;
  private lastReport = 0;

  private constructor(
    private readonly options: TeamQuotaGateOptions,
    now: Instant,
  ) {
    this.withoutHolderSince = now;
    this.heardAt = now;
  }

  static create(options: TeamQuotaGateOptions, now: Instant): TeamQuotaGate {
    return new TeamQuotaGate(options, now);
  }

  /** Whether the node has never heard from a lease holder. */
  get isNew(): boolean {
    return this.nodeCount === undefined;
  }

  /** Whether the node admits by itself. */
  get hasNoHolder(): boolean {
    return this.withoutHolderSince !== undefined;
  }

  /** Whether the lease holder is of an earlier build, and gets no reports. */
  get followsUnaware(): boolean {
    return this.isHolderUnaware;
  }

  /** Number of nodes that the last holder has told; undefined if there was none. */
  get knownNodeCount(): number | undefined {
    return this.nodeCount;
  }

  /** Teams whose requests are all asked for, as far as this node knows. */
  get meteredTeams(): TeamName[] {
    return [...this.teams].flatMap(([team, {free}]) =>
      free > 0 ? [] : [team],
    );
  }

  /** Replaces the quotas. */
  setQuotas(quotas: ReadonlyMap<TeamName, QuotaRate>, now: Instant): void {
    for (const [team, {total}] of this.teams) {
      if (quotas.has(team)) continue;
      this.teams.delete(team);
      if (total !== 0) this.removedTotals.set(team, total);
    }
    for (const [team, quota] of quotas) {
      const known = this.teams.get(team);
      if (known !== undefined) known.quota = quota;
      else {
        const total = this.removedTotals.get(team) ?? 0;
        this.removedTotals.delete(team);
        this.teams.set(team, this.createTeam(quota, total, now));
      }
    }
    for (const team of this.removedTotals.keys()) {
      if (this.removedTotals.size <= MAXIMUM_REMOVED_TEAMS) break;
      this.removedTotals.delete(team);
    }
  }

  /** Decides on a request. */
  decide(team: TeamName, amount: number, now: Instant): GateDecision {
    const gated = this.teams.get(team);
    if (gated === undefined) return {kind: 'admitted'};
    if (this.withoutHolderSince !== undefined)
      return this.decideLocally(gated, amount, now);
    if (freeLeft(gated) < amount) return {kind: 'ask'};
    admit(gated, amount, now);
    return {kind: 'admitted'};
  }

  /** Tries {@link decide} on a copy; undefined for a team without a quota. */
  preview(
    team: TeamName,
    amount: number,
    now: Instant,
    random: Random,
  ): GatePreview | undefined {
    const gated = this.teams.get(team);
    if (gated === undefined) return undefined;
    const {rules} = this.options;
    const copy = new TeamQuotaGate({rules, random}, this.heardAt);
    copy.nodeCount = this.nodeCount;
    copy.withoutHolderSince = this.withoutHolderSince;
    copy.isHolderUnaware = this.isHolderUnaware;
    const copied = copyState(gated);
    copy.teams.set(team, copied);
    if (this.hasNoHolder) copy.refill(copied, now);
    return {
      level: Math.max(0, this.hasNoHolder ? copied.level : freeLeft(copied)),
      heardAt: this.isNew ? undefined : this.heardAt,
      decision: copy.decide(team, amount, now),
    };
  }

  /** Records a request that the holder has granted. */
  recordGranted(team: TeamName, amount: number, now: Instant): void {
    this.teams.get(team)?.recent.add(amount, now);
  }

  /** Gives back what the holder has granted to a request that doesn't use it. */
  recordUnused(team: TeamName, amount: number): void {
    const gated = this.teams.get(team);
    if (gated !== undefined) gated.total -= amount;
  }

  /**
   * The totals that have changed since the last report; undefined if none has, or if the lease
   * holder knows no quotas.
   */
  takeReport(): GateReport<AdmittedTotal> | undefined {
    if (this.isHolderUnaware) return undefined;
    const teams: AdmittedTotal[] = [];
    for (const [team, gated] of this.teams) {
      if (gated.total !== gated.reportedTotal)
        teams.push({team, total: gated.total});
    }
    if (teams.length === 0) return undefined;
    this.lastReport += 1;
    const report = this.lastReport;
    for (const {team} of teams) this.markReported(team, report);
    return {report, teams};
  }

  /** What a lease holder needs to know when this node connects to it. */
  takeStatement(now: Instant): GateReport<TeamStatement> {
    this.isHolderUnaware = false;
    this.lastReport += 1;
    const report = this.lastReport;
    const teams: TeamStatement[] = [];
    for (const [team, gated] of this.teams) {
      const {total, share, recent} = gated;
      // What an earlier holder allowed ends with it.
      gated.free = 0;
      gated.reported.length = 0;
      this.markReported(team, report);
      const slots = recent.slots(now);
      if (total !== 0 || share > 0 || slots.some(amount => amount > 0))
        teams.push({team, total, share, recent: slots});
    }
    // A holder that doesn't know the total would take all of it as new once the quota is back.
    for (const [team, total] of this.removedTotals)
      teams.push({team, total, share: 0, recent: []});
    return {report, teams};
  }

  /** Applies a heartbeat of the lease holder. */
  applyState({nodeCount, report, changes}: HolderState, now: Instant): void {
    this.nodeCount = nodeCount;
    this.heardAt = now;
    this.withoutHolderSince = undefined;
    this.isHolderUnaware = false;
    for (const {team, free, share} of changes) {
      const gated = this.teams.get(team);
      if (gated === undefined) continue;
      gated.free = free;
      gated.share = share;
    }
    for (const gated of this.teams.values()) {
      const {reported} = gated;
      while (reported[0] !== undefined && reported[0].report <= report) {
        gated.knownTotal = reported[0].total;
        reported.shift();
      }
    }
  }

  /**
   * Follows a lease holder of an earlier build, which knows no quotas: the node admits by itself, at
   * an equal share.
   */
  followHolderWithoutQuotas(nodeCount: number, now: Instant): void {
    this.loseHolder(now);
    this.nodeCount = nodeCount;
    this.heardAt = now;
    this.isHolderUnaware = true;
    for (const gated of this.teams.values()) {
      gated.share = 1 / Math.max(1, nodeCount);
      // No heartbeat will include these reports; a holder that comes to know quotas gets them anew.
      gated.reported.length = 0;
      gated.reportedTotal = gated.knownTotal;
    }
  }

  /** The lease holder is lost, or doesn't respond: the node admits by itself. */
  loseHolder(now: Instant): void {
    if (this.withoutHolderSince !== undefined) return;
    this.withoutHolderSince = now;
    for (const gated of this.teams.values()) {
      gated.level = Math.max(0, freeLeft(gated));
      gated.refilledAt = this.heardAt;
    }
  }

  /**
   * Admits from a level that accumulates at the node's share of the quota. Where it is less than
   * the amount, the request takes all of it and is admitted with the probability of that part:
   * the levels of many nodes may each be too small for a request.
   */
  private decideLocally(
    gated: GatedTeam,
    amount: number,
    now: Instant,
  ): GateDecision {
    const perSecond = this.refill(gated, now);
    if (gated.level >= amount) {
      gated.level -= amount;
      admit(gated, amount, now);
      return {kind: 'admitted'};
    }
    const isAdmitted = this.options.random() * amount < gated.level;
    gated.level = 0;
    if (isAdmitted) {
      admit(gated, amount, now);
      return {kind: 'admitted'};
    }
    const filledAt = after(now, timeFor(amount, perSecond));
    const electedAt = after(
      now,
      ELECTION_MILLISECONDS * (1 + this.options.random()),
    );
    return {kind: 'refused', retryAt: earlier(filledAt, electedAt)};
  }

  /** Returns the rate that applies now. */
  private refill(gated: GatedTeam, now: Instant): number {
    const {rules} = this.options;
    const {quota, refilledAt} = gated;
    const time = Math.max(0, until(refilledAt, now));
    const middle = after(refilledAt, time / 2);
    const share = this.shareAt(gated, now);
    const accrued = amountIn(quota.perSecond, time);
    const {perSecond, burst} = quota;
    const inWindow = burst + amountIn(perSecond, rules.windowMilliseconds);
    // Under a holder that knows no quotas, the share doesn't fall, so a level of a window and the
    // rate of the next would exceed the bound. The burst of the minimum share is less than most
    // requests, so that one still accumulates for a window.
    const most = this.isHolderUnaware
      ? Math.max(share * burst, this.leastShare * inWindow)
      : share * inWindow;
    gated.level = Math.min(
      most,
      gated.level + accrued * this.shareAt(gated, middle),
    );
    gated.refilledAt = later(refilledAt, now);
    return perSecond * share;
  }

  private shareAt({share}: GatedTeam, at: Instant): number {
    const left = shareLeft(this.heardAt, at, this.options.rules);
    return Math.max(share * left, this.leastShare);
  }

  private get leastShare(): number {
    return minimumShare(this.nodeCount ?? UNKNOWN_NODE_COUNT);
  }

  private markReported(team: TeamName, report: number): void {
    const gated = this.teams.get(team);
    if (gated === undefined) return;
    const {total} = gated;
    gated.reported.push({report, total});
    gated.reportedTotal = total;
  }

  private createTeam(quota: QuotaRate, total: number, now: Instant): GatedTeam {
    const {windowMilliseconds} = this.options.rules;
    return {
      quota,
      free: 0,
      share: 0,
      total,
      knownTotal: total,
      reported: [],
      reportedTotal: total,
      level: 0,
      refilledAt: now,
      recent: WindowCount.create(windowMilliseconds, SLOTS_PER_WINDOW),
    };
  }
}

/** Amount that the node may still admit without asking. */
function freeLeft({free, total, knownTotal}: GatedTeam): number {
  return free - (total - knownTotal);
}

function admit(gated: GatedTeam, amount: number, now: Instant): void {
  gated.total += amount;
  gated.recent.add(amount, now);
}
