/** A node's requests under the quotas of their teams. */

import type {
  GateDecision,
  QuotaDecision,
  QuotaRate,
  QuotaRules,
} from '@siskinmux/admission';
import {TeamQuotaGate, enforcedRate} from '@siskinmux/admission';
import type {
  CancelTimer,
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  Random,
  RefusalError,
  TeamName,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  after,
  createNotRunRefusal,
  earlier,
  later,
  until,
} from '@siskinmux/kernel';
import type {RouteConfiguration, TeamQuota} from '@siskinmux/routes';
import {TeamDirectory} from '@siskinmux/routes';
import {QUOTA_REFUSED, QUOTA_UNANSWERED} from './gateway_events.js';
import {TYPICAL_RANDOM} from './limited_choice_preview.js';
import type {HeartbeatMessage} from './placement_messages.js';
import type {
  TeamPermitRequest,
  TeamUsageMessage,
} from './team_quota_messages.js';
import {
  clampAmount,
  decodeTeamChanges,
  encodeTeamReport,
  encodeTeamStatement,
} from './team_quota_messages.js';

/** Longest wait at the lease holder for a turn. */
const PERMIT_WAIT_MILLISECONDS: Milliseconds = 250;

/** Time beyond that after which the lease holder counts as not responding. */
const PERMIT_TIMEOUT_MILLISECONDS: Milliseconds = 300;

/** Longest wait for a lease holder; a takeover takes about half a second. */
const HOLDER_WAIT_MILLISECONDS: Milliseconds = 1_000;

/** Part of a request's remaining time that it may wait for a lease holder, or for its turn. */
const WAIT_PART = 0.5;

/**
 * Minimum interval between reports, the same as that of usage reports: the second value times the
 * number of nodes, but at least the first.
 */
const REPORT_INTERVAL_MILLISECONDS: Milliseconds = 25;
const REPORT_INTERVAL_MILLISECONDS_PER_NODE: Milliseconds = 4;

/** Least time between two log lines about the refusals of one team, or about the lease holder. */
const LOG_INTERVAL_MILLISECONDS: Milliseconds = 10_000;

/** Access to the lease holder. */
export interface TeamQuotaExchange {
  /** Reports what this node has admitted. */
  reportTeamUsage(usage: TeamUsageMessage): void;
  /**
   * Requests a permit; `unowned` if the holder doesn't respond. May resolve some time after the end
   * of the request's wait.
   */
  requestTeamPermit(request: TeamPermitRequest): Promise<QuotaDecision>;
  /**
   * What the holder would decide now, undefined if the request would wait; missing where that
   * takes a message.
   */
  previewTeamPermit?(request: TeamPermitRequest): QuotaDecision | undefined;
}

/** What {@link TeamQuotas.acquire} would decide now. */
export type QuotaDecisionPreview =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'wait';
      readonly reason: 'quota_permit' | 'lease_holder';
      readonly endsAt: Instant;
    }
  | {readonly kind: 'refuse'; readonly refusal: RefusalError};

/** A team's quota as this node knows it. */
export interface QuotaPreview {
  readonly decision: QuotaDecisionPreview;
  /** Amount that the node may admit now without asking. */
  readonly level: number;
  /** When the lease holder was heard last; undefined if never. */
  readonly heardAt: Instant | undefined;
  readonly isMetered: boolean;
  readonly hasHolder: boolean;
}

/** What happened to a request, for the metrics. */
export type QuotaOutcome = 'admitted' | 'asked' | 'refused';

/** A request of a team. */
export interface TeamRequest {
  readonly team: TeamName;
  /** Cost in the unit of the quota, see {@link requestCost}. */
  readonly amount: number;
  /** When its caller gives up. */
  readonly deadline: Instant;
  /**
   * Until when the request may wait for its turn; not given up before otherwise. While a team sends
   * more than its quota, all of its requests wait for so long, so that a wait of more than a part of
   * the latency objective would make all of them late.
   */
  readonly waitUntil?: Instant | undefined;
  /** Aborts when the request has ended. */
  readonly signal: AbortSignal;
}

/** Dependencies of {@link TeamQuotas}. */
export interface TeamQuotasOptions {
  readonly rules: QuotaRules;
  readonly clock: Clock;
  readonly random: Random;
  readonly emit: EmitEvent;
  /** Called for each request that is admitted or refused, and each that the holder is asked about. */
  readonly onOutcome: (team: TeamName, outcome: QuotaOutcome) => void;
}

