/** The brief's invariants, checked from outside the system after every step. */

import {ErrorCode} from '@siskinmux/kernel';
import type {ScenarioSimulation} from './scenario_world.js';
import type {CallerRecord, Sending} from './caller_record.js';

/** An answer may travel this long after the node has given it. */
const ANSWER_TRAVEL_MILLISECONDS = 50;

/** "A few seconds" in which an endpoint that leaves may still get work. */
const LEAVING_MILLISECONDS = 5_000;

/** Time in which an accepted configuration has to be in force everywhere. */
const IN_FORCE_MILLISECONDS = 6_000;

/** Watches one world and collects what it finds broken. */
export class InvariantChecker {
  readonly violations: string[] = [];
  /** Most replicas that any configuration since the last excess allowed. */
  private readonly allowed = new Map<string, number>();
  private readonly highestNumbers = new Map<string, number>();
  private open: Array<[CallerRecord, Sending]> = [];
  private looked = 0;
  private acceptedAt = 0;
  private disturbedAt = 0;
  private readonly readySince = new Map<string, number>();
  private acceptedNumber = 0;

  private constructor(private readonly world: ScenarioSimulation) {}

  static create(world: ScenarioSimulation): InvariantChecker {
    return new InvariantChecker(world);
  }

  /** Checks what has to hold at every instant. */
  checkNow(): void {
    this.checkReplicas();
    this.checkMemory();
    this.checkLeavingEngines();
    this.checkUnloads();
    this.checkExecutions();
    this.checkDeadlines();
    this.checkConfiguration();
  }

  /** Checks what has to hold once everything has ended. */
  checkEnd(): void {
    this.checkNow();
    this.checkRefusalsAreTrue();
    this.checkAnswers();
    this.checkPlannedStops();
  }

