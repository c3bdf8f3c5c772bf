/** One team's bucket at the lease holder, with the parts of it that are kept for lost nodes. */

import type {Instant, Milliseconds, NodeId} from '@siskinmux/kernel';
import {after, later, until} from '@siskinmux/kernel';
import type {QuotaRate, QuotaRules} from './team_quota_rules.js';
import {
  allowedExcess,
  amountIn,
  minimumShare,
  shareLeft,
  timeFor,
} from './team_quota_rules.js';

/**
 * Time for which the least share of a lost node is kept. Almost all nodes are connected again, or
 * have ended, by then.
 */
export const LOST_NODE_MILLISECONDS: Milliseconds = 60_000;

/** Time in which a node that is back reports what it admitted without its lease holder. */
const RETURN_REPORT_MILLISECONDS: Milliseconds = 3_000;

/** Part of a team's allowed excess that one request of more than a burst may use. */
const LARGE_PART_OF_EXCESS = 0.25;

/** Part of a quota by which return times are estimated while less of it accumulates. */
const MINIMUM_PART = 0.01;

/** Part of the quota that is kept for a node without this lease holder. */
interface LostShare {
  readonly share: number;
  readonly since: Instant;
  /** Amount that has been taken from the bucket for the node. */
  reserved: number;
}

/** Amount that was taken for a node that is back, and has to be reported until then. */
interface PrepaidAmount {
  amount: number;
  readonly until: Instant;
}

/** What a lease holder may give out, as far as it knows of other holders. */
export interface QuotaAuthority {
  readonly nodeCount: number;
  /** Whether shares of lost nodes are kept in full, since another holder may serve those nodes. */
  readonly keepsLostShares: boolean;
  /**
   * Set if another holder may serve most of the nodes: since when, and the part of the quota that
   * remains to this holder in the end.
   */
  readonly minority:
    {readonly since: Instant; readonly remainder: number} | undefined;
}

/** A token bucket that may go into debt. It starts empty, as a predecessor's may have been used. */
export class TeamBudget {
  private level = 0;
  private readonly lost = new Map<NodeId, LostShare>();
  private readonly prepaid = new Map<NodeId, PrepaidAmount>();
  /** When the bucket was filled last; undefined if it isn't full. */
  private fullSince: Instant | undefined;
  /** Part of the quota that accumulated last. */
  private part = 1;

  private constructor(
    private quota: QuotaRate,
    private readonly rules: QuotaRules,
    private refilledAt: Instant,
  ) {}

  static create(quota: QuotaRate, rules: QuotaRules, now: Instant): TeamBudget {
    return new TeamBudget(quota, rules, now);
  }

  /** Amount that is available; negative while the bucket is in debt. */
  get available(): number {
    return this.level;
  }

  /** Accumulates up to `now`; has to be called before anything else at a later instant. */
  refill(authority: QuotaAuthority, now: Instant): void {
    const time = until(this.refilledAt, now);
    if (time <= 0) return;
    const middle = after(this.refilledAt, time / 2);
    this.refilledAt = now;
    const accrued = amountIn(this.quota.perSecond, time);
    let kept = 0;
    for (const lost of this.lost.values()) {
      const share = this.shareOf(lost, authority, middle);
      lost.reserved += accrued * share;
      kept += share;
    }
    this.part = this.partAt(authority, kept, middle);
    this.add(accrued * this.part, now);
    this.forgetExpired(now);
  }

  /** Changes the quota; what has accumulated beyond the new burst is discarded. */
  setQuota(quota: QuotaRate, now: Instant): void {
    this.quota = quota;
    this.add(0, now);
  }

  /** Whether an amount is available. More than a burst has to be waited for with a full bucket. */
  fits(amount: number, now: Instant): boolean {
    return this.readyAt(amount, now) <= now;
  }

