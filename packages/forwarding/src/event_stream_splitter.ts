/** Splits an event stream at event boundaries and tracks the last event id. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Bytes of a long event that are kept back, so that its end is recognised. */
const MAXIMUM_LINE_END_BYTES = 3;

/** Maximum size of a buffered partial event; a larger event is passed on in parts. */
const MAXIMUM_BUFFERED_EVENT_BYTES = 1_048_576;

/**
 * Splits a stream of server-sent events (WHATWG HTML, 9.2) into complete events. Only
 * these are passed on, so that another endpoint can resume the stream after a break.
 */
export class EventStreamSplitter {
  private partialEvent: Buffer = Buffer.alloc(0);
  private lastId: string | undefined;

  private constructor() {}

  static create(): EventStreamSplitter {
    return new EventStreamSplitter();
  }

  /** Id of the last complete event that has one; undefined before the first. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Whether an event has begun and is not complete. */
  get hasPartialEvent(): boolean {
    return this.partialEvent.length > 0;
  }

  /** Adds bytes and returns the events that are now complete, unchanged; possibly none. */
  push(chunk: Buffer): Buffer {
    const bytes =
      this.partialEvent.length === 0
        ? chunk
        : Buffer.concat([this.partialEvent, chunk]);
    const end = endOfLastEvent(bytes);
    const isTooLong = bytes.length - end > MAXIMUM_BUFFERED_EVENT_BYTES;
    const splitAt = isTooLong ? bytes.length - MAXIMUM_LINE_END_BYTES : end;
    this.partialEvent = bytes.subarray(splitAt);
    const complete = bytes.subarray(0, splitAt);
    this.lastId = lastIdIn(complete) ?? this.lastId;
    return complete;
  }

  /** Discards an incomplete event, before another endpoint resumes the stream. */
  discardPartialEvent(): void {
    this.partialEvent = Buffer.alloc(0);
  }
}

/** Index after the last blank line; 0 if there is none. */
function endOfLastEvent(bytes: Buffer): number {
  for (
    let index = bytes.lastIndexOf(LINE_FEED);
    index > 0;
    index = bytes.lastIndexOf(LINE_FEED, index - 1)
  ) {
    const previous = bytes[index - 1];
    const isBlank =
      previous === LINE_FEED ||
      (previous === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED);
    if (isBlank) return index + 1;
  }
  return 0;
}

/** Id of the last event that has one. */
function lastIdIn(events: Buffer): string | undefined {
  if (events.length === 0) return undefined;
  const lines = events.toString('utf8').split(/\r?\n/);
  const line = lines.findLast(text => text.startsWith('id:'));
  return line?.slice('id:'.length).trim();
}
