/**
 * Invariants of the system, checked throughout a scenario against the state of stand-ins
 * and the responses that callers get.
 */

import {ErrorCode} from '@siskinmux/kernel';
import type {ScenarioSimulation} from './scenario_simulation.js';
import type {CallerAttempt, CallerRequest} from './caller_request.js';

/** A response that was sent by the deadline may arrive this much later. */
const RESPONSE_DELAY_MILLISECONDS = 50;

/** An engine that announced its departure may still be sent requests for this long. */
const LEAVING_GRACE_MILLISECONDS = 5_000;

/** Time in which an accepted configuration has to become active on every node. */
const CONFIGURATION_PROPAGATION_MILLISECONDS = 6_000;

/** Checks one simulation and collects the violations. */
export class InvariantChecker {
  readonly violations: string[] = [];
  /** Replica limits last applied, by model and failure domain. */
  private readonly replicaLimits = new Map<string, number>();
  private readonly highestConfigurationNumbers = new Map<string, number>();
  private openAttempts: Array<[CallerRequest, CallerAttempt]> = [];
  private seenAttemptCount = 0;
  private latestAcceptedAt = 0;
  private lastDisruptedAt = 0;
  /** Virtual time since which each node process has been ready. */
  private readonly readySince = new Map<string, number>();
  private latestAcceptedNumber = 0;

  private constructor(private readonly simulation: ScenarioSimulation) {}

  static create(simulation: ScenarioSimulation): InvariantChecker {
    return new InvariantChecker(simulation);
  }

  /** Checks the invariants that hold at every instant. */
  checkCurrentState(): void {
    this.checkReplicas();
    this.checkMemory();
    this.checkLeavingEngines();
    this.checkUnloads();
    this.checkExecutions();
    this.checkDeadlines();
    this.checkConfiguration();
  }

  /** Checks all invariants, including those about requests that have ended. */
  checkFinalState(): void {
    this.checkCurrentState();
    this.checkRefusals();
    this.checkResponses();
    this.checkGracefulStops();
  }