  /** When an amount will be available if nothing else is taken. */
  readyAt(amount: number, now: Instant): Instant {
    const {perSecond, burst} = this.quota;
    const missing = Math.max(0, Math.min(amount, burst) - this.level);
    const filledAt =
      missing === 0
        ? (this.fullSince ?? now)
        : after(
            now,
            timeFor(missing, perSecond * Math.max(MINIMUM_PART, this.part)),
          );
    if (amount <= burst) return later(now, filledAt);
    const beyond =
      amount -
      burst -
      allowedExcess(this.quota, this.rules) * LARGE_PART_OF_EXCESS;
    return later(now, after(filledAt, timeFor(Math.max(0, beyond), perSecond)));
  }

  take(amount: number): void {
    this.level -= amount;
    if (amount > 0) this.fullSince = undefined;
  }

  /** Records what a node has admitted; a negative amount is one that it didn't use. */
  recordAdmitted(node: NodeId, amount: number, now: Instant): void {
    const prepaid = this.prepaid.get(node);
    if (prepaid === undefined || amount < 0) {
      this.take(amount);
      this.add(0, now);
      return;
    }
    const covered = Math.min(prepaid.amount, amount);
    prepaid.amount -= covered;
    this.take(amount - covered);
  }

  /**
   * Keeps the share of a node that was heard last at `heardAt`, and takes the amount that it may
   * have admitted since.
   */
  loseNode(
    node: NodeId,
    lost: {readonly share: number; readonly free: number},
    heardAt: Instant,
    now: Instant,
  ): void {
    const {share, free} = lost;
    const silent = Math.max(0, until(heardAt, now));
    const reserved =
      free + amountIn(this.quota.perSecond, silent) * Math.min(1, share);
    this.take(reserved);
    this.lost.set(node, {share, since: now, reserved});
  }

  returnNode(node: NodeId, now: Instant): void {
    const lost = this.lost.get(node);
    if (lost === undefined) return;
    this.lost.delete(node);
    this.prepaid.set(node, {
      amount: lost.reserved,
      until: after(now, RETURN_REPORT_MILLISECONDS),
    });
  }

  /** Replaces the share that is kept for nodes which have not connected to this holder yet. */
  keepShare(placeholder: NodeId, share: number, since: Instant): void {
    const reserved = this.lost.get(placeholder)?.reserved ?? 0;
    if (share > 0) this.lost.set(placeholder, {share, since, reserved});
    else this.lost.delete(placeholder);
  }

  /** Part of the quota that is kept for lost nodes now. */
  keptShare(authority: QuotaAuthority, now: Instant): number {
    let kept = 0;
    for (const lost of this.lost.values())
      kept += this.shareOf(lost, authority, now);
    return Math.min(1, kept);
  }

  private shareOf(
    {share, since}: LostShare,
    {keepsLostShares, nodeCount}: QuotaAuthority,
    now: Instant,
  ): number {
    const left = keepsLostShares ? 1 : shareLeft(since, now, this.rules);
    return Math.max(share * left, Math.min(share, minimumShare(nodeCount)));
  }

  /** Part of the quota that this holder may give out. */
  private partAt(
    {minority}: QuotaAuthority,
    keptShare: number,
    now: Instant,
  ): number {
    const part = Math.max(0, 1 - keptShare);
    if (minority === undefined) return part;
    const {since, remainder} = minority;
    return Math.max(remainder, part * shareLeft(since, now, this.rules));
  }

  private add(amount: number, now: Instant): void {
    this.level += amount;
    if (this.level < this.quota.burst) {
      this.fullSince = undefined;
      return;
    }
    this.level = this.quota.burst;
    this.fullSince ??= now;
  }

  private forgetExpired(now: Instant): void {
    for (const [node, {since}] of this.lost) {
      if (until(since, now) > LOST_NODE_MILLISECONDS) this.lost.delete(node);
    }
    for (const [node, prepaid] of this.prepaid) {
      if (now > prepaid.until) this.prepaid.delete(node);
    }
  }
}
