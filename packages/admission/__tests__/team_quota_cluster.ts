/**
 * Simulated nodes that run the real ledger and gates, with message delays, partitions, frozen and
 * restarted nodes, and the election of a lease holder.
 */

import type {Instant, NodeId, Random, TeamName} from '@siskinmux/kernel';
import {after, as, randomBelow, until} from '@siskinmux/kernel';
import {createSeededRandom} from '@siskinmux/testkit';
import {Heap} from 'heap-js';
import type {QuotaDecision, QuotaRate, QuotaRules} from '../src/index.js';
import {TeamQuotaGate, TeamQuotaLedger, allowedExcess} from '../src/index.js';

export const RULES: QuotaRules = {
  windowMilliseconds: 8_000,
  overage: 0.1,
  tolerance: 7_400,
};

const HEARTBEAT = 300;
const LEASE = 3_000;
const RENEWAL = 700;
/** A holder that could not renew for this long isn't exclusive, and may be replaced. */
const RENEWAL_SILENCE = 1_300;
const PERMIT_WAIT = 250;
const PERMIT_TIMEOUT = 300;
const HOLDER_WAIT = 1_000;
const REQUEST_DEADLINE = 12_000;

/** One team's callers. */
export interface SimulatedTeam {
  readonly name: TeamName;
  quota: QuotaRate;
  /** Demand as a part of the quota. */
  load: number;
  readonly meanAmount: number;
}

interface Holder {
  readonly ledger: TeamQuotaLedger;
  readonly takenAt: Instant;
  renewedAt: Instant;
  readonly followers: Map<NodeId, {heardAt: Instant; isLost: boolean}>;
}

interface SimulatedNode {
  readonly id: NodeId;
  readonly gate: TeamQuotaGate;
  /** Nodes reach each other within a group only. */
  group: number;
  isUp: boolean;
  frozenUntil: Instant;
  holder: Holder | undefined;
  /** The node whose ledger this one uses; its own id for the holder. */
  following: SimulatedNode | undefined;
  heardAt: Instant;
  reportAt: Instant | undefined;
  reportedAt: Instant;
  /** Requests that wait for a lease holder. */
  readonly waiting: Set<() => void>;
  deferred: (() => void)[];
}

interface Timer {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** What a team's callers got. */
export class Tally {
  readonly admitted: {at: number; amount: number}[] = [];
  demanded = 0;
  requests = 0;
  asked = 0;
  refusals = 0;
  /** Requests that were given up. */
  lost = 0;

  admittedBetween(from: number, to: number): number {
    return this.admitted
      .filter(({at}) => at >= from && at < to)
      .reduce((sum, {amount}) => sum + amount, 0);
  }

  /** The most that was admitted in any window. */
  mostInWindow(milliseconds: number): number {
    const events = [...this.admitted].sort((left, right) => left.at - right.at);
    let first = 0;
    let sum = 0;
    let most = 0;
    for (const {at, amount} of events) {
      sum += amount;
      while (events[first]!.at <= at - milliseconds) {
        sum -= events[first]!.amount;
        first += 1;
      }
      most = Math.max(most, sum);
    }
    return most;
  }
}

export function boundOf(quota: QuotaRate): number {
  const {perSecond, burst} = quota;
  const window = (perSecond * RULES.windowMilliseconds) / 1_000 + burst;
  return window + allowedExcess(quota, RULES);
}

/** The cluster. */
export class QuotaCluster {
  readonly nodes: SimulatedNode[] = [];
  readonly tallies = new Map<TeamName, Tally>();
  readonly random: Random;
  messages = 0;
  private readonly timers = new Heap<Timer>(
    (left, right) => left.at - right.at || left.sequence - right.sequence,
  );
  private sequence = 0;
  private time = 1_000_000;
  private lease: {node: SimulatedNode; renewedAt: Instant} | undefined;
  /** Groups that reach the store. */
  storeGroups = new Set([0]);
  /** Sums of the nodes' weights, each with those before it. */
  private upperWeights: number[] = [];
  private lastId = 0;
  /** Teams with a timer for the next grant. */
  private readonly advancing = new WeakMap<TeamQuotaLedger, Set<TeamName>>();

