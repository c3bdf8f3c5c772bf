/** Ports to the external systems; adapters for each platform implement them. */

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
export type {KnownObject, ObjectChange} from './object_history.js';
export {compareWithKnown} from './object_history.js';
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
  ExecutionReport,
  PlainService,
  ServiceCall,
  ServiceResponse,
} from './plain_service.js';
export type {WeightStore, WeightStoreReport} from './weight_store.js';
export type {
  MetadataChange,
  MetadataChangeBatch,
  MetadataListing,
  MetadataObject,
  MetadataStore,
  ReadOptions,
} from './metadata_store.js';
export {ChangesTooLongError, HistoryGoneError} from './metadata_store.js';
export type {EraObserver} from './era_tracker.js';
export {EraTracker} from './era_tracker.js';
export {NOT_RUN_HEADER} from './not_run_header.js';
