/** Port to a model engine: generation as a stream, and orders that change what is loaded. */

import type {
  AdapterName,
  FencingNumber,
  Instant,
  ModelName,
  RequestId,
} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';

/** A generation request as an engine takes it. */
export interface GenerationRequest {
  readonly requestId: RequestId;
  readonly model: ModelName;
  readonly version: string;
  readonly adapter: AdapterName | undefined;
  /** Chat messages or a prompt, in the caller's JSON. */
  readonly input: GenerationInput;
  readonly maximumTokens: number;
  /** Larger numbers go first at the engine. */
  readonly priority: number;
  readonly deadline: Instant;
  /** W3C trace context of the caller's hop. */
  readonly traceparent: string | undefined;
  /** Tokens that an earlier, cut stream already delivered; the engine goes on behind them. */
  readonly resumeAfter: number;
}

/** Either chat messages or one prompt. */
export type GenerationInput =
  | {readonly kind: 'chat'; readonly messages: readonly ChatMessage[]}
  | {readonly kind: 'prompt'; readonly prompt: string};

/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** A part of a generated answer. A stream without an `end` was cut. */
export type GenerationChunk =
  | {readonly kind: 'token'; readonly text: string}
  | {
      readonly kind: 'end';
      readonly reason: 'stop' | 'length';
      readonly promptTokens: number;
      readonly completionTokens: number;
    };

/** What an order asks of an engine. */
export type OrderAction =
  | {
      readonly kind: 'load_model';
      readonly model: ModelName;
      readonly version: string;
      readonly memoryBytes: number;
    }
  | {
      readonly kind: 'unload_model';
      readonly model: ModelName;
      readonly version: string;
    }
  | {
      readonly kind: 'load_adapter';
      readonly model: ModelName;
      readonly adapter: AdapterName;
    }
  | {readonly kind: 'unload_adapter'; readonly adapter: AdapterName}
  /** Changes nothing; makes the engine refuse all smaller fencing numbers. */
  | {readonly kind: 'fence'};

/** An order under a fencing number; an engine that checks refuses smaller ones. */
export interface EngineOrder {
  readonly action: OrderAction;
  readonly fencingNumber: FencingNumber;
  readonly deadline: Instant;
}

/** A model that an engine holds or is loading. */
export interface EngineModel {
  readonly model: ModelName;
  readonly version: string;
  readonly state: 'loading' | 'ready';
  readonly memoryBytes: number;
  /** Requests that run on this model now. */
  readonly running: number;
}

/** Where a checkpoint is cached on an engine's host. */
export type CacheTier = 'memory' | 'disk' | 'remote';

/** An engine's own report; it may lag. */
export interface EngineStatus {
  /** Changes with each start of the engine process. */
  readonly incarnation: string;
  readonly isLeaving: boolean;
  readonly memoryBytes: number;
  readonly models: readonly EngineModel[];
  readonly adapters: readonly AdapterName[];
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  /** Checkpoints cached nearer than the weight store, by `model@version`. */
  readonly cached: Readonly<Record<string, CacheTier>>;
  readonly highestFencingNumber: FencingNumber;
  readonly reportedAt: Instant;
}

/** A change in an engine's prefix cache; delivered late and with gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: string;
}

/** One engine as the system uses it. */
export interface Engine {
  /**
   * Streams an answer. Throws {@link EndpointUnreachableError} (not run),
   * {@link EndpointBusyError} (not run), {@link EndpointFailedError} (ran),
   * {@link AnswerCutError} (ended early). Aborting `signal` cancels at the engine.
   */
  generate(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<GenerationChunk>;
  /**
   * Carries out an order and resolves when done. Throws {@link StaleOrderError},
   * {@link OrderRefusedError}; any other failure leaves the order's fate unknown.
   */
  order(order: EngineOrder, signal: AbortSignal): Promise<void>;
  /** The engine's own report. */
  status(signal: AbortSignal): Promise<EngineStatus>;
  /** Prefix cache events after `sequence`. */
  cacheEvents(
    sequence: number,
    signal: AbortSignal,
  ): Promise<readonly CacheEvent[]>;
}

/** The endpoint was not reached: nothing ran. */
export class EndpointUnreachableError extends SiskinmuxError {
  constructor(detail: string, options?: ErrorOptions) {
    super(ErrorCode.EndpointUnreachable, detail, options);
  }
}

/** The endpoint refused before running: nothing ran. */
export class EndpointBusyError extends SiskinmuxError {
  constructor(detail: string) {
    super(ErrorCode.EndpointBusy, detail);
  }
}

/** The endpoint ran the request and reported a failure. */
export class EndpointFailedError extends SiskinmuxError {
  constructor(
    detail: string,
    readonly status: number,
  ) {
    super(ErrorCode.EndpointFailed, detail);
  }
}

/** The connection ended after the request was sent and before the answer was whole. */
export class AnswerCutError extends SiskinmuxError {
  constructor(detail: string, options?: ErrorOptions) {
    super(ErrorCode.AnswerCut, detail, options);
  }
}

/** The engine has seen a larger fencing number; the order can't land any more. */
export class StaleOrderError extends SiskinmuxError {
  constructor(readonly highest: FencingNumber) {
    super(ErrorCode.StaleOrder, `highest seen is ${highest}`);
  }
}

/** The engine refused an order for a reason of its own; it changed nothing. */
export class OrderRefusedError extends SiskinmuxError {
  constructor(detail: string) {
    super(ErrorCode.OrderRefused, detail);
  }
}
