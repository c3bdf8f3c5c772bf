/** The parts of a node that decide about requests, without a network, and what they have done. */

import {inspect} from 'node:util';
import type {EndpointDescription} from '@siskinmux/endpoints';
import {EndpointTable, meetsVersion} from '@siskinmux/endpoints';
import type {
  AdapterName,
  EndpointId,
  FailureDomain,
  ModelName,
  NodeId,
  RequestId,
  ServiceName,
  TeamName,
} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {RelayPeer} from '@siskinmux/relay';
import {PeerChoice} from '@siskinmux/relay';
import type {Route, RouteConfiguration, RouteName} from '@siskinmux/routes';
import {RouteTable, TeamDirectory, digestApiKey} from '@siskinmux/routes';
import {OutlierDetector} from '@siskinmux/routing';
import {
  ENGINE_SLOTS,
  VirtualClock,
  createEngineDescription,
} from '@siskinmux/testkit';
import type {AllocatorApi} from '../src/allocator_api.js';
import {ClusterLoad} from '../src/cluster_load.js';
import type {EndpointRequirements} from '../src/endpoint_choice.js';
import {previewPlainEndpoint} from '../src/endpoint_choice.js';
import {EndpointLimits} from '../src/endpoint_limits.js';
import {EndpointPauses} from '../src/endpoint_pauses.js';
import {EventGapCounts} from '../src/event_gap_counts.js';
import {InFlightCounts} from '../src/in_flight_counts.js';
import {PlacementClient} from '../src/placement_client.js';
import {heartbeatSchema} from '../src/placement_messages.js';
import {decideRoute} from '../src/route_decision.js';
import {SendPermits} from '../src/send_permits.js';
import {TeamQuotaHolder} from '../src/team_quota_holder.js';
import {TeamQuotas} from '../src/team_quotas.js';
import type {WhereAnswer} from '../src/where_answer.js';
import {WhereExplainer} from '../src/where_explainer.js';
import {readWhereQuestion} from '../src/where_question.js';
import {createResponse} from './limit_cluster.js';

export const KEY = 'mytdqf5swkcup4umfwwq';
export const SECOND_KEY = '3bpepuuv3kic7bv9asmt';
export const MODEL = as<ModelName>('m0');
export const NODE = as<NodeId>('node-1');

const PLAIN = as<ServiceName>('plain');
const ENGINES = as<ServiceName>('engines');
const RULES = {windowMilliseconds: 8_000, overage: 0.1, tolerance: 0};
const QUOTA = {
  unit: 'requests' as const,
  perSecond: 1,
  burst: 1,
  plainTokens: 1,
};

const COMMON: Omit<Route, 'name' | 'pathPrefix' | 'kind' | 'targets'> = {
  host: 'offers.example',
  timeoutMilliseconds: 4_000,
  latencyObjectiveMilliseconds: 5_000,
  priority: 1,
  maximumRuns: 2,
  isResumable: true,
  maximumEventGapMilliseconds: 200,
};

/** A plain route, one to engines, one to a service without endpoints. */
function createRoutes(): readonly Route[] {
  const route = (
    name: string,
    kind: Route['kind'],
    service: string,
  ): Route => ({
    ...COMMON,
    name: as<RouteName>(name),
    pathPrefix: `/${name}/`,
    kind,
    targets: [{service: as<ServiceName>(service), weight: 1}],
  });
  return [
    route('read', 'safe', PLAIN),
    route('text', 'stream', ENGINES),
    route('empty', 'safe', 'empty'),
  ];
}

const calm = as<TeamName>('calm');
const busy = as<TeamName>('busy');

