/** Placement: which engines load which models and adapters. */

export type {
  EngineAddress,
  EngineChange,
  AddressedOrder,
  EngineOrderClient,
  EngineOrderOutcome,
  EngineReport,
  OrderAuthority,
  ReportFailure,
} from './engine_order_client.js';
export type {AdapterGrant} from './adapter_cache.js';
export {GRANT_DURATION_MILLISECONDS} from './adapter_cache.js';
export type {AllocatorOptions, AvailableModels} from './allocator.js';
export {Allocator} from './allocator.js';
export type {EventGaps} from './engine_pace.js';
export {EnginePace} from './engine_pace.js';
export type {NodeUsage, InFlightRequests} from './service_demand.js';
export {ServiceDemand} from './service_demand.js';
export {EngineView, adapterKey} from './engine_view.js';
export type {ReadinessForecast} from './readiness_forecast.js';
export {LoadLimiter} from './load_limiter.js';
export type {AdapterPlacement, AdapterRequest} from './place_adapter.js';
export {placeAdapter} from './place_adapter.js';
export {PLACEMENT_EVENTS} from './placement_events.js';
export type {ModelChange, ModelPlanInput} from './plan_models.js';
export {planModels} from './plan_models.js';
export type {WaitingKey, WaitingRequests} from './waiting_requests.js';
export {addWaiting, waitingKey} from './waiting_requests.js';
