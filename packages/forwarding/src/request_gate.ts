/** Bounds how many pipelined requests of a connection are parsed ahead of their responses. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ClientLimit, ConnectionUse} from './bounded_connections.js';
import {HeadScanner} from './head_scanner.js';
import type {HeadLimit, HeadRules} from './head_watch.js';
import {HeadWatch} from './head_watch.js';
import type {AnswerKind} from './refusal_streak.js';
import {RefusalStreak} from './refusal_streak.js';
import type {RequestTurns} from './request_turns.js';

/** Requests of a connection that may be open at the same time. */
export const MAXIMUM_OPEN_REQUESTS = 2;

/**
 * Bytes that are read and dropped after the last response of a connection. A connection that is
 * closed with unread bytes is reset, and its client may lose the response.
 */
export const MAXIMUM_DROPPED_BYTES = 65_536;

/** Decides how many received bytes may be parsed now. */
export interface ReceiveGate {
  /**
   * Number of the bytes that may be parsed now; 0 for none until the connection is continued.
   * `isFirst` says whether they have just been read, with none waiting before them.
   */
  admit(bytes: Buffer, isFirst: boolean): number;
  /** What becomes of received bytes: they are admitted, dropped, or no longer read. */
  readonly receipt: 'admitted' | 'dropped' | 'ended';
  /** Counts bytes that were dropped. */
  drop(count: number): void;
}

/** Whether a response is the last one of its connection. */
export type ConnectionEnd = 'keep' | 'close';

/** Passes on what a connection holds, as far as its gate admits it. */
export type ContinueReceipt = () => void;

/** Options of {@link RequestGate}. */
export interface RequestGateOptions {
  readonly turns: RequestTurns;
  /** Called when a limit has taken effect on the connection. */
  readonly onLimited: (limit: ClientLimit, socket: Socket) => void;
  /** Limits on heads, if there are other ones than those of Node.js. */
  readonly heads?: HeadRules | undefined;
}

/**
 * The gate of one connection. Node.js parses all that one read returns, and answers it, before
 * anything else runs; so a connection gets one head at a time, and further ones in turn with other
 * connections that pipeline requests. Nothing is parsed while the connection's responses are
 * unread.
 */
export class RequestGate implements ReceiveGate {
  private readonly heads = HeadScanner.create();
  private readonly refusals = RefusalStreak.create();
  private openCount = 0;
  /** The request that was parsed last. */
  private request: IncomingMessage | undefined;
  /** Bytes that are missing of a body of known length. */
  private bodyBytes = 0;
  private hasTurn = false;
  private isHeldBack = false;
  /** Whether received bytes wait. */
  private isWaiting = false;
  /** Whether the last response of the connection has begun. */
  private isLastBegun = false;
  private droppedBytes = 0;
  private readonly headWatch: HeadWatch | undefined;
  /** What the head that was received last exceeds. */
  private exceeded: HeadLimit | undefined;
  private continueReceipt: ContinueReceipt = () => {};

  private constructor(
    private readonly socket: Socket,
    private readonly options: RequestGateOptions,
  ) {
    this.headWatch =
      options.heads &&
      HeadWatch.create({
        ...options.heads,
        isHeldBack: () => this.isWaiting || socket.isPaused(),
        onTimeout: () => this.refuseHead('head_time'),
      });
    socket.on('resume', () => this.waitForTurn());
    socket.once('close', () => {
      options.turns.remove(this.takeTurn);
      this.headWatch?.stop();
    });
  }

  static create(socket: Socket, options: RequestGateOptions): RequestGate {
    return new RequestGate(socket, options);
  }

  /** What the connection is used for now. */
  get use(): ConnectionUse {
    const {socket, openCount, request} = this;
    if (this.isLastBegun && openCount === 0) return 'held_back';
    const isAhead = this.isWaiting && openCount >= MAXIMUM_OPEN_REQUESTS;
    if (isAhead || socket.writableNeedDrain) return 'held_back';
    if (openCount === 0) return 'idle';
    return request?.complete === false ? 'receiving' : 'serving';
  }

  /** Sets what is called when more may be parsed. */
  onContinue(continueReceipt: ContinueReceipt): void {
    this.continueReceipt = continueReceipt;
  }

