/** Port to the orders that change what an engine holds, and to its reports. */

import type {
  AdapterName,
  EndpointId,
  FencingNumber,
  Instant,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import type {LoadedModel, WeightCopies} from '@siskinmux/endpoints';

/** An engine, by the name and address that an order has to reach. */
export interface EngineAddress {
  readonly id: EndpointId;
  readonly address: string;
}

/** What an order changes: a model, or one adapter of a model that is held. */
export interface HoldingChange {
  readonly operation: 'load' | 'unload';
  readonly model: ModelName;
  readonly adapter: AdapterName | undefined;
}

/** Who orders, and with which right. */
export interface OrderAuthority {
  readonly holder: NodeId;
  readonly fencingNumber: FencingNumber;
}

/** An order as it is sent. */
export interface EngineOrder extends OrderAuthority {
  readonly engine: EngineAddress;
  readonly change: HoldingChange;
  /** The engine carries the order out only if it has accepted this many before. */
  readonly expectedOrderCount: number | undefined;
}

/**
 * What became of an order. `accepted` is under way, `done` holds already, `refused`
 * changed nothing and says that another order is under way or the count differs,
 * `fenced` was overruled by a later holder, `invalid` was not understood,
 * `other_endpoint` reached another engine, and `unknown` may still be carried out.
 */
export type OrderOutcome =
  | 'accepted'
  | 'done'
  | 'refused'
  | 'fenced'
  | 'invalid'
  | 'other_endpoint'
  | 'unknown';

/** An engine's own report; some hundred milliseconds old. */
export interface EngineReport {
  readonly models: readonly LoadedModel[];
  /** Adapters on their way to the engine. */
  readonly loadingAdapters: readonly {
    readonly model: ModelName;
    readonly adapter: AdapterName;
  }[];
  readonly copies: WeightCopies | undefined;
  /** Whether an order for a model is under way. */
  readonly isBusy: boolean;
  readonly orderCount: number;
  readonly queued: number;
  readonly running: number;
  readonly usedTokens: number;
  readonly totalTokens: number;
}

/** Engines as the allocator uses them. */
export interface EngineOrderClient {
  /** Never throws; a failure without an answer is `unknown`. */
  send(order: EngineOrder, until: Instant): Promise<OrderOutcome>;
  /** Undefined when the engine gave no readable answer by `until`. */
  report(
    engine: EngineAddress,
    until: Instant,
  ): Promise<EngineReport | undefined>;
}