/** Refusals of a team that have not been logged yet. */
interface RefusalLog {
  count: number;
  nextLineAt: Instant;
}

/** What a request costs: 1, or its tokens, or the amount for requests that state none. */
export function requestCost(
  {unit, plainTokens}: TeamQuota,
  tokens: {readonly promptTokens: number; readonly outputTokens: number},
): number {
  if (unit === 'requests') return 1;
  const stated = tokens.promptTokens + tokens.outputTokens;
  return stated > 0 ? stated : plainTokens;
}

/** Admits requests under quotas that all nodes share, with the lease holder. */
export class TeamQuotas {
  private readonly gate: TeamQuotaGate;
  private directory: TeamDirectory | undefined;
  private rates: ReadonlyMap<TeamName, QuotaRate> = new Map();
  private exchange: TeamQuotaExchange | undefined;
  private hasSentStatement = false;
  private nodeCount = 1;
  private reportedAt: Instant | undefined;
  private cancelReport: CancelTimer | undefined;
  /** Wake the requests that wait for a lease holder, with their teams. */
  private readonly waiting = new Map<() => void, TeamName>();
  private readonly refusals = new Map<TeamName, RefusalLog>();

  private unansweredLineAt: Instant;

  private constructor(private readonly options: TeamQuotasOptions) {
    this.unansweredLineAt = options.clock.now();
    this.gate = TeamQuotaGate.create(options, options.clock.now());
  }

  static create(options: TeamQuotasOptions): TeamQuotas {
    return new TeamQuotas(options);
  }

  /** The quotas in force. */
  get quotas(): ReadonlyMap<TeamName, QuotaRate> {
    return this.rates;
  }

  get rules(): QuotaRules {
    return this.options.rules;
  }

  /** Number of nodes that a lease holder has told last; undefined if there was none. */
  get knownNodeCount(): number | undefined {
    return this.gate.knownNodeCount;
  }

  /** Teams about each of whose requests this node asks the lease holder. */
  get meteredTeams(): readonly TeamName[] {
    return this.gate.meteredTeams;
  }

  /** Applies the teams of a new configuration. */
  applyConfiguration({teams}: RouteConfiguration): void {
    this.directory =
      teams === undefined
        ? undefined
        : TeamDirectory.create(teams, this.directory);
    const rates = new Map<TeamName, QuotaRate>();
    for (const {name, quota} of this.directory?.teams.values() ?? []) {
      if (quota !== undefined && isLimited(quota))
        rates.set(name, enforcedRate(quota, this.options.rules));
    }
    this.rates = rates;
    this.gate.setQuotas(rates, this.options.clock.now());
    for (const team of this.refusals.keys()) {
      if (!rates.has(team)) this.refusals.delete(team);
    }
    for (const [wake, team] of [...this.waiting]) {
      if (!rates.has(team)) wake();
    }
    this.sendStatementOnce();
  }

  /** Switches to another lease holder; undefined when the last one is lost. */
  setExchange(exchange: TeamQuotaExchange | undefined): void {
    this.exchange = exchange;
    this.hasSentStatement = false;
    this.gate.loseHolder(this.options.clock.now());
    this.sendStatementOnce();
  }

  /** Applies a heartbeat of the lease holder. */
  applyHeartbeat({nodes, teams}: HeartbeatMessage): void {
    if (this.exchange === undefined || this.rates.size === 0) return;
    const now = this.options.clock.now();
    this.nodeCount = nodes;
    if (teams === undefined) {
      this.gate.followHolderWithoutQuotas(nodes, now);
    } else {
      // What was admitted meanwhile has not been reported.
      if (this.gate.followsUnaware) this.scheduleReport();
      const changes = decodeTeamChanges(teams);
      const state = {nodeCount: nodes, report: teams.report, changes};
      this.gate.applyState(state, now);
    }
    for (const wake of [...this.waiting.keys()]) wake();
  }

