/** A siskinmux node, assembled from its plug-ins. */

export type {NodeOptions} from './siskinmux_node.js';
export {CORE_PLUGINS, SiskinmuxNode} from './siskinmux_node.js';
export {ALLOCATION} from './allocation_task.js';
export {CONFIGURATION} from './configuration_task.js';
export type {EndpointAdapters} from './endpoint_adapters.js';
export {ENDPOINTS, EndpointNotDeclaredError} from './endpoint_adapters.js';
export {LEDGER} from './ledger_plugin.js';
export {EMIT_EVENT, createLogPlugin} from '@siskinmux/runtime';
export {MEMBERSHIP} from './membership_task.js';
export {METRICS, metricsRegistryPlugin} from '@siskinmux/runtime';
export type {NodeIdentity} from '@siskinmux/runtime';
export {NODE_IDENTITY} from '@siskinmux/runtime';
export type {PeerTraffic, PeerTransport, ReceiveMessage} from './peers.js';
export {PEERS, createPeersPlugin} from './peers.js';
export type {Platform} from './platform.js';
export {PLATFORM, providePlatform} from './platform.js';
export type {RequestHandlers} from './requests_plugin.js';
export {REQUESTS} from './requests_plugin.js';
export type {WriteLine} from '@siskinmux/runtime';
export {NODE_EVENTS} from './node_events.js';
export {
  DEADLINE_HEADER,
  IDEMPOTENCY_HEADER,
  PRIORITY_HEADER,
  TIMEOUT_HEADER,
} from './caller_request.js';
export {createTracingPlugin} from '@siskinmux/runtime';
export type {AllocationReport} from './allocation_task.js';
export {errorsPage, eventsPage} from './catalogue_pages.js';
export {PROBLEM_MEDIA_TYPE} from './problem.js';
