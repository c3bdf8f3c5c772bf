/**
 * Log of a shard in the object service: a sequence of segments, one object each.
 * Every append is a conditional write to the newest segment. A takeover changes its
 * version, which fences an earlier owner: its appends fail, even if it was paused
 * meanwhile. The newest segment is never removed, so that it fences at any time, and a
 * new segment counts only if none is newer: its key may have been used before.
 *
 * An object service that returns from an older copy has lost what was written since. The owner
 * notices that the log doesn't continue what it has written.
 */

import type {Clock, Instant, NodeId, ObjectVersion} from '@siskinmux/kernel';
import {
  ErrorCode,
  SiskinmuxError,
  as,
  later,
  sleepFor,
} from '@siskinmux/kernel';
import type {
  ExpectedVersion,
  ObjectChange,
  ObjectListing,
  ObjectService,
  StoredObject,
} from '@siskinmux/ports';
import {
  PlatformBusyError,
  PlatformUnavailableError,
  VersionConflictError,
  WriteOutcomeUnknownError,
  compareWithKnown,
} from '@siskinmux/ports';
import type {ClaimRecord} from './claim_record.js';
import {decodeRecords, encodeRecord} from './claim_record.js';
import {ClaimTable} from './claim_table.js';

/** Size at which a segment is sealed. Each append rewrites the whole segment. */
const SEAL_THRESHOLD_BYTES = 48_000;

/**
 * Length from which on a write takes no further records, so that it stays below the
 * maximum size of an object with three bytes a character.
 */
const FULL_WRITE_CHARACTERS = 300_000;

/** First delay before a retry while the object service does not respond. */
const INITIAL_RETRY_DELAY_MILLISECONDS = 100;

/** Upper bound of the retry delay, which doubles with every retry. */
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 2_000;

/** Consecutive takeovers by other nodes after which opening a log fails. */
const MAXIMUM_OPEN_ATTEMPTS = 5;

/** Another node took over the shard, or this node closed its log. */
export class ShardLostError extends SiskinmuxError {
  constructor(
    readonly shard: number,
    /** The node that took over; undefined when its takeover record was not read. */
    readonly owner: NodeId | undefined,
  ) {
    super(ErrorCode.NotOwner, `shard ${shard}, owner ${owner ?? 'not known'}`);
  }
}

/** The object service has lost what this node had written to the log. */
export class LogWentBackError extends ShardLostError {}

interface Segment {
  readonly sequence: number;
  readonly text: string;
  readonly version: ExpectedVersion;
}

interface StoredSegment extends Segment {
  readonly version: ObjectVersion;
}

/** A record with the time for which the log has to retain it. */
export interface RetainedRecord {
  readonly record: ClaimRecord;
  /** Expiry of the claim that it belongs to; undefined when it belongs to none. */
  readonly expiresAt: Instant | undefined;
}

/** Expiry of a segment that has nothing to retain. */
const EXPIRED = as<Instant>(0);

/** Dependencies of {@link ShardLog}. */
export interface ShardLogOptions {
  readonly objects: ObjectService;
  readonly clock: Clock;
  readonly node: NodeId;
  readonly shard: number;
}

/** What {@link ShardLog.open} has opened. */
export interface OpenLog {
  readonly log: ShardLog;
  /** The claims that the log contains. */
  readonly table: ClaimTable;
  /** Number of records that were missing. */
  readonly restored: number;
}

/** An open log. Only the node that opened it last can append to it. */
export class ShardLog {
  private isClosed = false;
  /** Latest expiry of the records in each stored segment, by sequence number. */
  private readonly segmentExpiries = new Map<number, Instant>();
  /** The newest stored segment, as this node has read or written it. */
  private newest: StoredSegment | undefined;

  private constructor(
    private readonly options: ShardLogOptions,
    private segment: Segment,
  ) {}

  /**
   * Replays the log, fences earlier owners with a takeover record, and adds the records that
   * `restore` finds missing. Waits while the object service is unavailable. Throws
   * {@link ShardLostError}.
   */
  static async open(
    options: ShardLogOptions,
    restore: (stored: ClaimTable) => readonly ClaimRecord[] = () => [],
  ): Promise<OpenLog> {
    for (let attempt = 1; ; attempt += 1) {
      const log = new ShardLog(options, emptySegment(0));
      const table = ClaimTable.create();
      try {
        await log.replayInto(table);
        const missing = restore(table);
        const takeover: ClaimRecord = {kind: 'takeover', node: options.node};
        await log.appendAll([takeover, ...missing], table);
        return {log, table, restored: missing.length};
      } catch (failure) {
        const isRace = failure instanceof ShardLostError;
        if (!isRace || attempt >= MAXIMUM_OPEN_ATTEMPTS) throw failure;
      }
    }
  }

