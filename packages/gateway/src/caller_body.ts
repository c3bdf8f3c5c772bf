/** Receives the body of a caller's request. */

import type {IncomingMessage} from 'node:http';
import type {BufferHolder, ReceiveMeter} from '@siskinmux/forwarding';
import {ByteAccumulator} from '@siskinmux/forwarding';
import type {Clock, Milliseconds} from '@siskinmux/kernel';
import {
  ErrorCode,
  RefusalError,
  after,
  createNotRunRefusal,
  scheduleWhileAwake,
} from '@siskinmux/kernel';

/** Bytes that are received before the request has been routed. */
const MAXIMUM_UNROUTED_BYTES = 65_536;

/** Bounds on the rest of a body that is read only for the reuse of its connection. */
const MAXIMUM_DISCARDED_BYTES = 262_144;
const DISCARD_MILLISECONDS: Milliseconds = 1_000;

/** Time after which a request that found no memory for its body is worth a retry. */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 1_000;

/** `Retry-After` of a body above a limit that may have been raised. */
const LIMIT_RETRY_AFTER_MILLISECONDS: Milliseconds = 500;

/** What has become of a body. */
type Receipt = Buffer | undefined | RefusalError;

/**
 * The body of one request. Receipt begins at once, since Node.js keeps each chunk that nobody
 * receives as an object of its own.
 */
export class CallerBody {
  private readonly received: ByteAccumulator;
  /** Most bytes to collect; undefined until the request has been routed. */
  private limit: number | undefined;
  private isLimitCurrent = true;
  private isSettled = false;
  private isDiscarded = false;
  private isAnswered = false;
  private discardedBytes = 0;
  private readonly receipt: Promise<Receipt>;
  private settle!: (receipt: Receipt) => void;

  private constructor(
    private readonly request: IncomingMessage,
    private readonly meter: ReceiveMeter,
    private readonly clock: Clock,
    /** Memory of the body and of its response, until the response has been sent. */
    readonly memory: BufferHolder,
  ) {
    this.received = ByteAccumulator.create(memory);
    this.receipt = new Promise(resolve => {
      this.settle = resolve;
    });
    request.on('data', (chunk: Buffer) => this.handleChunk(chunk));
    // Without a first read, the chunks of the current turn are kept until its end.
    request.read(0);
    request.once('end', () => this.handleEnd());
    // The connection ended before the whole request had arrived.
    request.on('error', failure => this.refuse(callerGone(String(failure))));
    request.once('close', () =>
      this.refuse(callerGone('closed inside the body')),
    );
  }

  /** Begins to receive the body of a request whose head has been read. */
  static create(
    request: IncomingMessage,
    meter: ReceiveMeter,
    clock: Clock,
    memory: BufferHolder,
  ): CallerBody {
    return new CallerBody(request, meter, clock, memory);
  }

  /**
   * Resolves to the whole body; undefined if it is empty. Refuses one above `limit` bytes, for
   * good only if the limit is current.
   */
  async collect(
    limit: number,
    isLimitCurrent: boolean,
  ): Promise<Buffer | undefined> {
    this.limit = limit;
    this.isLimitCurrent = isLimitCurrent;
    this.checkLimit();
    this.request.resume();
    const receipt = await this.receipt;
    if (receipt instanceof RefusalError) throw receipt;
    // A short body may have been whole before its limit was known.
    if (receipt !== undefined && receipt.length > limit)
      throw this.refusalAbove(limit);
    return receipt;
  }

  /**
   * Drops what has come and what comes, so that the connection can be reused. Closes it if the
   * rest is long or doesn't end; until then, the caller has time to read the response.
   */
  discard(): void {
    if (this.isAnswered) return;
    this.isAnswered = true;
    const {request, clock} = this;
    this.refuse(callerGone('answered inside the body'));
    request.resume();
    if (request.complete || request.destroyed) return;
    const cancel = scheduleWhileAwake(
      clock,
      after(clock.now(), DISCARD_MILLISECONDS),
      () => request.socket.destroy(),
    );
    // A listener of the socket would keep the request for as long as its connection is kept.
    request.once('close', cancel);
  }

  /** The next request may have been read together with the last bytes of this one. */
  private stopLater(): void {
    process.nextTick(() => {
      if (!this.request.complete) this.meter.stop();
    });
  }

  private handleChunk(chunk: Buffer): void {
    this.meter.record(chunk.length);
    if (this.isDiscarded) {
      this.discardedBytes += chunk.length;
      if (this.discardedBytes > MAXIMUM_DISCARDED_BYTES) this.stopLater();
      return;
    }
    if (this.received.append(chunk)) this.checkLimit();
    else this.refuseForMemory(chunk.length);
  }

  /** Length that the head states; 0 if it states none. */
  private get declaredBytes(): number {
    return Number(this.request.headers['content-length'] ?? 0);
  }

  private checkLimit(): void {
    const {received, limit, request} = this;
    if (limit === undefined) {
      if (received.length > MAXIMUM_UNROUTED_BYTES) request.pause();
    } else if (Math.max(received.length, this.declaredBytes) > limit) {
      this.refuse(this.refusalAbove(limit));
    }
  }

  private handleEnd(): void {
    if (this.isSettled) return;
    this.isSettled = true;
    const {received} = this;
    this.settle(received.length === 0 ? undefined : received.take());
  }

  private refusalAbove(limit: number): RefusalError {
    const {clock, isLimitCurrent} = this;
    const detail = `above ${limit} bytes`;
    return isLimitCurrent
      ? createNotRunRefusal(ErrorCode.BodyTooLarge, detail)
      : createNotRunRefusal(
          ErrorCode.ConfigurationUnavailable,
          detail,
          after(clock.now(), LIMIT_RETRY_AFTER_MILLISECONDS),
        );
  }

  private refuseForMemory(bytes: number): void {
    const {clock, memory, received} = this;
    this.refuse(
      memory.fits(received.capacityWith(bytes))
        ? createNotRunRefusal(
            ErrorCode.BuffersFull,
            `after ${received.length} bytes`,
            after(clock.now(), RETRY_AFTER_MILLISECONDS),
          )
        : createNotRunRefusal(
            ErrorCode.BodyTooLarge,
            'above what this node can hold',
          ),
    );
  }

  /** Has no effect on a body that is whole. */
  private refuse(refusal: RefusalError): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.isDiscarded = true;
    this.received.release();
    this.settle(refusal);
  }
}

const callerGone = (detail: string): RefusalError =>
  createNotRunRefusal(ErrorCode.CallerGone, detail);
