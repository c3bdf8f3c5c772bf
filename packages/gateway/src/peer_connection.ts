/** A persistent connection between two nodes: bidirectional JSON-RPC 2.0, one message per line. */

import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {
  JSONRPCClient,
  JSONRPCErrorCode,
  JSONRPCServer,
  JSONRPCServerAndClient,
  createJSONRPCErrorResponse,
  createJSONRPCRequest,
} from 'json-rpc-2.0';
import {ProgressDeadline} from '@siskinmux/adapters';
import type {Clock, EmitEvent, Instant, Milliseconds} from '@siskinmux/kernel';
import {after, scheduleWhileAwake, until} from '@siskinmux/kernel';
import {RequestTurns, isSocketAddress} from '@siskinmux/forwarding';
import {PeerUnreachableError} from '@siskinmux/membership';
import type {z} from 'zod';
import {PEER_MESSAGE_INVALID} from './gateway_events.js';
import type {PeerMemory, PeerMemoryHolder} from './peer_memory.js';

/** Maximum line length; a node's whole state takes a few kilobytes. */
const MAXIMUM_LINE_CHARACTERS = 4_194_304;

/** Write buffer for a slow peer; the connection is closed when it is exceeded. */
const MAXIMUM_BUFFERED_BYTES = 4_194_304;

/** Messages of one connection that are handled without a break; a heartbeat is one. */
const MESSAGES_AT_ONCE = 4;

/** Memory of a character that may be outside of Latin-1. */
const BYTES_PER_CHARACTER = 2;

const CONNECT_TIMEOUT_MILLISECONDS: Milliseconds = 400;

/** Longest pause of a peer whose response follows other messages. */
const STALL_MILLISECONDS: Milliseconds = 400;

/** Mean rate below which such a peer counts as silent; many nodes may share its link. */
const MINIMUM_BYTES_PER_SECOND = 4_096;

/** Dependencies of {@link PeerConnection}. */
export interface PeerConnectionOptions {
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /** Shared by the connections of a process whose messages wait; its own if it is missing. */
  readonly turns?: RequestTurns;
  /** Bounds what all connections of a process hold; none if it is missing. */
  readonly memory?: PeerMemory;
  /** Called when the connection is closed for that bound. */
  readonly onOutOfMemory?: (socket: Socket) => void;
}

/** One end of a connection between two nodes. */
export class PeerConnection {
  private readonly client: JSONRPCClient;
  private readonly rpc: JSONRPCServerAndClient;
  private lastId = 0;
  private readonly closeCallbacks: (() => void)[] = [];
  private readonly dataCallbacks = new Set<() => void>();
  /** The parts of a line whose end has not come. */
  private partialLine: string[] = [];
  private partialCharacters = 0;
  /** Lines that wait for their turn; nothing more is read meanwhile. */
  private lines: string[] = [];
  private hasHandled = false;
  private readonly turns: RequestTurns;
  private readonly memory: PeerMemoryHolder | undefined;
  private receivedAt: Instant;
  private isClosed = false;

  private constructor(
    private readonly socket: Socket,
    private readonly options: PeerConnectionOptions,
  ) {
    this.receivedAt = options.clock.now();
    this.turns = options.turns ?? RequestTurns.create(setImmediate);
    this.memory = options.memory?.createHolder(() => {
      options.onOutOfMemory?.(socket);
      this.close();
    });
    this.client = new JSONRPCClient(
      message => this.write(message),
      () => this.createId(),
    );
    this.rpc = new JSONRPCServerAndClient(
      new JSONRPCServer({errorListener: () => {}}),
      this.client,
      {errorListener: () => {}},
    );
    socket.setNoDelay(true);
    socket.setEncoding('utf8');
    socket.on('data', (text: string) => this.onData(text));
    socket.on('drain', () => this.countMemory());
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
  }

  /** Wraps an open socket. */
  static create(
    socket: Socket,
    options: PeerConnectionOptions,
  ): PeerConnection {
    return new PeerConnection(socket, options);
  }