  /**
   * Takes the request's cost from its team's quota. Resolves if it may go on, or has ended. Throws
   * a `RefusalError` with the code `QuotaExceeded` if the quota is used up, or `DeadlinePassed`.
   */
  async acquire(stated: TeamRequest): Promise<void> {
    const request = {...stated, amount: clampAmount(stated.amount)};
    const {team, amount, deadline, signal} = request;
    const {clock} = this.options;
    let hasWaited = false;
    if (this.rates.has(team) && this.gate.hasNoHolder && this.gate.isNew) {
      hasWaited = true;
      await this.waitForHolder(request);
    }
    // A configuration may remove the quota while the request waits.
    while (!signal.aborted && this.rates.has(team)) {
      if (clock.now() >= deadline)
        throw createNotRunRefusal(ErrorCode.DeadlinePassed, team);
      const decision = this.gate.decide(team, amount, clock.now());
      if (decision.kind === 'admitted') {
        this.scheduleReport();
        this.options.onOutcome(team, 'admitted');
        return;
      }
      if (decision.kind === 'ask') {
        const {exchange} = this;
        const answer = await this.ask(request, exchange);
        if (signal.aborted) return;
        if (answer.kind === 'granted') {
          this.options.onOutcome(team, 'admitted');
          return;
        }
        if (!this.rates.has(team)) return;
        if (answer.kind === 'refused') throw this.refuse(team, answer.retryAt);
        const isLate = clock.now() >= deadline;
        // An earlier holder says nothing about the current one.
        if (!isLate && this.exchange === exchange)
          this.gate.loseHolder(clock.now());
      } else if (hasWaited) {
        throw this.refuse(team, decision.retryAt);
      } else {
        hasWaited = true;
        await this.waitForHolder(request);
      }
    }
  }

  /** Tries {@link acquire} on copies; undefined if the team has no quota. */
  preview(stated: Omit<TeamRequest, 'signal'>): QuotaPreview | undefined {
    const request = {...stated, amount: clampAmount(stated.amount)};
    const {team, amount} = request;
    const now = this.options.clock.now();
    const known = this.gate.preview(team, amount, now, TYPICAL_RANDOM);
    if (known === undefined || !this.rates.has(team)) return undefined;
    const {hasNoHolder, isNew} = this.gate;
    return {
      decision:
        hasNoHolder && isNew
          ? this.previewHolderWait(request, now)
          : this.previewDecision(known.decision, request, now),
      level: known.level,
      heardAt: known.heardAt,
      isMetered: this.meteredTeams.includes(team),
      hasHolder: !hasNoHolder,
    };
  }

  private previewDecision(
    decision: GateDecision,
    request: Omit<TeamRequest, 'signal'>,
    now: Instant,
  ): QuotaDecisionPreview {
    if (decision.kind === 'admitted') return decision;
    // A node without a holder refuses only once none has come.
    if (decision.kind === 'refused')
      return this.previewHolderWait(request, now);
    const {team, amount} = request;
    const endsAt = permitWaitEnd(request, now);
    const wait = {kind: 'wait', reason: 'quota_permit', endsAt} as const;
    const answer = this.exchange?.previewTeamPermit?.({
      team,
      amount,
      waitUntil: endsAt,
    });
    if (answer?.kind === 'granted') return {kind: 'admitted'};
    if (answer?.kind !== 'refused') return wait;
    return {
      kind: 'refuse',
      refusal: createQuotaRefusal(team, answer.retryAt),
    };
  }

  private previewHolderWait(
    {deadline}: Pick<TeamRequest, 'deadline'>,
    now: Instant,
  ): QuotaDecisionPreview {
    const endsAt = holderWaitEnd(deadline, now);
    return {kind: 'wait', reason: 'lease_holder', endsAt};
  }

  /**
   * Asks the lease holder, until it counts as not responding or the deadline passes. A grant that
   * comes too late is given back.
   */
  private async ask(
    request: TeamRequest,
    exchange: TeamQuotaExchange | undefined,
  ): Promise<QuotaDecision> {
    const {team, amount, deadline, signal} = request;
    const {clock, emit, onOutcome} = this.options;
    const startedAt = clock.now();
    if (exchange === undefined) return {kind: 'unowned', retryAt: startedAt};
    onOutcome(team, 'asked');
    const waitUntil = permitWaitEnd(request, startedAt);
    let isOver = false;
    const answered = exchange
      .requestTeamPermit({team, amount, waitUntil})
      .then(decision => {
        if (decision.kind !== 'granted') return decision;
        if (isOver || signal.aborted) this.giveBack(team, amount);
        else this.gate.recordGranted(team, amount, clock.now());
        return decision;
      });
    let end = (): void => {};
    const ended = new Promise<QuotaDecision>(resolve => {
      end = () => resolve({kind: 'unowned', retryAt: clock.now()});
    });
    const timeoutAt = after(waitUntil, PERMIT_TIMEOUT_MILLISECONDS);
    const cancel = clock.schedule(earlier(timeoutAt, deadline), () => {
      const now = clock.now();
      if (now < deadline && now >= this.unansweredLineAt) {
        this.unansweredLineAt = after(now, LOG_INTERVAL_MILLISECONDS);
        const waited = Math.round(until(startedAt, now));
        emit(QUOTA_UNANSWERED, {team, waited});
      }
      end();
    });
    signal.addEventListener('abort', end, {once: true});
    try {
      return await Promise.race([answered, ended]);
    } finally {
      isOver = true;
      cancel();
      signal.removeEventListener('abort', end);
    }
  }

