/** Chooses an endpoint for a request, among those that can take it now. */

import type {
  AdapterName,
  Clock,
  EndpointId,
  FailureDomain,
  Instant,
  ModelName,
  Random,
  ServiceName,
} from '@siskinmux/kernel';
import {ErrorCode, after, randomBelow, refuseNotRun} from '@siskinmux/kernel';
import type {EndpointDescription, EndpointTable} from '@siskinmux/endpoints';
import type {OutlierDetector} from '@siskinmux/routing';
import {CROSS_DOMAIN_COST, chooseEndpoint} from '@siskinmux/routing';
import type {ClusterLoad} from './shared_load.js';
import type {LoadBook} from './load_book.js';

/** When a caller may come back to a service that has no endpoint; one may register meanwhile. */
const RETURN_MILLISECONDS = 500;

/** What a request needs. */
export interface EndpointNeed {
  readonly service: ServiceName;
  readonly model: ModelName | undefined;
  readonly adapter: AdapterName | undefined;
  /** Endpoints that have had this request. */
  readonly excluded: ReadonlySet<EndpointId>;
  /** From then on the answer is of no use to the caller. */
  readonly uselessAt: Instant;
  /** Rank of the request's route; 0 goes first. */
  readonly priority: number;
  /** Whether this is the first look for the request. */
  readonly isFirst: boolean;
  /** Aborted when the request has ended. */
  readonly cancelled: AbortSignal;
}

/** Finds an endpoint; throws a `RefusalError` when none can serve in time. */
export type FindEndpoint = (need: EndpointNeed) => Promise<EndpointDescription>;

/** What choosing depends on. */
export interface ChoiceDependencies {
  readonly table: EndpointTable;
  readonly load: LoadBook;
  readonly outliers: OutlierDetector;
  readonly clock: Clock;
  readonly random: Random;
  readonly failureDomain: FailureDomain;
  /** What runs over all nodes, where many of them share the endpoints. */
  readonly clusterLoad: ClusterLoad;
}

/** The least loaded of some endpoints, those that fail lately left out where possible. */
export function leastLoaded(
  endpoints: readonly EndpointDescription[],
  surroundings: ChoiceDependencies,
): EndpointDescription | undefined {
  const {load, clock, random, failureDomain} = surroundings;
  const candidates = withoutOutliers(endpoints, surroundings).map(endpoint => ({
    endpoint: endpoint.id,
    failureDomain: endpoint.failureDomain,
    inFlight: load.at(endpoint.id),
    limit: endpoint.slots,
    reportedLoad: 0,
    reportedAt: undefined,
    slots: endpoint.slots,
    hasAdapter: true,
    isPrefixHome: true,
  }));
  const now = clock.now();
  const chosen = chooseEndpoint(candidates, {now, failureDomain, random});
  return endpoints.find(({id}) => id === chosen?.endpoint);
}

/**
 * An engine by what runs over all nodes, where that is known: the better of two that are
 * drawn. The figures are some hundred milliseconds old, and all nodes would go to the
 * one least loaded together.
 */
export function chooseEngine(
  engines: readonly EndpointDescription[],
  surroundings: ChoiceDependencies,
): EndpointDescription | undefined {
  const {clusterLoad: shared, random, failureDomain} = surroundings;
  if (!shared.isKnown) return leastLoaded(engines, surroundings);
  const usable = withoutOutliers(engines, surroundings);
  const draw = (): EndpointDescription | undefined =>
    usable[randomBelow(random, usable.length)];
  const cost = (engine: EndpointDescription): number =>
    shared.at(engine.id) / engine.slots +
    (engine.failureDomain === failureDomain ? 0 : CROSS_DOMAIN_COST);
  const first = draw();
  const second = draw();
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

/** Chooses for plain services: any endpoint will do. */
export function findPlainEndpoint(
  surroundings: ChoiceDependencies,
): FindEndpoint {
  return async need => {
    const endpoints = surroundings.table
      .usable(need.service)
      .filter(({id}) => !need.excluded.has(id));
    const chosen = leastLoaded(endpoints, surroundings);
    if (chosen !== undefined) return chosen;
    throw refuseNotRun(
      ErrorCode.NoEndpoint,
      need.service,
      after(surroundings.clock.now(), RETURN_MILLISECONDS),
    );
  };
}
