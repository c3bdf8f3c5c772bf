/** Splits an event stream at event boundaries and tracks the last event id. */

import type {BufferMemory} from './buffer_budget.js';
import {ByteAccumulator} from './byte_accumulator.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const BYTE_ORDER_MARK = [0xef, 0xbb, 0xbf] as const;

/** Maximum size of an event that is buffered whole. */
const MAXIMUM_BUFFERED_EVENT_BYTES = 1_048_576;

/** Longest name of a field; the standard ones have five letters at most. */
const MAXIMUM_FIELD_NAME_BYTES = 64;

const LINE_END = /\r\n|\r|\n/;
const NUMBER = /^\d{1,15}$/;
const NOTHING = Buffer.alloc(0);

/** What of an event decides whether a stream can be resumed after it. */
interface EventSummary {
  readonly id: string | undefined;
  readonly hasData: boolean;
}

/** Options of {@link EventStreamSplitter}. */
export interface EventStreamSplitterOptions {
  /**
   * Whether an event that is too long to be buffered is passed on in parts. Otherwise it is a
   * fault, as no endpoint could resume the stream.
   */
  readonly passesLongEvents: boolean;
  /** What an incomplete event takes its memory from; without any left, it is too long. */
  readonly memory?: BufferMemory;
}

/**
 * Splits a stream of server-sent events (WHATWG HTML, 9.2) into complete events. Only
 * these are passed on, so that another endpoint can resume the stream after a break. Bytes
 * that no event can contain are a fault of the endpoint, and are not passed on.
 */
export class EventStreamSplitter {
  private readonly partialEvent: ByteAccumulator;
  /** Bytes since the end of the last complete event. */
  private eventBytes = 0;
  private lineBytes = 0;
  private isInFieldName = true;
  private isAfterCarriageReturn = false;
  private hasPassedOnPart = false;
  /** Bytes of the current response that form a byte order mark. */
  private markBytes = 0;
  private isAtResponseStart = true;
  private isContinuation = false;
  private isLastEventUnnumbered = false;
  private lastId: string | undefined;
  private completeEvents = 0;
  private currentFault: string | undefined;

  private constructor(private readonly options: EventStreamSplitterOptions) {
    this.partialEvent = ByteAccumulator.create(options.memory);
  }

  static create(options: EventStreamSplitterOptions): EventStreamSplitter {
    return new EventStreamSplitter(options);
  }

  /** Id of the last complete event that has one; undefined before the first. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Complete events with an id or data; comments don't count. */
  get eventCount(): number {
    return this.completeEvents;
  }

  /** Whether an event has begun and is not complete. */
  get hasPartialEvent(): boolean {
    return this.eventBytes > 0;
  }

  /** What shows that the current response is no event stream, or not the rest of this one. */
  get fault(): string | undefined {
    return this.currentFault;
  }

  /** Whether another endpoint can continue right after what has been passed on. */
  get canContinue(): boolean {
    return !this.hasPassedOnPart && !this.isLastEventUnnumbered;
  }

  /** Adds bytes and returns the events that are now complete, unchanged; possibly none. */
  push(chunk: Buffer): Buffer {
    if (this.currentFault !== undefined) return NOTHING;
    const end = this.scan(chunk);
    const complete = end > 0 ? this.complete(chunk.subarray(0, end)) : NOTHING;
    if (this.currentFault !== undefined) {
      this.partialEvent.release();
      return complete;
    }
    const rest = chunk.subarray(end);
    const isHeld = this.partialEvent.append(rest);
    if (isHeld && this.partialEvent.length <= MAXIMUM_BUFFERED_EVENT_BYTES)
      return complete;
    return Buffer.concat([
      complete,
      this.takeLongEvent(isHeld ? NOTHING : rest),
    ]);
  }

  /** Discards an incomplete event: the next bytes are those of another response. */
  beginContinuation(): void {
    this.partialEvent.release();
    this.eventBytes = 0;
    this.endLine();
    this.isAfterCarriageReturn = false;
    this.isAtResponseStart = true;
    this.markBytes = 0;
    this.isContinuation = true;
    this.currentFault = undefined;
  }

  /** A splitter that judges a possible continuation and leaves this one as it is. */
  fork(): EventStreamSplitter {
    const fork = EventStreamSplitter.create(this.options);
    fork.lastId = this.lastId;
    fork.isContinuation = true;
    return fork;
  }

