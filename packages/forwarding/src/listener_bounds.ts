/** Bounds what the clients of an HTTP server take of its process, before it parses anything. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ClientLimit, ConnectionLimits} from './bounded_connections.js';
import {BoundedConnections} from './bounded_connections.js';
import type {HeadRules} from './head_watch.js';
import type {AnswerKind} from './refusal_streak.js';
import type {ConnectionEnd} from './request_gate.js';
import {RequestGate} from './request_gate.js';
import type {RequestTurns} from './request_turns.js';
import {PacedSocket, SLICE_BYTES} from './socket_pacer.js';

/** Called when a limit has taken effect on a connection. */
export type OnClientLimited = (limit: ClientLimit, socket: Socket) => void;

/** Options of {@link ListenerBounds}. */
export interface ListenerBoundsOptions {
  readonly server: Server;
  readonly turns: RequestTurns;
  readonly limits: ConnectionLimits;
  readonly onLimited: OnClientLimited;
  readonly heads?: HeadRules | undefined;
}

/** The connections of one server, each with a gate for its requests. */
export class ListenerBounds {
  private readonly gates = new WeakMap<Socket, RequestGate>();
  private readonly connections: BoundedConnections;

  private constructor(private readonly options: ListenerBoundsOptions) {
    const {server, limits, onLimited} = options;
    this.connections = BoundedConnections.create({
      limits,
      useOf: socket => this.gates.get(socket)?.use ?? 'idle',
      onLimited,
    });
    server.prependListener(
      'request',
      (request: IncomingMessage, response: ServerResponse) =>
        this.gates.get(request.socket)?.begin(request, response),
    );
  }

  /** Has to be called before other listeners for requests are added to the server. */
  static create(options: ListenerBoundsOptions): ListenerBounds {
    return new ListenerBounds(options);
  }

  /** The gate of a new connection; undefined if the connection has been closed. */
  accept(socket: Socket): RequestGate | undefined {
    if (!this.connections.accept(socket)) return undefined;
    const gate = RequestGate.create(socket, this.options);
    this.gates.set(socket, gate);
    return gate;
  }

  /** Bounds all connections of a server that are not paced otherwise. */
  boundAll(): void {
    const {server} = this.options;
    server.on('connection', (socket: Socket) => {
      const gate = this.accept(socket);
      if (gate === undefined) return;
      const paced = PacedSocket.create(socket, {
        sliceBytes: SLICE_BYTES,
        gate,
      });
      gate.onContinue(paced.continueReceipt);
      // Without a listener, Node.js parses the bytes before they reach the stream.
      socket.on('data', () => {});
    });
  }

  /** See {@link RequestGate.answer}. */
  answer(request: IncomingMessage, kind: AnswerKind): ConnectionEnd {
    return this.gates.get(request.socket)?.answer(request, kind) ?? 'keep';
  }

  /** See {@link BoundedConnections.closeUnread}. */
  closeUnread(): void {
    this.connections.closeUnread();
  }
}
