/** Allocation: loads models and adapters on engines within the operators' limits. */

export type {
  Allocation,
  OpenOrder,
  Reservation,
  ReservationState,
  Subject,
} from './allocation.js';
export {
  EMPTY_ALLOCATION,
  isSameSubject,
  parseAllocation,
  replicasOf,
  reservedBytes,
} from './allocation.js';
export type {PlannedOrder, PlacementRefusal} from './allocation_draft.js';
export {ALLOCATION_EVENTS} from './allocation_events.js';
export {
  AllocationLostError,
  AllocationStore,
  AllocationWentBackError,
} from './allocation_store.js';
export type {OrderOutcome, OrderResult} from './apply_order_result.js';
export {MAXIMUM_ORDER_DELAY_MILLISECONDS} from './apply_order_result.js';
export {COLD_START_COST_FACTOR} from './demand_aggregator.js';
export type {DomainAllocatorOptions} from './domain_allocator.js';
export {DomainAllocator} from './domain_allocator.js';
export type {HostStatus} from './engine_watcher.js';
export type {
  ExchangeRequest,
  ExchangeResponse,
  NodeDemand,
  PlacementRefusalView,
  ReplicaView,
  ReservationReport,
} from './exchange.js';
export type {KeepAliveCosts, KeepAlivePolicy} from './keep_alive.js';
export {HistogramKeepAlive} from './keep_alive.js';
export {mergeDemands} from './merge_demands.js';
export type {AllocationPlan} from './plan_allocation.js';
export {
  DRAIN_PROPAGATION_MILLISECONDS,
  planAllocation,
} from './plan_allocation.js';
export type {Demand, EngineSnapshot, PlanInput} from './plan_input.js';
export {fromGibibytes, fromMebibytes} from './plan_input.js';
