import {describe, it} from 'node:test';
import {ANY_VERSION} from '@siskinmux/endpoints';
import {expect} from 'earl';
import type {PermitDecision} from '@siskinmux/admission';
import {EndpointTable} from '@siskinmux/endpoints';
import type {
  AdapterName,
  EndpointId,
  FailureDomain,
  Instant,
  ModelName,
  RequestId,
  ServiceName,
  TeamName,
} from '@siskinmux/kernel';
import {ErrorCode, after, as, discardEvents} from '@siskinmux/kernel';
import type {NodeUsage} from '@siskinmux/placement';
import type {RouteName} from '@siskinmux/routes';
import {OutlierDetector} from '@siskinmux/routing';
import {
  ENGINE_SLOTS,
  VirtualClock,
  createEngineDescription,
  createSeededRandom,
} from '@siskinmux/testkit';
import type {AllocatorApi} from '../src/allocator_api.js';
import {ClusterLoad} from '../src/cluster_load.js';
import type {
  EndpointRequirements,
  RequestOrdering,
} from '../src/endpoint_choice.js';
import {EndpointLimits} from '../src/endpoint_limits.js';
import {EndpointPauses} from '../src/endpoint_pauses.js';
import {EventGapCounts} from '../src/event_gap_counts.js';
import {InFlightCounts} from '../src/in_flight_counts.js';
import {PlacementClient} from '../src/placement_client.js';
import {SendPermits} from '../src/send_permits.js';

const service = as<ServiceName>('text');
const engine = as<EndpointId>('engine-1');
const model = (name: string): ModelName => as<ModelName>(name);

/** An allocator that grants every adapter on the only engine, and records usage reports. */
class TestAllocator implements AllocatorApi {
  readonly reports: NodeUsage[] = [];
  usableAfterMilliseconds = 0;

  constructor(private readonly clock: VirtualClock) {}

  reportUsage(_service: ServiceName, usage: NodeUsage): void {
    this.reports.push(usage);
  }

  reportMissingModel(): void {}

  reportSuspects(): void {}

  endProbation(): void {}

  requestProbation(): Promise<boolean> {
    return Promise.resolve(true);
  }

  reportOrigins(): void {}

  reportLimits(): void {}

  reportLeaving(): void {}

  requestPermit(): Promise<PermitDecision> {
    const retryAt = after(this.clock.now(), 1_000);
    return Promise.resolve({kind: 'refused', retryAt});
  }

  reportTeamUsage(): void {}

  requestTeamPermit() {
    return Promise.resolve({kind: 'granted' as const});
  }

  offerRelay(): void {}

  requestWitness() {
    return Promise.resolve('unknown' as const);
  }

  requestServiceWitness() {
    return Promise.resolve(false);
  }

  requestAdapter() {
    const now = this.clock.now();
    return Promise.resolve({
      engine,
      usableAt: after(now, this.usableAfterMilliseconds),
      validUntil: after(now, 1_000),
    });
  }
}

function build({hasTeams = false} = {}) {
  const clock = VirtualClock.create();
  const random = createSeededRandom(1);
  const table = EndpointTable.create();
  table.replaceAll(
    [createEngineDescription(engine, service, [model('m0')])],
    undefined,
  );
  const inFlightCounts = InFlightCounts.create();
  const clusterLoad = ClusterLoad.create({clock, inFlightCounts});
  const eventGaps = EventGapCounts.create();
  const limits = EndpointLimits.create({clock, emit: discardEvents});
  const pauses = EndpointPauses.create({clock, emit: discardEvents});
  const client = PlacementClient.create({
    limitDependencies: {
      limits,
      permits: SendPermits.create({limits, clock, onPermitUsed: () => {}}),
      clock,
      emit: discardEvents,
      onLimited: () => {},
      pauses,
      random,
    },
    table,
    inFlightCounts,
    eventGaps,
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
    engineServices: () => [service],
    hasTeams: () => hasTeams,
    onCapacityWait: () => {},
  });
  const startAt = clock.now();
  const settled: string[] = [];
  const find = (
    name: string,
    adapter?: string,
    timeoutMilliseconds = 8_000,
    ordering: RequestOrdering | undefined = undefined,
  ): {outcome: string | undefined; settledAt: Instant | undefined} => {
    const requirements: EndpointRequirements = {
      id: as<RequestId>('request'),
      service,
      model: model(name),
      adapter: adapter === undefined ? undefined : as<AdapterName>(adapter),
      version: ANY_VERSION,
      triedEndpoints: new Set(),
      avoidedEndpoints: new Set(),
      deadline: after(clock.now(), timeoutMilliseconds),
      priority: 0,
      ordering,
      isFirstAttempt: true,
      signal: new AbortController().signal,
    };
    const search: {
      outcome: string | undefined;
      settledAt: Instant | undefined;
    } = {
      outcome: undefined,
      settledAt: undefined,
    };
    client.find(requirements).then(
      ({id}) => {
        search.outcome = id;
        if (ordering !== undefined)
          settled.push(`${ordering.team} ${ordering.objectiveAt - startAt}`);
        search.settledAt = clock.now();
      },
      (failure: {code: string}) => {
        search.outcome = failure.code;
        search.settledAt = clock.now();
      },
    );
    return search;
  };
  return {
    clock,
    client,
    table,
    inFlightCounts,
    clusterLoad,
    eventGaps,
    find,
    settled,
    allocator: new TestAllocator(clock),
  };
}

