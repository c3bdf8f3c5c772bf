/** A request that was sent to an endpoint, and its streamed response. */

import type {Instant} from '@siskinmux/kernel';
import {ByteAccumulator} from './byte_accumulator.js';
import type {RawHeaders, ResponseMetadata} from './endpoint_protocol.js';
import type {FlowControl} from './receive_scheduler.js';

/** What shows the end of a body: its length, its last chunk, or only the close of the connection. */
export type BodyFraming = 'length' | 'chunks' | 'close';

/** Status and headers of a response, and the metadata decoded from them. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly metadata: ResponseMetadata;
  readonly framing: BodyFraming;
}

/** The response to a request, or the failure to get one. */
export type SendResult =
  | {
      readonly kind: 'answered';
      readonly head: ResponseHead;
      readonly body: ResponseBody;
    }
  | {
      readonly kind: 'failed';
      readonly failure: Error;
      /** Whether bytes of the request may have reached the endpoint. */
      readonly delivery: 'not_sent' | 'maybe_run';
    };

/**
 * Why this node closed the connection of a request in progress. `invalid_response`:
 * the response is none to this request. `superseded`: another endpoint went on first. `request_ended`: the caller left, or has its answer.
 */
export type AbortReason = 'superseded' | 'invalid_response' | 'request_ended';

/** A request in progress. */
export interface SentRequest {
  readonly result: Promise<SendResult>;
  /** Set if this node aborted the request; otherwise a broken response is the endpoint's. */
  readonly abortReason: AbortReason | undefined;
  /** Whether the connection carried a request before, whose endpoint may respond to it once more. */
  readonly isOnUsedConnection: boolean;
  /** When the connection that carries the request was established; undefined before. */
  readonly connectedAt: Instant | undefined;
  /** Closes the connection; the result fails, or the body ends as broken. */
  abort(reason: AbortReason): void;
}

/** How a body ended. */
export type BodyEnd = 'complete' | 'broken';

/** The body of a response; receipt is paused until it is read. */
export class ResponseBody {
  private onData: ((chunk: Buffer) => boolean) | undefined;
  private onEnd: ((end: BodyEnd) => void) | undefined;
  private readonly unread = ByteAccumulator.create();
  private ended: BodyEnd | undefined;

  private constructor(private readonly flow: FlowControl) {}

  static create(flow: FlowControl): ResponseBody {
    return new ResponseBody(flow);
  }

  /**
   * Passes the bytes to `onData` as they arrive. If it returns false, receipt pauses
   * until {@link resume} is called. Resolves when the body has ended.
   */
  read(onData: (chunk: Buffer) => boolean): Promise<BodyEnd> {
    this.onData = onData;
    const bodyEnd = new Promise<BodyEnd>(resolve => {
      this.onEnd = resolve;
    });
    const canContinue = this.unread.length === 0 || onData(this.unread.take());
    if (this.ended !== undefined) this.onEnd?.(this.ended);
    else if (canContinue) this.flow.resume();
    return bodyEnd;
  }

  /** Resumes after `onData` has returned false. */
  resume(): void {
    if (this.ended === undefined) this.flow.resume();
  }

  /** Gives bytes back that `onData` has got and returned false for; the next read begins with them. */
  putBack(bytes: Buffer): void {
    this.onData = undefined;
    this.onEnd = undefined;
    this.unread.append(bytes);
  }

  /** @internal Receives bytes from the connection. */
  push(chunk: Buffer): void {
    if (this.onData === undefined) this.unread.append(chunk);
    else if (!this.onData(chunk)) this.flow.pause();
  }

  /** @internal Receives the end of the body. */
  end(end: BodyEnd): void {
    if (this.ended !== undefined) return;
    this.ended = end;
    if (this.onData !== undefined) this.onEnd?.(end);
  }
}
