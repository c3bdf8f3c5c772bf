/** Writes the origins of streams to the platform's store. Only the lease holder uses it. */

import type {
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  ObjectVersion,
  StoreEra,
} from '@siskinmux/kernel';
import {SiskinmuxError, after, sleepUntil} from '@siskinmux/kernel';
import type {PeriodicJob} from '@siskinmux/runtime';
import {createPeriodicJob} from '@siskinmux/runtime';
import {ORIGINS_STORED, ORIGINS_STORE_FAILED} from './continuity_events.js';
import type {RecordedVersion} from './origin_messages.js';
import {
  encodeOrigins,
  encodeVersions,
  observeVersions,
} from './origin_messages.js';
import type {ServiceVersions} from './service_versions.js';
import type {StoredOrigins, StoredOriginsOptions} from './stored_origins.js';
import {ORIGINS_KIND, latestPart, observeRecord} from './stored_origins.js';
import type {StreamOrigin} from './stream_origins.js';

/** Objects in the ring, and the time for which one is written: together, the memory of streams. */
const PARTS = 32;
const PART_MILLISECONDS: Milliseconds = 2_000;

/** Streams in one object, well below the largest object that the store takes. */
const MAXIMUM_STREAMS_PER_PART = 8_000;

/** Interval of the checks for changes, which call the store only after a change. */
const CHECK_INTERVAL_MILLISECONDS: Milliseconds = 100;

/** Minimum time between two writes, and after a failure. */
const WRITE_INTERVAL_MILLISECONDS: Milliseconds = 250;
const FAILURE_PAUSE_MILLISECONDS: Milliseconds = 500;

/** Attempts to write what is left when the node no longer holds the lease; the next holder writes, too. */
const LAST_WRITE_ATTEMPTS = 3;

/** Dependencies of {@link OriginWriter}. */
export interface OriginWriterOptions extends Omit<
  StoredOriginsOptions,
  'nodeCount'
> {
  readonly stored: StoredOrigins;
  readonly versions: ServiceVersions;
  /** The streams that callers may still resume, as far as this node knows them. */
  readonly recentOrigins: () => readonly StreamOrigin[];
  /** Whether this node knows all versions at which streams can have begun. */
  readonly knowsAllVersions: () => boolean;
}

/** Collects the origins that nodes report, and writes them a few times a second. */
export class OriginWriter {
  private readonly job: PeriodicJob;
  private readonly clock: Clock;
  private readonly emit: EmitEvent;
  /** Revisions of the ring's objects; undefined until they have been read. */
  private revisions: Map<string, ObjectVersion> | undefined;
  private part = 0;
  private partEndsAt: Instant;
  private written: StreamOrigin[] = [];
  private unwritten: StreamOrigin[] = [];
  private recordedKey = '';
  /** The era of the store for which all that is known has been written. */
  private writtenEra;
  private nextCallAt: Instant;
  private lastWrite: Promise<void> = Promise.resolve();

  private constructor(private readonly options: OriginWriterOptions) {
    this.clock = options.clock;
    this.emit = options.emit;
    this.writtenEra = options.store.era;
    this.nextCallAt = this.clock.now();
    this.partEndsAt = this.clock.now();
    this.job = createPeriodicJob(this.clock, CHECK_INTERVAL_MILLISECONDS, () =>
      this.writeInTurn(),
    );
  }

  static create(options: OriginWriterOptions): OriginWriter {
    return new OriginWriter(options);
  }

  start(): void {
    this.job.start();
  }

  /** Stops after a last write of what nodes have reported; resolves after it. */
  async stop(): Promise<void> {
    this.job.stop();
    for (let attempt = 0; attempt < LAST_WRITE_ATTEMPTS; attempt += 1) {
      await this.lastWrite;
      if (this.unwritten.length === 0) return;
      if (this.nextCallAt > this.clock.now())
        await sleepUntil(this.clock, this.nextCallAt);
      await this.writeInTurn();
    }
  }

