/** Calls between nodes: JSON-RPC 2.0 over an injected transport. */

import type {JSONRPCResponse} from 'json-rpc-2.0';
import {
  JSONRPCErrorCode,
  JSONRPCErrorException,
  JSONRPCServer,
  createJSONRPCErrorResponse,
  createJSONRPCRequest,
  isJSONRPCResponse,
} from 'json-rpc-2.0';
import type {
  Clock,
  Instant,
  Kernel,
  Milliseconds,
  NodeId,
  Plugin,
} from '@siskinmux/kernel';
import {ProgressDeadline} from '@siskinmux/adapters';
import {SiskinmuxError, after, injectionKey} from '@siskinmux/kernel';
import {PeerUnreachableError} from '@siskinmux/membership';
import {Counter} from 'prom-client';
import {z} from 'zod';
import {CLOCK, METRICS, NODE_IDENTITY} from '@siskinmux/runtime';

/** Interval of heartbeat calls to a peer whose response to a long call is pending. */
const HEARTBEAT_INTERVAL_MILLISECONDS: Milliseconds = 300;

/** Time limit of one heartbeat call. */
const HEARTBEAT_TIMEOUT_MILLISECONDS: Milliseconds = 400;

/** Consecutive failed heartbeats after which the pending call is aborted. */
const MISSED_HEARTBEATS_LIMIT = 2;

const HEARTBEAT_METHOD = 'peer.alive';

/** Longest pause in a large response, and the mean rate below which it counts as stalled. */
const STALL_MILLISECONDS: Milliseconds = 1_000;
const MINIMUM_BYTES_PER_SECOND = 32_768;

/** JSON-RPC error code for a `SiskinmuxError` thrown by a handler. */
const APPLICATION_ERROR = -32000;

/** Handles one method of the peer interface. */
export type PeerHandler<Params> = (params: Params) => Promise<unknown>;

/** Handles one raw message and returns the response; undefined for a notification. */
export type ReceiveMessage = (text: string) => Promise<string | undefined>;

/** Bytes and calls exchanged with other nodes since the start. */
export interface PeerTraffic {
  readonly sent: number;
  readonly received: number;
  readonly calls: number;
}

/** Sends and receives messages between nodes. */
export interface PeerTransport {
  /**
   * Sends a message and resolves with the response. Any rejection means "unreachable".
   * `onProgress` is called with 0 at the response's head, then with its bytes received so far.
   */
  send(
    address: string,
    text: string,
    signal: AbortSignal,
    onProgress?: (receivedBytes: number) => void,
  ): Promise<string>;
  /** Starts to receive; resolves with the base URL of this node's peer interface. */
  listen(receive: ReceiveMessage): Promise<string>;
  /** Stops receiving after the messages in progress. */
  close(): Promise<void>;
  /** Cuts all connections, as a crash would. */
  abandon(): Promise<void>;
}

