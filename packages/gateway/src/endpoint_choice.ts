/** Chooses an endpoint for a request among those that accept requests now. */

import type {
  EndpointDescription,
  EndpointTable,
  VersionRequirement,
} from '@siskinmux/endpoints';
import {meetsVersion} from '@siskinmux/endpoints';
import type {
  AdapterName,
  Clock,
  EndpointId,
  FailureDomain,
  Instant,
  Milliseconds,
  ModelName,
  Random,
  RefusalError,
  RequestId,
  ServiceName,
  TeamName,
} from '@siskinmux/kernel';
import {ErrorCode, after, createNotRunRefusal} from '@siskinmux/kernel';
import type {RouteName} from '@siskinmux/routes';
import type {OutlierDetector} from '@siskinmux/routing';
import {
  chooseEndpoint,
  chooseEngineByLoad,
  weighEndpoints,
  weighEngines,
} from '@siskinmux/routing';
import type {ClusterLoad} from './cluster_load.js';
import type {InFlightCounts} from './in_flight_counts.js';
import type {PlacementPreview} from './limited_choice_preview.js';
import {previewWithinLimits} from './limited_choice_preview.js';
import type {LimitDependencies} from './limited_choice.js';
import {chooseWithinLimits} from './limited_choice.js';

/** `Retry-After` for a service without endpoints; one may have registered by then. */
const RETRY_AFTER_MILLISECONDS = 500;

/** By this power of its slowness a slow engine counts as smaller. */
const SLOWNESS_EXPONENT = 2;

/** Time that an endpoint of a plain service needs at least. */
const PLAIN_SERVICE_MILLISECONDS: Milliseconds = 20;

/** By what a request is ordered among those that wait for the same engines. */
export interface RequestOrdering {
  /** Undefined on a public route; all requests without a team count as one team. */
  readonly team: TeamName | undefined;
  /** Priority of the team, or what a team without one has; goes before that of the route. */
  readonly teamPriority: number;
  /**
   * Priority of the route alone; 0 is the most urgent. If it is missing, that of the request
   * is used, which may include the team's.
   */
  readonly routePriority?: number | undefined;
  readonly route: RouteName;
  /** When the response, or the first event of a stream, is due by the route's objective. */
  readonly objectiveAt: Instant;
  /** Tokens of the request, or its equivalent in tokens if it states none. */
  readonly cost: number;
}

/** What a request requires of its endpoint, and how long it can wait for one. */
export interface EndpointRequirements {
  /** Names the request in log lines. */
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly model: ModelName | undefined;
  readonly adapter: AdapterName | undefined;
  readonly version: VersionRequirement;
  /** Endpoints that the request has already been sent to. */
  readonly triedEndpoints: ReadonlySet<EndpointId>;
  /** Endpoints that the request is sent to only if there is no other. */
  readonly avoidedEndpoints: ReadonlySet<EndpointId>;
  /** When the caller gives up; until a stream has started, the deadline of its first event. */
  readonly deadline: Instant;
  /** Priority of the request's route; 0 is the most urgent. */
  readonly priority: number;
  /** Undefined if the configuration has no teams; the request is then never held. */
  readonly ordering?: RequestOrdering | undefined;
  /** Whether the request has not been sent to any endpoint yet. */
  readonly isFirstAttempt: boolean;
  /** Aborts when the request has ended. */
  readonly signal: AbortSignal;
}

/** Finds an endpoint; rejects with a `RefusalError` if none can serve in time. */
export type FindEndpoint = (
  requirements: EndpointRequirements,
) => Promise<EndpointDescription>;

/** Whether another endpoint than `current` could serve the request now. */
export type HasAlternative = (
  requirements: EndpointRequirements,
  current: EndpointId,
) => boolean;

