/** One request of a caller and the way back to it, over the listener's HTTP objects. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Instant} from '@siskinmux/kernel';
import {ErrorCode, RefusalError, refuseNotRun} from '@siskinmux/kernel';
import type {RawHeaders} from '@siskinmux/forwarding';

/** A request and its answer channel. */
export class CallerExchange {
  private hasBegun = false;
  private hasEnded = false;

  private constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    /** Path and query as the caller sent them. */
    readonly target: string,
    /** When the head of the request was read. */
    readonly receivedAt: Instant,
  ) {
    // A write to a caller that has just left fails so; its leaving is noted by itself.
    response.on('error', () => {});
  }

  static create(options: {
    request: IncomingMessage;
    response: ServerResponse;
    target: string;
    receivedAt: Instant;
  }): CallerExchange {
    const {request, response, target, receivedAt} = options;
    return new CallerExchange(request, response, target, receivedAt);
  }

  get method(): string {
    return this.request.method ?? 'GET';
  }

  get host(): string | undefined {
    return this.request.headers.host;
  }

  get headers(): RawHeaders {
    return this.request.rawHeaders;
  }

  /** Whether the answer's head has been sent. */
  get isAnswering(): boolean {
    return this.hasBegun;
  }

  /** Calls back once if the caller leaves before it has its whole answer. */
  onGone(callback: () => void): void {
    if (this.response.destroyed && !this.hasEnded) {
      callback();
      return;
    }
    this.response.once('close', () => {
      if (!this.hasEnded) callback();
    });
  }

  /** The whole body; undefined when there is none. Refuses one above `limit` bytes. */
  async readBody(limit: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let size = 0;
    try {
      for await (const chunk of this.request) {
        const bytes = chunk as Buffer;
        size += bytes.length;
        if (size > limit) {
          throw refuseNotRun(ErrorCode.BodyTooLarge, `above ${limit} bytes`);
        }
        chunks.push(bytes);
      }
    } catch (failure) {
      if (failure instanceof RefusalError) throw failure;
      // The connection ended before the whole request had come.
      throw refuseNotRun(ErrorCode.CallerGone, String(failure));
    }
    return chunks.length === 0 ? undefined : Buffer.concat(chunks);
  }

  /** Sends the head of the answer; `headers` holds names and values in turn. */
  startResponse(status: number, headers: string[]): void {
    this.hasBegun = true;
    this.response.writeHead(status, headers);
  }

  /** Sends a part of the body; false when the caller has to catch up first. */
  write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  /** Calls back once when the caller has caught up. */
  onDrain(callback: () => void): void {
    this.response.once('drain', callback);
  }

  /** Ends the answer, which is whole. */
  end(lastChunk?: Buffer): void {
    this.hasEnded = true;
    this.response.end(lastChunk);
  }

  /** Ends the connection, so that the answer does not look whole. */
  cut(): void {
    this.hasEnded = true;
    this.response.destroy();
  }

  /** Asks the caller not to use the connection again. */
  closeAfterwards(): void {
    this.response.shouldKeepAlive = false;
  }
}
