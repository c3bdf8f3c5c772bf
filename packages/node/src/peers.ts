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
import {SiskinmuxError, after, injectionKey} from '@siskinmux/kernel';
import {PeerUnreachableError} from '@siskinmux/membership';
import {Counter} from 'prom-client';
import {z} from 'zod';
import {CLOCK, METRICS, NODE_IDENTITY} from '@siskinmux/runtime';

/** Silence after which a peer that owes an answer is asked for a sign of life. */
const LIFE_SIGN_AFTER_MILLISECONDS: Milliseconds = 300;

/** Time for that sign. */
const LIFE_SIGN_TIMEOUT_MILLISECONDS: Milliseconds = 400;

/** Signs in a row that may be missing. */
const MISSED_LIFE_SIGNS = 2;

const LIFE_SIGN_METHOD = 'peer.alive';

const APPLICATION_ERROR = -32000;

/** Handles one method of the peer interface. */
export type PeerHandler<Params> = (params: Params) => Promise<unknown>;

/** Answers one message as it came off the wire; undefined for a notification. */
export type ReceiveMessage = (text: string) => Promise<string | undefined>;

/** What a node has exchanged with others since it started. */
export interface PeerTraffic {
  readonly sent: number;
  readonly received: number;
  readonly calls: number;
}

/** Carries messages between nodes. */
export interface PeerTransport {
  /** Sends a message and resolves with the answer. Any failure means "not reached". */
  send(address: string, text: string, signal: AbortSignal): Promise<string>;
  /** Starts to receive; resolves with this node's own address. */
  listen(receive: ReceiveMessage): Promise<string>;
  /** Stops receiving after the messages under way. */
  close(): Promise<void>;
  /** Stops at once. */
  abandon(): Promise<void>;
}

/** The peer interface of this node, and the way to those of others. */
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
    this.handle(LIFE_SIGN_METHOD, z.unknown(), async () => this.node);
  }

  static create(options: {
    clock: Clock;
    transport: PeerTransport;
    node: NodeId;
  }): Peers {
    return new Peers(options.clock, options.transport, options.node);
  }

  /** Base URL of this node's peer interface, once it listens. */
  get address(): string {
    return this.ownAddress;
  }

  /** Bytes of messages sent and received, without HTTP headers, and calls made. */
  get traffic(): PeerTraffic {
    return {
      sent: this.sentBytes,
      received: this.receivedBytes,
      calls: this.callCount,
    };
  }

  /** Registers a method; parameters that don't fit `schema` are refused. */
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

  /** Answers one message as it came off the wire; undefined for a notification. */
  async receive(text: string): Promise<string | undefined> {
    this.receivedBytes += text.length;
    const response = await this.answer(text);
    if (response === null) return undefined;
    const answer = JSON.stringify(response);
    this.sentBytes += answer.length;
    return answer;
  }

  private async answer(
    text: string,
  ): Promise<JSONRPCResponse | JSONRPCResponse[] | null> {
    try {
      return await this.server.receiveJSON(text);
    } catch (failure) {
      // The library takes batches apart before it looks at their parts.
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
    until: Instant,
  ): Promise<unknown> {
    const abort = new AbortController();
    const cancel = this.clock.schedule(until, () => abort.abort());
    try {
      return await this.exchange(address, method, params, abort.signal);
    } finally {
      cancel();
    }
  }

  /**
   * Calls a method whose answer may take long. Gives up early, with
   * {@link PeerUnreachableError}, when the peer shows no sign of life meanwhile.
   */
  async callWithLivenessCheck(
    address: string,
    method: string,
    params: unknown,
    until: Instant,
  ): Promise<unknown> {
    const abort = new AbortController();
    const cancel = this.clock.schedule(until, () => abort.abort());
    const watch = this.watchLife(address, () => abort.abort());
    try {
      return await this.exchange(address, method, params, abort.signal);
    } finally {
      cancel();
      watch.stop();
    }
  }

  /** Starts to receive. */
  async start(): Promise<void> {
    this.ownAddress = await this.transport.listen(text => this.receive(text));
  }

  /** Stops receiving. */
  stop(): Promise<void> {
    return this.transport.close();
  }

  /** Cuts all connections. */
  abandon(): Promise<void> {
    return this.transport.abandon();
  }

  private async exchange(
    address: string,
    method: string,
    params: unknown,
    signal: AbortSignal,
  ): Promise<unknown> {
    const body = JSON.stringify(createJSONRPCRequest(1, method, params));
    this.sentBytes += body.length;
    this.callCount += 1;
    let response: JSONRPCResponse;
    try {
      const answer = await this.transport.send(address, body, signal);
      this.receivedBytes += answer.length;
      response = parseResponse(answer);
    } catch (cause) {
      throw new PeerUnreachableError(`${method} at ${address}`, {cause});
    }
    if (response.error === undefined) return response.result;
    throw new PeerUnreachableError(
      `${method} at ${address}: ${response.error.message}`,
    );
  }

  private watchLife(address: string, onSilence: () => void): {stop(): void} {
    let missed = 0;
    let isStopped = false;
    const check = async (): Promise<void> => {
      if (isStopped) return;
      const until = after(this.clock.now(), LIFE_SIGN_TIMEOUT_MILLISECONDS);
      try {
        await this.call(address, LIFE_SIGN_METHOD, [], until);
        missed = 0;
      } catch (failure) {
        if (!(failure instanceof PeerUnreachableError)) throw failure;
        missed += 1;
      }
      if (missed >= MISSED_LIFE_SIGNS) onSilence();
      else cancel = this.soon(check);
    };
    let cancel = this.soon(check);
    return {
      stop: () => {
        isStopped = true;
        cancel();
      },
    };
  }

  private soon(check: () => Promise<void>): () => void {
    const at = after(this.clock.now(), LIFE_SIGN_AFTER_MILLISECONDS);
    return this.clock.schedule(at, () => void check());
  }
}

function parseResponse(text: string): JSONRPCResponse {
  const parsed: unknown = JSON.parse(text);
  if (isJSONRPCResponse(parsed)) return parsed;
  throw new SyntaxError('not a JSON-RPC response');
}

/** Key of the peer interface. */
export const PEERS = injectionKey<Peers>('peers');

/** Provides {@link PEERS} over the transport that `createTransport` makes. */
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
      kernel.inject(METRICS).registerMetric(countTraffic(peers));
      kernel.addTask({
        name: 'peer interface',
        start: () => peers.start(),
        stop: () => peers.stop(),
        abandon: () => peers.abandon(),
      });
    },
  };
}

function countTraffic(peers: Peers): Counter {
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