  private writeInTurn(): Promise<void> {
    this.lastWrite = this.writeChanges();
    return this.lastWrite;
  }

  /** Adds origins to the next write. */
  add(origins: readonly StreamOrigin[]): void {
    this.unwritten.push(...origins);
    const excess = this.unwritten.length - MAXIMUM_STREAMS_PER_PART;
    if (excess > 0) this.unwritten.splice(0, excess);
  }

  private async writeChanges(): Promise<void> {
    if (this.clock.now() < this.nextCallAt) return;
    this.noticeReturn();
    if (!(await this.readRevisions())) return;
    const {versions, store, knowsAllVersions} = this.options;
    const era = knowsAllVersions() ? store.era : undefined;
    const recorded = encodeVersions(versions, this.clock.now());
    const recordedKey = JSON.stringify([
      era,
      recorded.map(({service, version, isListed}) => [
        service,
        version,
        isListed,
      ]),
    ]);
    if (this.unwritten.length === 0 && recordedKey === this.recordedKey) return;
    this.nextCallAt = after(this.clock.now(), WRITE_INTERVAL_MILLISECONDS);
    const added = this.unwritten;
    this.unwritten = [];
    try {
      await this.write(added, recorded, era);
      this.recordedKey = recordedKey;
      observeVersions(recorded, this.clock.now(), versions, this.clock.now());
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      this.emit(ORIGINS_STORE_FAILED, {call: 'write', cause: failure.message});
      this.unwritten.unshift(...added);
      // Another holder may have written, or a write without a response may still take effect.
      this.revisions = undefined;
      this.nextCallAt = after(this.clock.now(), FAILURE_PAUSE_MILLISECONDS);
    }
  }

  /** Writes everything again that the store may have lost by its return from an older copy. */
  private noticeReturn(): void {
    const {store, recentOrigins} = this.options;
    if (store.era === this.writtenEra) return;
    this.writtenEra = store.era;
    this.revisions = undefined;
    this.recordedKey = '';
    this.written = [];
    this.unwritten = [];
    this.add(recentOrigins());
  }

  private async write(
    added: readonly StreamOrigin[],
    versions: readonly RecordedVersion[],
    era: StoreEra | undefined,
  ): Promise<void> {
    const {store, readClocks} = this.options;
    const now = this.clock.now();
    const isFull =
      this.written.length + added.length > MAXIMUM_STREAMS_PER_PART;
    if (now >= this.partEndsAt || isFull) {
      this.part = (this.part + 1) % PARTS;
      this.partEndsAt = after(now, PART_MILLISECONDS);
      this.written = [];
    }
    const streams = [...this.written, ...added];
    const name = String(this.part);
    const revision = await store.write(
      ORIGINS_KIND,
      name,
      {
        writtenAt: readClocks().timeOfDay,
        versions,
        era,
        groups: encodeOrigins(streams, now).flatMap(({groups}) => groups),
      },
      this.revisions?.get(name) ?? 'absent',
    );
    this.revisions?.set(name, revision);
    this.written = streams;
    this.emit(ORIGINS_STORED, {part: name, streams: streams.length});
  }

  /** Continues after the part that was written last; false if the store doesn't respond. */
  private async readRevisions(): Promise<boolean> {
    if (this.revisions !== undefined) return true;
    const parts = await this.options.stored.read();
    const now = this.clock.now();
    if (parts === undefined) {
      this.nextCallAt = after(now, FAILURE_PAUSE_MILLISECONDS);
      return false;
    }
    const {store, versions} = this.options;
    observeRecord(parts, versions, now);
    // Nothing was ever recorded, so no stream has begun that this node doesn't know.
    if (parts.length === 0) versions.observeRecordEra(store.era);
    this.part = Number(latestPart(parts)?.object.name ?? 0) || 0;
    this.partEndsAt = now;
    this.revisions = new Map(
      parts.map(({object}) => [object.name, object.revision]),
    );
    return true;
  }
}
