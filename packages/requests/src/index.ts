/** The request path: from a caller's request to an endpoint's answer, or a true refusal. */

export type {CrashWatchOptions} from './crash_watch.js';
export {RequestQuarantine} from './crash_watch.js';
export type {DemandEntry} from './demand_tracker.js';
export {DemandTracker} from './demand_tracker.js';
export type {DispatcherOptions, Option, SlotRequest} from './dispatcher.js';
export {Dispatcher} from './dispatcher.js';
export type {Slot, SlotEnd} from './endpoint_pool.js';
export {EndpointPool} from './endpoint_pool.js';
export type {ReplicaExchangeOptions} from './replica_exchange.js';
export {ReplicaExchange} from './replica_exchange.js';
export type {KnownReplica} from './replica_table.js';
export {ReplicaTable} from './replica_table.js';
export {ENDPOINT_DIED, REQUEST_EVENTS} from './request_events.js';
export type {ServiceReply, ServiceRequest} from './service_journey.js';
export type {ServiceRequestsOptions} from './service_requests.js';
export {ServiceRequests} from './service_requests.js';
export type {
  DispatchHop,
  StartSpan,
  TextRequest,
  TextRequestsOptions,
} from './text_requests.js';
export {TextRequests} from './text_requests.js';
