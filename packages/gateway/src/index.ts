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
/** @internal For benchmarks. */
export {ActiveRoutes} from './active_routes.js';
export {ChangeFeed, encodeFeedUpdate, feedUpdateSchema} from './change_feed.js';
export {PlatformView} from './platform_view.js';
export {viewAgeLimits} from './view_age_limits.js';
