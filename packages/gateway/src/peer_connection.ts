/** A lasting connection between two nodes: JSON-RPC 2.0 messages, one a line, both ways. */

import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from 'json-rpc-2.0';
import type {Clock, EmitEvent, Instant, Milliseconds} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';
import {PeerUnreachableError} from '@siskinmux/membership';
import type {z} from 'zod';
import {PEER_MESSAGE_INVALID} from './gateway_events.js';

/** Longest line; a node's whole state is some kilobytes. */
const LONGEST_LINE_CHARACTERS = 4_194_304;

/** Bytes that may wait for a slow node before the connection is given up. */
const MOST_WAITING_BYTES = 4_194_304;

/** Time to connect to another node. */
const CONNECT_MILLISECONDS: Milliseconds = 400;

/** What a link needs from its surroundings. */
export interface PeerConnectionOptions {
  readonly clock: Clock;
  readonly emit: EmitEvent;
}

/** One end of a connection. */
export class PeerConnection {
  private readonly rpc: JSONRPCServerAndClient;
  private readonly closers: (() => void)[] = [];
  private rest = '';
  private heardAt: Instant;
  private isClosed = false;

  private constructor(
    private readonly socket: Socket,
    private readonly options: PeerConnectionOptions,
  ) {
    this.heardAt = options.clock.now();
    this.rpc = new JSONRPCServerAndClient(
      new JSONRPCServer({errorListener: () => {}}),
      new JSONRPCClient(message => this.write(message)),
      {errorListener: () => {}},
    );
    socket.setNoDelay(true);
    socket.setEncoding('utf8');
    socket.on('data', (text: string) => this.take(text));
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
  }

  /** A link over an open connection. */
  static create(
    socket: Socket,
    options: PeerConnectionOptions,
  ): PeerConnection {
    return new PeerConnection(socket, options);
  }

  /** Connects to a node. Throws {@link PeerUnreachableError}; its cause tells why. */
  static connect(
    address: string,
    options: PeerConnectionOptions,
  ): Promise<PeerConnection> {
    const [host, port] = address.split(':');
    return new Promise((resolve, reject) => {
      const socket = connect({host: host ?? '', port: Number(port)});
      const {clock} = options;
      const cancel = clock.schedule(
        after(clock.now(), CONNECT_MILLISECONDS),
        () => socket.destroy(new Error('no answer')),
      );
      socket.once('error', cause => {
        cancel();
        reject(new PeerUnreachableError(address, {cause}));
      });
      socket.once('connect', () => {
        cancel();
        socket.removeAllListeners('error');
        resolve(PeerConnection.create(socket, options));
      });
    });
  }

  /** How long nothing has come from the other end. */
  millisecondsSinceReceived(now: Instant): Milliseconds {
    return until(this.heardAt, now);
  }

  /** Calls back when the connection has ended, at once if it has already. */
  onClosed(callback: () => void): void {
    if (this.isClosed) callback();
    else this.closers.push(callback);
  }

  /** Registers a method; messages that don't fit `schema` are refused. */
  handle<Params>(
    method: string,
    schema: z.ZodType<Params>,
    handler: (params: Params) => unknown,
  ): void {
    this.rpc.addMethod(method, async (params: unknown) => {
      const parsed = schema.safeParse(params);
      if (!parsed.success) {
        this.options.emit(PEER_MESSAGE_INVALID, {
          method,
          problem: parsed.error.message,
        });
        throw new PeerUnreachableError(`${method}: invalid parameters`);
      }
      return (await handler(parsed.data)) ?? null;
    });
  }

  /** Sends a message that is not answered. */
  notify(method: string, params: object): void {
    if (!this.isClosed) this.rpc.notify(method, params, undefined);
  }

  /** Sends a request. Throws {@link PeerUnreachableError}. */
  async request(
    method: string,
    params: object,
    deadline: Instant,
  ): Promise<unknown> {
    const wait = Math.max(1, until(this.options.clock.now(), deadline));
    try {
      return await this.rpc.timeout(wait).request(method, params, undefined);
    } catch (cause) {
      throw new PeerUnreachableError(method, {cause});
    }
  }

  /** Ends the connection. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.destroy();
    this.rpc.rejectAllPendingRequests('connection closed');
    for (const callback of this.closers) callback();
  }

  private write(message: unknown): void {
    if (this.isClosed) throw new PeerUnreachableError('connection closed');
    this.socket.write(`${JSON.stringify(message)}\n`);
    if (this.socket.writableLength > MOST_WAITING_BYTES) this.close();
  }

  private take(text: string): void {
    this.heardAt = this.options.clock.now();
    const lines = (this.rest + text).split('\n');
    this.rest = lines.pop() ?? '';
    if (this.rest.length > LONGEST_LINE_CHARACTERS) this.close();
    for (const line of lines) this.receive(line);
  }

  private receive(line: string): void {
    let message: unknown;
    try {
      message = JSON.parse(line);
    } catch {
      this.options.emit(PEER_MESSAGE_INVALID, {problem: 'not JSON'});
      this.close();
      return;
    }
    this.rpc.receiveAndSend(message, undefined, undefined).catch(failure => {
      // An answer that can't be sent: the connection has ended meanwhile.
      if (!this.isClosed) {
        this.options.emit(PEER_MESSAGE_INVALID, {problem: String(failure)});
      }
    });
  }
}
