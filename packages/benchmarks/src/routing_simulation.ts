/** Seven nodes that choose among engines on late reports, by different policies. */

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

const NODES = 7;
const SLOTS = 8;
const SERVICE_MILLISECONDS = 200;
const CACHED_SERVICE_MILLISECONDS = 120;
const PREFIXES = 240;
const CACHED_PREFIXES = 48;
const REPORT_EVERY_MILLISECONDS = 500;
const REPORT_LAG_MILLISECONDS = 250;
const SAMPLE_MILLISECONDS = 100;
const DOMAINS = ['a', 'b', 'c'];

/** How a node chooses. */
export type RoutingPolicy =
  | 'round robin'
  | 'least reported load'
  | 'own requests in flight'
  | 'chosen, no prefix'
  | 'chosen';

/** Offered load and deployment. */
export interface RoutingWorkload {
  readonly engines: number;
  /** Share of what the engines serve without any cached prefix. */
  readonly load: number;
  readonly seconds: number;
  readonly seed: number;
}

/** What a policy came to. */
export interface RoutingResult {
  readonly prefixHitRatio: number;
  readonly latencies: readonly number[];
  /** Busiest engine over the mean, sampled. */
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

/** One run of one policy. */
export class RoutingSimulation {
  private readonly clock = VirtualClock.create();
  private readonly random: Random;
  private readonly engines: SimulatedEngine[];
  private readonly inFlight: number[][];
  private readonly turns: number[];
  private readonly latencies: number[] = [];
  private readonly imbalances: number[] = [];
  private hits = 0;
  private requests = 0;

  private constructor(
    private readonly load: RoutingWorkload,
    private readonly policy: RoutingPolicy,
  ) {
    this.random = createSeededRandom(load.seed);
    this.engines = Array.from({length: load.engines}, (_, index) => ({
      id: as<EndpointId>(`engine-${index}`),
      failureDomain: as<FailureDomain>(DOMAINS[index % DOMAINS.length] ?? 'a'),
      running: 0,
      queue: [],
      cache: new Map(),
      reported: 0,
      reportedAt: undefined,
    }));
    this.inFlight = Array.from({length: NODES}, () =>
      this.engines.map(() => 0),
    );
    this.turns = Array.from({length: NODES}, () => 0);
  }

  static create(
    load: RoutingWorkload,
    policy: RoutingPolicy,
  ): RoutingSimulation {
    return new RoutingSimulation(load, policy);
  }

  async run(): Promise<RoutingResult> {
    const {clock, load, random} = this;
    const begin = clock.now();
    const perMillisecond =
      (load.load * load.engines * SLOTS) / SERVICE_MILLISECONDS;
    for (let at = 0; at < load.seconds * 1_000;) {
      at += -Math.log(1 - random()) / perMillisecond;
      const prefix = this.pickPrefix();
      const node = randomBelow(random, NODES);
      clock.schedule(after(begin, at), () => this.arrive(node, prefix));
    }
    this.repeat(REPORT_EVERY_MILLISECONDS, () => this.report());
    this.repeat(SAMPLE_MILLISECONDS, () => this.sample());
    await clock.advance(load.seconds * 1_000);
    return {
      prefixHitRatio: this.hits / this.requests,
      latencies: this.latencies,
      imbalance:
        this.imbalances.reduce((sum, value) => sum + value, 0) /
        this.imbalances.length,
    };
  }

  /** Few prefixes are asked for often, most of them rarely. */
  private pickPrefix(): string {
    return `prefix ${Math.floor(PREFIXES * this.random() ** 2)}`;
  }

  private arrive(node: number, prefix: string): void {
    const index = this.choose(node, prefix);
    const engine = this.engines[index];
    const mine = this.inFlight[node];
    if (engine === undefined || mine === undefined) return;
    const arrivedAt = this.clock.now();
    mine[index] = (mine[index] ?? 0) + 1;
    const start = (): void => {
      engine.running += 1;
      const time = this.serve(engine, prefix);
      this.clock.schedule(after(this.clock.now(), time), () => {
        engine.running -= 1;
        mine[index] = (mine[index] ?? 0) - 1;
        this.latencies.push(this.clock.now() - arrivedAt);
        engine.queue.shift()?.();
      });
    };
    if (engine.running < SLOTS) start();
    else engine.queue.push(start);
  }

  private serve(engine: SimulatedEngine, prefix: string): number {
    this.requests += 1;
    const isHit = engine.cache.delete(prefix);
    engine.cache.set(prefix, true);
    const [oldest] = engine.cache.keys();
    if (engine.cache.size > CACHED_PREFIXES && oldest !== undefined) {
      engine.cache.delete(oldest);
    }
    if (isHit) this.hits += 1;
    return isHit ? CACHED_SERVICE_MILLISECONDS : SERVICE_MILLISECONDS;
  }

  private choose(node: number, prefix: string): number {
    const {engines} = this;
    switch (this.policy) {
      case 'round robin': {
        const turn = this.turns[node] ?? 0;
        this.turns[node] = turn + 1;
        return (turn + node) % engines.length;
      }
      case 'least reported load':
        return indexOfLeast(engines.map(({reported}) => reported));
      case 'own requests in flight':
        return indexOfLeast(this.inFlight[node] ?? []);
      case 'chosen, no prefix':
        return this.chooseByModule(node, undefined);
      case 'chosen':
        return this.chooseByModule(node, prefix);
    }
  }

  private chooseByModule(node: number, prefix: string | undefined): number {
    const home =
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
      limit: SLOTS,
      reportedLoad: engine.reported,
      reportedAt: engine.reportedAt,
      slots: SLOTS,
      hasAdapter: true,
      isPrefixHome: engine.id === home,
    }));
    const chosen = chooseEndpoint(candidates, {
      now: this.clock.now(),
      failureDomain: as<FailureDomain>(DOMAINS[node % DOMAINS.length] ?? 'a'),
      random: this.random,
    });
    return this.engines.findIndex(({id}) => id === chosen?.endpoint);
  }

  private report(): void {
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

  private sample(): void {
    const loads = this.engines.map(
      engine => engine.running + engine.queue.length,
    );
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    if (mean > 0) this.imbalances.push(Math.max(...loads) / mean);
  }

  private repeat(milliseconds: number, work: () => void): void {
    this.clock.schedule(after(this.clock.now(), milliseconds), () => {
      work();
      this.repeat(milliseconds, work);
    });
  }
}

function indexOfLeast(values: readonly number[]): number {
  return values.indexOf(Math.min(...values));
}
