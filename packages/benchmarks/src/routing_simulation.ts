/**
 * Simulates seven nodes that choose engines from delayed load reports, by different
 * policies.
 */

import type {
  EndpointId,
  FailureDomain,
  Instant,
  Random,
} from '@siskinmux/kernel';
import {after, as, randomBelow} from '@siskinmux/kernel';
import type {Candidate} from '@siskinmux/routing';
import {chooseEndpoint, ownerOf} from '@siskinmux/routing';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';

const NODE_COUNT = 7;
const SLOTS_PER_ENGINE = 8;
const SERVICE_MILLISECONDS = 200;
const CACHED_SERVICE_MILLISECONDS = 120;
const PREFIX_COUNT = 240;
const CACHED_PREFIXES_PER_ENGINE = 48;
const REPORT_INTERVAL_MILLISECONDS = 500;
const REPORT_LAG_MILLISECONDS = 250;
const SAMPLE_INTERVAL_MILLISECONDS = 100;
const DOMAINS = ['a', 'b', 'c'];

/** How a node chooses an engine; `chosen` is the policy that `chooseEndpoint` implements. */
export type RoutingPolicy =
  | 'round robin'
  | 'least reported load'
  | 'own requests in flight'
  | 'chosen, no prefix'
  | 'chosen';

/** Deployment and offered load. */
export interface RoutingWorkload {
  readonly engines: number;
  /** Share of the throughput that the engines reach without any cached prefix. */
  readonly load: number;
  readonly seconds: number;
  readonly seed: number;
}

/** Results of one policy. */
export interface RoutingResult {
  readonly prefixHitRatio: number;
  readonly latencies: readonly number[];
  /** Mean over time of the load of the busiest engine, divided by the mean load. */
  readonly imbalance: number;
}

interface SimulatedEngine {
  readonly id: EndpointId;
  readonly failureDomain: FailureDomain;
  running: number;
  readonly queue: Array<() => void>;
  readonly cache: Map<string, true>;
  reported: number;
  reportedAt: Instant | undefined;
}

/** Runs one workload under one policy. */
export class RoutingSimulation {
  private readonly clock = VirtualClock.create();
  private readonly random: Random;
  private readonly engines: SimulatedEngine[];
  private readonly inFlight: number[][];
  private readonly nextTurns: number[];
  private readonly latencies: number[] = [];
  private readonly imbalances: number[] = [];
  private prefixHits = 0;
  private requests = 0;

  private constructor(
    private readonly workload: RoutingWorkload,
    private readonly policy: RoutingPolicy,
  ) {
    this.random = createSeededRandom(workload.seed);
    this.engines = Array.from({length: workload.engines}, (_, index) => ({
      id: as<EndpointId>(`engine-${index}`),
      failureDomain: as<FailureDomain>(DOMAINS[index % DOMAINS.length] ?? 'a'),
      running: 0,
      queue: [],
      cache: new Map(),
      reported: 0,
      reportedAt: undefined,
    }));
    this.inFlight = Array.from({length: NODE_COUNT}, () =>
      this.engines.map(() => 0),
    );
    this.nextTurns = Array.from({length: NODE_COUNT}, () => 0);
  }

  static create(
    workload: RoutingWorkload,
    policy: RoutingPolicy,
  ): RoutingSimulation {
    return new RoutingSimulation(workload, policy);
  }

  async run(): Promise<RoutingResult> {
    const {clock, workload, random} = this;
    const startedAt = clock.now();
    const requestsPerMillisecond =
      (workload.load * workload.engines * SLOTS_PER_ENGINE) /
      SERVICE_MILLISECONDS;
    for (let at = 0; at < workload.seconds * 1_000;) {
      at += -Math.log(1 - random()) / requestsPerMillisecond;
      const prefix = this.pickPrefix();
      const node = randomBelow(random, NODE_COUNT);
      clock.schedule(after(startedAt, at), () =>
        this.handleArrival(node, prefix),
      );
    }
    this.schedulePeriodically(REPORT_INTERVAL_MILLISECONDS, () =>
      this.reportLoads(),
    );
    this.schedulePeriodically(SAMPLE_INTERVAL_MILLISECONDS, () =>
      this.sampleImbalance(),
    );
    await clock.advance(workload.seconds * 1_000);
    return {
      prefixHitRatio: this.prefixHits / this.requests,
      latencies: this.latencies,
      imbalance:
        this.imbalances.reduce((sum, value) => sum + value, 0) /
        this.imbalances.length,
    };
  }

