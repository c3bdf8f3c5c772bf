/** Calls between nodes: JSON-RPC 2.0 over HTTP on the peer interface. */

import type {Provider} from '@nestjs/common';
import {Controller, Inject, Post, Req, Res} from '@nestjs/common';
import type {FastifyReply, FastifyRequest} from 'fastify';
import type {JSONRPCResponse} from 'json-rpc-2.0';
import {
  JSONRPCErrorException,
  JSONRPCServer,
  createJSONRPCRequest,
  isJSONRPCResponse,
} from 'json-rpc-2.0';
import type {
  Clock,
  Instant,
  Milliseconds,
  NodeId,
  Plugin,
} from '@siskinmux/kernel';
import {SiskinmuxError, after, injectionKey} from '@siskinmux/kernel';
import {createAgent, send} from '@siskinmux/adapters';
import {PeerUnreachableError} from '@siskinmux/membership';
import {Counter} from 'prom-client';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import type {Listener} from './http_listener.js';
import {listen} from './http_listener.js';
import {METRICS} from './metrics.js';
import {NODE_IDENTITY} from './node_identity.js';
import {CLOCK} from './platform.js';
import {privateListenerSchema, settingsSection} from './settings_section.js';
import {readKeyPair} from './tls_files.js';

/** Largest message between nodes. */
const MESSAGE_LIMIT_BYTES = 4_000_000;

/** Silence after which a peer that owes an answer is asked for a sign of life. */
const LIFE_SIGN_AFTER_MILLISECONDS: Milliseconds = 300;

/** Time for that sign. */
const LIFE_SIGN_TIMEOUT_MILLISECONDS: Milliseconds = 400;

/** Signs in a row that may be missing. */
const MISSED_LIFE_SIGNS = 2;

const LIFE_SIGN_METHOD = 'peer.alive';

const INVALID_PARAMS = -32602;
const APPLICATION_ERROR = -32000;

const section = settingsSection('peer', privateListenerSchema);

/** Handles one method of the peer interface. */
export type PeerHandler<Params> = (params: Params) => Promise<unknown>;

/** The peer interface of this node, and the way to those of others. */
export class Peers {
  private readonly server = new JSONRPCServer({
    errorListener: () => {},
  });
  private listener: Listener | undefined;
  private sentBytes = 0;
  private receivedBytes = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly agent: Dispatcher,
    private readonly node: NodeId,
  ) {
    this.handle(LIFE_SIGN_METHOD, z.unknown(), async () => this.node);
  }

  static create(options: {
    clock: Clock;
    agent: Dispatcher;
    node: NodeId;
  }): Peers {
    return new Peers(options.clock, options.agent, options.node);
  }

  /** Base URL of this node's peer interface, once it listens. */
  get address(): string {
    return this.listener?.url ?? '';
  }

  /** Bytes of messages sent and received, without HTTP headers. */
  get traffic(): {sent: number; received: number} {
    return {sent: this.sentBytes, received: this.receivedBytes};
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
        throw new JSONRPCErrorException(parsed.error.message, INVALID_PARAMS);
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
    const response = await this.server.receiveJSON(text);
    if (response === null) return undefined;
    const answer = JSON.stringify(response);
    this.sentBytes += answer.length;
    return answer;
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
  async callPatiently(
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

  /** Starts to listen. */
  async start(options: z.infer<typeof privateListenerSchema>): Promise<void> {
    const providers: Provider[] = [{provide: Peers, useValue: this}];
    this.listener = await listen({
      ...options,
      bodyLimitBytes: MESSAGE_LIMIT_BYTES,
      controllers: [PeerController],
      providers,
    });
  }

  /** Stops listening. */
  async stop(): Promise<void> {
    await this.listener?.close();
  }

  /** Cuts all connections. */
  async abandon(): Promise<void> {
    await this.listener?.abandon();
  }

  private async exchange(
    address: string,
    method: string,
    params: unknown,
    signal: AbortSignal,
  ): Promise<unknown> {
    const body = JSON.stringify(createJSONRPCRequest(1, method, params));
    this.sentBytes += body.length;
    let response: JSONRPCResponse;
    try {
      const answer = await send(this.agent, {
        method: 'POST',
        url: `${address}/rpc`,
        headers: {'content-type': 'application/json'},
        body,
        signal,
      });
      this.receivedBytes += answer.body.length;
      response = parseResponse(answer.body);
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

/** The one route of the peer interface. */
@Controller()
export class PeerController {
  constructor(@Inject(Peers) private readonly peers: Peers) {}

  /** Takes a JSON-RPC message. */
  @Post('rpc')
  async rpc(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const answer = await this.peers.receive(String(request.body ?? ''));
    if (answer === undefined) {
      await reply.code(204).send();
      return;
    }
    await reply.type('application/json').send(answer);
  }
}

/** Key of the peer interface. */
export const PEERS = injectionKey<Peers>('peers');

/** Provides {@link PEERS} and listens on the address of the settings. */
export const peersPlugin: Plugin = {
  name: 'peers',
  install(kernel) {
    const settings = kernel.settings(section);
    const clock = kernel.inject(CLOCK);
    const tls = settings.tls && readKeyPair(settings.tls);
    const peers = Peers.create({
      clock,
      agent: createAgent(tls),
      node: kernel.inject(NODE_IDENTITY).id,
    });
    kernel.provide(PEERS, peers);
    kernel.inject(METRICS).registerMetric(countTraffic(peers));
    kernel.addTask({
      name: 'peer interface',
      start: () => peers.start(settings),
      stop: () => peers.stop(),
      abandon: () => peers.abandon(),
    });
  },
};

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