  /** Connects to a node. Rejects with {@link PeerUnreachableError}; its cause is the socket's error. */
  static connect(
    address: string,
    options: PeerConnectionOptions,
  ): Promise<PeerConnection> {
    const [host, port] = address.split(':');
    return new Promise((resolve, reject) => {
      if (!isSocketAddress(address)) {
        reject(new PeerUnreachableError(`not an address: ${address}`));
        return;
      }
      const socket = connect({host: host ?? '', port: Number(port)});
      const {clock} = options;
      const cancel = scheduleWhileAwake(
        clock,
        after(clock.now(), CONNECT_TIMEOUT_MILLISECONDS),
        () => socket.destroy(new Error('connect timed out')),
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

  /** When data was last received from the peer. */
  get lastReceivedAt(): Instant {
    return this.receivedAt;
  }

  /** Whether the peer has sent a valid message of a known method. */
  get hasPeer(): boolean {
    return this.hasHandled;
  }

  /** Milliseconds since data was last received from the peer. */
  millisecondsSinceReceived(now: Instant): Milliseconds {
    return until(this.receivedAt, now);
  }

  /** Calls back once the connection is closed; immediately if it already is. */
  onClosed(callback: () => void): void {
    if (this.isClosed) callback();
    else this.closeCallbacks.push(callback);
  }

  /** Registers a method; messages that don't match `schema` are rejected. */
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
      this.hasHandled = true;
      return (await handler(parsed.data)) ?? null;
    });
  }

  /** Sends a notification, which has no response. */
  notify(method: string, params: object): void {
    if (!this.isClosed) this.rpc.notify(method, params, undefined);
  }

  /**
   * Sends a request. Throws {@link PeerUnreachableError} on failure or at the deadline, which is
   * later by the time for which this process was paused.
   */
  async request(
    method: string,
    params: object,
    deadline: Instant,
  ): Promise<unknown> {
    const {clock} = this.options;
    const {client} = this;
    const id = this.createId();
    const {InternalError} = JSONRPCErrorCode;
    const cancel = scheduleWhileAwake(clock, deadline, () =>
      client.receive(createJSONRPCErrorResponse(id, InternalError, 'timeout')),
    );
    const {result, error: cause} = await client.requestAdvanced(
      createJSONRPCRequest(id, method, params),
    );
    cancel();
    if (cause !== undefined || result === undefined)
      throw new PeerUnreachableError(method, {cause});
    return result;
  }

  /**
   * Like {@link request}, for a response that may follow other messages. `deadline` is that of
   * the first byte from the peer; it is extended while more arrive.
   */
  async requestWhileReceiving(
    method: string,
    params: object,
    deadline: Instant,
  ): Promise<unknown> {
    const {socket, dataCallbacks} = this;
    const bytesBefore = socket.bytesRead;
    let expire = (): void => {};
    const expired = new Promise<never>((_, reject) => {
      expire = () => reject(new PeerUnreachableError(`${method}: no progress`));
    });
    const progress = ProgressDeadline.create({
      clock: this.options.clock,
      headUntil: deadline,
      stallMilliseconds: STALL_MILLISECONDS,
      minimumBytesPerSecond: MINIMUM_BYTES_PER_SECOND,
      onExpired: expire,
    });
    const recordProgress = (): void => {
      progress.recordProgress(0);
      progress.recordProgress(socket.bytesRead - bytesBefore);
    };
    dataCallbacks.add(recordProgress);
    try {
      const response = this.rpc.request(method, params, undefined);
      return await Promise.race([response, expired]);
    } catch (cause) {
      throw new PeerUnreachableError(method, {cause});
    } finally {
      dataCallbacks.delete(recordProgress);
      progress.cancel();
    }
  }

  /** Like {@link request}, with a decoder; undefined on failure or for an unreadable response. */
  async ask<Response>(
    method: string,
    params: object,
    deadline: Instant,
    schema: z.ZodType<Response>,
  ): Promise<Response | undefined> {
    try {
      const response = await this.request(method, params, deadline);
      return schema.safeParse(response).data;
    } catch (failure) {
      if (!(failure instanceof PeerUnreachableError)) throw failure;
      return undefined;
    }
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.lines = [];
    this.partialLine = [];
    this.turns.remove(this.handleNextLines);
    this.memory?.end();
    this.socket.destroy();
    this.rpc.rejectAllPendingRequests('connection closed');
    for (const callback of this.closeCallbacks) callback();
  }

  private createId(): number {
    this.lastId += 1;
    return this.lastId;
  }

  private write(message: unknown): void {
    if (this.isClosed) throw new PeerUnreachableError('connection closed');
    this.socket.write(`${JSON.stringify(message)}\n`);
    if (this.socket.writableLength > MAXIMUM_BUFFERED_BYTES) this.close();
    else this.countMemory();
  }

  private countMemory(): void {
    const {socket, partialCharacters} = this;
    this.memory?.set(
      socket.writableLength + partialCharacters * BYTES_PER_CHARACTER,
    );
  }

  private onData(text: string): void {
    this.receivedAt = this.options.clock.now();
    for (const callback of this.dataCallbacks) callback();
    const [first = '', ...rest] = text.split('\n');
    this.partialLine.push(first);
    this.partialCharacters += first.length;
    const last = rest.pop();
    if (last !== undefined) {
      this.lines.push(this.partialLine.join(''), ...rest);
      this.partialLine = [last];
      this.partialCharacters = last.length;
    }
    if (this.partialCharacters > MAXIMUM_LINE_CHARACTERS) this.close();
    else this.countMemory();
    this.handleNextLines();
  }

  /** Handles a few messages; further ones wait for their turn, and nothing is read until then. */
  private readonly handleNextLines = (): void => {
    for (const line of this.lines.splice(0, MESSAGES_AT_ONCE)) {
      if (this.isClosed) return;
      this.receive(line);
    }
    if (this.isClosed) return;
    if (this.lines.length === 0) {
      this.socket.resume();
      return;
    }
    this.socket.pause();
    this.turns.enqueue(this.handleNextLines);
  };

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
      // The response could not be sent; expected if the connection was closed meanwhile.
      if (!this.isClosed) {
        this.options.emit(PEER_MESSAGE_INVALID, {problem: String(failure)});
      }
    });
  }
}
