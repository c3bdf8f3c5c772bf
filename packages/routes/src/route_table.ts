/** Matches requests to routes: by host name, then by the longest path prefix. */

import type {ServiceName} from '@siskinmux/kernel';
import type {Route, RouteConfiguration} from './route.js';

/** The routes of one configuration, indexed by host name. */
export class RouteTable {
  private constructor(
    private readonly byHost: ReadonlyMap<string, readonly Route[]>,
  ) {}

  static create(configuration: RouteConfiguration): RouteTable {
    const byHost = new Map<string, Route[]>();
    for (const route of configuration.routes) {
      const routes = byHost.get(route.host) ?? [];
      routes.push(route);
      byHost.set(route.host, routes);
    }
    for (const routes of byHost.values()) {
      routes.sort(
        (left, right) => right.pathPrefix.length - left.pathPrefix.length,
      );
    }
    return new RouteTable(byHost);
  }

  /** The route that matches a request, if any; `target` is its path and query. */
  find(host: string | undefined, target: string): Route | undefined {
    if (host === undefined) return undefined;
    const [path = ''] = target.split('?', 1);
    return this.byHost
      .get(normalizeHost(host))
      ?.find(route => path.startsWith(route.pathPrefix));
  }
}

function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/**
 * Selects a target of a route in proportion to the weights; `fraction` is a random number
 * from 0 to 1. Undefined when all weights are 0.
 */
export function pickTarget(
  route: Route,
  fraction: number,
): ServiceName | undefined {
  const totalWeight = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = fraction * totalWeight;
  for (const {service, weight} of route.targets) {
    if (weight <= 0) continue;
    if (remaining < weight) return service;
    remaining -= weight;
  }
  return route.targets.findLast(({weight}) => weight > 0)?.service;
}
