/** A request that was sent to an endpoint, and its answer as it comes in. */

import type {AnswerMetadata, RawHeaders} from './endpoint_protocol.js';

/** Status, headers and what they say. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly facts: AnswerMetadata;
}

/** What came of sending a request. */
export type SendResult =
  | {
      readonly kind: 'answered';
      readonly head: AnswerHead;
      readonly body: AnswerBody;
    }
  | {
      readonly kind: 'failed';
      readonly failure: Error;
      /** Whether bytes of the request can have reached the endpoint. */
      readonly delivery: 'not_sent' | 'maybe_run';
    };

/** A request under way. */
export interface OpenedRequest {
  readonly result: Promise<SendResult>;
  /** Cuts the connection; the result, or the body's end, says that it broke. */
  abort(): void;
}

/** How a body ended. */
export type BodyEnd = 'complete' | 'broken';

/** Pauses and resumes the bytes of an answer. */
export interface FlowControl {
  pause(): void;
  resume(): void;
}

/** The body of an answer; it waits until somebody reads it. */
export class AnswerBody {
  private onData: ((chunk: Buffer) => boolean) | undefined;
  private onEnd: ((end: BodyEnd) => void) | undefined;
  private early: Buffer[] = [];
  private ended: BodyEnd | undefined;

  private constructor(private readonly flow: FlowControl) {}

  static create(flow: FlowControl): AnswerBody {
    return new AnswerBody(flow);
  }

  /**
   * Passes on the bytes as they come; `onData` returns false to hold them back until
   * {@link resume}. Resolves when the body has ended.
   */
  read(onData: (chunk: Buffer) => boolean): Promise<BodyEnd> {
    this.onData = onData;
    const ended = new Promise<BodyEnd>(resolve => {
      this.onEnd = resolve;
    });
    let mayGoOn = true;
    for (const chunk of this.early) mayGoOn = onData(chunk) && mayGoOn;
    this.early = [];
    if (this.ended !== undefined) this.onEnd?.(this.ended);
    else if (mayGoOn) this.flow.resume();
    return ended;
  }

  /** Goes on after `onData` has held the bytes back. */
  resume(): void {
    if (this.ended === undefined) this.flow.resume();
  }

  /** @internal Takes bytes off the wire. */
  push(chunk: Buffer): void {
    if (this.onData === undefined) this.early.push(chunk);
    else if (!this.onData(chunk)) this.flow.pause();
  }

  /** @internal Takes the end off the wire. */
  end(end: BodyEnd): void {
    if (this.ended !== undefined) return;
    this.ended = end;
    if (this.onData !== undefined) this.onEnd?.(end);
  }
}
