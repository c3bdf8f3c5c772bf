/** The gateway: the product's processes between callers and endpoints of a platform. */

export type {GatewayPlatform, StoreConnection} from './gateway_platform.js';
export type {GatewayOptions} from './gateway_node.js';
export {checkGatewaySettings} from './check_settings.js';
export {GatewayNode} from './gateway_node.js';
export {GATEWAY_EVENTS, gatewayEventsPage} from './gateway_events.js';
