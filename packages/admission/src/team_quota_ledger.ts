/**
 * The lease holder's ledger of all teams with a quota: what nodes have admitted, who may admit how
 * much without asking, and the requests that ask.
 */

import type {Instant, NodeId, TeamName} from '@siskinmux/kernel';
import {as, until} from '@siskinmux/kernel';
import type {QuotaAuthority} from './team_budget.js';
import {LOST_NODE_MILLISECONDS} from './team_budget.js';
import type {QuotaDecision, SettleQuota, TeamState} from './team_ledger.js';
import {TeamLedger} from './team_ledger.js';
import type {QuotaRate, QuotaRules} from './team_quota_rules.js';
import {amountIn, minimumShare} from './team_quota_rules.js';

/** Number of equal parts of a window in which nodes count what they have admitted. */
export const SLOTS_PER_WINDOW = 8;

/** Stands for the nodes that have not connected to this holder yet. */
const UNKNOWN_NODES = as<NodeId>('');

/** What a node has admitted of a team without asking, since its process started. */
export interface AdmittedTotal {
  readonly team: TeamName;
  /** Falls by what was granted but not used. */
  readonly total: number;
}

/** What a node states about a team when it connects. */
export interface TeamStatement extends AdmittedTotal {
  /** The share that its last holder told it. */
  readonly share: number;
  /** Amounts admitted in the parts of the last window, granted ones included, newest first. */
  readonly recent: readonly number[];
}

/** What a node may admit of a team, as told in a heartbeat. */
export interface TeamChange extends TeamState {
  readonly team: TeamName;
}

interface KnownNode {
  /** Undefined while it is connected. */
  lostAt: Instant | undefined;
  readonly totals: Map<TeamName, number>;
  /** Number of the last report that has arrived. */
  report: number;
}

interface KnownTeam {
  readonly ledger: TeamLedger;
  quota: QuotaRate;
  /** What nodes had admitted before this holder, by part of the window, newest first. */
  readonly earlier: number[];
  /** Debt that follows from it. */
  earlierDebt: number;
  /** Whether an earlier holder may have told other nodes shares of it. */
  readonly isEarlier: boolean;
  /** Sum of the shares that connected nodes have had from an earlier holder. */
  statedShare: number;
}

/** Dependencies of {@link TeamQuotaLedger}. */
export interface TeamQuotaLedgerOptions {
  readonly rules: QuotaRules;
  /** Whether no other node can act as lease holder now. */
  readonly isExclusive: (now: Instant) => boolean;
  /** Number of nodes that an earlier holder told this node; undefined if there was none. */
  readonly earlierNodeCount: number | undefined;
}

/** Decides for all nodes while this node holds the lease. */
export class TeamQuotaLedger {
  private readonly teams = new Map<TeamName, KnownTeam>();
  private readonly nodes = new Map<NodeId, KnownNode>();
  private readonly changes = new Map<NodeId, TeamChange[]>();
  private connectedCount = 0;
  /** Number of nodes, of which another holder could serve those that aren't connected. */
  private electorate: number;
  /** When all of them were connected last. */
  private completeAt: Instant;
  private minoritySince: Instant | undefined;

  private constructor(
    private readonly options: TeamQuotaLedgerOptions,
    private readonly startedAt: Instant,
  ) {
    this.electorate = options.earlierNodeCount ?? 1;
    this.completeAt = startedAt;
  }

  static create(
    options: TeamQuotaLedgerOptions,
    now: Instant,
  ): TeamQuotaLedger {
    return new TeamQuotaLedger(options, now);
  }

  /** Replaces the quotas; those who wait for a team without one are admitted. */
  setQuotas(quotas: ReadonlyMap<TeamName, QuotaRate>, now: Instant): void {
    for (const [team, {ledger}] of this.teams) {
      if (quotas.has(team)) continue;
      ledger.end({kind: 'granted'});
      this.teams.delete(team);
    }
    for (const [team, quota] of quotas) {
      const known = this.teams.get(team);
      if (known === undefined) this.addTeam(team, quota, now);
      else {
        known.quota = quota;
        known.ledger.setQuota(quota, now);
      }
    }
  }

  /** A node has connected, which states what it has admitted. */
  addNode(
    node: NodeId,
    statements: readonly TeamStatement[],
    report: number,
    now: Instant,
  ): void {
    const known = this.nodes.get(node);
    if (known === undefined) {
      const created = {lostAt: undefined, totals: new Map(), report: 0};
      this.nodes.set(node, created);
      this.connectedCount += 1;
      this.updateAuthority(now);
      for (const statement of statements)
        this.addStatement(node, created, statement, now);
      created.report = report;
      this.keepRemainders(now);
      return;
    }
    this.returnNode(node, now);
    this.recordAdmitted(node, statements, report, now);
  }

