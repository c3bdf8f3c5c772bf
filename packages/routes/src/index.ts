/**
 * Routes, services and engines as declared by operators, and matching of requests to
 * routes.
 */

export type {
  CallerLimits,
  EngineDeclaration,
  ServiceModel,
  Route,
  RouteConfiguration,
  RouteKind,
  RouteName,
  RouteTarget,
  RouteVersion,
  RoutedService,
  WeightTier,
} from './route.js';
export {
  firstEventTimeoutMilliseconds,
  inactivityTimeoutMilliseconds,
  isRetryable,
} from './route.js';
export type {Team, TeamDeclarations, TeamQuota} from './team.js';
export {TeamDirectory, digestApiKey} from './team.js';
export {RouteTable, pickTarget} from './route_table.js';