  /** No more replicas of a model are loaded than operators decided. */
  private checkReplicas(): void {
    const {scenario, engines} = this.world;
    const counts = new Map<string, number>();
    for (const [name, endpoint] of Object.entries(
      scenario.declarations.endpoints,
    )) {
      const models = engines.get(name)?.observe().models ?? [];
      for (const model of models) {
        const key = `${model} in ${endpoint.failure_domain}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
      }
    }
    for (const [key, count] of counts) {
      const limit = this.limitOf(key, count);
      if (count > limit)
        this.report(`${key}: ${count} replicas, ${limit} decided`);
    }
  }

  /** After a limit was lowered, the replicas above it may finish draining. */
  private limitOf(key: string, count: number): number {
    const [model = '', domain = ''] = key.split(' in ');
    const decided = this.decidedReplicas(model, domain);
    const earlier = this.allowed.get(key) ?? decided;
    const limit = count <= decided ? decided : Math.max(decided, earlier);
    this.allowed.set(key, limit);
    return limit;
  }

  private decidedReplicas(model: string, domain: string): number {
    let most = 0;
    for (const node of this.world.nodes.values()) {
      const {declarations} = node.configuration.state.current;
      most = Math.max(most, declarations.models[model]?.replicas[domain] ?? 0);
    }
    return most;
  }

  /** Accelerator memory is never overcommitted. */
  private checkMemory(): void {
    for (const [name, engine] of this.world.engines) {
      const {usedBytes, memoryBytes} = engine.observe();
      if (usedBytes > memoryBytes) {
        this.report(`${name}: ${usedBytes} of ${memoryBytes} bytes used`);
      }
    }
  }

  /** An endpoint that is leaving gets no new work after a few seconds. */
  private checkLeavingEngines(): void {
    for (const [name, engine] of this.world.engines) {
      const {latestStartWhileLeaving} = engine.observe();
      if (latestStartWhileLeaving > LEAVING_MILLISECONDS) {
        this.report(
          `${name}: work ${latestStartWhileLeaving} ms after it began to leave`,
        );
      }
    }
  }

  /** Unloading drains first and cuts no request. */
  private checkUnloads(): void {
    for (const [name, engine] of this.world.engines) {
      const {cutByUnload} = engine.observe();
      if (cutByUnload > 0)
        this.report(`${name}: ${cutByUnload} requests cut by unloading`);
    }
  }

  /** A request that may not be repeated runs at most once. */
  private checkExecutions(): void {
    for (const [service, records] of this.world.records) {
      for (const [key, count] of records.executions) {
        if (count > 1 && this.isOnce(key)) {
          this.report(`${service}: key ${key} ran ${count} times`);
        }
      }
    }
  }

  private isOnce(key: string): boolean {
    return key !== '' && !key.startsWith('repeatable');
  }

  /** A waiting request is served or refused in time, never dropped. */
  private checkDeadlines(): void {
    const now = this.world.clock.now();
    const stillOpen: Array<[CallerRecord, Sending]> = [];
    for (const [record, sending] of this.openSendings()) {
      const endedAt = sending.endedAt ?? now;
      const limit = sending.deadline + ANSWER_TRAVEL_MILLISECONDS;
      if (endedAt > limit && !sending.isNodeFaulted) {
        const late = endedAt - sending.deadline;
        this.report(
          `${record.label} at ${sending.node}: ${sending.end} ${late} ms after its deadline`,
        );
      } else if (sending.endedAt === undefined) {
        stillOpen.push([record, sending]);
      }
    }
    this.open = stillOpen;
  }

  /** Sendings that had not ended at the last check, and those since. */
  private *openSendings(): Iterable<[CallerRecord, Sending]> {
    yield* this.open;
    const {allAttempts: sent} = this.world;
    for (; this.looked < sent.length; this.looked += 1) {
      const next = sent[this.looked];
      if (next !== undefined) yield next;
    }
  }

  /** An accepted configuration is in force everywhere within seconds and never reverts. */
  private checkConfiguration(): void {
    const {nodes, acceptedNumber, elapsed} = this.world;
    if (acceptedNumber > this.acceptedNumber) {
      this.acceptedNumber = acceptedNumber;
      this.acceptedAt = elapsed;
    }
    for (const [name, node] of nodes) {
      const number = node.configurationNumber;
      const key = `${name} ${node.name}`;
      const highest = this.highestNumbers.get(key) ?? 0;
      if (number < highest)
        this.report(`${name}: configuration ${highest} reverted to ${number}`);
      this.highestNumbers.set(key, Math.max(highest, number));
      this.checkInForce(name, number);
    }
  }

  /**
   * The time starts anew when the platform or the network is well again, and for a
   * node when it starts or wakes: before that nothing can reach it.
   */
  private checkInForce(name: string, number: number): void {
    const {elapsed, isDisturbed} = this.world;
    const node = this.world.node(name);
    if (isDisturbed) this.disturbedAt = elapsed;
    if (!node.isReady || !this.readySince.has(node.name)) {
      this.readySince.set(node.name, elapsed);
    }
    if (!node.isReady) return;
    const since = Math.max(
      this.acceptedAt,
      this.disturbedAt,
      this.readySince.get(node.name) ?? 0,
    );
    const isDue = elapsed - since > IN_FORCE_MILLISECONDS;
    if (!isDue || number >= this.acceptedNumber) return;
    this.report(
      `${name}: configuration ${this.acceptedNumber} not in force, ${number} is`,
    );
  }

  /** A refusal that says "not run" is true. */
  private checkRefusalsAreTrue(): void {
    for (const [record, sending] of this.sendings()) {
      if (sending.end !== 'refused') continue;
      if (this.hasRun(sending)) {
        this.report(
          `${record.label}: refused as not run, but it ran (${sending.detail})`,
        );
      }
    }
  }

  private hasRun(sending: Sending): boolean {
    for (const records of this.world.records.values()) {
      if (records.requests.has(sending.id)) return true;
    }
    return false;
  }

  /** A caller gets the whole answer to its own request. */
  private checkAnswers(): void {
    for (const [record, sending] of this.sendings()) {
      if (sending.end === 'wrong')
        this.report(`${record.label}: wrong or partial answer`);
      if (sending.end === 'open' && !sending.isNodeFaulted) {
        this.report(`${record.label} at ${sending.node}: never answered`);
      }
    }
  }

  /** Every planned stop is graceful: it cuts no request in flight. */
  private checkPlannedStops(): void {
    for (const [record, sending] of this.sendings()) {
      // A request that ran into its own deadline was not cut by the stop.
      const isLate = sending.detail.startsWith(ErrorCode.DeadlinePassed);
      const isCut =
        sending.end === 'broken' || (sending.end === 'failed' && !isLate);
      if (sending.isNodeStopping && !sending.isNodeFaulted && isCut) {
        this.report(
          `${record.label}: ${sending.end} by the planned stop of ${sending.node}`,
        );
      }
    }
  }

  private *sendings(): Iterable<[CallerRecord, Sending]> {
    for (const record of this.world.requests) {
      for (const sending of record.sendings) yield [record, sending];
    }
  }

  private report(violation: string): void {
    if (this.violations.includes(violation)) return;
    this.violations.push(`${violation}`);
  }
}
