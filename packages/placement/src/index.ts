/** Placement: which engine holds which models and adapters. */

export type {
  EngineAddress,
  EngineOrder,
  EngineOrders,
  EngineReport,
  HoldingChange,
  OrderAuthority,
  OrderOutcome,
} from './engine_orders.js';
