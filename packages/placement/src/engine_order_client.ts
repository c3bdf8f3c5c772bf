/** Port for sending load and unload orders to engines and for reading their reports. */

import type {LoadedModel, WeightCopies} from '@siskinmux/endpoints';
import type {
  AdapterName,
  EndpointId,
  FencingNumber,
  Instant,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';

/**
 * Identity and address of an engine; an order is refused if another engine has the
 * address.
 */
export interface EngineAddress {
  readonly id: EndpointId;
  readonly address: string;
}

/** Loads or unloads a model, or one adapter of a loaded model. */
export interface EngineChange {
  readonly operation: 'load' | 'unload';
  readonly model: ModelName;
  readonly adapter: AdapterName | undefined;
}

/** The lease holder in whose name an order is sent, with its fencing token. */
export interface OrderAuthority {
  readonly holder: NodeId;
  readonly fencingNumber: FencingNumber;
}

/** A load or unload order with the address of the engine that it is sent to. */
export interface AddressedOrder extends OrderAuthority {
  readonly engine: EngineAddress;
  readonly change: EngineChange;
  /**
   * The engine executes the order only if it has accepted exactly this many orders
   * before; undefined if it doesn't check the number.
   */
  readonly expectedOrderCount: number | undefined;
}

/**
 * Outcome of sending an order once. `accepted`: in progress. `done`: already in the
 * ordered state. `refused`: nothing changed, as another order is in progress, the order
 * count differs, or the order was not delivered. `fenced`: the engine has seen a later
 * term. `invalid`: the engine did not understand it. `other_endpoint`: another engine has
 * the address. `unknown`: no usable response, so the order may still be executed.
 */
export type EngineOrderOutcome =
  | 'accepted'
  | 'done'
  | 'refused'
  | 'fenced'
  | 'invalid'
  | 'other_endpoint'
  | 'unknown';

/** An engine's report of its state; lags behind by a few hundred milliseconds. */
export interface EngineReport {
  readonly models: readonly LoadedModel[];
  /** Adapters that are being loaded. */
  readonly loadingAdapters: readonly {
    readonly model: ModelName;
    readonly adapter: AdapterName;
  }[];
  readonly copies: WeightCopies | undefined;
  /** Whether a model is being loaded or unloaded. */
  readonly isBusy: boolean;
  readonly orderCount: number;
  /** Requests in the engine's queue. */
  readonly queued: number;
  /** Requests that the engine is processing. */
  readonly running: number;
  /** Occupied and total capacity of the key-value cache. */
  readonly usedTokens: number;
  readonly totalTokens: number;
}

/**
 * Why a report could not be read. `unanswered`: no whole response arrived. `too_long`: the response
 * is longer than any report. `invalid`: the engine responded with something else.
 */
export type ReportFailure = 'unanswered' | 'too_long' | 'invalid';

/** Sends orders to engines and reads their reports. */
export interface EngineOrderClient {
  /** Never throws; an order without a response by `deadline` is `unknown`. */
  send(order: AddressedOrder, deadline: Instant): Promise<EngineOrderOutcome>;
  /** Never throws; resolves by `deadline`. */
  report(
    engine: EngineAddress,
    deadline: Instant,
  ): Promise<EngineReport | ReportFailure>;
}