  /** No more replicas of a model are loaded than the configuration allows. */
  private checkReplicas(): void {
    const {scenario, engines} = this.simulation;
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
      const limit = this.replicaLimitOf(key, count);
      if (count > limit)
        this.report(`${key}: ${count} replicas, ${limit} allowed`);
    }
  }

  /** A lowered limit applies once the replicas above it have drained. */
  private replicaLimitOf(key: string, count: number): number {
    const [model = '', domain = ''] = key.split(' in ');
    const configured = this.configuredReplicaLimit(model, domain);
    const earlier = this.replicaLimits.get(key) ?? configured;
    const limit =
      count <= configured ? configured : Math.max(configured, earlier);
    this.replicaLimits.set(key, limit);
    return limit;
  }

  /** Highest limit in the active configuration of any node, as configurations spread gradually. */
  private configuredReplicaLimit(model: string, domain: string): number {
    let maximum = 0;
    for (const node of this.simulation.nodes.values()) {
      const {declarations} = node.configuration.state.current;
      maximum = Math.max(
        maximum,
        declarations.models[model]?.replicas[domain] ?? 0,
      );
    }
    return maximum;
  }

  /** Accelerator memory is never overcommitted. */
  private checkMemory(): void {
    for (const [name, engine] of this.simulation.engines) {
      const {usedBytes, memoryBytes} = engine.observe();
      if (usedBytes > memoryBytes) {
        this.report(`${name}: ${usedBytes} of ${memoryBytes} bytes used`);
      }
    }
  }

  /** An engine that is leaving gets no new requests after the grace period. */
  private checkLeavingEngines(): void {
    for (const [name, engine] of this.simulation.engines) {
      const {latestStartWhileLeaving} = engine.observe();
      if (latestStartWhileLeaving > LEAVING_GRACE_MILLISECONDS) {
        this.report(
          `${name}: request started ${latestStartWhileLeaving} ms after the engine began to leave`,
        );
      }
    }
  }

  /** A model is drained before it is unloaded, so that no request is cut. */
  private checkUnloads(): void {
    for (const [name, engine] of this.simulation.engines) {
      const {cutByUnload} = engine.observe();
      if (cutByUnload > 0)
        this.report(`${name}: ${cutByUnload} requests cut by unloading`);
    }
  }

  /** A call that is not repeatable runs at most once. */
  private checkExecutions(): void {
    for (const [service, records] of this.simulation.records) {
      for (const [key, count] of records.executions) {
        if (count > 1 && this.isAtMostOnce(key)) {
          this.report(`${service}: key ${key} ran ${count} times`);
        }
      }
    }
  }

  private isAtMostOnce(key: string): boolean {
    return key !== '' && !key.startsWith('repeatable');
  }

  /** Every request is served or refused by its deadline. */
  private checkDeadlines(): void {
    const now = this.simulation.clock.now();
    const stillOpen: Array<[CallerRequest, CallerAttempt]> = [];
    for (const [request, attempt] of this.pendingAttempts()) {
      const endedAt = attempt.endedAt ?? now;
      const limit = attempt.deadline + RESPONSE_DELAY_MILLISECONDS;
      if (endedAt > limit && !attempt.isNodeInterrupted) {
        const late = endedAt - attempt.deadline;
        this.report(
          `${request.label} at ${attempt.node}: ${attempt.end} ${late} ms after its deadline`,
        );
      } else if (attempt.endedAt === undefined) {
        stillOpen.push([request, attempt]);
      }
    }
    this.openAttempts = stillOpen;
  }

  /** Attempts that were open at the last check, and those sent since. */
  private *pendingAttempts(): Iterable<[CallerRequest, CallerAttempt]> {
    yield* this.openAttempts;
    const {allAttempts} = this.simulation;
    for (
      ;
      this.seenAttemptCount < allAttempts.length;
      this.seenAttemptCount += 1
    ) {
      const next = allAttempts[this.seenAttemptCount];
      if (next !== undefined) yield next;
    }
  }

  /** An accepted configuration becomes active on every node in time and never reverts. */
  private checkConfiguration(): void {
    const {nodes, acceptedConfigurationNumber, elapsedMilliseconds} =
      this.simulation;
    if (acceptedConfigurationNumber > this.latestAcceptedNumber) {
      this.latestAcceptedNumber = acceptedConfigurationNumber;
      this.latestAcceptedAt = elapsedMilliseconds;
    }
    for (const [name, node] of nodes) {
      const number = node.configurationNumber;
      const key = `${name} ${node.name}`;
      const highest = this.highestConfigurationNumbers.get(key) ?? 0;
      if (number < highest)
        this.report(`${name}: configuration ${highest} reverted to ${number}`);
      this.highestConfigurationNumbers.set(key, Math.max(highest, number));
      this.checkPropagation(name, number);
    }
  }

  /**
   * The propagation time starts over when the platform and the network have recovered,
   * and for a node when it starts or resumes: no configuration reaches it before that.
   */
  private checkPropagation(name: string, number: number): void {
    const {elapsedMilliseconds, isDisrupted} = this.simulation;
    const node = this.simulation.node(name);
    if (isDisrupted) this.lastDisruptedAt = elapsedMilliseconds;
    if (!node.isReady || !this.readySince.has(node.name)) {
      this.readySince.set(node.name, elapsedMilliseconds);
    }
    if (!node.isReady) return;
    const since = Math.max(
      this.latestAcceptedAt,
      this.lastDisruptedAt,
      this.readySince.get(node.name) ?? 0,
    );
    const isOverdue =
      elapsedMilliseconds - since > CONFIGURATION_PROPAGATION_MILLISECONDS;
    if (!isOverdue || number >= this.latestAcceptedNumber) return;
    this.report(
      `${name}: configuration ${this.latestAcceptedNumber} was accepted, but ${number} is still active`,
    );
  }

  /** A request that was refused as not run did not run. */
  private checkRefusals(): void {
    for (const [request, attempt] of this.allAttempts()) {
      if (attempt.end !== 'refused') continue;
      if (this.hasRun(attempt)) {
        this.report(
          `${request.label}: refused as not run, but it ran (${attempt.detail})`,
        );
      }
    }
  }

  private hasRun(attempt: CallerAttempt): boolean {
    for (const records of this.simulation.records.values()) {
      if (records.requests.has(attempt.id)) return true;
    }
    return false;
  }

  /** Every caller gets a complete response, and only to its own request. */
  private checkResponses(): void {
    for (const [request, attempt] of this.allAttempts()) {
      if (attempt.end === 'wrong')
        this.report(`${request.label}: wrong or incomplete response`);
      if (attempt.end === 'open' && !attempt.isNodeInterrupted) {
        this.report(`${request.label} at ${attempt.node}: no response`);
      }
    }
  }

  /** A graceful stop of a node cuts no request in flight. */
  private checkGracefulStops(): void {
    for (const [request, attempt] of this.allAttempts()) {
      // A request that reached its own deadline was not cut by the stop.
      const isLate = attempt.detail.startsWith(ErrorCode.DeadlinePassed);
      const isCut =
        attempt.end === 'broken' || (attempt.end === 'failed' && !isLate);
      if (attempt.isNodeStopping && !attempt.isNodeInterrupted && isCut) {
        this.report(
          `${request.label}: ${attempt.end} by the graceful stop of ${attempt.node}`,
        );
      }
    }
  }

  private *allAttempts(): Iterable<[CallerRequest, CallerAttempt]> {
    for (const request of this.simulation.requests) {
      for (const attempt of request.attempts) yield [request, attempt];
    }
  }

  private report(violation: string): void {
    if (this.violations.includes(violation)) return;
    this.violations.push(`${violation}`);
  }
}
