/** The narrow ports to everything outside the system. Each has one adapter. */

export type {
  ExpectedVersion,
  ObjectListing,
  ObjectService,
  StoredObject,
} from './object_service.js';
export {
  MAXIMUM_VALUE_BYTES,
  PlatformBusyError,
  PlatformUnavailableError,
  StoredObjectInvalidError,
  ValueTooLargeError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from './object_service.js';
export type {HostList, HostState, ListedHost} from './host_list.js';
export type {
  CacheEvent,
  CacheTier,
  ChatMessage,
  Engine,
  EngineModel,
  EngineOrder,
  EngineStatus,
  GenerationChunk,
  GenerationInput,
  GenerationRequest,
  OrderAction,
} from './engine.js';
export {
  AnswerCutError,
  EndpointBusyError,
  EndpointFailedError,
  EndpointUnreachableError,
  OrderRefusedError,
  StaleOrderError,
} from './engine.js';
export type {
  PlainService,
  RunReport,
  ServiceResponse,
  ServiceCall,
} from './plain_service.js';
export type {WeightStore, WeightStoreReport} from './weight_store.js';
export type {
  ObjectStore,
  StoreChange,
  StoreChanges,
  StoreListing,
  StoreObject,
} from './object_store.js';
export {HistoryGoneError} from './object_store.js';
