/**
 * Simulates nodes that choose engines from usage reports and heartbeats that are late or lost,
 * with the code that decides in a node, and without a network.
 */

import type {
  EndpointId,
  FailureDomain,
  Instant,
  Milliseconds,
  Random,
} from '@siskinmux/kernel';
import {after, as, earlier, randomBelow, until} from '@siskinmux/kernel';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {SimulatedRequest} from './balance_engine.js';
import {
  MEAN_SERVICE_MILLISECONDS,
  SLOTS_PER_ENGINE,
  SimulatedEngine,
  createRequest,
} from './balance_engine.js';
import type {
  BalancePolicy,
  CreatePolicy,
  KnownEngine,
} from './balance_policies.js';
import {engineId} from './balance_policies.js';
import {percentile} from './bounds.js';

const HEARTBEAT_MILLISECONDS: Milliseconds = 300;
const LINK_MILLISECONDS: Milliseconds = 2;

/** Interval at which a node measures how long heartbeats take. */
const PULSE_MILLISECONDS: Milliseconds = 300;
const SAMPLE_MILLISECONDS: Milliseconds = 50;
const MAXIMUM_SENDS = 3;
const SPEEDS = [1, 1, 1.3];
const DOMAINS = ['a', 'b', 'c'].map(name => as<FailureDomain>(name));

/** Without reports, a request counts only at its own node. */
const LEAST_NODES_WITH_REPORTS = 17;

/** An event that a scenario plays. */
export interface ScenarioEvent {
  readonly at: Milliseconds;
  readonly apply: (simulation: BalanceSimulation) => void;
}

/** A deployment, its load and its faults. */
export interface BalanceScenario {
  readonly name: string;
  readonly nodes: number;
  readonly engines: number;
  /** Offered load as a share of what the engines can serve. */
  readonly load: number;
  readonly seconds: number;
  readonly seed: number;
  /** When the measurement begins. */
  readonly warmUpMilliseconds: Milliseconds;
  /** Length of the requests relative to the usual one. */
  readonly requestScale?: number;
  /** Share of the requests whose models are on two engines each. */
  readonly rareShare?: number;
  /** Interval between the usage reports of a node; 4 ms times the nodes unless given. */
  readonly usageIntervalMilliseconds?: Milliseconds;
  /** Time that heartbeats take beyond that of the link. */
  readonly heartbeatDelayMilliseconds?: Milliseconds;
  /** Share of the heartbeats and usage reports that are lost. */
  readonly lostShare?: number;
  /** Nodes that get no heartbeats. */
  readonly cutNodes?: number;
  /** All nodes are in one failure domain. */
  readonly isOneDomain?: boolean;
  readonly events?: readonly ScenarioEvent[];
}

/** What one rule made of a scenario. */
export interface BalanceResult {
  /** Mean over time of the load of the busiest engine, divided by the mean load. */
  readonly imbalance: number;
  readonly sends: number;
  readonly rejectedSends: number;
  /** Requests that were rejected as often as they may be sent. */
  readonly refused: number;
  readonly p99WaitMilliseconds: number;
  readonly reprocessedTokensPerRequest: number;
  /** Share of the sends that stayed in the node's failure domain. */
  readonly ownDomainShare: number;
  readonly microsecondsPerChoice: number;
}

interface SimulatedNode {
  readonly failureDomain: FailureDomain;
  policy: BalancePolicy;
  readonly own: Map<EndpointId, number>;
  /** Own requests in the last usage report that arrived. */
  reportedOwn: ReadonlyMap<EndpointId, number>;
  readonly isCut: boolean;
  /** Until then, the process does nothing; what arrives is handled afterwards. */
  pausedUntil: Instant;
}

/** Runs one scenario under one rule. */
export class BalanceSimulation {
  readonly engines: SimulatedEngine[];
  /** Replaces the loads in heartbeats while it is set. */
  falsify: ((loads: Map<EndpointId, number>) => void) | undefined;
  private readonly clock = VirtualClock.create();
  private readonly random: Random;
  private readonly nodes: SimulatedNode[];
  private readonly startedAt: Instant;
  private readonly usageInterval: Milliseconds;
  private readonly known = new Map<EndpointId, number>();
  private readonly waits: number[] = [];
  private readonly imbalances: number[] = [];
  private sends = 0;
  private rejectedSends = 0;
  private ownDomainSends = 0;
  private refused = 0;
  private choices = 0;
  private choiceMilliseconds = 0;
  private reprocessedBefore = 0;
  private served = 0;

