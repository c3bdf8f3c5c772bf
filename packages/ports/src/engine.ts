/** Port to a model engine: streamed generation, and orders that load or unload models. */

import type {
  AdapterName,
  FencingNumber,
  Instant,
  ModelName,
  RequestId,
} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';

/** A generation request to an engine. */
export interface GenerationRequest {
  readonly requestId: RequestId;
  readonly model: ModelName;
  readonly version: string;
  readonly adapter: AdapterName | undefined;
  /** Chat messages or a prompt, in the caller's JSON. */
  readonly input: GenerationInput;
  readonly maximumTokens: number;
  /** The engine runs requests with larger numbers first; may be 0 or negative. */
  readonly priority: number;
  readonly deadline: Instant;
  /** W3C trace context of the calling span. */
  readonly traceparent: string | undefined;
  /** Number of tokens already delivered by an interrupted stream; the engine continues after them. */
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

/** Part of a generated response. A stream without an `end` chunk was truncated. */
export type GenerationChunk =
  | {readonly kind: 'token'; readonly text: string}
  | {
      readonly kind: 'end';
      readonly reason: 'stop' | 'length';
      readonly promptTokens: number;
      readonly completionTokens: number;
    };

/** Change that an order makes at an engine. */
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
  /** Loads and unloads nothing; the engine rejects smaller fencing numbers from then on. */
  | {readonly kind: 'fence'};

/** An order with a fencing token; an engine that checks fencing rejects stale orders. */
export interface EngineOrder {
  readonly action: OrderAction;
  readonly fencingNumber: FencingNumber;
  readonly deadline: Instant;
}

/** A model that an engine has loaded or is loading. */
export interface EngineModel {
  readonly model: ModelName;
  readonly version: string;
  readonly state: 'loading' | 'ready';
  readonly memoryBytes: number;
  /** Number of requests running on this model. */
  readonly running: number;
}

/** Storage tier from which an engine loads a checkpoint. */
export type CacheTier = 'memory' | 'disk' | 'remote';

/** Status reported by an engine; may be out of date. */
export interface EngineStatus {
  /** Identity of the engine process; changes at every start. */
  readonly incarnation: string;
  /** Whether the engine has announced that it is about to stop. */
  readonly isLeaving: boolean;
  /** Total memory of the engine. */
  readonly memoryBytes: number;
  readonly models: readonly EngineModel[];
  readonly adapters: readonly AdapterName[];
  readonly running: number;
  readonly queued: number;
  /** Maximum number of requests that run at the same time. */
  readonly slots: number;
  /** Tiers of the checkpoints cached closer than the weight store, by `model@version`. */
  readonly cached: Readonly<Record<string, CacheTier>>;
  readonly highestFencingNumber: FencingNumber;
  readonly reportedAt: Instant;
}

/** A change in an engine's prefix cache; events may be late or missing. */
export interface CacheEvent {
  /** Increases with every event of the engine. */
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: string;
}

/** Client of one engine. */
export interface Engine {
  /**
   * Streams a response. Throws {@link EndpointUnreachableError} (not run),
   * {@link EndpointBusyError} (not run), {@link EndpointFailedError} (ran),
   * {@link AnswerCutError} (ended early). Aborting `signal` cancels at the engine.
   */
  generate(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<GenerationChunk>;
  /**
   * Resolves when the engine has carried out the order. Throws {@link StaleOrderError},
   * {@link OrderRefusedError}; after any other failure, the outcome is unknown.
   */
  order(order: EngineOrder, signal: AbortSignal): Promise<void>;
  /** Reads the status of the engine. */
  status(signal: AbortSignal): Promise<EngineStatus>;
  /** Reads the prefix cache events after `sequence`. */
  cacheEvents(
    sequence: number,
    signal: AbortSignal,
  ): Promise<readonly CacheEvent[]>;
}

/** The endpoint was not reached; the request did not run. */
export class EndpointUnreachableError extends SiskinmuxError {
  constructor(detail: string, options?: ErrorOptions) {
    super(ErrorCode.EndpointUnreachable, detail, options);
  }
}

/** The endpoint rejected the request before running it. */
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

/** The request was sent, and no complete response tells whether it ran. */
export class AnswerCutError extends SiskinmuxError {
  constructor(detail: string, options?: ErrorOptions) {
    super(ErrorCode.AnswerCut, detail, options);
  }
}

/** The engine has seen a larger fencing number; the order can no longer take effect. */
export class StaleOrderError extends SiskinmuxError {
  constructor(readonly highest: FencingNumber) {
    super(ErrorCode.StaleOrder, `highest seen is ${highest}`);
  }
}

/** The engine rejected an order for a reason other than fencing; nothing changed. */
export class OrderRefusedError extends SiskinmuxError {
  constructor(detail: string) {
    super(ErrorCode.OrderRefused, detail);
  }
}
