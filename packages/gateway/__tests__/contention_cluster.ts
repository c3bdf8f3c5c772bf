/**
 * Nodes that send requests to engines by their placement clients, in virtual time: engines with
 * slots and a queue of their own, and reports of their load that are some hundred milliseconds old.
 */

import {ANY_VERSION, EndpointTable} from '@siskinmux/endpoints';
import type {
  EndpointId,
  FailureDomain,
  Instant,
  Milliseconds,
  ModelName,
  Random,
  RequestId,
  ServiceName,
  TeamName,
} from '@siskinmux/kernel';
import {RefusalError, after, as, discardEvents, until} from '@siskinmux/kernel';
import type {RouteName} from '@siskinmux/routes';
import {OutlierDetector} from '@siskinmux/routing';
import {
  VirtualClock,
  createEngineDescription,
  createSeededRandom,
} from '@siskinmux/testkit';
import {Heap} from 'heap-js';
import type {CapacityOutcome} from '../src/capacity_holds.js';
import {ClusterLoad} from '../src/cluster_load.js';
import {EndpointLimits} from '../src/endpoint_limits.js';
import {EndpointPauses} from '../src/endpoint_pauses.js';
import {EventGapCounts} from '../src/event_gap_counts.js';
import {InFlightCounts} from '../src/in_flight_counts.js';
import {PlacementClient} from '../src/placement_client.js';
import {SendPermits} from '../src/send_permits.js';

const SERVICE = as<ServiceName>('text');
const MODEL = as<ModelName>('m0');
const SLOTS = 24;
const ENGINE_QUEUE = 72;
const SERVICE_MILLISECONDS: Milliseconds = 600;
const HEARTBEAT_MILLISECONDS: Milliseconds = 300;
const REPORT_MILLISECONDS_PER_NODE: Milliseconds = 4;
const LINK_MILLISECONDS: Milliseconds = 1;
const RETRY_MILLISECONDS: Milliseconds = 400;
const SENDS = 2;
const TEAMS = 16;

const KINDS = [
  {route: 'chat', priority: 0, objective: 252, deadline: 12_000, share: 0.5},
  {
    route: 'report',
    priority: 1,
    objective: 5_002,
    deadline: 25_000,
    share: 0.3,
  },
  {route: 'lookup', priority: 0, objective: 252, deadline: 4_000, share: 0.2},
] as const;

/** What a simulated cluster is, and how it is loaded. */
export interface ClusterScenario {
  readonly nodes: number;
  readonly engines: number;
  readonly hasTeams: boolean;
  /** Load as a share of the capacity, by the time since the start and the team. */
  readonly load: (at: Milliseconds, team: number) => number;
  readonly seconds: number;
  readonly countFromSeconds: number;
  /** Whether load reports arrive. */
  readonly hasReports?: (at: Milliseconds) => boolean;
  /** Added to the reported load of each engine. */
  readonly reportError?: number;
  readonly seed: number;
}

export interface ClusterTally {
  offered: number;
  served: number;
  late: number;
}

export interface ClusterReport {
  readonly all: ClusterTally;
  readonly byRoute: ReadonlyMap<string, ClusterTally>;
  readonly byTeam: readonly ClusterTally[];
  readonly rejections: number;
  readonly outcomes: Readonly<Record<CapacityOutcome, number>>;
  /** Greatest number of slots that were idle while requests were held, on average. */
  readonly idleShareWhileHeld: number;
  /** Requests that neither were served nor got a refusal. */
  readonly unsettled: number;
}

interface Arrival {
  readonly urgency: number;
  readonly start: () => void;
  readonly isGone: () => boolean;
}

/** One engine: runs as many requests as it has slots, and queues some by urgency. */
class SimulatedEngine {
  running = 0;
  private order = 0;
  readonly queue = new Heap<Arrival & {order: number}>(
    (left, right) => left.urgency - right.urgency || left.order - right.order,
  );

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
  ) {}

  /** Returns false if the engine rejects the request. */
  accept(arrival: Arrival, onEnd: () => void): boolean {
    if (this.running >= SLOTS && this.queue.size() >= ENGINE_QUEUE)
      return false;
    this.order += 1;
    const start = (): void => {
      this.running += 1;
      arrival.start();
      const milliseconds = -Math.log(1 - this.random()) * SERVICE_MILLISECONDS;
      this.clock.schedule(after(this.clock.now(), milliseconds), () => {
        this.running -= 1;
        onEnd();
        this.startNext();
      });
    };
    this.queue.push({...arrival, start, order: this.order});
    this.startNext();
    return true;
  }

  private startNext(): void {
    while (this.running < SLOTS) {
      const next = this.queue.pop();
      if (next === undefined) return;
      if (!next.isGone()) next.start();
    }
  }
}