/** Dependencies of the functions that choose an endpoint. */
export interface ChoiceDependencies {
  readonly table: EndpointTable;
  readonly inFlightCounts: InFlightCounts;
  readonly outliers: OutlierDetector;
  readonly clock: Clock;
  readonly random: Random;
  /** This node's failure domain; endpoints in the same one are preferred. */
  readonly failureDomain: FailureDomain;
  /** Requests of all nodes, for deployments in which many nodes share the endpoints. */
  readonly clusterLoad: ClusterLoad;
}

/** Weights by endpoint; outliers that are skipped have none. */
export type EndpointWeights = ReadonlyMap<EndpointId, number>;

/** The endpoint with the lowest load, skipping ejected outliers where possible. */
export function chooseLeastLoaded(
  endpoints: readonly EndpointDescription[],
  dependencies: ChoiceDependencies,
): EndpointDescription | undefined {
  const {clock, random, failureDomain} = dependencies;
  const candidates = loadCandidates(endpoints, dependencies);
  const now = clock.now();
  const chosen = chooseEndpoint(candidates, {now, failureDomain, random});
  return endpoints.find(({id}) => id === chosen?.endpoint);
}

/** The weights by which {@link chooseLeastLoaded} chooses. */
export function weighByOwnLoad(
  endpoints: readonly EndpointDescription[],
  dependencies: ChoiceDependencies,
): EndpointWeights {
  const {clock, failureDomain} = dependencies;
  const candidates = loadCandidates(endpoints, dependencies);
  const now = clock.now();
  const weights = weighEndpoints(candidates, {now, failureDomain});
  return new Map(
    candidates.map(({endpoint}, index) => [endpoint, weights[index] ?? 0]),
  );
}

function loadCandidates(
  endpoints: readonly EndpointDescription[],
  dependencies: ChoiceDependencies,
) {
  const {inFlightCounts} = dependencies;
  return withoutOutliers(endpoints, dependencies).map(endpoint => ({
    endpoint: endpoint.id,
    failureDomain: endpoint.failureDomain,
    inFlight: inFlightCounts.at(endpoint.id),
    limit: endpoint.slots,
    // Equal for all candidates, so that this node's own load and the failure domain decide.
    reportedLoad: 0,
    reportedAt: undefined,
    slots: endpoint.slots,
    hasAdapter: true,
    isPrefixOwner: true,
  }));
}

/**
 * Chooses an engine by its estimated requests from all nodes, skipping ejected outliers where
 * possible; see `chooseEngineByLoad`.
 */
export function chooseEngine(
  engines: readonly EndpointDescription[],
  dependencies: ChoiceDependencies,
): EndpointDescription | undefined {
  const candidates = engineCandidates(engines, dependencies);
  return chooseEngineByLoad(candidates, dependencies.random)?.engine;
}

/** The weights by which {@link chooseEngine} draws. */
export function weighByClusterLoad(
  engines: readonly EndpointDescription[],
  dependencies: ChoiceDependencies,
): EndpointWeights {
  const candidates = engineCandidates(engines, dependencies);
  const weights = weighEngines(candidates);
  return new Map(
    candidates.map(({engine}, index) => [engine.id, weights[index] ?? 0]),
  );
}

function engineCandidates(
  engines: readonly EndpointDescription[],
  dependencies: ChoiceDependencies,
) {
  const {clusterLoad, failureDomain} = dependencies;
  return withoutOutliers(engines, dependencies).map(engine => ({
    engine,
    // On a slow engine, running streams are at risk of missing the objective for the gap between
    // two events.
    slots:
      engine.slots / clusterLoad.slownessOf(engine.id) ** SLOWNESS_EXPONENT,
    isInOwnDomain: engine.failureDomain === failureDomain,
    ...clusterLoad.estimate(engine),
  }));
}

function withoutOutliers(
  endpoints: readonly EndpointDescription[],
  {outliers, clock}: ChoiceDependencies,
): EndpointDescription[] {
  const usable = new Set(
    outliers.usableEndpoints(
      endpoints.map(({id}) => id),
      clock.now(),
    ),
  );
  return endpoints.filter(({id}) => usable.has(id));
}

