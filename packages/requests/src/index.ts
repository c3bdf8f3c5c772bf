/** Request processing: admission, dispatch to endpoints, retries and refusals. */

export type {TrackedDemand} from './demand_tracker.js';
export {DemandTracker} from './demand_tracker.js';
export type {
  DispatchCandidate,
  DispatcherOptions,
  SlotRequest,
} from './dispatcher.js';
export {Dispatcher} from './dispatcher.js';
export type {Slot, SlotEndReason} from './endpoint_pool.js';
export {EndpointPool} from './endpoint_pool.js';
export type {ReplicaExchangeOptions} from './replica_exchange.js';
export {ReplicaExchange} from './replica_exchange.js';
export type {KnownReplica} from './replica_table.js';
export {ReplicaTable} from './replica_table.js';
export {ENDPOINT_DIED, REQUEST_EVENTS} from './request_events.js';
export type {
  BrokenGeneration,
  RequestQuarantineOptions,
} from './request_quarantine.js';
export {
  RequestQuarantine,
  requestQuarantinePolicy,
} from './request_quarantine.js';
export type {ServiceReply, ServiceRequest} from './service_call_context.js';
export type {ServiceRequestsOptions} from './service_requests.js';
export {ServiceRequests} from './service_requests.js';
export type {
  StartSpan,
  TextRequest,
  TextRequestsOptions,
  TraceSpan,
} from './text_requests.js';
export {TextRequests} from './text_requests.js';
