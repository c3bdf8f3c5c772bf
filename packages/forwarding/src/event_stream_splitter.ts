/** Cuts an event stream at the ends of its events, and knows the last one's id. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Longest event that is held back until it is whole. */
const LONGEST_EVENT_BYTES = 1_048_576;

/**
 * Splits a stream of server-sent events (WHATWG HTML, 9.2) into whole events. Only whole
 * events are passed on, so that the stream can go on elsewhere after a break.
 */
export class EventStreamSplitter {
  private rest: Buffer = Buffer.alloc(0);
  private lastId: string | undefined;

  private constructor() {}

  static create(): EventStreamSplitter {
    return new EventStreamSplitter();
  }

  /** Id of the last whole event; undefined before the first one. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Whether an event has begun and is not whole yet. */
  get hasPartialEvent(): boolean {
    return this.rest.length > 0;
  }

  /** Takes bytes and returns the whole events in them, unchanged; maybe none. */
  push(chunk: Buffer): Buffer {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const end = endOfLastEvent(bytes);
    const isTooLong = bytes.length - end > LONGEST_EVENT_BYTES;
    const cut = isTooLong ? bytes.length : end;
    this.rest = bytes.subarray(cut);
    const whole = bytes.subarray(0, cut);
    this.lastId = lastIdIn(whole) ?? this.lastId;
    return whole;
  }

  /** Forgets the event that was cut, before the stream goes on elsewhere. */
  discardPartialEvent(): void {
    this.rest = Buffer.alloc(0);
  }
}

/** Index behind the last blank line; 0 when there is none. */
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