  /** Sequence number of the segment that receives appends. */
  get sequence(): number {
    return this.segment.sequence;
  }

  /**
   * Makes as many of the first records durable as fit into a write, and returns their
   * number. Waits while the object service is unavailable. Throws
   * {@link ShardLostError}, after which the log is closed.
   */
  async append(records: readonly RetainedRecord[]): Promise<number> {
    let {text} = this.segment;
    let written = 0;
    for (const {record} of records) {
      if (text.length >= FULL_WRITE_CHARACTERS) break;
      text += encodeRecord(record);
      written += 1;
    }
    const isFull = text.length >= SEAL_THRESHOLD_BYTES;
    // The seal is part of the same write. Otherwise an opener that still appends to
    // this segment would not notice that its owner has moved on to the next one.
    if (isFull) text += encodeRecord({kind: 'seal'});
    const isNew = this.segment.version === 'absent';
    const version = await this.writeSegment(text);
    if (isNew) await this.requireNewest(version);
    this.retainSegment(records.slice(0, written));
    this.newest = {...this.segment, text, version};
    this.segment = isFull
      ? emptySegment(this.segment.sequence + 1)
      : this.newest;
    return written;
  }

  /**
   * Throws {@link ShardLostError} if another node has continued the log, and
   * {@link LogWentBackError} if the object service has lost what this node wrote.
   */
  async verify(): Promise<void> {
    const {newest} = this;
    if (newest === undefined) return;
    const {objects} = this.options;
    const change = changeOf(newest, await objects.read(this.keyOf(newest)));
    if (change === 'unchanged' && this.segment === newest) return;
    const listed = await objects.list(this.prefix);
    if (change !== 'unchanged' || hasNewerThan(newest, listed))
      await this.failAsChanged();
  }

  /**
   * Removes segments whose claims, and those whose outcomes they contain, have all
   * expired, except for the newest segment.
   */
  async removeExpired(now: Instant): Promise<void> {
    for (const [sequence, expiresAt] of this.segmentExpiries) {
      if (expiresAt > now || sequence >= this.newestSequence) continue;
      const key = segmentKey(this.options.shard, sequence);
      const stored = await this.options.objects.read(key);
      // After a return of the service, the key may be in use again.
      if (this.isClosed) return;
      if (stored !== undefined)
        await this.options.objects.remove(key, stored.version);
      this.segmentExpiries.delete(sequence);
    }
  }

  /** Makes pending appends fail with {@link ShardLostError}. */
  close(): void {
    this.isClosed = true;
  }

  /** Sequence number of the newest segment that is stored. */
  private get newestSequence(): number {
    const {sequence, version} = this.segment;
    return version === 'absent' ? sequence - 1 : sequence;
  }

  /** All segments, oldest first. */
  private async list(): Promise<readonly ObjectListing[]> {
    const listed = await this.withRetries(() =>
      this.options.objects.list(this.prefix),
    );
    return [...listed].sort(
      (left, right) => sequenceOf(left.key) - sequenceOf(right.key),
    );
  }

  private get prefix(): string {
    return shardPrefix(this.options.shard);
  }

  private async appendAll(
    records: readonly ClaimRecord[],
    table: ClaimTable,
  ): Promise<void> {
    let remaining = records.map(record => {
      const expiresAt = table.expiryOf(record);
      table.apply(record);
      return {record, expiresAt};
    });
    while (remaining.length > 0)
      remaining = remaining.slice(await this.append(remaining));
  }

  /**
   * Throws {@link ShardLostError} if a segment after the one just created exists. Then
   * others had created and removed this one already, and it fences nobody.
   */
  private async requireNewest(createdVersion: ObjectVersion): Promise<void> {
    const {segment, newest: before} = this;
    const {sequence: created} = segment;
    const listed = await this.list();
    if (hasNewerThan(segment, listed))
      this.fail(new ShardLostError(this.options.shard, undefined));
    const versions = new Map(
      listed.map(({key, version}) => [sequenceOf(key), version] as const),
    );
    // The owner that has continued the new segment may have removed the one before.
    const isContinuedByOthers = versions.get(created) !== createdVersion;
    const isIntact =
      before === undefined || versions.get(before.sequence) === before.version;
    if (!isIntact && !isContinuedByOthers)
      this.fail(new LogWentBackError(this.options.shard, undefined));
    // An earlier segment that was not there before was created in the same way.
    for (const entry of listed) {
      const sequence = sequenceOf(entry.key);
      if (sequence < created && !this.segmentExpiries.has(sequence))
        this.segmentExpiries.set(sequence, EXPIRED);
    }
  }