  private constructor(
    private readonly scenario: BalanceScenario,
    private readonly createPolicy: CreatePolicy,
    private readonly readProcessorTime: () => Milliseconds,
  ) {
    this.random = createSeededRandom(scenario.seed);
    this.startedAt = this.clock.now();
    this.engines = Array.from(
      {length: scenario.engines},
      (_, index) => new SimulatedEngine(index, SPEEDS[index % SPEEDS.length]!),
    );
    this.usageInterval =
      scenario.usageIntervalMilliseconds ?? Math.max(25, 4 * scenario.nodes);
    // Generators with neighbouring seeds begin with similar numbers, so all nodes share one.
    const random = createSeededRandom(scenario.seed + 1);
    this.nodes = Array.from({length: scenario.nodes}, (_, index) => {
      const failureDomain = scenario.isOneDomain
        ? DOMAINS[0]!
        : DOMAINS[index % DOMAINS.length]!;
      return {
        failureDomain,
        policy: createPolicy({name: `node-${index}`, failureDomain, random}),
        own: new Map(),
        reportedOwn: new Map(),
        isCut: index < (scenario.cutNodes ?? 0),
        pausedUntil: this.startedAt,
      };
    });
  }

  /** Nodes start anew, without what they knew. */
  restartNodes(count: number): void {
    for (const [index, node] of this.nodes.slice(0, count).entries())
      node.policy = this.createPolicy({
        name: `node-${index}`,
        failureDomain: node.failureDomain,
        random: this.random,
      });
  }

  /** Nodes do nothing for a while. */
  pauseNodes(count: number, milliseconds: Milliseconds): void {
    for (const node of this.nodes.slice(0, count))
      node.pausedUntil = after(this.clock.now(), milliseconds);
  }

  /** `readProcessorTime` measures the choices; a constant leaves that out. */
  static create(
    scenario: BalanceScenario,
    createPolicy: CreatePolicy,
    readProcessorTime: () => Milliseconds = () => 0,
  ): BalanceSimulation {
    return new BalanceSimulation(scenario, createPolicy, readProcessorTime);
  }

  async run(): Promise<BalanceResult> {
    const {clock, scenario, nodes} = this;
    for (const node of nodes) {
      const offset = this.random() * this.usageInterval;
      this.in(offset, () =>
        this.every(this.usageInterval, () => this.reportUsage(node)),
      );
    }
    this.every(HEARTBEAT_MILLISECONDS, () => this.sendHeartbeats());
    this.every(SAMPLE_MILLISECONDS, () => this.sample());
    for (const {at, apply} of scenario.events ?? [])
      this.in(at, () => apply(this));
    this.in(scenario.warmUpMilliseconds, () => this.beginMeasurement());
    this.scheduleArrival();
    await clock.advance(scenario.seconds * 1_000);
    return {
      imbalance: mean(this.imbalances),
      sends: this.sends,
      rejectedSends: this.rejectedSends,
      refused: this.refused,
      p99WaitMilliseconds: percentile(this.waits, 0.99),
      reprocessedTokensPerRequest:
        (this.reprocessedTokens - this.reprocessedBefore) /
        Math.max(1, this.served),
      ownDomainShare: this.ownDomainSends / Math.max(1, this.sends),
      microsecondsPerChoice:
        (this.choiceMilliseconds * 1_000) / Math.max(1, this.choices),
    };
  }

  private get reprocessedTokens(): number {
    return this.engines.reduce(
      (sum, engine) => sum + engine.reprocessedTokens,
      0,
    );
  }

  private beginMeasurement(): void {
    this.imbalances.length = 0;
    this.waits.length = 0;
    this.sends = 0;
    this.rejectedSends = 0;
    this.ownDomainSends = 0;
    this.refused = 0;
    this.served = 0;
    this.reprocessedBefore = this.reprocessedTokens;
  }

  private scheduleArrival(): void {
    const {scenario, random} = this;
    const perEngine =
      SLOTS_PER_ENGINE /
      (MEAN_SERVICE_MILLISECONDS * (scenario.requestScale ?? 1));
    const rate = scenario.load * scenario.engines * perEngine;
    this.in(-Math.log(1 - random()) / rate, () => {
      const node = this.nodes[randomBelow(random, this.nodes.length)]!;
      const isRare = random() < (scenario.rareShare ?? 0);
      const pair = randomBelow(random, Math.ceil(scenario.engines / 4)) * 2;
      const request = createRequest(
        random,
        40 * scenario.engines,
        scenario.requestScale ?? 1,
      );
      const eligible = isRare
        ? this.engines.slice(pair, pair + 2)
        : this.engines;
      const arrivedAt = this.clock.now();
      this.whenAwake(node, () =>
        this.send(node, request, eligible, arrivedAt, new Set()),
      );
      this.scheduleArrival();
    });
  }