  /** Counts a request until its response has been sent or its connection has closed. */
  begin(request: IncomingMessage, response: ServerResponse): void {
    this.openCount += 1;
    this.request = request;
    const {'content-length': length = 0} = request.headers;
    this.bodyBytes = Number(length);
    response.once('close', () => {
      this.openCount -= 1;
      this.sendHeadRefusal();
      this.waitForTurn();
    });
  }

  /**
   * Records what a request is answered, before its response begins; whether that has to be the
   * last response of the connection. Nothing that comes after its request is parsed then.
   */
  answer(request: IncomingMessage, kind: AnswerKind): ConnectionEnd {
    this.refusals.record(kind);
    const isRefused = kind === 'caller_refused' && this.refusals.isAtLimit;
    // A request that was parsed after this one still has to get its response.
    if (!isRefused || request !== this.request) return 'keep';
    this.beginLast();
    this.options.onLimited('refusals', this.socket);
    return 'close';
  }

  get receipt(): 'admitted' | 'dropped' | 'ended' {
    const isInside = this.request?.complete === false;
    if (!this.isLastBegun || isInside) return 'admitted';
    return this.droppedBytes < MAXIMUM_DROPPED_BYTES ? 'dropped' : 'ended';
  }

  drop(count: number): void {
    this.droppedBytes += count;
  }

  /**
   * Ends the connection after the response that begins now. Its client is given time to read it;
   * see {@link BoundedConnections.closeUnread}.
   */
  private beginLast(): void {
    this.isLastBegun = true;
    // Node.js calls this when the last response has been sent.
    this.socket.destroySoon = () => {
      this.socket.end();
      this.continueReceipt();
    };
  }

  admit(bytes: Buffer, isFirst: boolean): number {
    const count = this.countAdmitted(bytes, isFirst);
    this.isWaiting = count === 0;
    return count;
  }

  private countAdmitted(bytes: Buffer, isFirst: boolean): number {
    // Node.js pauses the connection while its responses or the body of a request aren't read.
    if (this.socket.isPaused()) return 0;
    if (this.bodyBytes > 0) {
      const count = Math.min(this.bodyBytes, bytes.length);
      this.bodyBytes -= count;
      return count;
    }
    if (this.exceeded !== undefined) return 0;
    if (this.request?.complete === false) return this.heads.advance(bytes);
    if (this.heads.isAtStart && !this.mayBegin(isFirst)) return 0;
    const count = this.heads.advance(bytes);
    if (this.headWatch?.record(count, this.heads.isAtStart) !== false)
      return count;
    this.refuseHead('head_bytes');
    return 0;
  }

  private refuseHead(limit: HeadLimit): void {
    this.exceeded = limit;
    this.options.onLimited(limit, this.socket);
    this.sendHeadRefusal();
  }

  /** Ends the connection with a refusal of its head, after the responses to earlier requests. */
  private sendHeadRefusal(): void {
    const {exceeded, socket, options} = this;
    if (exceeded === undefined || this.openCount > 0 || this.isLastBegun)
      return;
    this.beginLast();
    if (socket.writable && options.heads !== undefined)
      socket.write(options.heads.refuse(exceeded));
    // What the connection holds is dropped in a later turn: this may be a call of its own.
    setImmediate(() => socket.destroySoon());
  }

  private mayBegin(isFirst: boolean): boolean {
    if (this.openCount >= MAXIMUM_OPEN_REQUESTS) {
      if (!this.isHeldBack) this.options.onLimited('read_ahead', this.socket);
      this.isHeldBack = true;
      return false;
    }
    // The next request is the only one then, so that its response can be the last.
    if (this.openCount > 0 && this.refusals.isAtLimit) return false;
    if (this.hasTurn || (isFirst && this.openCount === 0)) {
      this.hasTurn = false;
      return true;
    }
    this.options.turns.enqueue(this.takeTurn);
    return false;
  }

  private waitForTurn(): void {
    if (this.isWaiting && !this.socket.destroyed)
      this.options.turns.enqueue(this.takeTurn);
  }

  private readonly takeTurn = (): void => {
    this.hasTurn = true;
    this.continueReceipt();
    this.hasTurn = false;
  };
}