  private async replayInto(table: ClaimTable): Promise<void> {
    for (const {key} of await this.list()) {
      const stored = await this.withRetries(() =>
        this.options.objects.read(key),
      );
      // The shard's owner removed this expired segment after the listing.
      if (stored === undefined) continue;
      this.replaySegment(stored, table);
    }
  }

  private replaySegment(stored: StoredObject, table: ClaimTable): void {
    const sequence = sequenceOf(stored.key);
    this.newest = {sequence, text: stored.value, version: stored.version};
    this.segment = this.newest;
    const records = decodeRecords(stored.key, stored.value);
    this.retainSegment([]);
    for (const record of records) {
      this.retainSegment([{record, expiresAt: table.expiryOf(record)}]);
      table.apply(record);
    }
    if (records.at(-1)?.kind === 'seal') {
      this.segment = emptySegment(sequence + 1);
    }
  }

  /** Retains the current segment until all of its records have expired. */
  private retainSegment(records: readonly RetainedRecord[]): void {
    const {sequence} = this.segment;
    let latest = this.segmentExpiries.get(sequence) ?? EXPIRED;
    for (const {expiresAt = EXPIRED} of records)
      latest = later(latest, expiresAt);
    this.segmentExpiries.set(sequence, latest);
  }

  private async writeSegment(text: string): Promise<ObjectVersion> {
    const {objects, shard} = this.options;
    const key = segmentKey(shard, this.segment.sequence);
    try {
      return await this.withRetries(() =>
        objects.write(key, text, this.segment.version),
      );
    } catch (failure) {
      if (!(failure instanceof VersionConflictError)) throw failure;
    }
    // An earlier write whose response was lost may have taken effect. The stored text
    // shows whether it did.
    const stored = await this.withRetries(() => objects.read(key));
    if (stored?.value === text) return stored.version;
    return this.failAsChanged(lastOwnerIn(stored));
  }

  /**
   * Fails, as others have continued the log, or the service has lost the newest segment or a part
   * of it. Others only append to it, and remove it only once there is a newer one.
   */
  private async failAsChanged(owner?: NodeId): Promise<never> {
    const {shard, objects} = this.options;
    const {newest} = this;
    const lost = new ShardLostError(shard, owner);
    if (newest === undefined) return this.fail(lost);
    const stored = await this.withRetries(() =>
      objects.read(this.keyOf(newest)),
    );
    const change = changeOf(newest, stored);
    const isLost =
      change === 'removed'
        ? hasNewerThan(newest, await this.list())
        : change !== 'went back';
    return this.fail(isLost ? lost : new LogWentBackError(shard, owner));
  }

  /** Closes the log. */
  private fail(failure: ShardLostError): never {
    this.isClosed = true;
    throw failure;
  }

  private keyOf({sequence}: Segment): string {
    return segmentKey(this.options.shard, sequence);
  }

  /** Retries a call until it gets a response. Conditional writes take effect at most once. */
  private async withRetries<Result>(
    call: () => Promise<Result>,
  ): Promise<Result> {
    let delayMilliseconds = INITIAL_RETRY_DELAY_MILLISECONDS;
    for (;;) {
      if (this.isClosed) {
        throw new ShardLostError(this.options.shard, undefined);
      }
      try {
        return await call();
      } catch (failure) {
        if (!isRetryable(failure)) throw failure;
      }
      const {clock} = this.options;
      await sleepFor(clock, delayMilliseconds);
      delayMilliseconds = Math.min(
        delayMilliseconds * 2,
        MAXIMUM_RETRY_DELAY_MILLISECONDS,
      );
    }
  }
}

function isRetryable(failure: unknown): boolean {
  return (
    failure instanceof PlatformUnavailableError ||
    failure instanceof PlatformBusyError ||
    failure instanceof WriteOutcomeUnknownError
  );
}

function changeOf(
  {version, text}: StoredSegment,
  stored: StoredObject | undefined,
): ObjectChange {
  return compareWithKnown({version, value: text}, stored, (known, found) =>
    found.startsWith(known),
  );
}

function hasNewerThan(
  {sequence}: Segment,
  listed: readonly ObjectListing[],
): boolean {
  return listed.some(({key}) => sequenceOf(key) > sequence);
}

function emptySegment(sequence: number): Segment {
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

function lastOwnerIn(stored: StoredObject | undefined): NodeId | undefined {
  if (stored === undefined) return undefined;
  const takeover = decodeRecords(stored.key, stored.value).findLast(
    record => record.kind === 'takeover',
  );
  return takeover?.kind === 'takeover' ? takeover.node : undefined;
}