  private send(
    node: SimulatedNode,
    request: SimulatedRequest,
    eligible: readonly SimulatedEngine[],
    arrivedAt: Instant,
    tried: Set<EndpointId>,
    sends = 1,
  ): void {
    const up = eligible.filter(({isUp}) => isUp);
    const untried = up.filter(({index}) => !tried.has(engineId(index)));
    const allowed = untried.length > 0 ? untried : up;
    if (allowed.length === 0) {
      this.refused += 1;
      return;
    }
    const {id, index, failureDomain} = this.choose(node, allowed);
    const engine = this.engines[index]!;
    const {incarnation} = engine;
    const sentAt = this.clock.now();
    this.sends += 1;
    if (failureDomain === node.failureDomain) this.ownDomainSends += 1;
    tried.add(id);
    addTo(node.own, id, 1);
    const end = (took: Milliseconds): void => {
      this.in(took, () => {
        if (engine.incarnation === incarnation) {
          engine.end();
          node.policy.onCompleted(
            id,
            until(sentAt, this.clock.now()),
            this.clock.now(),
          );
          this.served += 1;
        }
        addTo(node.own, id, -1);
      });
    };
    const isAccepted = engine.accept(() => {
      this.waits.push(until(arrivedAt, this.clock.now()));
      end(engine.begin(request));
    });
    if (isAccepted) return;
    this.rejectedSends += 1;
    addTo(node.own, id, -1);
    node.policy.onRejected(id, this.clock.now());
    if (sends < MAXIMUM_SENDS)
      this.in(LINK_MILLISECONDS, () =>
        this.send(node, request, eligible, arrivedAt, tried, sends + 1),
      );
    else this.refused += 1;
  }

  private choose(
    {policy, own}: SimulatedNode,
    engines: readonly SimulatedEngine[],
  ): KnownEngine {
    const known = engines.map(({index, load}) => {
      const id = engineId(index);
      const failureDomain = DOMAINS[index % DOMAINS.length]!;
      return {index, id, failureDomain, own: own.get(id) ?? 0, load};
    });
    const from = this.readProcessorTime();
    const chosen = policy.choose(known, this.clock.now());
    this.choiceMilliseconds += this.readProcessorTime() - from;
    this.choices += 1;
    return chosen;
  }

  private reportUsage(node: SimulatedNode): void {
    if (this.isLost() || node.pausedUntil > this.clock.now()) return;
    for (const [id, count] of node.reportedOwn) addTo(this.known, id, -count);
    node.reportedOwn = new Map(node.own);
    for (const [id, count] of node.reportedOwn) addTo(this.known, id, count);
  }

  private sendHeartbeats(): void {
    const {scenario, nodes, clock} = this;
    if (scenario.nodes < LEAST_NODES_WITH_REPORTS) return;
    const loads = new Map(this.known);
    this.falsify?.(loads);
    const writtenAt = clock.now();
    for (const node of nodes) {
      if (node.isCut || this.isLost()) continue;
      const {reportedOwn} = node;
      const delay =
        LINK_MILLISECONDS + (scenario.heartbeatDelayMilliseconds ?? 0);
      this.in(delay, () =>
        this.whenAwake(node, () =>
          node.policy.onReport(
            {
              loads,
              reportedOwn,
              currentOwn: new Map(node.own),
              usageIntervalMilliseconds: this.usageInterval,
              writtenAt: earlier(
                after(writtenAt, PULSE_MILLISECONDS),
                clock.now(),
              ),
            },
            clock.now(),
          ),
        ),
      );
    }
  }

  private isLost(): boolean {
    return this.random() < (this.scenario.lostShare ?? 0);
  }

  private sample(): void {
    const loads = this.engines.filter(({isUp}) => isUp).map(({load}) => load);
    const average = mean(loads);
    if (average > 0) this.imbalances.push(Math.max(...loads) / average);
  }

  private whenAwake(node: SimulatedNode, work: () => void): void {
    const pause = until(this.clock.now(), node.pausedUntil);
    if (pause > 0) this.in(pause, work);
    else work();
  }

  private in(milliseconds: Milliseconds, work: () => void): void {
    this.clock.schedule(after(this.clock.now(), milliseconds), work);
  }

  private every(milliseconds: Milliseconds, work: () => void): void {
    this.in(milliseconds, () => {
      work();
      this.every(milliseconds, work);
    });
  }
}

function addTo(
  counts: Map<EndpointId, number>,
  id: EndpointId,
  change: number,
): void {
  const count = (counts.get(id) ?? 0) + change;
  if (count === 0) counts.delete(id);
  else counts.set(id, count);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