  /** The connection of a node that was heard last at `heardAt` is lost. */
  loseNode(node: NodeId, heardAt: Instant, now: Instant): void {
    const known = this.nodes.get(node);
    if (known === undefined || known.lostAt !== undefined) return;
    known.lostAt = now;
    this.changes.delete(node);
    this.connectedCount -= 1;
    this.updateAuthority(now);
    for (const {ledger} of this.teams.values())
      ledger.loseNode(node, heardAt, now);
  }

  /** A lost node is heard again. */
  returnNode(node: NodeId, now: Instant): void {
    const known = this.nodes.get(node);
    if (known === undefined || known.lostAt === undefined) return;
    known.lostAt = undefined;
    this.connectedCount += 1;
    this.updateAuthority(now);
    for (const {ledger} of this.teams.values()) ledger.returnNode(node, now);
  }

  /** Records a numbered report of a connected node. */
  recordAdmitted(
    node: NodeId,
    totals: readonly AdmittedTotal[],
    report: number,
    now: Instant,
  ): void {
    const known = this.nodes.get(node);
    if (known === undefined) return;
    known.report = report;
    for (const {team, total} of totals) {
      const before = known.totals.get(team) ?? 0;
      known.totals.set(team, total);
      if (total !== before)
        this.teams.get(team)?.ledger.recordAdmitted(node, total - before, now);
    }
  }

  /** Decides on a request that asks; `settle` is called now or later. */
  request(
    node: NodeId,
    team: TeamName,
    amount: number,
    waitUntil: Instant,
    settle: SettleQuota,
    now: Instant,
  ): void {
    const ledger = this.teams.get(team)?.ledger;
    if (ledger === undefined) settle({kind: 'granted'});
    else ledger.request(node, amount, waitUntil, settle, now);
  }

  /** What {@link request} would decide now; undefined if the request would wait for its turn. */
  preview(
    node: NodeId,
    team: TeamName,
    amount: number,
    waitUntil: Instant,
    now: Instant,
  ): QuotaDecision | undefined {
    const ledger = this.teams.get(team)?.ledger;
    if (ledger === undefined) return {kind: 'granted'};
    return ledger.preview(node, amount, waitUntil, now);
  }

  /** Grants what is due to those who wait. */
  advance(now: Instant): void {
    for (const {ledger} of this.teams.values()) ledger.advance(now);
  }

  /** When {@link advance} has something to do for a team; undefined if nothing waits. */
  nextAdvanceAt(team: TeamName, now: Instant): Instant | undefined {
    return this.teams.get(team)?.ledger.nextAdvanceAt(now);
  }

  /** Teams whose requests are all asked for. */
  get meteredTeams(): TeamName[] {
    return [...this.teams].flatMap(([team, {ledger}]) =>
      ledger.isMetered ? [team] : [],
    );
  }

  /** The node's part of the team's admitted load. */
  shareOf(node: NodeId, team: TeamName, now: Instant): number {
    return this.teams.get(team)?.ledger.shareOf(node, now) ?? 0;
  }

  /** Amount of the team's bucket; negative while it is in debt, undefined without a quota. */
  available(team: TeamName, now: Instant): number | undefined {
    return this.teams.get(team)?.ledger.available(now);
  }

  /** Number of the last report of a node that has arrived. */
  lastReportOf(node: NodeId): number {
    return this.nodes.get(node)?.report ?? 0;
  }

  /** What the last {@link update} has found changed for a node; empty when it is taken again. */
  takeChanges(node: NodeId): readonly TeamChange[] {
    const changes = this.changes.get(node) ?? [];
    this.changes.delete(node);
    return changes;
  }

  /** Updates what depends on time, and finds what nodes have to be told; precedes a heartbeat. */
  update(now: Instant): void {
    this.updateAuthority(now);
    this.advance(now);
    this.collectChanges(now);
    for (const [node, {lostAt}] of this.nodes) {
      if (lostAt === undefined || until(lostAt, now) <= LOST_NODE_MILLISECONDS)
        continue;
      this.nodes.delete(node);
      for (const {ledger} of this.teams.values()) ledger.forgetNode(node);
    }
  }

  /** Ends all waits: another node decides from now on. */
  stop(now: Instant): void {
    for (const {ledger} of this.teams.values())
      ledger.end({kind: 'unowned', retryAt: now});
    this.teams.clear();
  }

