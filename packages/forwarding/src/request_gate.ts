/** Bounds how many pipelined requests of a connection are parsed ahead of their responses. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionUse} from './bounded_connections.js';
import {HeadScanner} from './head_scanner.js';
import type {RequestTurns} from './request_turns.js';

/** Requests of a connection that may be open at the same time. */
export const MAXIMUM_OPEN_REQUESTS = 2;

/** Decides how many received bytes may be parsed now. */
export interface ReceiveGate {
  /**
   * Number of the bytes that may be parsed now; 0 for none until the connection is continued.
   * `isFirst` says whether they have just been read, with none waiting before them.
   */
  admit(bytes: Buffer, isFirst: boolean): number;
}

/** Passes on what a connection holds, as far as its gate admits it. */
export type ContinueReceipt = () => void;

/** Options of {@link RequestGate}. */
export interface RequestGateOptions {
  readonly turns: RequestTurns;
  /** Called when a connection is held back at the bound on open requests for the first time. */
  readonly onHeldBack: (socket: Socket) => void;
}

/**
 * The gate of one connection. Node.js parses all that one read returns, and answers it, before
 * anything else runs; so a connection gets one head at a time, and further ones in turn with other
 * connections that pipeline requests. Nothing is parsed while the connection's responses are
 * unread.
 */
export class RequestGate implements ReceiveGate {
  private readonly heads = HeadScanner.create();
  private openCount = 0;
  /** The request that was parsed last. */
  private request: IncomingMessage | undefined;
  /** Bytes that are missing of a body of known length. */
  private bodyBytes = 0;
  private hasTurn = false;
  private isHeldBack = false;
  /** Whether received bytes wait. */
  private isWaiting = false;
  private continueReceipt: ContinueReceipt = () => {};

  private constructor(
    private readonly socket: Socket,
    private readonly options: RequestGateOptions,
  ) {
    socket.on('resume', () => this.waitForTurn());
    socket.once('close', () => options.turns.remove(this.takeTurn));
  }

  static create(socket: Socket, options: RequestGateOptions): RequestGate {
    return new RequestGate(socket, options);
  }

  /** What the connection is used for now. */
  get use(): ConnectionUse {
    const {socket, openCount, request} = this;
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
      this.waitForTurn();
    });
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
    const isInside = this.request?.complete === false || !this.heads.isAtStart;
    if (!isInside && !this.mayBegin(isFirst)) return 0;
    return this.heads.advance(bytes);
  }

  private mayBegin(isFirst: boolean): boolean {
    if (this.openCount >= MAXIMUM_OPEN_REQUESTS) {
      if (!this.isHeldBack) this.options.onHeldBack(this.socket);
      this.isHeldBack = true;
      return false;
    }
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
