/** The gateway: the proxy process between callers and endpoints. */

export type {
  GatewayPlatform,
  StoreConnectionOptions,
} from './gateway_platform.js';
export type {GatewayOptions} from './gateway_node.js';
export {checkGatewaySettings} from './check_settings.js';
export {GatewayNode} from './gateway_node.js';
export type {GatewayProcessOptions} from './run_gateway.js';
export {runGateway} from './run_gateway.js';
export {GATEWAY_EVENTS, gatewayEventsPage} from './gateway_events.js';
export {createTeamQuotaMetrics} from './team_quota_metrics.js';
export type {TeamRequest} from './team_quotas.js';
export {TeamQuotas, requestCost} from './team_quotas.js';
export type {
  WhereAnswer,
  WhereCandidate,
  WhereDecision,
  WhereModel,
  WhereQuota,
  WhereRoute,
  WhereTeam,
} from './where_answer.js';
/** @internal For benchmarks. */
export {ActiveRoutes} from './active_routes.js';
export {AllocatorServer} from './allocator_server.js';
export {ChangeFeed, encodeFeedUpdate, feedUpdateSchema} from './change_feed.js';
export {ClusterLoad} from './cluster_load.js';
export {createPlainEndpointFinder} from './endpoint_choice.js';
export {EndpointLimits} from './endpoint_limits.js';
export {EndpointPauses} from './endpoint_pauses.js';
export {InFlightCounts} from './in_flight_counts.js';
export {
  LeavingEndpoints,
  decodeLeaving,
  encodeLeaving,
  leavingSchema,
} from './leaving_endpoints.js';
export {PeerConnection} from './peer_connection.js';
export {PEER_METHODS} from './placement_messages.js';
export {PlatformView} from './platform_view.js';
export {SendPermits} from './send_permits.js';
export {viewAgeLimits} from './view_age_limits.js';