  private constructor(
    readonly nodeCount: number,
    readonly teams: readonly SimulatedTeam[],
    seed: number,
  ) {
    this.random = createSeededRandom(seed);
    for (let index = 0; index < nodeCount; index += 1) this.startNode(0);
    for (const {name} of teams) this.tallies.set(name, new Tally());
    this.shiftDemand();
    this.every(RENEWAL, () => this.renew());
    this.every(250, () => this.elect());
    this.every(10_000, () => this.shiftDemand());
    for (const team of teams) this.scheduleArrival(team);
  }

  static create(
    nodeCount: number,
    teams: readonly SimulatedTeam[],
    seed: number,
  ): QuotaCluster {
    return new QuotaCluster(nodeCount, teams, seed);
  }

  get now(): Instant {
    return as<Instant>(this.time);
  }

  get holders(): SimulatedNode[] {
    return this.nodes.filter(({holder, isUp}) => isUp && holder !== undefined);
  }

  runFor(milliseconds: number): void {
    const end = this.time + milliseconds;
    for (;;) {
      const next = this.timers.peek();
      if (next === undefined || next.at > end) break;
      this.timers.pop();
      this.time = Math.max(this.time, next.at);
      next.run();
    }
    this.time = end;
  }

  /** Demand is skewed, most of it at a few nodes, and moves. */
  shiftDemand(): void {
    let upper = 0;
    this.upperWeights = this.nodes.map(
      () => (upper += (0.02 + this.random()) ** 3),
    );
  }

  startNode(group: number): SimulatedNode {
    this.lastId += 1;
    const node: SimulatedNode = {
      id: as<NodeId>(`n${this.lastId}`),
      gate: TeamQuotaGate.create({rules: RULES, random: this.random}, this.now),
      group,
      isUp: true,
      frozenUntil: this.now,
      holder: undefined,
      following: undefined,
      heardAt: this.now,
      reportAt: undefined,
      reportedAt: this.now,
      waiting: new Set(),
      deferred: [],
    };
    node.gate.setQuotas(this.quotas, this.now);
    this.nodes.push(node);
    const phase = this.random() * HEARTBEAT;
    const tick = (): void => {
      if (!node.isUp) return;
      this.on(node, () => this.heartbeat(node));
      this.schedule(HEARTBEAT, tick);
    };
    this.schedule(phase, tick);
    return node;
  }

  kill(node: SimulatedNode): void {
    node.isUp = false;
    for (const other of this.nodes) {
      if (
        other.following === node &&
        other !== node &&
        this.areLinked(other, node)
      )
        this.send(other, () => this.leaveHolder(other, node));
    }
    const {following} = node;
    const {holder} = following ?? {};
    if (following !== undefined && following !== node && holder !== undefined)
      this.send(following, () => this.dropFollower(holder, node.id));
    this.nodes.splice(this.nodes.indexOf(node), 1);
    this.upperWeights = this.upperWeights.slice(0, this.nodes.length);
  }

  freeze(node: SimulatedNode, milliseconds: number): void {
    node.frozenUntil = after(this.now, milliseconds);
    this.schedule(milliseconds, () => {
      const {deferred} = node;
      node.deferred = [];
      for (const run of deferred) run();
    });
  }

  /** Applies the teams' quotas at all nodes that are up. */
  applyQuotas(): void {
    for (const node of this.nodes) {
      node.gate.setQuotas(this.quotas, this.now);
      node.holder?.ledger.setQuotas(this.quotas, this.now);
    }
  }

  private get quotas(): Map<TeamName, QuotaRate> {
    return new Map(this.teams.map(({name, quota}) => [name, quota]));
  }

  private schedule(milliseconds: number, run: () => void): void {
    this.sequence += 1;
    const at = this.time + Math.max(0, milliseconds);
    this.timers.push({at, sequence: this.sequence, run});
  }

  private every(milliseconds: number, run: () => void): void {
    const tick = (): void => {
      run();
      this.schedule(milliseconds, tick);
    };
    this.schedule(milliseconds * this.random(), tick);
  }

