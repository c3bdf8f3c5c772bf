/** Relays an endpoint's response to the caller, with backpressure. */

import type {
  BufferMemory,
  ResponseBody,
  ResponseHead,
  BodyEnd,
  EventStreamSplitter,
  SentRequest,
} from '@siskinmux/forwarding';
import {
  ByteAccumulator,
  UNBOUNDED_MEMORY,
  findHeader,
} from '@siskinmux/forwarding';
import type {CancelTimer, Clock, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {CallerExchange} from './caller_exchange.js';

/** Bodies up to this size are buffered whole before the caller gets any of them. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** Bounds on a body that is read only for the reuse of its connection. */
const MAXIMUM_DISCARDED_BYTES = 65_536;
const DISCARD_MILLISECONDS: Milliseconds = 1_000;

const CONTENT_LENGTH = 'content-length';
const CONTENT_TYPE = 'content-type';
const EVENT_STREAM = 'text/event-stream';

/** A short body and how it ended, or the beginning of a long body. */
export type BufferingResult =
  | {readonly kind: 'short'; readonly body: Buffer; readonly end: BodyEnd}
  | {
      readonly kind: 'long';
      readonly buffered: Buffer;
      readonly end: Promise<BodyEnd>;
    };

/**
 * Buffers a short body, so that the request can be retried if the response breaks off. A
 * body that exceeds the buffer, or the memory, is paused until `relayRest` is called.
 */
export function bufferBody(
  body: ResponseBody,
  memory: BufferMemory = UNBOUNDED_MEMORY,
): {
  readonly result: Promise<BufferingResult>;
  /** Resumes a long body whose beginning has been passed on, and passes on the rest. */
  relayRest(onData: (chunk: Buffer) => boolean): void;
} {
  const buffered = ByteAccumulator.create(memory);
  /** The chunk for which there was no memory. */
  let lastChunk: Buffer | undefined;
  let longCapacity = 0;
  let onData: ((chunk: Buffer) => boolean) | undefined;
  let resolveLong: (() => void) | undefined;
  const long = new Promise<void>(resolve => {
    resolveLong = resolve;
  });
  const end = body.read(chunk => {
    if (onData !== undefined) return onData(chunk);
    const isHeld = buffered.append(chunk);
    if (isHeld && buffered.length <= MAXIMUM_BUFFERED_BYTES) return true;
    if (!isHeld) lastChunk = chunk;
    resolveLong?.();
    return false;
  });
  const result = Promise.race([
    end.then((bodyEnd): BufferingResult => ({
      kind: 'short',
      body: buffered.take(),
      end: bodyEnd,
    })),
    long.then((): BufferingResult => {
      longCapacity = buffered.capacity;
      const begun = buffered.take();
      return {
        kind: 'long',
        buffered: lastChunk ? Buffer.concat([begun, lastChunk]) : begun,
        end,
      };
    }),
  ]);
  return {
    result,
    relayRest: onRest => {
      onData = onRest;
      memory.shrink(longCapacity);
      body.resume();
    },
  };
}

/**
 * Reads a short body to its end, so that its connection can be reused. Closes the connection
 * if the body is long or doesn't end.
 */
export function discardBody(
  body: ResponseBody,
  sentRequest: SentRequest,
  clock: Clock,
): void {
  const abort = (): void => sentRequest.abort('request_ended');
  const cancel = clock.schedule(
    after(clock.now(), DISCARD_MILLISECONDS),
    abort,
  );
  let size = 0;
  const end = body.read(chunk => {
    size += chunk.length;
    if (size > MAXIMUM_DISCARDED_BYTES) abort();
    return true;
  });
  void end.finally(cancel);
}

/** Called while a response is passed on. */
export interface RelayObserver {
  /** Complete events are about to be passed on. */
  readonly onEvents?: () => void;
  /** The bytes are no event stream, or not the rest of this one. */
  readonly onFault?: () => void;
  /** The caller's buffer is full, and the endpoint is not read until `onResume`. */
  readonly onPause?: () => void;
  readonly onResume?: () => void;
}

/** Creates a writer that pauses the endpoint's body while the caller's buffer is full. */
export function writeWithBackpressure(
  exchange: CallerExchange,
  body: ResponseBody,
  {onPause, onResume}: Pick<RelayObserver, 'onPause' | 'onResume'> = {},
): (chunk: Buffer) => boolean {
  return chunk => {
    if (chunk.length === 0 || exchange.write(chunk)) return true;
    onPause?.();
    exchange.onDrain(() => {
      onResume?.();
      body.resume();
    });
    return false;
  };
}

/**
 * Relays complete events only. A stream that ends inside an event has broken off, and can
 * resume at another endpoint if its route allows that.
 */
export function relayEvents(
  exchange: CallerExchange,
  body: ResponseBody,
  events: EventStreamSplitter,
  observer: RelayObserver,
): Promise<BodyEnd> {
  const write = writeWithBackpressure(exchange, body, observer);
  return body.read(chunk => {
    const complete = events.push(chunk);
    if (complete.length > 0) observer.onEvents?.();
    const canContinue = write(complete);
    if (events.fault !== undefined) observer.onFault?.();
    return canContinue;
  });
}

/** What {@link waitForEvent} has found; `late` if the wait was ended. */
export type AwaitedEvent =
  'event' | 'end' | 'broken' | 'invalid' | 'no_memory' | 'late';

/**
 * Reads until the body holds a complete event of `events`, and gives all of it back unread.
 * `limitWait` schedules the end of the wait.
 */
export function waitForEvent(
  body: ResponseBody,
  events: EventStreamSplitter,
  memory: BufferMemory,
  limitWait: (endWait: () => void) => CancelTimer = () => () => {},
): Promise<AwaitedEvent> {
  const held = ByteAccumulator.create(memory);
  return new Promise(resolve => {
    let isOver = false;
    const finish = (found: AwaitedEvent): void => {
      if (isOver) return;
      isOver = true;
      cancelLimit();
      events.beginContinuation();
      body.putBack(held.release());
      resolve(found);
    };
    const cancelLimit = limitWait(() => finish('late'));
    const find = (chunk: Buffer): AwaitedEvent | undefined => {
      if (!held.append(chunk)) return 'no_memory';
      events.push(chunk);
      if (events.fault !== undefined) return 'invalid';
      return events.eventCount > 0 ? 'event' : undefined;
    };
    const end = body.read(chunk => {
      const found = find(chunk);
      if (found !== undefined) finish(found);
      return found === undefined;
    });
    void end.then(bodyEnd =>
      finish(bodyEnd === 'broken' || events.hasPartialEvent ? 'broken' : 'end'),
    );
  });
}

/** The headers of a response whose body may continue at another endpoint, with another length. */
export function withoutLength(headers: readonly string[]): string[] {
  const isLength = (index: number): boolean =>
    headers[index]?.toLowerCase() === CONTENT_LENGTH;
  return headers.filter((_, index) => !isLength(index - (index % 2)));
}

/** Whether the status is 2xx. The endpoint has to seal such a response, but not an error. */
export function isSuccess(head: ResponseHead): boolean {
  return head.status >= 200 && head.status < 300;
}

/** Whether a response may be the rest of the stream that another one began: it says so itself. */
export function isContinuation(
  began: ResponseHead,
  continued: ResponseHead,
): boolean {
  const hasSameType =
    contentTypeOf(continued) !== undefined ||
    contentTypeOf(began) === undefined;
  return (
    continued.status === began.status && isEventStream(continued) && hasSameType
  );
}

/** Whether the body is a stream of server-sent events, which it is unless its type is another. */
export function isEventStream(head: ResponseHead): boolean {
  const type = contentTypeOf(head);
  return (
    type === undefined || type.trim().toLowerCase().startsWith(EVENT_STREAM)
  );
}

function contentTypeOf({headers}: ResponseHead): string | undefined {
  return findHeader(headers, CONTENT_TYPE);
}