describe('PlacementClient with teams', () => {
  it('lets the most urgent of the requests that waited for a model continue first, and reports them by team', async () => {
    const {clock, client, find, allocator, settled} = build({hasTeams: true});
    client.setAllocator(allocator);
    const ordering = (teamPriority: number, milliseconds: number) => ({
      team: as<TeamName>(`team-${teamPriority}`),
      teamPriority,
      route: as<RouteName>('route'),
      objectiveAt: after(clock.now(), milliseconds),
      cost: 1,
    });
    find('m9', undefined, 8_000, ordering(1, 100));
    find('m9', undefined, 8_000, ordering(0, 900));
    find('m9', undefined, 8_000, ordering(0, 300));
    await clock.advance(1);
    expect(allocator.reports.at(-1)?.waiting[0]?.priority).toEqual(0);
    client.onAvailableModels(service, [
      {engine, models: [model('m0'), model('m9')]},
    ]);
    await clock.advance(1);
    expect(settled).toEqual(['team-0 300', 'team-0 900', 'team-1 100']);
  });

  it('reports the priority of the team before that of the route alone, whatever its size', async () => {
    // The rank of team and route together counted the team twice.
    for (const [routePriority, reported] of [
      [3, 1_003],
      [5_000, 1_999],
    ] as const) {
      const {clock, client, find, allocator} = build({hasTeams: true});
      client.setAllocator(allocator);
      find('m9', undefined, 8_000, {
        team: as<TeamName>('team'),
        teamPriority: 1,
        routePriority,
        route: as<RouteName>('route'),
        objectiveAt: after(clock.now(), 300),
        cost: 1,
      });
      await clock.advance(1);
      expect(allocator.reports.at(-1)?.waiting[0]?.priority).toEqual(reported);
    }
  });

  it('holds requests again whose model was briefly at no engine', async () => {
    // One rejection for a missing model sent the whole backlog to a full engine.
    const {clock, client, clusterLoad, find, allocator, settled} = build({
      hasTeams: true,
    });
    client.setAllocator(allocator);
    client.setNodeCount(100);
    const ordering = {
      team: as<TeamName>('team'),
      teamPriority: 0,
      route: as<RouteName>('route'),
      objectiveAt: after(clock.now(), 5_000),
      cost: 1,
    };
    clusterLoad.update([[engine, ENGINE_SLOTS * 4]]);
    for (let index = 0; index < 10; index += 1)
      find('m0', undefined, 8_000, ordering);
    await clock.advance(1);
    client.reportMissingModel(engine, model('m0'));
    await clock.advance(150);
    client.onAvailableModels(service, [{engine, models: [model('m0')]}]);
    await clock.advance(50);
    expect(settled.length).toEqual(0);
    clusterLoad.update([[engine, 0]]);
    client.onLoadReport();
    await clock.advance(1);
    expect(settled.length).toEqual(1);
  });
});

