/** Finds the route of a request: by host, then by the longest path prefix. */

import type {ServiceName} from '@siskinmux/kernel';
import type {Route, RouteConfiguration} from './route.js';

/** The routes of one configuration, arranged for look-up. */
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

  /** The route that takes a request; undefined when none does. `target` is path and query. */
  find(host: string | undefined, target: string): Route | undefined {
    if (host === undefined) return undefined;
    const [path = ''] = target.split('?', 1);
    return this.byHost
      .get(hostName(host))
      ?.find(route => path.startsWith(route.pathPrefix));
  }
}

function hostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/**
 * The service that a request goes to. `point`, from 0 to 1, falls into the targets'
 * shares; a route whose shares are all 0 has none.
 */
export function pickTarget(
  route: Route,
  point: number,
): ServiceName | undefined {
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let rest = point * total;
  for (const {service, weight} of route.targets) {
    if (weight <= 0) continue;
    if (rest < weight) return service;
    rest -= weight;
  }
  return route.targets.findLast(({weight}) => weight > 0)?.service;
}
