/** Placement: which engine holds which models and adapters. */

export type {
  EngineAddress,
  EngineOrder,
  EngineOrderClient,
  EngineReport,
  HoldingChange,
  OrderAuthority,
  OrderOutcome,
} from './engine_orders.js';
export type {AdapterGrant} from './adapter_cache.js';
export {GRANT_MILLISECONDS} from './adapter_cache.js';
export type {AllocatorOptions, EngineHolding} from './allocator.js';
export {Allocator} from './allocator.js';
export type {NodeUsage, RunningRequests} from './demand_book.js';
export {DemandBook} from './demand_book.js';
export {EngineBook, adapterKey} from './engine_book.js';
export type {Forecast} from './forecast.js';
export {LoadCeiling} from './load_ceiling.js';
export type {AdapterNeed, AdapterPlacement} from './place_adapter.js';
export {placeAdapter} from './place_adapter.js';
export {PLACEMENT_EVENTS} from './placement_events.js';
export type {ModelChange, ModelPlanInput} from './plan_models.js';
export {planModels} from './plan_models.js';
export type {WaitingRequests} from './waiting_requests.js';
export {addWaiting} from './waiting_requests.js';
