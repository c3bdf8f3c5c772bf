/**
 * A shard's log in the object service: a row of segments, each one object. Every
 * append is a conditional write, so an owner that was paused while another took
 * over can't append any more: the object's version fences it.
 */

import type {Clock, Instant, NodeId} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError, sleepFor} from '@siskinmux/kernel';
import type {
  ExpectedVersion,
  ObjectService,
  StoredObject,
} from '@siskinmux/ports';
import {
  PlatformBusyError,
  PlatformUnavailableError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';
import type {ClaimRecord} from './claim_record.js';
import {decodeRecords, encodeRecord} from './claim_record.js';
import type {ClaimTable} from './claim_table.js';

/** Size from which a segment is sealed; each append rewrites the segment. */
const SEGMENT_BYTES = 48_000;

/** Pause between tries while the object service does not answer. */
const RETRY_PAUSE_MILLISECONDS = 100;

/** Longest pause between tries. */
const LONGEST_RETRY_PAUSE_MILLISECONDS = 2_000;

/** Races lost in a row while opening, after which the opener gives way. */
const OPEN_ATTEMPTS = 5;

/** Another node took the shard over. */
export class ShardLostError extends SiskinmuxError {
  constructor(
    readonly shard: number,
    /** The node that took over, when its record was read. */
    readonly owner: NodeId | undefined,
  ) {
    super(ErrorCode.NotOwner, `shard ${shard}, owner ${owner ?? 'not known'}`);
  }
}

interface Segment {
  readonly sequence: number;
  readonly text: string;
  readonly version: ExpectedVersion;
}

/** What a log needs from its surroundings. */
export interface ShardLogOptions {
  readonly objects: ObjectService;
  readonly clock: Clock;
  readonly node: NodeId;
  readonly shard: number;
}

/** An open log; exactly one node can append to it. */
export class ShardLog {
  private isClosed = false;
  /** When the newest claim in each older segment expires. */
  private readonly expiries = new Map<number, Instant>();

  private constructor(
    private readonly options: ShardLogOptions,
    private segment: Segment,
  ) {}

  /**
   * Reads the log into `table` and fences earlier owners by a takeover record.
   * Waits while the object service is away. Throws {@link ShardLostError}.
   */
  static async open(
    options: ShardLogOptions,
    table: ClaimTable,
  ): Promise<ShardLog> {
    for (let attempt = 1; ; attempt += 1) {
      const log = new ShardLog(options, firstSegment(0));
      try {
        await log.replayInto(table);
        await log.append([{kind: 'takeover', node: options.node}]);
        return log;
      } catch (failure) {
        const isRace = failure instanceof ShardLostError;
        if (!isRace || attempt >= OPEN_ATTEMPTS) throw failure;
      }
    }
  }

  /** Number of the segment that is written now. */
  get sequence(): number {
    return this.segment.sequence;
  }

  /**
   * Makes records durable, all or none. Waits while the object service is away.
   * Throws {@link ShardLostError}; the log is closed then.
   */
  async append(records: readonly ClaimRecord[]): Promise<void> {
    const added = records.map(encodeRecord).join('');
    let text = this.segment.text + added;
    const isFull = text.length >= SEGMENT_BYTES;
    // Sealing is part of the same write: an opener that still appends to this
    // segment would otherwise not notice an owner that went on in the next one.
    if (isFull) text += encodeRecord({kind: 'seal'});
    const version = await this.writeSegment(text);
    for (const record of records) this.noteExpiry(record);
    this.segment = isFull
      ? firstSegment(this.segment.sequence + 1)
      : {...this.segment, text, version};
  }

  /** Removes segments whose claims have all expired. */
  async removeExpired(now: Instant): Promise<void> {
    for (const [sequence, expiresAt] of this.expiries) {
      if (expiresAt > now || sequence === this.segment.sequence) continue;
      const key = segmentKey(this.options.shard, sequence);
      const stored = await this.options.objects.read(key);
      if (stored !== undefined) {
        await this.options.objects.remove(key, stored.version);
      }
      this.expiries.delete(sequence);
    }
  }

  /** Ends waiting appends with {@link ShardLostError}. */
  close(): void {
    this.isClosed = true;
  }

  private async replayInto(table: ClaimTable): Promise<void> {
    const prefix = shardPrefix(this.options.shard);
    const listed = await this.retrying(() => this.options.objects.list(prefix));
    const keys = listed.map(row => row.key).sort();
    for (const key of keys) {
      const stored = await this.retrying(() => this.options.objects.read(key));
      // Its owner removed an expired segment after the listing.
      if (stored === undefined) continue;
      this.replaySegment(stored, table);
    }
  }

  private replaySegment(stored: StoredObject, table: ClaimTable): void {
    const sequence = sequenceOf(stored.key);
    this.segment = {sequence, text: stored.value, version: stored.version};
    const records = decodeRecords(stored.key, stored.value);
    for (const record of records) {
      table.apply(record);
      this.noteExpiry(record);
    }
    if (records.at(-1)?.kind === 'seal') {
      this.segment = firstSegment(sequence + 1);
    }
  }

  private noteExpiry(record: ClaimRecord): void {
    if (record.kind !== 'claim') return;
    const {sequence} = this.segment;
    const known = this.expiries.get(sequence);
    if (known === undefined || known < record.expiresAt) {
      this.expiries.set(sequence, record.expiresAt);
    }
  }

  private async writeSegment(text: string): Promise<ExpectedVersion> {
    const {objects, shard} = this.options;
    const key = segmentKey(shard, this.segment.sequence);
    try {
      return await this.retrying(() =>
        objects.write(key, text, this.segment.version),
      );
    } catch (failure) {
      if (!(failure instanceof VersionConflictError)) throw failure;
    }
    // An earlier try whose answer was lost may have landed: it is recognised by its text.
    const stored = await this.retrying(() => objects.read(key));
    if (stored?.value === text) return stored.version;
    this.isClosed = true;
    throw new ShardLostError(shard, lastOwner(stored));
  }

  /** Repeats a call while it gets no answer; a conditional write lands at most once. */
  private async retrying<Result>(call: () => Promise<Result>): Promise<Result> {
    let pause = RETRY_PAUSE_MILLISECONDS;
    for (;;) {
      if (this.isClosed) {
        throw new ShardLostError(this.options.shard, undefined);
      }
      try {
        return await call();
      } catch (failure) {
        if (!isWorthRetrying(failure)) throw failure;
      }
      const {clock} = this.options;
      await sleepFor(clock, pause);
      pause = Math.min(pause * 2, LONGEST_RETRY_PAUSE_MILLISECONDS);
    }
  }
}

function isWorthRetrying(failure: unknown): boolean {
  return (
    failure instanceof PlatformUnavailableError ||
    failure instanceof PlatformBusyError ||
    failure instanceof WriteOutcomeUnknownError
  );
}

function firstSegment(sequence: number): Segment {
  return {sequence, text: '', version: 'absent'};
}

function shardPrefix(shard: number): string {
  return `claims/${shard}/`;
}

function segmentKey(shard: number, sequence: number): string {
  return `${shardPrefix(shard)}${String(sequence).padStart(10, '0')}`;
}

function sequenceOf(key: string): number {
  return Number(key.slice(key.lastIndexOf('/') + 1));
}

function lastOwner(stored: StoredObject | undefined): NodeId | undefined {
  if (stored === undefined) return undefined;
  const takeover = decodeRecords(stored.key, stored.value).findLast(
    record => record.kind === 'takeover',
  );
  return takeover?.kind === 'takeover' ? takeover.node : undefined;
}