  /** Runs at a node, once it is no longer frozen. */
  private on(node: SimulatedNode, run: () => void): void {
    if (!node.isUp) return;
    if (this.now < node.frozenUntil) node.deferred.push(run);
    else run();
  }

  private areLinked(left: SimulatedNode, right: SimulatedNode): boolean {
    return left.group === right.group;
  }

  /** Delivers a message after 0.3 to 5 ms, now and then 40 ms. */
  private send(to: SimulatedNode, run: () => void): void {
    const delay =
      this.random() < 0.01 ? 40 : 0.3 + this.random() * this.random() * 5;
    this.schedule(delay, () => this.on(to, run));
  }

  private sendBetween(
    from: SimulatedNode,
    to: SimulatedNode,
    run: () => void,
  ): void {
    this.messages += 1;
    if (from === to) run();
    else if (this.areLinked(from, to)) this.send(to, run);
  }

  private renew(): void {
    for (const node of this.nodes) {
      const {holder} = node;
      if (holder === undefined || this.now < node.frozenUntil) continue;
      if (!this.storeGroups.has(node.group)) continue;
      if (this.lease?.node !== node) {
        this.resign(node);
        continue;
      }
      holder.renewedAt = this.now;
      this.lease.renewedAt = this.now;
    }
  }

  private resign(node: SimulatedNode): void {
    const {holder} = node;
    if (holder === undefined) return;
    holder.ledger.stop(this.now);
    node.holder = undefined;
    for (const other of this.nodes) {
      if (other.following === node) this.leaveHolder(other, node);
    }
  }

  private elect(): void {
    for (const node of [...this.nodes]) {
      if (node.following !== undefined || this.now < node.frozenUntil) continue;
      if (!this.storeGroups.has(node.group)) continue;
      const {lease} = this;
      const held = lease?.node;
      const isHeld = held?.holder !== undefined && held.isUp;
      if (held !== undefined && isHeld && this.areLinked(node, held)) {
        if (this.now >= held.frozenUntil) this.connect(node, held);
      }
      if (node.following !== undefined) continue;
      const isExpired =
        lease === undefined ||
        !lease.node.isUp ||
        until(lease.renewedAt, this.now) > RENEWAL_SILENCE;
      if (isExpired) this.takeLease(node);
    }
  }

  private takeLease(node: SimulatedNode): void {
    this.lease = {node, renewedAt: this.now};
    const takenAt = this.now;
    const holder: Holder = {
      takenAt,
      renewedAt: takenAt,
      followers: new Map(),
      ledger: TeamQuotaLedger.create(
        {
          rules: RULES,
          isExclusive: now =>
            now >= after(takenAt, LEASE) &&
            until(holder.renewedAt, now) < RENEWAL_SILENCE,
          earlierNodeCount: node.gate.knownNodeCount,
        },
        this.now,
      ),
    };
    holder.ledger.setQuotas(this.quotas, this.now);
    node.holder = holder;
    this.connect(node, node);
  }

  private connect(node: SimulatedNode, to: SimulatedNode): void {
    const {holder} = to;
    if (holder === undefined) return;
    node.following = to;
    node.heardAt = this.now;
    const {report, teams} = node.gate.takeStatement(this.now);
    this.sendBetween(node, to, () => {
      if (to.holder !== holder) return;
      if (node !== to)
        holder.followers.set(node.id, {heardAt: this.now, isLost: false});
      holder.ledger.addNode(node.id, teams, report, this.now);
      this.sendState(to, holder, node);
    });
  }

  private leaveHolder(node: SimulatedNode, from: SimulatedNode): void {
    if (node.following !== from) return;
    node.following = undefined;
    node.gate.loseHolder(this.now);
  }

  private dropFollower(holder: Holder, id: NodeId): void {
    const follower = holder.followers.get(id);
    if (follower === undefined) return;
    holder.followers.delete(id);
    if (!follower.isLost)
      holder.ledger.loseNode(id, follower.heardAt, this.now);
  }

