/** One connection to an endpoint: one request at a time, by undici. */

import type {Socket} from 'node:net';
import type {Clock, Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import {Client, buildConnector} from 'undici';
import type {Dispatcher} from 'undici';
import type {EndpointProtocol, RawHeaders} from './endpoint_protocol.js';
import type {AnswerHead, OpenedRequest} from './opened_request.js';
import {AnswerBody} from './opened_request.js';

/** Time to connect; a lost packet of the handshake is sent again after a second, too late. */
const CONNECT_MILLISECONDS: Milliseconds = 400;

/** Longest time that a connection is kept idle, unless the endpoint closes it earlier. */
const LONGEST_IDLE_MILLISECONDS: Milliseconds = 4_000;

/** Largest header block of an answer; the default of Node.js. */
const HEADER_BYTES = 16_384;

const NOTHING = Buffer.alloc(0);

/** A request as it is sent; its body is whole, so that it can be sent again. */
export interface OutgoingRequest {
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** What a connection tells its pool. */
export interface ConnectionEvents {
  /** The answer has ended and the connection can take another request. */
  onIdle(connection: EndpointConnection): void;
  /** The connection has ended. */
  onClosed(connection: EndpointConnection): void;
}

/** A connection to an endpoint. */
export class EndpointConnection {
  private readonly client: Client;
  private isConnected = false;
  private isBusy = false;
  private isReset = false;
  private idleUntil: Instant;
  /** When the last answer ended; undefined before the first. */
  private idleSince: Instant | undefined;
  private idleMilliseconds: Milliseconds | undefined;

  private constructor(
    origin: string,
    private readonly clock: Clock,
    private readonly protocol: EndpointProtocol,
    private readonly events: ConnectionEvents,
  ) {
    this.idleUntil = clock.now();
    const connect = buildConnector({timeout: CONNECT_MILLISECONDS});
    this.client = new Client(origin, {
      pipelining: 1,
      connect: (options, callback) =>
        connect(options, (...result) => {
          watchForReset(result[1], () => {
            this.isReset = true;
          });
          callback(...result);
        }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: LONGEST_IDLE_MILLISECONDS,
      keepAliveMaxTimeout: LONGEST_IDLE_MILLISECONDS,
      maxHeaderSize: HEADER_BYTES,
    });
    this.client.on('connect', () => {
      this.isConnected = true;
    });
    this.client.on('disconnect', () => this.noteClosed());
  }

  static create(
    origin: string,
    clock: Clock,
    protocol: EndpointProtocol,
    events: ConnectionEvents,
  ): EndpointConnection {
    return new EndpointConnection(origin, clock, protocol, events);
  }

  /**
   * Whether the connection may be used again. `share` is the part of the endpoint's
   * own idle limit that may have passed: a request sent as the endpoint closes is lost.
   */
  isReusable(now: Instant, share: number): boolean {
    if (!this.isConnected || this.isBusy || this.idleSince === undefined) {
      return false;
    }
    if (this.idleMilliseconds === undefined)
      return share >= 1 && now < this.idleUntil;
    return now < after(this.idleSince, this.idleMilliseconds * share);
  }

  /** Whether the idle time is over. */
  isExpired(now: Instant): boolean {
    return !this.isConnected || now >= this.idleUntil;
  }

  /** Sends a request; resolves with the head of its answer, or with how it failed. */
  send(request: OutgoingRequest): OpenedRequest {
    this.isBusy = true;
    return new Exchange(
      this.client,
      request,
      this.protocol,
      () => this.isReset,
      head => this.noteEnd(head),
    ).opened;
  }

  /** Cuts the connection. */
  destroy(): void {
    this.isConnected = false;
    void this.client.destroy();
  }

  private noteEnd(head: AnswerHead | undefined): void {
    this.isBusy = false;
    if (head === undefined) {
      this.destroy();
      this.events.onClosed(this);
      return;
    }
    const now = this.clock.now();
    this.idleSince = now;
    this.idleMilliseconds = head.facts.idleTimeoutMilliseconds;
    const limit = this.idleMilliseconds ?? LONGEST_IDLE_MILLISECONDS;
    this.idleUntil = after(now, Math.min(limit, LONGEST_IDLE_MILLISECONDS));
    // undici closes a connection that can't be kept right after it reports the end.
    setImmediate(() => {
      if (this.isConnected && !this.isBusy) this.events.onIdle(this);
    });
  }

  private noteClosed(): void {
    if (!this.isConnected) return;
    this.isConnected = false;
    this.events.onClosed(this);
  }
}

/**
 * Calls back when a connection was reset, also when the runtime reports its end only.
 * A reset that arrives together with the last bytes is read as a normal end, and undici
 * takes both for the end of an answer that has no length. A write of no bytes fails on a
 * connection that was reset, and does nothing on one that was closed.
 */
function watchForReset(socket: Socket | null, onReset: () => void): void {
  socket?.prependListener('error', onReset);
  socket?.prependListener('end', () => {
    socket.write(NOTHING);
    if (socket.errored) onReset();
  });
}

/** One request and its answer. */
class Exchange implements Dispatcher.DispatchHandler {
  readonly opened: OpenedRequest;
  private controller: Dispatcher.DispatchController | undefined;
  private isWritten = false;
  private head: AnswerHead | undefined;
  private body: AnswerBody | undefined;
  private isOver = false;
  private resolve!: (result: Awaited<OpenedRequest['result']>) => void;

  constructor(
    private readonly client: Client,
    request: OutgoingRequest,
    private readonly protocol: EndpointProtocol,
    private readonly isReset: () => boolean,
    private readonly onEnd: (head: AnswerHead | undefined) => void,
  ) {
    const result = new Promise<Awaited<OpenedRequest['result']>>(resolve => {
      this.resolve = resolve;
    });
    this.opened = {result, abort: () => this.abort()};
    client.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.target,
        headers: request.headers,
        body: request.body ?? null,
      },
      this,
    );
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isWritten) {
      // undici would write the request a second time after its connection was lost.
      controller.abort(new Error('not sent twice'));
      return;
    }
    // Node.js has the bytes from here on; they may reach the endpoint.
    this.isWritten = true;
    if (this.isOver) controller.abort(new Error('cancelled'));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (status < 200) return;
    const headers = toText(controller.rawHeaders);
    this.head = {
      status,
      headers,
      facts: this.protocol.readAnswer(status, headers),
    };
    this.body = AnswerBody.create(controller);
    controller.pause();
    this.resolve({kind: 'answered', head: this.head, body: this.body});
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.body?.push(chunk);
  }

  onResponseEnd(): void {
    if (this.isOver) return;
    this.isOver = true;
    const isBroken = this.isReset();
    this.onEnd(isBroken ? undefined : this.head);
    this.body?.end(isBroken ? 'broken' : 'complete');
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    failure: Error,
  ): void {
    if (this.isOver) return;
    this.isOver = true;
    this.onEnd(undefined);
    if (this.body !== undefined) {
      this.body.end('broken');
      return;
    }
    this.resolve({
      kind: 'failed',
      failure,
      delivery: this.isWritten ? 'maybe_run' : 'not_sent',
    });
  }

  /** Cuts the connection, so that the endpoint stops working on the request. */
  private abort(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.controller?.abort(new Error('cancelled'));
    this.onEnd(undefined);
    this.body?.end('broken');
    this.resolve({
      kind: 'failed',
      failure: new Error('cancelled'),
      delivery: this.isWritten ? 'maybe_run' : 'not_sent',
    });
    void this.client.destroy();
  }
}

function toText(
  headers: Dispatcher.DispatchController['rawHeaders'],
): RawHeaders {
  if (!Array.isArray(headers)) return [];
  return headers.map(part => part.toString('latin1'));
}