describe('PlacementClient with gaps between events', () => {
  it('drops those at engines that have gone, and those before a change of the allocator', () => {
    // No report takes the gaps at engines that have gone, so that their entries stayed.
    const {client, table, eventGaps, allocator} = build();
    const [before] = table.availableFor(service);
    eventGaps.record(engine, 1, 40);
    client.onEndpointChanges([{id: engine, before, now: undefined}]);
    expect(eventGaps.take(() => true)).toEqual([]);
    eventGaps.record(as<EndpointId>('gone'), 1, 40);
    client.sendUsageReports();
    expect(eventGaps.take(() => true)).toEqual([]);
    eventGaps.record(engine, 1, 40);
    client.setAllocator(allocator);
    expect(allocator.reports.map(({gaps}) => gaps)).toEqual([[]]);
  });
});

describe('PlacementClient without an allocator', () => {
  it('lets requests wait for a new allocator and then for their model', async () => {
    const {clock, client, find, allocator} = build();
    const withAdapter = find('m0', 'a1');
    const withoutEngine = find('m9');
    await clock.advance(500);
    expect(withAdapter.outcome).toEqual(undefined);
    client.setAllocator(allocator);
    await clock.advance(50);
    expect(withAdapter.outcome).toEqual(engine);
    expect(withoutEngine.outcome).toEqual(undefined);
    client.onAvailableModels(service, [
      {engine, models: [model('m0'), model('m9')]},
    ]);
    await clock.advance(50);
    expect(withoutEngine.outcome).toEqual(engine);
  });

  it('keeps what a new allocator has sent before it is followed', async () => {
    const {clock, client, find, allocator} = build();
    client.setAllocator(allocator);
    const waiting = find('m9');
    await clock.advance(50);
    client.setAllocator(undefined);
    const meanwhile = find('m9');
    await clock.advance(300);
    client.onAvailableModels(service, [
      {engine, models: [model('m0'), model('m9')]},
    ]);
    client.setAllocator(allocator);
    const later = find('m9');
    await clock.advance(50);
    expect([waiting, meanwhile, later].map(({outcome}) => outcome)).toEqual([
      engine,
      engine,
      engine,
    ]);
  });

  it('sends no request to an engine from which the lost allocator had withdrawn the model', async () => {
    const {clock, client, table, find, allocator} = build();
    const other = as<EndpointId>('engine-2');
    const engines = [engine, other].map(id =>
      createEngineDescription(id, service, [model('m0')]),
    );
    table.replaceAll(engines, undefined);
    client.setAllocator(allocator);
    client.onAvailableModels(service, [
      {engine, models: [model('m9')]},
      {engine: other, models: [model('m0')]},
    ]);
    client.setAllocator(undefined);
    const searches = Array.from({length: 20}, () => find('m0'));
    const loadedLast = find('m9');
    await clock.advance(50);
    expect(new Set(searches.map(({outcome}) => outcome))).toEqual(
      new Set([other]),
    );
    expect(loadedLast.outcome).toEqual(engine);
  });

  it('sends a request to an engine that lists a model which the lost allocator had withdrawn everywhere', async () => {
    const {clock, client, find, allocator} = build();
    client.setAllocator(allocator);
    client.onAvailableModels(service, [{engine, models: []}]);
    client.setAllocator(undefined);
    const search = find('m0');
    await clock.advance(50);
    expect(search.outcome).toEqual(engine);
  });

  it('goes by the entry of an engine that has changed since the allocator was lost', async () => {
    const {clock, client, table, find, allocator} = build();
    client.setAllocator(allocator);
    client.onAvailableModels(service, [{engine, models: [model('m9')]}]);
    client.setAllocator(undefined);
    const description = createEngineDescription(engine, service, [model('m7')]);
    client.onEndpointChanges(
      table.apply([{id: engine, description, isRemoved: false}], undefined),
    );
    const [earlier, listed] = [find('m9'), find('m7')];
    await clock.advance(50);
    expect([earlier.outcome, listed.outcome]).toEqual([undefined, engine]);
  });

  it('forgets what a lost allocator has sent', async () => {
    const {clock, client, find, allocator} = build();
    client.setAllocator(allocator);
    client.onAvailableModels(service, [{engine, models: [model('m9')]}]);
    client.setAllocator(undefined);
    client.setAllocator(allocator);
    const [gone, listed] = [find('m9'), find('m0')];
    await clock.advance(50);
    expect([gone.outcome, listed.outcome]).toEqual([undefined, engine]);
  });

  it('refuses a request after one second, or at its deadline if that is earlier', async () => {
    const {clock, find} = build();
    const startedAt = clock.now();
    const withAdapter = find('m0', 'a1');
    const expiring = find('m9', undefined, 300);
    await clock.advance(3_000);
    expect(withAdapter.outcome).toEqual(ErrorCode.NoEndpoint);
    expect((withAdapter.settledAt ?? 0) - startedAt <= 1_050).toEqual(true);
    expect(expiring.outcome).toEqual(ErrorCode.NoEndpoint);
    expect((expiring.settledAt ?? 0) - startedAt <= 350).toEqual(true);
  });

  it('refuses a request at once when the allocator was lost two seconds ago', async () => {
    const {clock, client, find, allocator} = build();
    client.setAllocator(allocator);
    client.setAllocator(undefined);
    await clock.advance(2_000);
    const search = find('m9');
    await clock.advance(1);
    expect(search.outcome).toEqual(ErrorCode.NoEndpoint);
  });

  it('routes a request without an adapter by the models in the endpoint table', async () => {
    const {clock, find} = build();
    const search = find('m0');
    await clock.advance(1);
    expect(search.outcome).toEqual(engine);
  });
});

