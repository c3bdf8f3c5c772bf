/** Decides by which route a request is served, or as what it is refused. */

import type {Instant, Milliseconds, RefusalError} from '@siskinmux/kernel';
import {ErrorCode, after, createNotRunRefusal} from '@siskinmux/kernel';
import type {Route, RouteConfiguration} from '@siskinmux/routes';
import type {RouteSnapshot} from './active_routes.js';
import type {CallerIdentity, Credentials} from './caller_identity.js';
import {identifyCaller} from './caller_identity.js';

/** `Retry-After` while the node has no current routes or is shutting down. */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 500;

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
export interface RequestTarget extends Credentials {
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
      readonly caller: CallerIdentity;
    }
  | {readonly kind: 'refused'; readonly code: ErrorCode}
  | {readonly kind: 'undecided'};

/** Refuses a request for which no route was found. */
export function createRouteRefusal(
  code: ErrorCode,
  now: Instant,
): RefusalError {
  return createNotRunRefusal(code, '', after(now, RETRY_AFTER_MILLISECONDS));
}

/**
 * Finds the route of a request, and whose request it is. Outdated routes and keys are still used,
 * but don't show that a route or a key doesn't exist.
 */
export function decideRoute(
  {routes, isCurrent, isDecidable}: RouteKnowledge,
  request: RequestTarget,
): RouteDecision {
  const route = routes?.table.find(request.host, request.target);
  const caller = route && identifyCaller(routes?.teams, route, request);
  if (routes !== undefined && caller === undefined && isCurrent) {
    const code =
      route === undefined ? ErrorCode.UnknownTarget : ErrorCode.Unauthenticated;
    return {kind: 'refused', code};
  }
  if (!isDecidable) return {kind: 'undecided'};
  if (routes === undefined || route === undefined || caller === undefined)
    return {kind: 'refused', code: ErrorCode.ConfigurationUnavailable};
  return {kind: 'found', route, configuration: routes.configuration, caller};
}