/** Serves the peer interface of this node and calls those of other nodes. */
export class Peers {
  private readonly server = new JSONRPCServer({
    errorListener: () => {},
  });
  private ownAddress = '';
  private sentBytes = 0;
  private receivedBytes = 0;
  private callCount = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly transport: PeerTransport,
    private readonly node: NodeId,
  ) {
    this.handle(HEARTBEAT_METHOD, z.unknown(), async () => this.node);
  }

  static create(options: {
    clock: Clock;
    transport: PeerTransport;
    node: NodeId;
  }): Peers {
    return new Peers(options.clock, options.transport, options.node);
  }

  /** Base URL of this node's peer interface; empty until it listens. */
  get address(): string {
    return this.ownAddress;
  }

  /** Bytes of messages sent and received, without HTTP headers, and number of calls made. */
  get traffic(): PeerTraffic {
    return {
      sent: this.sentBytes,
      received: this.receivedBytes,
      calls: this.callCount,
    };
  }

  /** Registers a method; parameters that don't match `schema` are rejected. */
  handle<Params>(
    method: string,
    schema: z.ZodType<Params>,
    handler: PeerHandler<Params>,
  ): void {
    this.server.addMethod(method, async (params: unknown) => {
      const parsed = schema.safeParse(params);
      if (!parsed.success) {
        throw new JSONRPCErrorException(
          parsed.error.message,
          JSONRPCErrorCode.InvalidParams,
        );
      }
      try {
        return (await handler(parsed.data)) ?? null;
      } catch (failure) {
        if (!(failure instanceof SiskinmuxError)) throw failure;
        throw new JSONRPCErrorException(failure.message, APPLICATION_ERROR, {
          code: failure.code,
        });
      }
    });
  }

  /** Handles one raw message and returns the response; undefined for a notification. */
  async receive(text: string): Promise<string | undefined> {
    this.receivedBytes += text.length;
    const response = await this.dispatch(text);
    if (response === null) return undefined;
    const responseText = JSON.stringify(response);
    this.sentBytes += responseText.length;
    return responseText;
  }

  private async dispatch(
    text: string,
  ): Promise<JSONRPCResponse | JSONRPCResponse[] | null> {
    try {
      return await this.server.receiveJSON(text);
    } catch (failure) {
      // The library throws a TypeError for a batch with an element such as `null`,
      // because it reads the elements before it validates them.
      if (!(failure instanceof TypeError)) throw failure;
      return createJSONRPCErrorResponse(
        null,
        JSONRPCErrorCode.InvalidRequest,
        'Invalid Request',
      );
    }
  }

  /** Calls a method of a peer. Throws {@link PeerUnreachableError}. */
  async call(
    address: string,
    method: string,
    params: unknown,
    deadline: Instant,
  ): Promise<unknown> {
    const abort = new AbortController();
    const cancel = this.clock.schedule(deadline, () => abort.abort());
    try {
      return await this.exchange(address, method, params, abort.signal);
    } finally {
      cancel();
    }
  }

  /**
   * Calls a method whose response may be large: `headUntil` is the deadline of its head, and
   * the body may take as long as it makes progress. Throws {@link PeerUnreachableError}.
   */
  async callForLargeResponse(
    address: string,
    method: string,
    params: unknown,
    headUntil: Instant,
  ): Promise<unknown> {
    const abort = new AbortController();
    const deadline = ProgressDeadline.create({
      clock: this.clock,
      headUntil,
      stallMilliseconds: STALL_MILLISECONDS,
      minimumBytesPerSecond: MINIMUM_BYTES_PER_SECOND,
      onExpired: () => abort.abort(),
    });
    try {
      return await this.exchange(
        address,
        method,
        params,
        abort.signal,
        receivedBytes => deadline.recordProgress(receivedBytes),
      );
    } finally {
      deadline.cancel();
    }
  }

  /**
   * Calls a method whose response may take long. Fails early with
   * {@link PeerUnreachableError} when the peer stops responding to heartbeats.
   */
  async callWithLivenessCheck(
    address: string,
    method: string,
    params: unknown,
    deadline: Instant,
  ): Promise<unknown> {
    const abort = new AbortController();
    const cancel = this.clock.schedule(deadline, () => abort.abort());
    const heartbeats = this.startHeartbeats(address, () => abort.abort());
    try {
      return await this.exchange(address, method, params, abort.signal);
    } finally {
      cancel();
      heartbeats.stop();
    }
  }

  /** Starts to receive messages. */
  async start(): Promise<void> {
    this.ownAddress = await this.transport.listen(text => this.receive(text));
  }

  /** Stops receiving after the messages in progress. */
  stop(): Promise<void> {
    return this.transport.close();
  }

  /** Cuts all connections, as a crash would. */
  abandon(): Promise<void> {
    return this.transport.abandon();
  }

  private async exchange(
    address: string,
    method: string,
    params: unknown,
    signal: AbortSignal,
    onProgress?: (receivedBytes: number) => void,
  ): Promise<unknown> {
    const body = JSON.stringify(createJSONRPCRequest(1, method, params));
    this.sentBytes += body.length;
    this.callCount += 1;
    let response: JSONRPCResponse;
    try {
      const responseText = await this.transport.send(
        address,
        body,
        signal,
        onProgress,
      );
      this.receivedBytes += responseText.length;
      response = parseResponse(responseText);
    } catch (cause) {
      throw new PeerUnreachableError(`${method} at ${address}`, {cause});
    }
    if (response.error === undefined) return response.result;
    throw new PeerUnreachableError(
      `${method} at ${address}: ${response.error.message}`,
    );
  }

  private startHeartbeats(
    address: string,
    onUnresponsive: () => void,
  ): {stop(): void} {
    let missedHeartbeats = 0;
    let isStopped = false;
    const sendHeartbeat = async (): Promise<void> => {
      if (isStopped) return;
      const deadline = after(this.clock.now(), HEARTBEAT_TIMEOUT_MILLISECONDS);
      try {
        await this.call(address, HEARTBEAT_METHOD, [], deadline);
        missedHeartbeats = 0;
      } catch (failure) {
        if (!(failure instanceof PeerUnreachableError)) throw failure;
        missedHeartbeats += 1;
      }
      if (missedHeartbeats >= MISSED_HEARTBEATS_LIMIT) onUnresponsive();
      else cancel = this.scheduleHeartbeat(sendHeartbeat);
    };
    let cancel = this.scheduleHeartbeat(sendHeartbeat);
    return {
      stop: () => {
        isStopped = true;
        cancel();
      },
    };
  }

  private scheduleHeartbeat(sendHeartbeat: () => Promise<void>): () => void {
    const at = after(this.clock.now(), HEARTBEAT_INTERVAL_MILLISECONDS);
    return this.clock.schedule(at, () => void sendHeartbeat());
  }
}

function parseResponse(text: string): JSONRPCResponse {
  const parsed: unknown = JSON.parse(text);
  if (isJSONRPCResponse(parsed)) return parsed;
  throw new SyntaxError('not a JSON-RPC response');
}

/** Injection key of the peer interface. */
export const PEERS = injectionKey<Peers>('peers');

/** Provides {@link PEERS} over the transport that `createTransport` returns. */
export function createPeersPlugin(
  createTransport: (kernel: Kernel) => PeerTransport,
): Plugin {
  return {
    name: 'peers',
    install(kernel) {
      const peers = Peers.create({
        clock: kernel.inject(CLOCK),
        transport: createTransport(kernel),
        node: kernel.inject(NODE_IDENTITY).id,
      });
      kernel.provide(PEERS, peers);
      kernel.inject(METRICS).registerMetric(createTrafficCounter(peers));
      kernel.addTask({
        name: 'peer interface',
        start: () => peers.start(),
        stop: () => peers.stop(),
        abandon: () => peers.abandon(),
      });
    },
  };
}

function createTrafficCounter(peers: Peers): Counter {
  return new Counter({
    name: 'siskinmux_peer_bytes_total',
    help: 'Bytes of messages between nodes',
    labelNames: ['direction'],
    registers: [],
    collect() {
      this.reset();
      this.inc({direction: 'sent'}, peers.traffic.sent);
      this.inc({direction: 'received'}, peers.traffic.received);
    },
  });
}