interface SimulatedNode {
  readonly client: PlacementClient;
  readonly inFlightCounts: InFlightCounts;
  readonly clusterLoad: ClusterLoad;
}

/** Plays a scenario. */
export async function simulateCluster(
  scenario: ClusterScenario,
): Promise<ClusterReport> {
  const clock = VirtualClock.create();
  const startAt = clock.now();
  const random = createSeededRandom(scenario.seed);
  const engineIds = Array.from({length: scenario.engines}, (_, index) =>
    as<EndpointId>(`engine-${index}`),
  );
  const engines = new Map(
    engineIds.map(id => [id, new SimulatedEngine(clock, random)]),
  );
  const descriptions = engineIds.map(id => ({
    ...createEngineDescription(id, SERVICE, [MODEL]),
    slots: SLOTS,
  }));
  const outcomes: Record<CapacityOutcome, number> = {
    held: 0,
    sent: 0,
    refused: 0,
    expired: 0,
    gone: 0,
  };
  const nodes = Array.from({length: scenario.nodes}, () =>
    createNode(clock, random, descriptions, scenario, outcomes),
  );
  const createTally = (): ClusterTally => ({offered: 0, served: 0, late: 0});
  const all = createTally();
  const byRoute = new Map<string, ClusterTally>(
    KINDS.map(({route}) => [route, createTally()]),
  );
  const byTeam = Array.from({length: TEAMS}, createTally);
  let rejections = 0;
  let unsettled = 0;
  let held = 0;
  let idleSum = 0;
  let idleSamples = 0;

  const report = (): void => {
    const at = until(startAt, clock.now());
    const loads = engineIds.map((id): [string, number] => [
      id,
      nodes.reduce((sum, node) => sum + node.inFlightCounts.at(id), 0) +
        (scenario.reportError ?? 0),
    ]);
    const age = scenario.nodes * REPORT_MILLISECONDS_PER_NODE;
    if (scenario.hasReports?.(at) ?? true) {
      clock.schedule(after(clock.now(), age), () => {
        for (const {client, clusterLoad} of nodes) {
          clusterLoad.update(loads);
          client.onLoadReport();
        }
      });
    }
    clock.schedule(after(clock.now(), HEARTBEAT_MILLISECONDS), report);
  };
  report();
  const sample = (): void => {
    held = outcomes.held - outcomes.sent - outcomes.expired - outcomes.gone;
    if (held >= scenario.nodes / 4) {
      const running = [...engines.values()].reduce(
        (sum, engine) => sum + engine.running,
        0,
      );
      idleSum += 1 - running / (SLOTS * scenario.engines);
      idleSamples += 1;
    }
    clock.schedule(after(clock.now(), 100), sample);
  };
  sample();

  const sendOnce = async (
    node: SimulatedNode,
    kind: (typeof KINDS)[number],
    team: number,
    arrivedAt: Instant,
    tallies: readonly ClusterTally[],
    tried: Set<EndpointId>,
  ): Promise<'served' | 'rejected'> => {
    const deadline = after(arrivedAt, kind.deadline);
    const objectiveAt = after(arrivedAt, kind.objective);
    const caller = new AbortController();
    const engine = await node.client.find({
      id: as<RequestId>('request'),
      service: SERVICE,
      model: MODEL,
      adapter: undefined,
      version: ANY_VERSION,
      triedEndpoints: tried,
      avoidedEndpoints: new Set(),
      deadline,
      priority: kind.priority,
      ordering: {
        team: as<TeamName>(`team-${team}`),
        teamPriority: 0,
        route: as<RouteName>(kind.route),
        objectiveAt,
        cost: 1_000,
      },
      isFirstAttempt: tried.size === 0,
      signal: caller.signal,
    });
    tried.add(engine.id);
    const release = node.inFlightCounts.track({
      endpoint: engine.id,
      model: MODEL,
      adapter: undefined,
    });
    return new Promise(resolve => {
      let isGone = false;
      let isStarted = false;
      const end = (result: 'served' | 'rejected'): void => {
        release();
        resolve(result);
      };
      clock.schedule(deadline, () => {
        if (isStarted || isGone) return;
        isGone = true;
        end('rejected');
      });
      clock.schedule(after(clock.now(), LINK_MILLISECONDS), () => {
        const isAccepted = engines.get(engine.id)?.accept(
          {
            urgency: kind.priority,
            isGone: () => isGone,
            start: () => {
              isStarted = true;
              const isLate = clock.now() > objectiveAt;
              for (const tally of tallies) {
                tally.served += 1;
                if (isLate) tally.late += 1;
              }
            },
          },
          () => end('served'),
        );
        if (isAccepted) return;
        rejections += 1;
        isGone = true;
        end('rejected');
      });
    });
  };

  const request = async (
    kind: (typeof KINDS)[number],
    team: number,
  ): Promise<void> => {
    const arrivedAt = clock.now();
    const isCounted =
      until(startAt, arrivedAt) >= scenario.countFromSeconds * 1_000;
    const tallies = isCounted
      ? [all, byRoute.get(kind.route) ?? all, byTeam[team] ?? all]
      : [];
    for (const tally of tallies) tally.offered += 1;
    unsettled += 1;
    const deadline = after(arrivedAt, kind.deadline);
    for (let visit = 0; visit < 2; visit += 1) {
      const node = nodes[Math.floor(random() * nodes.length)];
      if (node === undefined) break;
      let retryAt = after(clock.now(), RETRY_MILLISECONDS);
      try {
        const tried = new Set<EndpointId>();
        let result: 'served' | 'rejected' = 'rejected';
        for (let send = 0; send < SENDS && result === 'rejected'; send += 1)
          result = await sendOnce(node, kind, team, arrivedAt, tallies, tried);
        if (result === 'served') break;
        retryAt = after(clock.now(), RETRY_MILLISECONDS);
      } catch (failure) {
        if (!(failure instanceof RefusalError)) throw failure;
        retryAt = failure.retryAt ?? retryAt;
      }
      const left = until(clock.now(), deadline);
      if (until(clock.now(), retryAt) > left / 3) break;
      const at = retryAt;
      await new Promise<void>(resolve => {
        clock.schedule(at, resolve);
      });
    }
    unsettled -= 1;
  };

  const capacityPerMillisecond =
    (SLOTS * scenario.engines) / SERVICE_MILLISECONDS;
  const endsAt = scenario.seconds * 1_000;
  for (const kind of KINDS) {
    for (let team = 0; team < TEAMS; team += 1) {
      const share = kind.share * teamShare(team);
      const next = (): void => {
        const at = until(startAt, clock.now());
        if (at >= endsAt) return;
        const rate = scenario.load(at, team) * share * capacityPerMillisecond;
        const wait = -Math.log(1 - random()) / rate;
        clock.schedule(after(clock.now(), wait), () => {
          void request(kind, team);
          next();
        });
      };
      next();
    }
  }
  await clock.advance(endsAt + 30_000);
  return {
    all,
    byRoute,
    byTeam,
    rejections,
    outcomes,
    idleShareWhileHeld: idleSamples === 0 ? 0 : idleSum / idleSamples,
    unsettled,
  };
}

