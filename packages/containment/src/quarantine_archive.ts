/**
 * Keeps the quarantined traits in the platform's store. Only the lease holder uses it: it
 * reads them when it takes the lease, and writes them when they have changed.
 */

import type {
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  ObjectVersion,
} from '@siskinmux/kernel';
import {SiskinmuxError, UNKNOWN_ERA, after, as, until} from '@siskinmux/kernel';
import type {ClockReading} from '@siskinmux/leases';
import type {MetadataStore} from '@siskinmux/ports';
import type {Suspect} from './run_crashes.js';
import type {PeriodicJob} from '@siskinmux/runtime';
import {createPeriodicJob} from '@siskinmux/runtime';
import {z} from 'zod';
import type {CrashQuarantine} from './crash_quarantine.js';
import {
  QUARANTINE_RESTORED,
  QUARANTINE_STORED,
  QUARANTINE_STORE_FAILED,
  QUARANTINE_UNREADABLE,
} from './containment_events.js';
import {
  decodeSuspects,
  encodeSuspects,
  suspectsSchema,
} from './suspect_messages.js';

const ARCHIVE_KIND = 'siskinmux-quarantines';
const ARCHIVE_NAME = 'requests';

/** Bound on the stored traits; those with the most crashes are kept. */
const MAXIMUM_STORED_TRAITS = 200;

/** Interval of the checks for changes, which call the store only after a change. */
const CHECK_INTERVAL_MILLISECONDS: Milliseconds = 250;

/** Minimum time between two calls after a write or a failure. */
const CALL_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

/** The stored object; the ages of the records count from `writtenAt`, a time of day. */
const archiveSchema = suspectsSchema.extend({writtenAt: z.number()});

/** Dependencies of {@link QuarantineArchive}. */
export interface QuarantineArchiveOptions {
  readonly store: MetadataStore;
  readonly quarantine: CrashQuarantine;
  readonly clock: Clock;
  readonly readClocks: () => ClockReading;
  readonly emit: EmitEvent;
  /** Called with stored records that this node lacked. */
  readonly onRestored: (suspects: readonly Suspect[]) => void;
}

/** Reads and writes the quarantined traits while this node holds the lease. */
export class QuarantineArchive {
  private readonly job: PeriodicJob;
  /** The stored object's revision; undefined until it has been read, and after a failure. */
  private revision: ObjectVersion | 'absent' | undefined;
  /** What is stored, to compare with. */
  private storedKey = '';
  private nextCallAt: Instant;
  /** Changes of the records that have been compared with what is stored. */
  private comparedChanges: number | undefined;
  /** The era of the store in which they were. */
  private comparedEra = UNKNOWN_ERA;

  private constructor(private readonly options: QuarantineArchiveOptions) {
    const {clock} = options;
    this.nextCallAt = clock.now();
    this.job = createPeriodicJob(clock, CHECK_INTERVAL_MILLISECONDS, () =>
      this.synchronize(),
    );
  }

  static create(options: QuarantineArchiveOptions): QuarantineArchive {
    return new QuarantineArchive(options);
  }

  /** Reads the stored traits, then writes each change until {@link stop}. */
  start(): void {
    this.job.start();
  }

  stop(): void {
    this.job.stop();
  }

  private async synchronize(): Promise<void> {
    const {clock, emit} = this.options;
    if (clock.now() < this.nextCallAt) return;
    this.noticeReturn();
    try {
      this.revision ??= await this.restore();
      await this.storeChanges(this.revision);
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      emit(QUARANTINE_STORE_FAILED, {cause: failure.message});
      // Another holder may have written, or a write without a response may still take effect.
      this.revision = undefined;
      this.comparedChanges = undefined;
      this.nextCallAt = after(clock.now(), CALL_INTERVAL_MILLISECONDS);
    }
  }

  /** What was stored may be lost when the store has returned from an older copy. */
  private noticeReturn(): void {
    const {era} = this.options.store;
    if (era === this.comparedEra) return;
    this.comparedEra = era;
    this.revision = undefined;
    this.comparedChanges = undefined;
  }

  private async restore(): Promise<ObjectVersion | 'absent'> {
    const {store, quarantine, clock, readClocks, emit, onRestored} =
      this.options;
    this.storedKey = '';
    const object = await store.read(ARCHIVE_KIND, ARCHIVE_NAME);
    if (object === undefined) return 'absent';
    const parsed = archiveSchema.safeParse(object.content);
    if (!parsed.success) {
      emit(QUARANTINE_UNREADABLE, {kind: ARCHIVE_KIND, name: ARCHIVE_NAME});
      return object.revision;
    }
    const {timeOfDay} = readClocks();
    const age = Math.max(
      0,
      until(as<Instant>(parsed.data.writtenAt), timeOfDay),
    );
    const stored = decodeSuspects(parsed.data, after(clock.now(), -age));
    this.storedKey = keyOf(stored);
    const added = quarantine.merge(stored);
    emit(QUARANTINE_RESTORED, {
      stored: stored.length,
      added: added.length,
      age: Math.round(age),
    });
    if (added.length > 0) onRestored(added);
    return object.revision;
  }

  private async storeChanges(
    revision: ObjectVersion | 'absent',
  ): Promise<void> {
    const {store, quarantine, clock, readClocks, emit} = this.options;
    const {changeCount} = quarantine;
    if (changeCount === this.comparedChanges) return;
    const quarantined = quarantine.quarantined.slice(0, MAXIMUM_STORED_TRAITS);
    const key = keyOf(quarantined);
    if (key === this.storedKey) {
      this.comparedChanges = changeCount;
      return;
    }
    const suspects = encodeSuspects(quarantined, clock.now()).flatMap(
      message => message.suspects,
    );
    this.nextCallAt = after(clock.now(), CALL_INTERVAL_MILLISECONDS);
    this.revision = await store.write(
      ARCHIVE_KIND,
      ARCHIVE_NAME,
      {writtenAt: readClocks().timeOfDay, suspects},
      revision,
    );
    this.storedKey = key;
    this.comparedChanges = changeCount;
    emit(QUARANTINE_STORED, {stored: quarantined.length});
  }
}

function keyOf(suspects: readonly Suspect[]): string {
  return suspects
    .map(({trait, crashes}) =>
      [trait, ...crashes.map(({crash}) => crash)].join(' '),
    )
    .join('\n');
}