  /** Picks from a skewed distribution: few prefixes are frequent, most are rare. */
  private pickPrefix(): string {
    return `prefix ${Math.floor(PREFIX_COUNT * this.random() ** 2)}`;
  }

  private handleArrival(node: number, prefix: string): void {
    const index = this.choose(node, prefix);
    const engine = this.engines[index];
    const nodeInFlight = this.inFlight[node];
    if (engine === undefined || nodeInFlight === undefined) return;
    const arrivedAt = this.clock.now();
    nodeInFlight[index] = (nodeInFlight[index] ?? 0) + 1;
    const start = (): void => {
      engine.running += 1;
      const serviceMilliseconds = this.simulateService(engine, prefix);
      this.clock.schedule(after(this.clock.now(), serviceMilliseconds), () => {
        engine.running -= 1;
        nodeInFlight[index] = (nodeInFlight[index] ?? 0) - 1;
        this.latencies.push(this.clock.now() - arrivedAt);
        engine.queue.shift()?.();
      });
    };
    if (engine.running < SLOTS_PER_ENGINE) start();
    else engine.queue.push(start);
  }

  /** Updates the prefix cache of an engine and returns the service time. */
  private simulateService(engine: SimulatedEngine, prefix: string): number {
    this.requests += 1;
    const isHit = engine.cache.delete(prefix);
    engine.cache.set(prefix, true);
    const [oldest] = engine.cache.keys();
    if (
      engine.cache.size > CACHED_PREFIXES_PER_ENGINE &&
      oldest !== undefined
    ) {
      engine.cache.delete(oldest);
    }
    if (isHit) this.prefixHits += 1;
    return isHit ? CACHED_SERVICE_MILLISECONDS : SERVICE_MILLISECONDS;
  }

  private choose(node: number, prefix: string): number {
    const {engines} = this;
    switch (this.policy) {
      case 'round robin': {
        const turn = this.nextTurns[node] ?? 0;
        this.nextTurns[node] = turn + 1;
        return (turn + node) % engines.length;
      }
      case 'least reported load':
        return indexOfMinimum(engines.map(({reported}) => reported));
      case 'own requests in flight':
        return indexOfMinimum(this.inFlight[node] ?? []);
      case 'chosen, no prefix':
        return this.chooseByRoutingModule(node, undefined);
      case 'chosen':
        return this.chooseByRoutingModule(node, prefix);
    }
  }

  private chooseByRoutingModule(
    node: number,
    prefix: string | undefined,
  ): number {
    const prefixOwner =
      prefix === undefined
        ? undefined
        : ownerOf(
            prefix,
            this.engines.map(({id}) => id),
          );
    const candidates: Candidate[] = this.engines.map((engine, index) => ({
      endpoint: engine.id,
      failureDomain: engine.failureDomain,
      inFlight: this.inFlight[node]?.[index] ?? 0,
      limit: SLOTS_PER_ENGINE,
      reportedLoad: engine.reported,
      reportedAt: engine.reportedAt,
      slots: SLOTS_PER_ENGINE,
      hasAdapter: true,
      isPrefixOwner: engine.id === prefixOwner,
    }));
    const chosen = chooseEndpoint(candidates, {
      now: this.clock.now(),
      failureDomain: as<FailureDomain>(DOMAINS[node % DOMAINS.length] ?? 'a'),
      random: this.random,
    });
    return this.engines.findIndex(({id}) => id === chosen?.endpoint);
  }

  private reportLoads(): void {
    const {clock} = this;
    for (const engine of this.engines) {
      const load = engine.running + engine.queue.length;
      const reportedAt = clock.now();
      clock.schedule(after(reportedAt, REPORT_LAG_MILLISECONDS), () => {
        engine.reported = load;
        engine.reportedAt = reportedAt;
      });
    }
  }

  private sampleImbalance(): void {
    const loads = this.engines.map(
      engine => engine.running + engine.queue.length,
    );
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    if (mean > 0) this.imbalances.push(Math.max(...loads) / mean);
  }

  private schedulePeriodically(milliseconds: number, work: () => void): void {
    this.clock.schedule(after(this.clock.now(), milliseconds), () => {
      work();
      this.schedulePeriodically(milliseconds, work);
    });
  }
}

function indexOfMinimum(values: readonly number[]): number {
  return values.indexOf(Math.min(...values));
}
