/** A connection to an endpoint that carries one request at a time, based on undici. */

import type {Clock, Instant, Milliseconds} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError, after} from '@siskinmux/kernel';
import {Client, buildConnector} from 'undici';
import type {Dispatcher} from 'undici';
import type {EndpointProtocol, RawHeaders} from './endpoint_protocol.js';
import type {ReceiveMeter} from './receive_scheduler.js';
import {watchForReset} from './reset_detection.js';
import type {
  AbortReason,
  BodyFraming,
  ResponseHead,
  SentRequest,
} from './sent_request.js';
import {ResponseBody} from './sent_request.js';
import type {SocketPacer} from './socket_pacer.js';

/** Interim responses before a final one, after which the endpoint counts as faulty. */
const MAXIMUM_INTERIM_RESPONSES = 1_000;

/** Connect timeout. A lost handshake packet is resent after a second, which is too late. */
const CONNECT_TIMEOUT_MILLISECONDS: Milliseconds = 400;

/** Longest time that a connection is kept idle; an endpoint may close it earlier. */
const MAXIMUM_IDLE_MILLISECONDS: Milliseconds = 4_000;

/** Maximum size of a response's header block; the default of Node.js. */
const MAXIMUM_HEADER_BYTES = 16_384;

/** Requests that a connection remembers; an endpoint responds again to a recent one, if at all. */
const MAXIMUM_REMEMBERED_REQUESTS = 64;

/** A request as it is sent. Its body is buffered, so that it can be sent again. */
export interface OutgoingRequest {
  /** Equal for all sends of one request, whose responses bear the same id. */
  readonly key: number;
  readonly method: string;
  /** Path and query, as received from the caller. */
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Notifications from a connection to its pool. */
export interface ConnectionCallbacks {
  /** The response is complete and the connection can carry another request. */
  onIdle(connection: EndpointConnection): void;
  /** The connection is closed. */
  onClosed(connection: EndpointConnection): void;
}

/** A connection to an endpoint. */
export class EndpointConnection {
  private readonly client: Client;
  private isConnected = false;
  private connectedAt: Instant | undefined;
  private isBusy = false;
  private isReset = false;
  private meter: ReceiveMeter | undefined;
  private idleUntil: Instant;
  /** When the last response was complete; undefined before the first. */
  private idleSince: Instant | undefined;
  private idleTimeoutMilliseconds: Milliseconds | undefined;
  /** Keys of the latest requests that this connection has carried. */
  private readonly carriedKeys: number[] = [];

  private constructor(
    origin: string,
    private readonly clock: Clock,
    private readonly protocol: EndpointProtocol,
    pacer: SocketPacer,
    private readonly callbacks: ConnectionCallbacks,
  ) {
    this.idleUntil = clock.now();
    const connect = buildConnector({timeout: CONNECT_TIMEOUT_MILLISECONDS});
    this.client = new Client(origin, {
      pipelining: 1,
      connect: (options, callback) =>
        connect(options, (...result) => {
          const [, socket] = result;
          watchForReset(socket, () => {
            this.isReset = true;
          });
          if (socket) this.meter = pacer.pace(socket);
          callback(...result);
        }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: MAXIMUM_IDLE_MILLISECONDS,
      keepAliveMaxTimeout: MAXIMUM_IDLE_MILLISECONDS,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
    });
    this.client.on('connect', () => {
      this.isConnected = true;
      this.connectedAt = clock.now();
    });
    this.client.on('disconnect', () => this.handleDisconnect());
  }

  static create(
    origin: string,
    clock: Clock,
    protocol: EndpointProtocol,
    pacer: SocketPacer,
    callbacks: ConnectionCallbacks,
  ): EndpointConnection {
    return new EndpointConnection(origin, clock, protocol, pacer, callbacks);
  }

  /**
   * Whether the connection may be reused. `idleFraction` is the part of the endpoint's
   * idle timeout that may have passed: a request sent while the endpoint closes is lost.
   */
  isReusable(now: Instant, idleFraction: number): boolean {
    if (!this.isConnected || this.isBusy || this.idleSince === undefined) {
      return false;
    }
    if (this.idleTimeoutMilliseconds === undefined)
      return idleFraction >= 1 && now < this.idleUntil;
    return (
      now < after(this.idleSince, this.idleTimeoutMilliseconds * idleFraction)
    );
  }

  /**
   * Whether the connection has carried a send of this request. The endpoint may respond to that
   * one again, and the response to another send couldn't be told from it.
   */
  hasCarried({key}: OutgoingRequest): boolean {
    return this.carriedKeys.includes(key);
  }

  /** Whether the connection is closed or has been idle for too long. */
  isExpired(now: Instant): boolean {
    return !this.isConnected || now >= this.idleUntil;
  }

  /** Sends a request. Its result is the response, or the failure to get one. */
  send(request: OutgoingRequest): SentRequest {
    this.isBusy = true;
    this.carriedKeys.push(request.key);
    if (this.carriedKeys.length > MAXIMUM_REMEMBERED_REQUESTS)
      this.carriedKeys.shift();
    return new HttpExchange(
      this.client,
      request,
      this.protocol,
      bytes => this.meter?.record(bytes),
      () => this.isReset,
      () => this.connectedAt,
      this.idleSince !== undefined,
      head => this.handleEnd(head),
    ).sentRequest;
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.isConnected = false;
    void this.client.destroy();
  }

  /**
   * Keeps the connection for reuse after a complete response. Closes it after a failure;
   * `head` is then undefined.
   */
  private handleEnd(head: ResponseHead | undefined): void {
    this.isBusy = false;
    if (head === undefined) {
      this.destroy();
      this.callbacks.onClosed(this);
      return;
    }
    const now = this.clock.now();
    this.idleSince = now;
    this.idleTimeoutMilliseconds = head.metadata.idleTimeoutMilliseconds;
    const timeoutMilliseconds =
      this.idleTimeoutMilliseconds ?? MAXIMUM_IDLE_MILLISECONDS;
    this.idleUntil = after(
      now,
      Math.min(timeoutMilliseconds, MAXIMUM_IDLE_MILLISECONDS),
    );
    // undici closes a connection that can't be kept alive right after it reports the end.
    setImmediate(() => {
      if (this.isConnected && !this.isBusy) this.callbacks.onIdle(this);
    });
  }

  private handleDisconnect(): void {
    if (!this.isConnected) return;
    this.isConnected = false;
    this.callbacks.onClosed(this);
  }
}

/** An endpoint sends interim responses, and no final one. */
class InterimResponsesError extends SiskinmuxError {
  constructor(count: number) {
    super(ErrorCode.EndpointFailed, `${count} interim responses`);
  }
}

/** One request and its response, as an undici handler. */
class HttpExchange implements Dispatcher.DispatchHandler {
  readonly sentRequest: SentRequest;
  private readonly method: string;
  private controller: Dispatcher.DispatchController | undefined;
  private isWritten = false;
  private head: ResponseHead | undefined;
  private body: ResponseBody | undefined;
  private interimCount = 0;
  private hasEnded = false;
  private abortReason: AbortReason | undefined;
  private resolve!: (result: Awaited<SentRequest['result']>) => void;

