/** Decides by which route a request is served, or as what it is refused. */

import {ErrorCode} from '@siskinmux/kernel';
import type {Route, RouteConfiguration} from '@siskinmux/routes';
import type {RouteSnapshot} from './active_routes.js';

/** What a node knows of the routes. */
export interface RouteKnowledge {
  /** Undefined until the first configuration has been read. */
  readonly routes: RouteSnapshot | undefined;
  /** Whether the node knows every change that has to be in force. */
  readonly isCurrent: boolean;
  /** Whether requests may be served by what is known; see `PlatformView`. */
  readonly isDecidable: boolean;
}

/** What a request asks for. */
export interface RequestTarget {
  readonly host: string | undefined;
  /** Path and query. */
  readonly target: string;
}

/**
 * A route and the configuration that it is part of, or the code of a refusal; undecided if
 * the next read of the store may decide otherwise.
 */
export type RouteDecision =
  | {
      readonly kind: 'found';
      readonly route: Route;
      readonly configuration: RouteConfiguration;
    }
  | {readonly kind: 'refused'; readonly code: ErrorCode}
  | {readonly kind: 'undecided'};

/**
 * Finds the route of a request. Outdated routes are still used, but don't show that a route
 * doesn't exist.
 */
export function decideRoute(
  {routes, isCurrent, isDecidable}: RouteKnowledge,
  {host, target}: RequestTarget,
): RouteDecision {
  const route = routes?.table.find(host, target);
  if (routes !== undefined && route === undefined && isCurrent)
    return {kind: 'refused', code: ErrorCode.UnknownTarget};
  if (!isDecidable) return {kind: 'undecided'};
  if (routes === undefined || route === undefined)
    return {kind: 'refused', code: ErrorCode.ConfigurationUnavailable};
  return {kind: 'found', route, configuration: routes.configuration};
}