/** Whether one of the endpoints, which the request has not been sent to, has a free slot. */
export function hasFreeAlternative(
  endpoints: readonly EndpointDescription[],
  {triedEndpoints}: EndpointRequirements,
  current: EndpointId,
  {clusterLoad, inFlightCounts}: ChoiceDependencies,
): boolean {
  const load = clusterLoad.isFresh ? clusterLoad : inFlightCounts;
  return endpoints.some(
    ({id, slots}) =>
      id !== current && !triedEndpoints.has(id) && load.at(id) < slots,
  );
}

/** Leaves out the endpoints that the request avoids, unless there are no others. */
export function preferUnavoided(
  endpoints: readonly EndpointDescription[],
  {avoidedEndpoints}: EndpointRequirements,
): readonly EndpointDescription[] {
  const others = endpoints.filter(({id}) => !avoidedEndpoints.has(id));
  return others.length > 0 ? others : endpoints;
}

/** Whether the same run of an endpoint is still listed, and neither drains nor has crashed. */
export function isListed(
  table: EndpointTable,
  {id, incarnation}: EndpointDescription,
): boolean {
  const listed = table.get(id);
  return (
    listed?.incarnation === incarnation &&
    !listed.isDraining &&
    !table.hasCrashed(id)
  );
}

/** Refuses a request to a service that has no endpoint for it. */
function createNoEndpointRefusal(
  {service}: EndpointRequirements,
  now: Instant,
): RefusalError {
  return createNotRunRefusal(
    ErrorCode.NoEndpoint,
    service,
    after(now, RETRY_AFTER_MILLISECONDS),
  );
}

/** What the finder for plain services would decide now. */
export function previewPlainEndpoint(
  requirements: EndpointRequirements,
  dependencies: ChoiceDependencies,
  limitDependencies: LimitDependencies,
): PlacementPreview {
  const {table, clock} = dependencies;
  const endpoints = table
    .availableFor(requirements.service)
    .filter(endpoint => meetsVersion(endpoint, requirements.version));
  const preview = previewWithinLimits(
    {
      requirements,
      serviceMilliseconds: PLAIN_SERVICE_MILLISECONDS,
      endpoints,
      weigh: open => weighByOwnLoad(open, dependencies),
      canBeAdded: false,
    },
    limitDependencies,
  );
  const refusal = createNoEndpointRefusal(requirements, clock.now());
  return {
    ...preview,
    usable: endpoints,
    decision: preview.decision ?? {kind: 'refuse', refusal},
    model: undefined,
  };
}

/** Creates a finder for plain services, whose endpoints are interchangeable. */
export function createPlainEndpointFinder(
  dependencies: ChoiceDependencies,
  limitDependencies: LimitDependencies,
): FindEndpoint {
  const {table} = dependencies;
  return async requirements => {
    const {service, triedEndpoints} = requirements;
    const choose = (
      excluded: ReadonlySet<EndpointId>,
    ): EndpointDescription | undefined => {
      const endpoints = table
        .availableFor(service)
        .filter(
          endpoint =>
            meetsVersion(endpoint, requirements.version) &&
            !triedEndpoints.has(endpoint.id) &&
            !excluded.has(endpoint.id),
        );
      return chooseLeastLoaded(
        preferUnavoided(endpoints, requirements),
        dependencies,
      );
    };
    const chosen = await chooseWithinLimits(
      {
        requirements,
        serviceMilliseconds: PLAIN_SERVICE_MILLISECONDS,
        choose,
        isUsable: endpoint => isListed(table, endpoint),
        waitForUnlimited: undefined,
      },
      limitDependencies,
    );
    if (chosen !== undefined) return chosen;
    throw createNoEndpointRefusal(requirements, dependencies.clock.now());
  };
}
