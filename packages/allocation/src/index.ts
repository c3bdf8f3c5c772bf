/** Allocation: which models and adapters are loaded where, within the operators' bounds. */

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
export type {PlannedOrder, Refusal} from './allocation_draft.js';
export {ALLOCATION_EVENTS} from './allocation_events.js';
export {AllocationLostError, AllocationStore} from './allocation_store.js';
export {COLD_START_FACTOR} from './demand_book.js';
export type {DomainAllocatorOptions} from './domain_allocator.js';
export {DomainAllocator} from './domain_allocator.js';
export type {HostSighting} from './engine_watcher.js';
export type {
  ExchangeAnswer,
  ExchangeMessage,
  NodeDemand,
  RefusalView,
  ReplicaView,
  ReservationReport,
} from './exchange.js';
export type {Demand, EngineView, PlanFacts} from './facts.js';
export {fromGibibytes, fromMebibytes} from './facts.js';
export type {KeepAliveCosts, KeepAlivePolicy} from './keep_alive.js';
export {KeepAlive} from './keep_alive.js';
export type {AllocationPlan} from './plan_allocation.js';
export {mergeDemands} from './merge_demands.js';
export {DRAIN_NOTICE_MILLISECONDS, planAllocation} from './plan_allocation.js';
export type {OrderEnd, OrderResult} from './settle_order.js';
export {ORDER_SETTLE_MILLISECONDS} from './settle_order.js';