  /** Goes through the nodes of one team after the other, which are close to each other in memory. */
  private collectChanges(now: Instant): void {
    for (const [team, {ledger}] of this.teams) {
      for (const [node, {lostAt}] of this.nodes) {
        if (lostAt !== undefined) continue;
        const state = ledger.takeChange(node, this.connectedCount, now);
        if (state === undefined) continue;
        const changes = this.changes.get(node);
        if (changes === undefined) this.changes.set(node, [{team, ...state}]);
        else changes.push({team, ...state});
      }
    }
  }

  private addTeam(team: TeamName, quota: QuotaRate, now: Instant): void {
    const ledger = TeamLedger.create(
      quota,
      this.options.rules,
      instant => this.authorityAt(instant),
      now,
    );
    this.teams.set(team, {
      ledger,
      quota,
      earlier: new Array<number>(SLOTS_PER_WINDOW).fill(0),
      earlierDebt: 0,
      isEarlier: this.nodes.size === 0,
      statedShare: 0,
    });
  }

  /** A node that this holder doesn't know may come from an earlier holder. */
  private addStatement(
    node: NodeId,
    {totals}: KnownNode,
    {team, total, share, recent}: TeamStatement,
    now: Instant,
  ): void {
    totals.set(team, total);
    const known = this.teams.get(team);
    if (known === undefined) return;
    known.statedShare += share;
    if (share > 0) known.ledger.seedShare(node, share, now);
    const {windowMilliseconds} = this.options.rules;
    const slot = windowMilliseconds / SLOTS_PER_WINDOW;
    const age = until(this.startedAt, now);
    if (age > windowMilliseconds) return;
    let since = 0;
    for (const [index, amount] of recent.entries()) {
      const earlierIndex = Math.floor((index * slot - age) / slot);
      if (earlierIndex < 0) since += amount;
      else
        known.earlier[earlierIndex] =
          (known.earlier[earlierIndex] ?? 0) + amount;
    }
    known.ledger.takeEarlier(since + this.takeEarlierDebt(known));
  }

  /** Returns by how much more the window before this holder exceeded the quota than was known. */
  private takeEarlierDebt(known: KnownTeam): number {
    const {perSecond, burst} = known.quota;
    const slot = this.options.rules.windowMilliseconds / SLOTS_PER_WINDOW;
    let admitted = 0;
    let debt = 0;
    for (const [index, amount] of known.earlier.entries()) {
      admitted += amount;
      const allowed = burst + amountIn(perSecond, (index + 1) * slot);
      debt = Math.max(debt, admitted - allowed);
    }
    const added = Math.max(0, debt - known.earlierDebt);
    known.earlierDebt = Math.max(debt, known.earlierDebt);
    return added;
  }

  /**
   * Keeps the parts of the quotas that belong to nodes which have not connected yet. An earlier
   * holder may have told them any part, also where the connected nodes have none.
   */
  private keepRemainders(now: Instant): void {
    if (until(this.startedAt, now) > LOST_NODE_MILLISECONDS) return;
    const isComplete = this.connectedCount >= this.electorate;
    const hasPredecessor = this.options.earlierNodeCount !== undefined;
    for (const {ledger, statedShare, isEarlier} of this.teams.values()) {
      const isKept =
        !isComplete && isEarlier && (hasPredecessor || statedShare > 0);
      const remainder = isKept ? Math.max(0, 1 - statedShare) : 0;
      ledger.keepShare(UNKNOWN_NODES, remainder, this.startedAt);
    }
  }

  private updateAuthority(now: Instant): void {
    const {connectedCount} = this;
    const isExclusive = this.options.isExclusive(now);
    // Nodes that could follow another holder have ended if they don't come for so long.
    const areOthersGone =
      isExclusive && until(this.completeAt, now) > LOST_NODE_MILLISECONDS;
    if (connectedCount >= this.electorate || areOthersGone) {
      this.electorate = connectedCount;
      this.completeAt = now;
    }
    const isMinority = !isExclusive && connectedCount * 2 <= this.electorate;
    if (!isMinority) this.minoritySince = undefined;
    else this.minoritySince ??= now;
  }

  private authorityAt(now: Instant): QuotaAuthority {
    const {minoritySince: since, connectedCount, electorate} = this;
    const nodeCount = Math.max(connectedCount, electorate);
    return {
      nodeCount,
      keepsLostShares:
        !this.options.isExclusive(now) || connectedCount * 2 < electorate,
      minority:
        since === undefined
          ? undefined
          : {since, remainder: connectedCount * minimumShare(nodeCount)},
    };
  }
}