  /** Index in the chunk after the end of the last complete event; 0 if there is none. */
  private scan(chunk: Buffer): number {
    let end = 0;
    for (let index = 0; index < chunk.length; index += 1) {
      const byte = chunk[index] as number;
      if (this.isAtResponseStart && this.isByteOrderMark(byte)) continue;
      if (byte === LINE_FEED && this.isAfterCarriageReturn) {
        this.isAfterCarriageReturn = false;
        // The second byte of a line end belongs to the event that the first one completed.
        if (this.eventBytes === 0) end = index + 1;
        continue;
      }
      this.isAfterCarriageReturn = byte === CARRIAGE_RETURN;
      this.eventBytes += 1;
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {
        this.readFieldByte(byte);
        if (this.currentFault !== undefined) return end;
        continue;
      }
      if (this.lineBytes === 0) {
        end = index + 1;
        this.eventBytes = 0;
      }
      this.endLine();
    }
    return end;
  }

  private isByteOrderMark(byte: number): boolean {
    if (byte === BYTE_ORDER_MARK[this.markBytes]) {
      this.markBytes += 1;
      this.isAtResponseStart = this.markBytes < BYTE_ORDER_MARK.length;
      return true;
    }
    this.isAtResponseStart = false;
    if (this.markBytes > 0) this.currentFault = 'a broken byte order mark';
    return false;
  }

  private readFieldByte(byte: number): void {
    this.lineBytes += 1;
    if (!this.isInFieldName) return;
    if (byte === COLON) {
      this.isInFieldName = false;
    } else if (
      !isFieldNameByte(byte) ||
      this.lineBytes > MAXIMUM_FIELD_NAME_BYTES
    ) {
      this.currentFault = 'bytes that are no event';
    }
  }

  private endLine(): void {
    this.lineBytes = 0;
    this.isInFieldName = true;
  }

  /** Returns complete events of which the chunk is the last part. */
  private complete(chunk: Buffer): Buffer {
    const events = this.withoutMarkOfContinuation(this.joinPartial(chunk));
    const blocks = readBlocks(events, this.hasPassedOnPart);
    const firstId = blocks.find(({id}) => id !== undefined)?.id;
    if (this.isContinuation && firstId !== undefined) {
      if (!this.isAfterLastId(firstId)) {
        this.currentFault = `event ${firstId} once more`;
        return NOTHING;
      }
      this.isContinuation = false;
    }
    for (const {id, hasData} of blocks) {
      this.lastId = id ?? this.lastId;
      if (id === undefined && !hasData) continue;
      this.completeEvents += 1;
      this.isLastEventUnnumbered = id === undefined;
    }
    this.hasPassedOnPart = false;
    return events;
  }

  private joinPartial(chunk: Buffer): Buffer {
    if (this.partialEvent.length === 0) return chunk;
    return Buffer.concat([this.partialEvent.release(), chunk]);
  }

  /** A byte order mark is none in the middle of what the caller gets. */
  private withoutMarkOfContinuation(events: Buffer): Buffer {
    if (!this.isContinuation || this.markBytes === 0) return events;
    const {markBytes} = this;
    this.markBytes = 0;
    return events.subarray(markBytes);
  }

  /** Ids increase, so a continuation whose first id doesn't repeats what the caller has got. */
  private isAfterLastId(id: string): boolean {
    const {lastId} = this;
    if (lastId === undefined) return true;
    if (!NUMBER.test(id) || !NUMBER.test(lastId)) return id !== lastId;
    return Number(id) > Number(lastId);
  }

  private takeLongEvent(rest: Buffer): Buffer {
    const bytes = Buffer.concat([this.partialEvent.release(), rest]);
    if (!this.options.passesLongEvents) {
      this.currentFault = 'an event that is too long';
      return NOTHING;
    }
    this.hasPassedOnPart = true;
    return bytes;
  }
}

/** Id and data of each event; the first one may have begun before. */
function readBlocks(events: Buffer, hasBegun: boolean): EventSummary[] {
  const blocks: EventSummary[] = [];
  let id: string | undefined;
  let hasData = hasBegun;
  const text = events.toString('utf8').replace(/^\uFEFF/, '');
  for (const line of text.split(LINE_END)) {
    if (line === '') {
      blocks.push({id, hasData});
      id = undefined;
      hasData = false;
    } else if (line.startsWith('id:')) {
      id = line.slice('id:'.length).trim();
    } else if (line.startsWith('data')) {
      hasData = true;
    }
  }
  return blocks;
}

/** Letters, digits, and the punctuation of names. */
function isFieldNameByte(byte: number): boolean {
  return (
    (byte >= 0x61 && byte <= 0x7a) ||
    (byte >= 0x41 && byte <= 0x5a) ||
    (byte >= 0x30 && byte <= 0x39) ||
    byte === 0x2d ||
    byte === 0x2e ||
    byte === 0x5f
  );
}