describe('PlacementClient with a lease holder that knows less', () => {
  it('finds no engine that this node knows to leave, whatever the holder grants', async () => {
    const {clock, client, table, find, allocator} = build();
    client.setAllocator(allocator);
    const [listed] = table.availableFor(service);
    table.apply(
      [
        {
          id: engine,
          description: {...listed!, isDraining: true},
          isRemoved: false,
        },
      ],
      undefined,
    );
    const search = find('m0', 'a1', 300);
    await clock.advance(1_000);
    expect(search.outcome).toEqual(ErrorCode.NoEndpoint);
  });

  it('finds no engine that begins to leave while the request waits for its adapter', async () => {
    const {clock, client, table, find, allocator} = build();
    client.setAllocator(allocator);
    allocator.usableAfterMilliseconds = 100;
    const search = find('m0', 'a1', 300);
    await clock.advance(50);
    const [listed] = table.availableFor(service);
    table.apply(
      [
        {
          id: engine,
          description: {...listed!, isDraining: true},
          isRemoved: false,
        },
      ],
      undefined,
    );
    await clock.advance(1_000);
    expect(search.outcome).toEqual(ErrorCode.NoEndpoint);
  });

  it('finds no engine from which the model is withdrawn while the request waits for its adapter', async () => {
    const {clock, client, find, allocator} = build();
    client.setAllocator(allocator);
    allocator.usableAfterMilliseconds = 100;
    const search = find('m0', 'a1', 300);
    await clock.advance(50);
    client.onAvailableModels(service, [{engine, models: []}]);
    await clock.advance(1_000);
    expect(search.outcome).toEqual(ErrorCode.NoEndpoint);
  });
});

describe('PlacementClient usage reports', () => {
  it('are batched for longer with many nodes, except for requests that start to wait', async () => {
    const {clock, client, inFlightCounts, find, allocator} = build();
    client.setAllocator(allocator);
    client.setNodeCount(50);
    const reportCount = allocator.reports.length;
    const inFlight = {endpoint: engine, model: model('m0')};
    inFlightCounts.track({...inFlight, adapter: undefined});
    client.onInFlightChange();
    await clock.advance(150);
    expect(allocator.reports.length).toEqual(reportCount);
    await clock.advance(60);
    expect(allocator.reports.length).toEqual(reportCount + 1);
    find('m9');
    await clock.advance(1);
    expect(allocator.reports.at(-1)?.waiting.length).toEqual(1);
  });

  it('are sent at once for requests in flight for a model that is being evicted', async () => {
    const {clock, client, inFlightCounts, allocator} = build();
    client.setAllocator(allocator);
    client.setNodeCount(50);
    inFlightCounts.track({
      endpoint: engine,
      model: model('m0'),
      adapter: undefined,
    });
    const reportCount = allocator.reports.length;
    client.onAvailableModels(service, [{engine, models: []}]);
    await clock.advance(1);
    expect(allocator.reports.length).toEqual(reportCount + 1);
    expect(allocator.reports.at(-1)?.inFlight).toEqual([
      {engine, model: model('m0'), count: 1},
    ]);
  });
});
