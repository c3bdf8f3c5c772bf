/** The lease holder's side of team quotas: the ledger, its connections and its timers. */

import type {QuotaDecision, QuotaRate, QuotaRules} from '@siskinmux/admission';
import {TeamQuotaLedger} from '@siskinmux/admission';
import type {
  CancelTimer,
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  NodeId,
  TeamName,
} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';
import {TEAM_METERED} from './gateway_events.js';
import type {PeerConnection} from './peer_connection.js';
import {PEER_METHODS} from './placement_messages.js';
import type {
  TeamPermitRequest,
  TeamStatesMessage,
  TeamUsageMessage,
} from './team_quota_messages.js';
import {
  decodeTeamPermitRequest,
  decodeTeamReport,
  decodeTeamStatement,
  encodeTeamPermitDecision,
  encodeTeamStates,
  teamPermitRequestSchema,
  teamUsageSchema,
} from './team_quota_messages.js';

/** Least time between two log lines about the metering of one team. */
const LOG_INTERVAL_MILLISECONDS: Milliseconds = 10_000;

/** Dependencies of {@link TeamQuotaHolder}. */
export interface TeamQuotaHolderOptions {
  readonly clock: Clock;
  readonly emit: EmitEvent;
  readonly rules: QuotaRules;
  /** Whether no other node can act as lease holder now. */
  readonly isExclusive: (now: Instant) => boolean;
  /** Number of nodes that an earlier holder told this node; undefined if there was none. */
  readonly earlierNodeCount: number | undefined;
  /** Silence of a follower after which its share is kept for it, though its connection is open. */
  readonly silenceMilliseconds: Milliseconds;
}

interface Follower {
  readonly connection: PeerConnection;
  /** Its last data, if it was silent at the last heartbeat. */
  silentSince: Instant | undefined;
  isLost: boolean;
}

/** Decides on teams' quotas for all nodes. */
export class TeamQuotaHolder {
  private readonly ledger: TeamQuotaLedger;
  private readonly followers = new Map<NodeId, Follower>();
  private readonly timers = new Map<TeamName, CancelTimer>();
  private hasQuotas = false;
  private metered: ReadonlySet<TeamName> = new Set();
  private readonly loggedAt = new Map<TeamName, Instant>();

  private constructor(private readonly options: TeamQuotaHolderOptions) {
    this.ledger = TeamQuotaLedger.create(options, options.clock.now());
  }

  static create(options: TeamQuotaHolderOptions): TeamQuotaHolder {
    return new TeamQuotaHolder(options);
  }

  /** Applies the quotas of a new configuration. */
  setQuotas(quotas: ReadonlyMap<TeamName, QuotaRate>): void {
    this.hasQuotas = quotas.size > 0;
    this.ledger.setQuotas(quotas, this.options.clock.now());
  }

  /** Registers the handlers for a connection; `nodeOf` is the node that has introduced itself. */
  accept(connection: PeerConnection, nodeOf: () => NodeId | undefined): void {
    const {clock} = this.options;
    connection.handle(PEER_METHODS.teamUsage, teamUsageSchema, message => {
      const node = nodeOf();
      if (node === undefined) return;
      if (this.followers.get(node)?.connection !== connection) {
        // Only the first message over a connection has a statement.
        if (message.statement === undefined) return;
        this.loseFollower(node);
        const silentSince = undefined;
        this.followers.set(node, {connection, silentSince, isLost: false});
      }
      this.recordUsage(node, message);
    });
    connection.handle(
      PEER_METHODS.teamPermit,
      teamPermitRequestSchema,
      async message => {
        const node = nodeOf();
        const request = decodeTeamPermitRequest(message, clock.now());
        const decision: QuotaDecision =
          node === undefined
            ? {kind: 'unowned', retryAt: clock.now()}
            : await this.requestPermit(node, request);
        return encodeTeamPermitDecision(decision, clock.now());
      },
    );
    connection.onClosed(() => {
      const node = nodeOf();
      if (node && this.followers.get(node)?.connection === connection)
        this.loseFollower(node);
    });
  }

