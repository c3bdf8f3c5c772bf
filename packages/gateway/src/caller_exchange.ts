/** A caller's request and its response, on top of the HTTP server's objects. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  AnswerKind,
  BufferMemory,
  ConnectionEnd,
  RawHeaders,
} from '@siskinmux/forwarding';
import {ByteAccumulator} from '@siskinmux/forwarding';
import type {Clock, Instant, Milliseconds} from '@siskinmux/kernel';
import type {RelayStatement, RelayedProgress} from '@siskinmux/relay';
import {
  RELAY_HEADER,
  encodeStatement,
  withoutRelayHeader,
} from '@siskinmux/relay';
import {ErrorCode, after} from '@siskinmux/kernel';
import type {CallerBody} from './caller_body.js';

const CONTENT_LENGTH = 'content-length';

/** Bytes that are written at once; each write takes a frame and several objects. */
const MAXIMUM_MERGED_BYTES = 16_384;

/** libuv reads a reset that arrives together with bytes as a plain end. */
export const RESET_DELAY_MILLISECONDS: Milliseconds = 10;

/** Refusals for the key or the quota of the caller. */
const CALLER_REFUSALS: ReadonlySet<ErrorCode> = new Set([
  ErrorCode.Unauthenticated,
  ErrorCode.QuotaExceeded,
]);

/** Records what a request is answered; whether its connection is closed after the response. */
export type RecordAnswer = (kind: AnswerKind) => ConnectionEnd;

/** What a response answers, by what a node states with it. */
function answerKindOf(statement: RelayStatement): AnswerKind {
  if (statement.kind === 'endpoint') return 'served';
  return CALLER_REFUSALS.has(statement.code) ? 'caller_refused' : 'refused';
}

/** One HTTP exchange with a caller. */
export class CallerExchange {
  /** Chunks that are written at the end of this turn of the event loop. */
  private readonly unwritten = ByteAccumulator.create();
  private isFlushScheduled = false;
  private isHeadSent = false;
  private hasLength = false;
  private hasEnded = false;
  /** Whether the response has ended, and wasn't cut. */
  private isWhole = false;

  private constructor(
    private readonly request: IncomingMessage,
    private readonly body: CallerBody,
    private readonly response: ServerResponse,
    private readonly clock: Clock,
    /** Path and query as the caller sent them. */
    readonly target: string,
    /** When the request's head had been read, by the first node if it was relayed. */
    readonly receivedAt: Instant,
    /** Set if another node relayed the request. */
    readonly relayed: RelayedProgress | undefined,
    private readonly recordAnswer: RecordAnswer,
  ) {
    // Writing to a caller that has just disconnected fails; 'close' reports the disconnect.
    response.on('error', () => {});
  }

  static create(options: {
    request: IncomingMessage;
    body: CallerBody;
    response: ServerResponse;
    clock: Clock;
    target: string;
    receivedAt: Instant;
    relayed: RelayedProgress | undefined;
    recordAnswer: RecordAnswer;
  }): CallerExchange {
    const {request, body, response, clock, target, receivedAt} = options;
    return new CallerExchange(
      request,
      body,
      response,
      clock,
      target,
      receivedAt,
      options.relayed,
      options.recordAnswer,
    );
  }

  get method(): string {
    return this.request.method ?? 'GET';
  }

  get host(): string | undefined {
    return this.request.headers.host;
  }

  get headers(): RawHeaders {
    return withoutRelayHeader(this.request.rawHeaders);
  }

  /** Whether the response's status and headers have been sent. */
  get hasSentHead(): boolean {
    return this.isHeadSent;
  }

  /** Whether the response has been ended or cut. */
  get isOver(): boolean {
    return this.hasEnded;
  }

  /** How much of a response the caller has been sent. */
  get progress(): 'none' | 'begun' | 'whole' {
    if (this.isWhole) return 'whole';
    return this.isHeadSent ? 'begun' : 'none';
  }

  /** Memory for what is buffered of the request and its response. */
  get memory(): BufferMemory {
    return this.body.memory;
  }

  /** Calls back once if the caller disconnects before the response has ended. */
  onDisconnect(callback: () => void): void {
    if (this.response.destroyed && !this.hasEnded) {
      callback();
      return;
    }
    this.response.once('close', () => {
      if (!this.hasEnded) callback();
    });
  }

  /** Reads the whole body; see {@link CallerBody.collect}. */
  readBody(
    limit: number,
    isLimitCurrent: boolean,
  ): Promise<Buffer | undefined> {
    return this.body.collect(limit, isLimitCurrent);
  }

  /**
   * Sends the response's head; `headers` alternates names and values. A node that relayed the
   * request gets the statement with it.
   */
  startResponse(
    status: number,
    forwarded: readonly string[],
    statement: RelayStatement,
  ): void {
    const headers = withoutRelayHeader(forwarded);
    if (this.relayed !== undefined)
      headers.push(RELAY_HEADER, encodeStatement(statement));
    else if (this.recordAnswer(answerKindOf(statement)) === 'close')
      this.disableKeepAlive();
    this.body.discard();
    this.hasLength = headers.some(
      (name, index) => index % 2 === 0 && name.toLowerCase() === CONTENT_LENGTH,
    );
    this.response.writeHead(status, headers);
    this.isHeadSent = true;
    if (this.isEndedByClose) this.resetIfCallerCloses();
  }

  /**
   * Sends a chunk of the body, together with others of this turn of the event loop; false if the
   * write buffer is full, see {@link onDrain}.
   */
  write(chunk: Buffer): boolean {
    if (this.unwritten.length + chunk.length < MAXIMUM_MERGED_BYTES) {
      this.unwritten.append(chunk);
      this.flushLater();
    } else {
      this.flush();
      this.response.write(chunk);
    }
    return !this.response.writableNeedDrain;
  }

  /** Calls back once when the write buffer has drained. */
  onDrain(callback: () => void): void {
    this.response.once('drain', callback);
  }

  /** Ends a complete response. */
  end(lastChunk?: Buffer): void {
    this.hasEnded = true;
    this.isWhole = true;
    this.flush();
    this.response.end(lastChunk);
  }

  /**
   * Ends the connection so that the caller sees the response as truncated. A close is the
   * regular end of a response without a length or chunks, so that one needs a reset.
   */
  cut(): void {
    this.hasEnded = true;
    this.flush();
    const {response} = this;
    if (!this.isEndedByClose) {
      // Node.js hands writes to the connection at the end of the turn.
      setImmediate(() => response.destroy());
      return;
    }
    const {socket} = response;
    this.clock.schedule(after(this.clock.now(), RESET_DELAY_MILLISECONDS), () =>
      socket?.resetAndDestroy(),
    );
  }

  private flushLater(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => {
      this.isFlushScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.unwritten.length > 0) this.response.write(this.unwritten.take());
  }

  /** Node.js closes a connection whose caller has closed its side, which would look like the end. */
  private resetIfCallerCloses(): void {
    const {socket} = this.response;
    socket?.prependOnceListener('end', () => {
      if (!this.isWhole) socket.resetAndDestroy();
    });
  }

  /** Whether nothing but the close of the connection shows the end of the response. */
  private get isEndedByClose(): boolean {
    const {isHeadSent, hasLength, response} = this;
    return isHeadSent && !hasLength && !response.chunkedEncoding;
  }

  /** Closes the connection after this response. */
  disableKeepAlive(): void {
    this.response.shouldKeepAlive = false;
  }
}
