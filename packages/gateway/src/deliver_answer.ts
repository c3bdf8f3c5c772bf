/** Passes an endpoint's answer on to the caller, or says how far it got. */

import type {
  AnswerBody,
  AnswerHead,
  BodyEnd,
  EventStream,
} from '@siskinmux/forwarding';
import type {CallerExchange} from './caller_exchange.js';

/** Answers up to this size are read whole before any of it is passed on. */
const COLLECTED_BYTES = 262_144;

/** Collects a short answer, so that a broken one can be replaced; the rest if it is longer. */
export type BufferingResult =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'broken'}
  | {
      readonly kind: 'long';
      readonly buffered: Buffer;
      readonly end: Promise<BodyEnd>;
    };

/** Reads an answer's body; gives up collecting when it is long and holds it back. */
export function collect(body: AnswerBody): {
  readonly collected: Promise<BufferingResult>;
  /** Takes the rest of a long answer. */
  passOn(onData: (chunk: Buffer) => boolean): void;
} {
  let chunks: Buffer[] = [];
  let size = 0;
  let onData: ((chunk: Buffer) => boolean) | undefined;
  let noteLong: (() => void) | undefined;
  const long = new Promise<void>(resolve => {
    noteLong = resolve;
  });
  const end = body.read(chunk => {
    if (onData !== undefined) return onData(chunk);
    chunks.push(chunk);
    size += chunk.length;
    if (size <= COLLECTED_BYTES) return true;
    noteLong?.();
    return false;
  });
  const collected = Promise.race([
    end.then((how): BufferingResult =>
      how === 'complete'
        ? {kind: 'whole', body: Buffer.concat(chunks)}
        : {kind: 'broken'},
    ),
    long.then((): BufferingResult => {
      const begun = Buffer.concat(chunks);
      chunks = [];
      return {kind: 'long', buffered: begun, end};
    }),
  ]);
  return {
    collected,
    passOn: follow => {
      onData = follow;
      body.resume();
    },
  };
}

/** A writer that holds the endpoint back while the caller catches up. */
export function writeTo(
  exchange: CallerExchange,
  body: AnswerBody,
): (chunk: Buffer) => boolean {
  return chunk => {
    if (chunk.length === 0 || exchange.write(chunk)) return true;
    exchange.onDrain(() => body.resume());
    return false;
  };
}

/** Passes on the whole events of a stream as they come. */
export function passEvents(
  exchange: CallerExchange,
  body: AnswerBody,
  events: EventStream,
  onEvents: () => void,
): Promise<BodyEnd> {
  const write = writeTo(exchange, body);
  return body.read(chunk => {
    onEvents();
    return write(events.push(chunk));
  });
}

/** Whether an answer is a success that the endpoint vouches for, or its own failure. */
export function isSuccess(head: AnswerHead): boolean {
  return head.status >= 200 && head.status < 300;
}