function teamShare(team: number): number {
  let total = 0;
  for (let index = 1; index <= TEAMS; index += 1) total += 1 / index;
  return 1 / (team + 1) / total;
}

function createNode(
  clock: VirtualClock,
  random: Random,
  descriptions: readonly ReturnType<typeof createEngineDescription>[],
  scenario: ClusterScenario,
  outcomes: Record<CapacityOutcome, number>,
): SimulatedNode {
  const table = EndpointTable.create();
  table.replaceAll([...descriptions], undefined);
  const inFlightCounts: InFlightCounts = InFlightCounts.create(() =>
    client.onInFlightChange(),
  );
  const clusterLoad = ClusterLoad.create({clock, inFlightCounts});
  const limits = EndpointLimits.create({clock, emit: discardEvents});
  const client: PlacementClient = PlacementClient.create({
    limitDependencies: {
      limits,
      permits: SendPermits.create({limits, clock, onPermitUsed: () => {}}),
      clock,
      emit: discardEvents,
      onLimited: () => {},
      pauses: EndpointPauses.create({clock, emit: discardEvents}),
      random,
    },
    table,
    inFlightCounts,
    eventGaps: EventGapCounts.create(),
    choice: {
      table,
      inFlightCounts,
      clusterLoad,
      outliers: OutlierDetector.create(),
      clock,
      random,
      failureDomain: as<FailureDomain>('a'),
    },
    clock,
    random,
    isDeclared: () => true,
    engineServices: () => [SERVICE],
    hasTeams: () => scenario.hasTeams,
    onCapacityWait: outcome => (outcomes[outcome] += 1),
  });
  client.setNodeCount(scenario.nodes);
  return {client, inFlightCounts, clusterLoad};
}