  private giveBack(team: TeamName, amount: number): void {
    this.gate.recordUnused(team, amount);
    this.scheduleReport();
  }

  /** Waits until a lease holder is heard, at most for a part of the request's remaining time. */
  private waitForHolder({team, deadline, signal}: TeamRequest): Promise<void> {
    const {clock} = this.options;
    const now = clock.now();
    const waitUntil = holderWaitEnd(deadline, now);
    if (signal.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const end = (): void => {
        this.waiting.delete(end);
        cancel();
        signal.removeEventListener('abort', end);
        resolve();
      };
      const cancel = clock.schedule(waitUntil, end);
      this.waiting.set(end, team);
      signal.addEventListener('abort', end, {once: true});
    });
  }

  private refuse(team: TeamName, retryAt: Instant): Error {
    const {clock, emit, onOutcome} = this.options;
    const now = clock.now();
    onOutcome(team, 'refused');
    const log = this.refusals.get(team) ?? {count: 0, nextLineAt: now};
    this.refusals.set(team, log);
    log.count += 1;
    if (now >= log.nextLineAt) {
      emit(QUOTA_REFUSED, {
        team,
        count: log.count,
        retryIn: Math.round(until(now, retryAt)),
        hasHolder: !this.gate.hasNoHolder,
      });
      log.count = 0;
      log.nextLineAt = after(now, LOG_INTERVAL_MILLISECONDS);
    }
    return createQuotaRefusal(team, retryAt);
  }

  /** Tells a new lease holder what it needs to know, once this node has quotas. */
  private sendStatementOnce(): void {
    const {exchange} = this;
    if (
      exchange === undefined ||
      this.hasSentStatement ||
      this.rates.size === 0
    )
      return;
    this.hasSentStatement = true;
    const statement = this.gate.takeStatement(this.options.clock.now());
    exchange.reportTeamUsage(encodeTeamStatement(statement));
  }

  private scheduleReport(): void {
    if (this.cancelReport !== undefined || this.exchange === undefined) return;
    const {clock} = this.options;
    const interval = Math.max(
      REPORT_INTERVAL_MILLISECONDS,
      this.nodeCount * REPORT_INTERVAL_MILLISECONDS_PER_NODE,
    );
    const now = clock.now();
    const at =
      this.reportedAt === undefined ? now : after(this.reportedAt, interval);
    this.cancelReport = clock.schedule(at, () => this.report());
  }

  private report(): void {
    this.cancelReport = undefined;
    const {exchange} = this;
    if (exchange === undefined || !this.hasSentStatement) return;
    const report = this.gate.takeReport();
    if (report === undefined) return;
    this.reportedAt = this.options.clock.now();
    exchange.reportTeamUsage(encodeTeamReport(report));
  }
}

/** A quota without a rate or a burst is none. */
function isLimited({perSecond, burst}: TeamQuota): boolean {
  return perSecond > 0 && Number.isFinite(perSecond) && Number.isFinite(burst);
}

function createQuotaRefusal(team: TeamName, retryAt: Instant): RefusalError {
  return createNotRunRefusal(ErrorCode.QuotaExceeded, team, retryAt);
}

/** Until when a request waits for a lease holder. */
function holderWaitEnd(deadline: Instant, now: Instant): Instant {
  return earlier(
    after(now, HOLDER_WAIT_MILLISECONDS),
    waitLimit(now, deadline),
  );
}

/** Until when a request waits at the lease holder for its turn. */
function permitWaitEnd(
  {deadline, waitUntil}: Pick<TeamRequest, 'deadline' | 'waitUntil'>,
  now: Instant,
): Instant {
  const longest = earlier(
    after(now, PERMIT_WAIT_MILLISECONDS),
    waitLimit(now, deadline),
  );
  return later(now, earlier(longest, waitUntil ?? longest));
}

function waitLimit(now: Instant, deadline: Instant): Instant {
  return after(now, Math.max(0, until(now, deadline) * WAIT_PART));
}