  /** Records a report or a statement of a node, which may be this one. */
  recordUsage(node: NodeId, message: TeamUsageMessage): void {
    const now = this.options.clock.now();
    const statement = decodeTeamStatement(message);
    if (statement !== undefined) {
      this.ledger.addNode(node, statement.teams, statement.report, now);
      return;
    }
    const {report, teams} = decodeTeamReport(message);
    this.ledger.recordAdmitted(node, teams, report, now);
  }

  /** Decides on a request; resolves later if its turn comes by the end of its wait. */
  requestPermit(
    node: NodeId,
    {team, amount, waitUntil}: TeamPermitRequest,
  ): Promise<QuotaDecision> {
    const now = this.options.clock.now();
    return new Promise(resolve => {
      this.ledger.request(node, team, amount, waitUntil, resolve, now);
      this.schedule(team);
    });
  }

  /** What {@link requestPermit} would decide now; undefined if the request would wait. */
  previewPermit(
    node: NodeId,
    {team, amount, waitUntil}: TeamPermitRequest,
  ): QuotaDecision | undefined {
    const now = this.options.clock.now();
    return this.ledger.preview(node, team, amount, waitUntil, now);
  }

  /** Updates the ledger before a heartbeat, and finds the followers that have fallen silent. */
  beginHeartbeat(): void {
    const now = this.options.clock.now();
    for (const [node, follower] of this.followers)
      this.examine(node, follower, now);
    this.ledger.update(now);
    this.logMetering(now);
  }

  /** The part of the heartbeat for a node; undefined if no team has a quota. */
  stateFor(node: NodeId): TeamStatesMessage | undefined {
    if (!this.hasQuotas) return undefined;
    return encodeTeamStates(
      this.ledger.lastReportOf(node),
      this.ledger.takeChanges(node),
    );
  }

  /** Ends all waits: another node decides from now on. */
  stop(): void {
    for (const cancel of this.timers.values()) cancel();
    this.timers.clear();
    this.followers.clear();
    this.hasQuotas = false;
    this.ledger.stop(this.options.clock.now());
  }

  /** A process that was paused has not received yet what its followers sent meanwhile. */
  private examine(node: NodeId, follower: Follower, now: Instant): void {
    const {silenceMilliseconds} = this.options;
    const {connection, silentSince} = follower;
    const {lastReceivedAt} = connection;
    if (until(lastReceivedAt, now) <= silenceMilliseconds) {
      follower.silentSince = undefined;
      if (follower.isLost) this.ledger.returnNode(node, now);
      follower.isLost = false;
      return;
    }
    if (silentSince === lastReceivedAt && !follower.isLost) {
      follower.isLost = true;
      this.ledger.loseNode(node, lastReceivedAt, now);
    }
    follower.silentSince = lastReceivedAt;
  }

  private loseFollower(node: NodeId): void {
    const follower = this.followers.get(node);
    if (follower === undefined) return;
    this.followers.delete(node);
    const {lastReceivedAt} = follower.connection;
    this.ledger.loseNode(node, lastReceivedAt, this.options.clock.now());
  }

  private schedule(team: TeamName): void {
    if (this.timers.has(team)) return;
    const {clock} = this.options;
    const at = this.ledger.nextAdvanceAt(team, clock.now());
    if (at === undefined) return;
    const cancel = clock.schedule(at, () => {
      this.timers.delete(team);
      this.ledger.advance(clock.now());
      this.schedule(team);
    });
    this.timers.set(team, cancel);
  }

  /** Logs which teams have begun to be metered, or no longer are. */
  private logMetering(now: Instant): void {
    const metered = new Set(this.ledger.meteredTeams);
    for (const team of new Set([...metered, ...this.metered])) {
      const isMetered = metered.has(team);
      if (isMetered === this.metered.has(team)) continue;
      const loggedAt = this.loggedAt.get(team);
      const isRecent =
        loggedAt !== undefined &&
        now < after(loggedAt, LOG_INTERVAL_MILLISECONDS);
      if (isRecent) continue;
      this.loggedAt.set(team, now);
      const available = this.ledger.available(team, now) ?? 0;
      this.options.emit(TEAM_METERED, {
        team,
        isMetered,
        available: Math.round(available),
      });
    }
    this.metered = metered;
    for (const team of this.loggedAt.keys()) {
      if (this.ledger.available(team, now) === undefined)
        this.loggedAt.delete(team);
    }
  }
}
