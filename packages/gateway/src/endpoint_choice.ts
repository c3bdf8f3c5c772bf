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
  RequestId,
  ServiceName,
  TeamName,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  after,
  createNotRunRefusal,
  randomBelow,
} from '@siskinmux/kernel';
import type {RouteName} from '@siskinmux/routes';
import type {OutlierDetector} from '@siskinmux/routing';
import {CROSS_DOMAIN_COST, chooseEndpoint} from '@siskinmux/routing';
import type {ClusterLoad} from './cluster_load.js';
import type {InFlightCounts} from './in_flight_counts.js';
import type {LimitDependencies} from './limited_choice.js';
import {chooseWithinLimits} from './limited_choice.js';

/** `Retry-After` for a service without endpoints; one may have registered by then. */
const RETRY_AFTER_MILLISECONDS = 500;

/**
 * Load of an idle engine, as a share of its slots: a stream takes time there, too, and longer at a
 * slow engine.
 */
const IDLE_ENGINE_LOAD = 0.3;

/** Time that an endpoint of a plain service needs at least. */
const PLAIN_SERVICE_MILLISECONDS: Milliseconds = 20;

/** By what a request is ordered among those that wait for the same engines. */
export interface RequestOrdering {
  /** Undefined on a public route; all requests without a team count as one team. */
  readonly team: TeamName | undefined;
  /** Priority of the team, or what a team without one has; goes before that of the route. */
  readonly teamPriority: number;
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

/** The endpoint with the lowest load, skipping ejected outliers where possible. */
export function chooseLeastLoaded(
  endpoints: readonly EndpointDescription[],
  dependencies: ChoiceDependencies,
): EndpointDescription | undefined {
  const {inFlightCounts, clock, random, failureDomain} = dependencies;
  const candidates = withoutOutliers(endpoints, dependencies).map(endpoint => ({
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
  const now = clock.now();
  const chosen = chooseEndpoint(candidates, {now, failureDomain, random});
  return endpoints.find(({id}) => id === chosen?.endpoint);
}

/**
 * Picks the less loaded of two random engines, by the requests of all nodes. The counts
 * are a few hundred milliseconds old, so if every node picked the minimum, all of them
 * would send to the same engine. Without fresh counts, uses this node's own requests.
 */
export function chooseEngine(
  engines: readonly EndpointDescription[],
  dependencies: ChoiceDependencies,
): EndpointDescription | undefined {
  const {clusterLoad, random, failureDomain} = dependencies;
  if (!clusterLoad.isFresh) return chooseLeastLoaded(engines, dependencies);
  const usable = withoutOutliers(engines, dependencies);
  const cost = (engine: EndpointDescription): number =>
    (clusterLoad.at(engine.id) / engine.slots + IDLE_ENGINE_LOAD) *
      clusterLoad.slownessOf(engine.id) +
    (engine.failureDomain === failureDomain ? 0 : CROSS_DOMAIN_COST);
  const firstIndex = randomBelow(random, usable.length);
  // The second one is another engine, so that the slower one of two gets no request by chance.
  const offset = 1 + randomBelow(random, Math.max(1, usable.length - 1));
  const first = usable[firstIndex];
  const second = usable[(firstIndex + offset) % usable.length];
  if (first === undefined || second === undefined) return first;
  return cost(second) < cost(first) ? second : first;
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
    throw createNotRunRefusal(
      ErrorCode.NoEndpoint,
      requirements.service,
      after(dependencies.clock.now(), RETRY_AFTER_MILLISECONDS),
    );
  };
}