  constructor(
    private readonly client: Client,
    request: OutgoingRequest,
    private readonly protocol: EndpointProtocol,
    private readonly onChunk: (bytes: number) => void,
    private readonly isReset: () => boolean,
    connectedAt: () => Instant | undefined,
    isOnUsedConnection: boolean,
    private readonly onEnd: (head: ResponseHead | undefined) => void,
  ) {
    const result = new Promise<Awaited<SentRequest['result']>>(resolve => {
      this.resolve = resolve;
    });
    this.method = request.method;
    const abortReason = (): AbortReason | undefined => this.abortReason;
    this.sentRequest = {
      result,
      isOnUsedConnection,
      get abortReason() {
        return abortReason();
      },
      get connectedAt() {
        return connectedAt();
      },
      abort: reason => this.abort(reason),
    };
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
      // undici would send the request again after its connection was lost.
      controller.abort(new Error('not sent twice'));
      return;
    }
    // From here on, bytes of the request may reach the endpoint.
    this.isWritten = true;
    if (this.hasEnded) controller.abort(new Error('cancelled'));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (status < 200) {
      this.recordInterim(controller);
      return;
    }
    const headers = decodeHeaders(controller.rawHeaders);
    this.head = {
      status,
      headers,
      metadata: this.protocol.readResponse(status, headers),
      framing: framingOf(this.method, status, headers),
    };
    this.body = ResponseBody.create(controller);
    controller.pause();
    this.resolve({kind: 'answered', head: this.head, body: this.body});
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.hasEnded) return;
    this.onChunk(chunk.length);
    this.body?.push(chunk);
  }

  onResponseEnd(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    const isBroken = this.isReset();
    this.onEnd(isBroken ? undefined : this.head);
    this.body?.end(isBroken ? 'broken' : 'complete');
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    failure: Error,
  ): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
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

  /** An interim response is parsed, and costs about as much as a short chunk. */
  private recordInterim(controller: Dispatcher.DispatchController): void {
    this.onChunk(0);
    this.interimCount += 1;
    if (this.interimCount > MAXIMUM_INTERIM_RESPONSES)
      controller.abort(new InterimResponsesError(this.interimCount));
  }

  /** Closes the connection, so that the endpoint stops processing the request. */
  private abort(reason: AbortReason): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.abortReason = reason;
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

/** RFC 9112, 6.3; undici rejects a response that has both a length and a transfer coding. */
function framingOf(
  method: string,
  status: number,
  headers: RawHeaders,
): BodyFraming {
  const values = (name: string): string[] =>
    headers.filter(
      (_, index) =>
        index % 2 === 1 && headers[index - 1]?.toLowerCase() === name,
    );
  if (method === 'HEAD' || status === 204 || status === 304) return 'length';
  const coding = values('transfer-encoding').at(-1);
  if (coding !== undefined)
    return /chunked\s*$/i.test(coding) ? 'chunks' : 'close';
  return values('content-length').length > 0 ? 'length' : 'close';
}

function decodeHeaders(
  headers: Dispatcher.DispatchController['rawHeaders'],
): RawHeaders {
  if (!Array.isArray(headers)) return [];
  return headers.map(part => part.toString('latin1'));
}