function createConfiguration(hasTeams: boolean): RouteConfiguration {
  const service = (name: ServiceName, engine?: object) => [
    name,
    {name, probePath: '/', maximumConnections: 10, engine},
  ];
  const teams = new Map([
    [
      calm,
      {
        name: calm,
        priority: 1,
        keyDigests: [digestApiKey(KEY)],
        quota: undefined,
      },
    ],
    [
      busy,
      {
        name: busy,
        priority: 2,
        keyDigests: [digestApiKey(SECOND_KEY)],
        quota: QUOTA,
      },
    ],
  ]);
  return {
    version: 7,
    routes: createRoutes(),
    services: new Map([
      service(PLAIN),
      service(ENGINES, {models: new Map()}),
    ] as never),
    limits: {},
    teams: hasTeams ? {teams, unusable: []} : undefined,
  } as unknown as RouteConfiguration;
}

/** Parts of a node, in which nothing happens but what the test does. */
export function createFixture({hasTeams = false, nodeCount = 1} = {}) {
  const clock = VirtualClock.create();
  /** Draws from the random source, events, and messages to the lease holder. */
  const effects = {draws: 0, events: 0, messages: [] as string[]};
  const random = (): number => {
    effects.draws += 1;
    return 0.25;
  };
  const emit = (): void => {
    effects.events += 1;
  };
  const configuration = createConfiguration(hasTeams);
  const table = EndpointTable.create();
  const engines = ['engine-1', 'engine-2', 'engine-3'].map(name =>
    createEngineDescription(name, ENGINES, [MODEL]),
  );
  const plain = ['plain-1', 'plain-2'].map(name =>
    createEngineDescription(name, PLAIN),
  );
  const setEndpoints = (...listed: EndpointDescription[]): void => {
    table.replaceAll(listed, undefined);
  };
  setEndpoints(...plain, ...engines);
  const inFlightCounts = InFlightCounts.create();
  const clusterLoad = ClusterLoad.create({clock, inFlightCounts});
  const outliers = OutlierDetector.create();
  const limits = EndpointLimits.create({clock, emit});
  const pauses = EndpointPauses.create({clock, emit});
  const permits = SendPermits.create({limits, clock, onPermitUsed: emit});
  const failureDomain = as<FailureDomain>('a');
  const choice = {
    table,
    inFlightCounts,
    clusterLoad,
    outliers,
    clock,
    random,
    failureDomain,
  };
  const limitDependencies = {
    limits,
    pauses,
    permits,
    clock,
    random,
    emit,
    onLimited: emit,
  };
  const client = PlacementClient.create({
    limitDependencies,
    table,
    inFlightCounts,
    eventGaps: EventGapCounts.create(),
    choice,
    clock,
    random,
    isDeclared: (_service, name) => name !== 'undeclared',
    engineServices: () => [ENGINES],
    hasTeams: () => hasTeams,
    onCapacityWait: emit,
  });
  client.setNodeCount(nodeCount);
  const teamQuotas = TeamQuotas.create({
    rules: RULES,
    clock,
    random,
    emit,
    onOutcome: emit,
  });
  teamQuotas.applyConfiguration(configuration);
  const directory =
    configuration.teams && TeamDirectory.create(configuration.teams, undefined);
  const peers = PeerChoice.create({clock, random, failureDomain});
  const knowledge = {
    isCurrent: true,
    isDecidable: true,
    isCut: false,
    hasTime: true,
  };
  const routes = {
    configuration,
    table: RouteTable.create(configuration),
    teams: directory,
  };
  const explainer = WhereExplainer.create({
    node: NODE,
    clock,
    decideRoute: (request, isDecidable) =>
      decideRoute(
        {routes, isCurrent: knowledge.isCurrent, isDecidable},
        request,
      ),
    teams: () => directory,
    view: {
      age: {routes: 120, endpoints: 340},
      get isDecidable() {
        return knowledge.isDecidable;
      },
    },
    teamQuotas,
    placement: {
      preview: requirements =>
        requirements.service === ENGINES
          ? client.preview(requirements)
          : previewPlainEndpoint(requirements, choice, limitDependencies),
    },
    hasTimeFor: () => knowledge.hasTime,
    reach: {isCutFrom: () => knowledge.isCut},
    peers,
    table,
    clusterLoad,
    inFlightCounts,
  });
  const state = (): string =>
    inspect(
      [
        clock,
        effects,
        table,
        inFlightCounts,
        clusterLoad,
        outliers,
        limits,
        pauses,
        permits,
        client,
        teamQuotas,
        peers,
      ],
      {
        depth: Infinity,
        maxArrayLength: null,
        maxStringLength: null,
        sorted: false,
      },
    );
  /** Asks, and fails if that has changed anything. */
  const ask = (query: Record<string, string>): WhereAnswer => {
    const before = state();
    const answer = explainer.explain(
      readWhereQuestion({host: 'offers.example', ...query}),
    );
    const same = state() === before;
    if (!same) throw new TypeError('asking has changed the state');
    return answer;
  };
  /** A lease holder elsewhere, which doesn't respond. */
  const allocator = new Proxy({} as AllocatorApi, {
    get: (_target, name: string) => () => {
      effects.messages.push(name);
      return new Promise(() => {});
    },
    has: (_target, name) => name !== 'previewTeamPermit',
  });
  const follow = (): void => client.setAllocator(allocator);
  const pause = (endpoint: EndpointDescription, milliseconds: number): void => {
    const {metadata, ...head} = createResponse(undefined);
    pauses.recordResponse(endpoint, {
      ...head,
      metadata: {...metadata, pause: {kind: 'pause', milliseconds}},
    });
  };
  const limit = (endpoint: EndpointDescription): void =>
    limits.recordResponse(endpoint, createResponse(2));
  const requirements = (deadlineIn: number): EndpointRequirements => ({
    id: as<RequestId>('real'),
    service: ENGINES,
    model: as<ModelName>('m9'),
    adapter: undefined as AdapterName | undefined,
    version: {kind: 'any'},
    triedEndpoints: new Set<EndpointId>(),
    avoidedEndpoints: new Set<EndpointId>(),
    deadline: after(clock.now(), deadlineIn),
    priority: 0,
    isFirstAttempt: true,
    signal: new AbortController().signal,
  });
  const fill = (requests = ENGINE_SLOTS * 4): void =>
    clusterLoad.update(engines.map(({id}) => [id, requests]));
  return {
    clock,
    effects,
    table,
    engines,
    plain,
    setEndpoints,
    inFlightCounts,
    clusterLoad,
    outliers,
    client,
    teamQuotas,
    peers,
    knowledge,
    ask,
    state,
    follow,
    pause,
    limit,
    fill,
    requirements,
    ordering: {
      team: calm,
      teamPriority: 1,
      route: as<RouteName>('text'),
      objectiveAt: after(clock.now(), 5_000),
      cost: 1,
    },
    explainer,
    setPeers: (...nodes: RelayPeer[]) => peers.setPeers(nodes),
    meetsVersion,
  };
}

export type Fixture = ReturnType<typeof createFixture>;

/** Has the node hold the lease itself: its ledger of quotas is at hand. */
export function holdLease({clock, teamQuotas}: Fixture): {
  beat: () => void;
} {
  const holder = TeamQuotaHolder.create({
    clock,
    emit: () => {},
    rules: RULES,
    isExclusive: () => true,
    earlierNodeCount: undefined,
    silenceMilliseconds: 700,
  });
  holder.setQuotas(teamQuotas.quotas);
  teamQuotas.setExchange({
    reportTeamUsage: usage => holder.recordUsage(NODE, usage),
    requestTeamPermit: request => holder.requestPermit(NODE, request),
    previewTeamPermit: request => holder.previewPermit(NODE, request),
  });
  return {
    beat: () => {
      holder.beginHeartbeat();
      teamQuotas.applyHeartbeat(
        heartbeatSchema.parse({
          nodes: 1,
          reachesStore: true,
          teams: holder.stateFor(NODE),
        }),
      );
    },
  };
}