  private heartbeat(node: SimulatedNode): void {
    const {following, holder} = node;
    if (holder !== undefined) {
      holder.ledger.update(this.now);
      for (const [id, follower] of holder.followers) {
        const silent = until(follower.heardAt, this.now);
        if (silent > LEASE) this.dropFollower(holder, id);
        else if (silent > 1_200 && !follower.isLost) {
          follower.isLost = true;
          holder.ledger.loseNode(id, follower.heardAt, this.now);
        }
      }
      for (const other of this.nodes) {
        if (other === node || holder.followers.has(other.id))
          this.sendState(node, holder, other);
      }
      return;
    }
    if (following === undefined) return;
    if (until(node.heardAt, this.now) > 1_000) {
      this.leaveHolder(node, following);
      return;
    }
    this.sendBetween(node, following, () => this.hear(following, node));
  }

  /** A follower's other messages show that it is alive. */
  private hear(at: SimulatedNode, from: SimulatedNode): void {
    const follower = at.holder?.followers.get(from.id);
    if (follower === undefined) return;
    follower.heardAt = this.now;
    if (!follower.isLost) return;
    follower.isLost = false;
    at.holder?.ledger.returnNode(from.id, this.now);
  }

  private sendState(
    from: SimulatedNode,
    {ledger, followers}: Holder,
    to: SimulatedNode,
  ): void {
    if (followers.get(to.id)?.isLost === true) return;
    const state = {
      nodeCount: followers.size + 1,
      report: ledger.lastReportOf(to.id),
      changes: ledger.takeChanges(to.id),
    };
    this.sendBetween(from, to, () => {
      if (to.following !== from) return;
      to.heardAt = this.now;
      to.gate.applyState(state, this.now);
      for (const wake of [...to.waiting]) wake();
    });
  }

  private scheduleArrival(team: SimulatedTeam): void {
    const perSecond = (team.load * team.quota.perSecond) / team.meanAmount;
    const wait = perSecond > 0 ? -Math.log(1 - this.random()) / perSecond : 0.1;
    this.schedule(Math.min(wait, 0.5) * 1_000, () => {
      if (wait <= 0.5 && perSecond > 0) this.arrive(team);
      this.scheduleArrival(team);
    });
  }

  private arrive(team: SimulatedTeam): void {
    const amount = Math.ceil(team.meanAmount * (0.3 + 1.4 * this.random()));
    const tally = this.tallies.get(team.name)!;
    tally.demanded += amount;
    tally.requests += 1;
    this.attempt(team.name, amount, after(this.now, REQUEST_DEADLINE));
  }

  private pickNode(): SimulatedNode | undefined {
    const {upperWeights} = this;
    const at = this.random() * (upperWeights.at(-1) ?? 0);
    let low = 0;
    let high = upperWeights.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((upperWeights[middle] ?? 0) < at) low = middle + 1;
      else high = middle;
    }
    return (
      this.nodes[low] ?? this.nodes[randomBelow(this.random, this.nodes.length)]
    );
  }

  private attempt(team: TeamName, amount: number, deadline: Instant): void {
    const node = this.pickNode();
    if (node === undefined || until(this.now, deadline) <= 0) {
      this.tallies.get(team)!.lost += amount;
      return;
    }
    this.on(node, () => this.decide(node, team, amount, deadline, true));
  }

  private decide(
    node: SimulatedNode,
    team: TeamName,
    amount: number,
    deadline: Instant,
    mayWait: boolean,
  ): void {
    const {gate} = node;
    if (gate.hasNoHolder && gate.isNew && mayWait) {
      this.waitForHolder(node, team, amount, deadline);
      return;
    }
    const decision = gate.decide(team, amount, this.now);
    if (decision.kind === 'admitted') this.admit(node, team, amount);
    else if (decision.kind === 'ask') this.ask(node, team, amount, deadline);
    else if (mayWait) this.waitForHolder(node, team, amount, deadline);
    else this.refuse(team, amount, decision.retryAt, deadline);
  }

