/** Routes: what operators declare, and which route takes a request. */

export type {
  CallerLimits,
  EngineDeclaration,
  ModelDeclaration,
  Route,
  RouteConfiguration,
  RouteKind,
  RouteName,
  RouteTarget,
  RouteVersion,
  ServiceDeclaration,
  WeightTier,
} from './route.js';
export {
  firstEventTimeoutMilliseconds,
  isRetryable,
  inactivityTimeoutMilliseconds,
} from './route.js';
export {RouteTable, pickTarget} from './route_table.js';
