/** Stand-ins for the platform and the endpoints, for tests, benchmarks and the demo. */

export type {
  EngineObservation,
  EngineStandInOptions,
} from './engine_stand_in.js';
export {
  CRASH_MARKER,
  EngineStandIn,
  completionWords,
} from './engine_stand_in.js';
export {HostListStandIn} from './host_list_stand_in.js';
export type {
  ObjectServiceCopy,
  ObjectServiceCounts,
  ObjectServiceFaults,
  ObjectServiceRateLimits,
} from './object_service_stand_in.js';
export {ObjectServiceStandIn} from './object_service_stand_in.js';
export type {PlainServiceFaults} from './plain_service_stand_in.js';
export {PlainServiceStandIn, ServiceRecords} from './plain_service_stand_in.js';
export {serveEngine} from './serve_engine.js';
export {serveObjectService} from './serve_object_service.js';
export {servePlainService} from './serve_plain_service.js';
export {serveWeightStore} from './serve_weight_store.js';
export {WeightStoreStandIn} from './weight_store_stand_in.js';