  private waitForHolder(
    node: SimulatedNode,
    team: TeamName,
    amount: number,
    deadline: Instant,
  ): void {
    let isOver = false;
    const end = (): void => {
      if (isOver) return;
      isOver = true;
      node.waiting.delete(end);
      this.decide(node, team, amount, deadline, false);
    };
    node.waiting.add(end);
    const wait = Math.min(HOLDER_WAIT, until(this.now, deadline) / 2);
    this.schedule(wait, () => this.on(node, end));
  }

  private ask(
    node: SimulatedNode,
    team: TeamName,
    amount: number,
    deadline: Instant,
  ): void {
    const {following, gate} = node;
    const tally = this.tallies.get(team)!;
    tally.asked += 1;
    let isOver = false;
    const waitUntil = after(
      this.now,
      Math.min(PERMIT_WAIT, until(this.now, deadline) / 2),
    );
    const answer = (decision: QuotaDecision): void => {
      if (isOver) {
        // A late grant is given back.
        if (decision.kind === 'granted') {
          gate.recordUnused(team, amount);
          this.scheduleReport(node);
        }
        return;
      }
      isOver = true;
      if (decision.kind === 'granted') {
        gate.recordGranted(team, amount, this.now);
        this.recordAdmitted(team, amount);
      } else if (decision.kind === 'refused') {
        this.refuse(team, amount, decision.retryAt, deadline);
      } else {
        gate.loseHolder(this.now);
        this.decide(node, team, amount, deadline, true);
      }
    };
    this.schedule(until(this.now, waitUntil) + PERMIT_TIMEOUT, () =>
      this.on(node, () => {
        if (isOver) return;
        isOver = true;
        gate.loseHolder(this.now);
        this.decide(node, team, amount, deadline, true);
      }),
    );
    if (following === undefined) return;
    this.sendBetween(node, following, () => {
      const {holder} = following;
      if (holder === undefined) return;
      this.hear(following, node);
      const settle = (decision: QuotaDecision): void =>
        this.sendBetween(following, node, () => answer(decision));
      const {ledger} = holder;
      ledger.request(node.id, team, amount, waitUntil, settle, this.now);
      this.advanceWhenDue(ledger, team);
    });
  }

  private advanceWhenDue(ledger: TeamQuotaLedger, team: TeamName): void {
    const at = ledger.nextAdvanceAt(team, this.now);
    const advancing = this.advancing.get(ledger) ?? new Set();
    this.advancing.set(ledger, advancing);
    if (at === undefined || advancing.has(team)) return;
    advancing.add(team);
    this.schedule(until(this.now, at), () => {
      advancing.delete(team);
      ledger.advance(this.now);
      this.advanceWhenDue(ledger, team);
    });
  }

  private admit(node: SimulatedNode, team: TeamName, amount: number): void {
    this.recordAdmitted(team, amount);
    this.scheduleReport(node);
  }

  private recordAdmitted(team: TeamName, amount: number): void {
    this.tallies.get(team)!.admitted.push({at: this.time, amount});
  }

  private refuse(
    team: TeamName,
    amount: number,
    retryAt: Instant,
    deadline: Instant,
  ): void {
    const tally = this.tallies.get(team)!;
    tally.refusals += 1;
    const wait = until(this.now, retryAt);
    // Callers don't wait for longer than a third of the time that they have left.
    if (wait > until(this.now, deadline) / 3) tally.lost += amount;
    else this.schedule(wait, () => this.attempt(team, amount, deadline));
  }

  private scheduleReport(node: SimulatedNode): void {
    if (node.reportAt !== undefined) return;
    const interval = Math.max(25, 4 * this.nodes.length);
    node.reportAt = after(node.reportedAt, interval);
    this.schedule(until(this.now, node.reportAt), () =>
      this.on(node, () => {
        node.reportAt = undefined;
        node.reportedAt = this.now;
        const {following} = node;
        if (following === undefined) return;
        const report = node.gate.takeReport();
        if (report === undefined) return;
        this.sendBetween(node, following, () => {
          if (following.holder === undefined) return;
          this.hear(following, node);
          following.holder.ledger.recordAdmitted(
            node.id,
            report.teams,
            report.report,
            this.now,
          );
        });
      }),
    );
  }
}
