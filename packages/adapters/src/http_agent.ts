/** Connections and memory that the own calls of a process share. */

import type {BufferHolder} from '@siskinmux/forwarding';
import {BufferBudget} from '@siskinmux/forwarding';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';
import type {Client, Dispatcher} from 'undici';
import {Agent, Pool, errors} from 'undici';
import {createClient} from './http_connection.js';
import {LongResponsePacer} from './long_response_pacer.js';
import {steadyClock} from './steady_clock.js';

/** Applies to opening a connection only; a request's `signal` limits its duration. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Idle timeout, shorter than the servers' own: a request sent on a connection that the
 * server is closing is lost.
 */
const KEEP_ALIVE_MILLISECONDS = 2_000;

/** Maximum number of connections to one origin. */
const CONNECTIONS_PER_ORIGIN = 256;

/** No list, response of a service or stream of this size is expected. */
export const MAXIMUM_RESPONSE_BYTES = 16_777_216;

/** Two of the longest responses, or some thousand reports. */
const DEFAULT_MEMORY_BYTES = 33_554_432;

/** Why a response was given up: longer than any of its kind, or no memory left for it. */
export type DropReason = 'too_long' | 'no_memory';

/** A response that was given up, and whose connection was closed. */
export interface DroppedResponse {
  /** Scheme, address and port of the server. */
  readonly origin: string;
  readonly reason: DropReason;
  /** Whether the server's last response was dropped for the same reason. */
  readonly isRepeated: boolean;
}

/** Options of {@link HttpAgent}. */
export interface HttpAgentOptions {
  readonly tls?: Readonly<{ca?: string; cert?: string; key?: string}>;
  /** Most bytes that all responses being read take together. */
  readonly memoryBytes?: number;
  readonly onResponseDropped?: (response: DroppedResponse) => void;
  /** Sees all requests and responses. */
  readonly interceptor?: Dispatcher.DispatcherComposeInterceptor;
}

/** All responses that are being read take the memory that the process has for them. */
export class ResponsesFullError extends SiskinmuxError {
  constructor(detail: string) {
    super(ErrorCode.ResponsesFull, detail);
  }
}

/** Connection pool of a process's own calls, and the memory for their responses. */
export class HttpAgent {
  /** @internal */
  readonly dispatcher: Dispatcher;
  private readonly budget: BufferBudget;
  /** By origin; only servers whose last response was dropped. */
  private readonly dropReasons = new Map<string, DropReason>();

  private constructor(private readonly options: HttpAgentOptions) {
    const {tls, interceptor, memoryBytes} = options;
    const pacer = LongResponsePacer.create(steadyClock);
    const agent = new Agent({
      connections: CONNECTIONS_PER_ORIGIN,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAXIMUM_RESPONSE_BYTES,
      connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS, ...tls},
      factory: (origin, options: Pool.Options) =>
        new Pool(origin, {
          ...options,
          factory: (target, clientOptions: Client.Options) =>
            createClient(target, clientOptions, pacer),
        }),
    });
    this.dispatcher =
      interceptor === undefined ? agent : agent.compose(interceptor);
    this.budget = BufferBudget.create({
      limitBytes: memoryBytes ?? DEFAULT_MEMORY_BYTES,
      onDenied: () => {},
      onChange: () => {},
    });
  }

  static create(options: HttpAgentOptions = {}): HttpAgent {
    return new HttpAgent(options);
  }

  /** Aborts all calls and closes their connections. */
  destroy(): Promise<void> {
    return this.dispatcher.destroy();
  }

  /** @internal What one response takes of the memory. */
  createHolder(): BufferHolder {
    return this.budget.createHolder();
  }

  /** @internal Records that the response to `url` was read. */
  recordResponse(url: string): void {
    if (this.dropReasons.size > 0) this.dropReasons.delete(new URL(url).origin);
  }

  /** @internal Records the failure of a call to `url`, in case its response was dropped. */
  recordFailure(url: string, failure: unknown): void {
    const reason = dropReasonOf(failure);
    if (reason === undefined) return;
    const {origin} = new URL(url);
    const isRepeated = this.dropReasons.get(origin) === reason;
    this.dropReasons.set(origin, reason);
    this.options.onResponseDropped?.({origin, reason, isRepeated});
  }
}

/** Creates the connection pool that the adapters of a process share. */
export function createAgent(options?: HttpAgentOptions): HttpAgent {
  return HttpAgent.create(options);
}

/** Whether a call failed as the head or the body of its response was too long. */
export function isTooLong(failure: unknown): boolean {
  return (
    failure instanceof errors.ResponseExceededMaxSizeError ||
    failure instanceof errors.HeadersOverflowError
  );
}

function dropReasonOf(failure: unknown): DropReason | undefined {
  if (failure instanceof ResponsesFullError) return 'no_memory';
  return isTooLong(failure) ? 'too_long' : undefined;
}
