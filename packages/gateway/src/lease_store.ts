/** The lease's record in the platform's store. */

import type {
  Clock,
  FencingNumber,
  Instant,
  NodeId,
  ObjectVersion,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {LeaseRecord, LeaseObservation} from '@siskinmux/leases';
import type {ObjectStore} from '@siskinmux/ports';
import {
  StoredObjectInvalidError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';
import {z} from 'zod';

/** Kind and name of the record. */
const LEASE_KIND = 'siskinmux-leases';
const LEASE_NAME = 'allocator';

const recordSchema = z.object({
  holder: z.string().min(1).nullable(),
  address: z.string(),
  term: z.number().int().positive(),
});

/** Reads and writes the record; failures are those of the store. */
export class LeaseStore {
  private last: LeaseObservation | undefined;

  private constructor(
    private readonly store: ObjectStore,
    private readonly clock: Clock,
  ) {}

  static create(options: {store: ObjectStore; clock: Clock}): LeaseStore {
    return new LeaseStore(options.store, options.clock);
  }

  /** The record as it is now; undefined when there is none. */
  async read(): Promise<LeaseObservation | undefined> {
    const object = await this.store.read(LEASE_KIND, LEASE_NAME);
    if (object === undefined) return undefined;
    const parsed = recordSchema.safeParse(object.content);
    if (!parsed.success) {
      throw new StoredObjectInvalidError(
        `${LEASE_KIND}/${LEASE_NAME}`,
        parsed.error.message,
      );
    }
    return this.see(toRecord(parsed.data), object.revision, this.clock.now());
  }

  /**
   * Writes a record over the one that was seen. An unanswered write is read back; it
   * may also be carried out later, when its condition still holds.
   */
  async write(
    record: LeaseRecord,
    seen: LeaseObservation | undefined,
  ): Promise<ObjectVersion> {
    const content = {...record, holder: record.holder ?? null};
    try {
      return await this.store.write(
        LEASE_KIND,
        LEASE_NAME,
        content,
        seen?.revision ?? 'absent',
      );
    } catch (failure) {
      if (!(failure instanceof WriteOutcomeUnknownError)) throw failure;
      const now = await this.read();
      const isOwn =
        now?.record.holder === record.holder &&
        now?.record.term === record.term &&
        now.revision !== seen?.revision;
      if (now === undefined || !isOwn) throw failure;
      return now.revision;
    }
  }

  private see(
    record: LeaseRecord,
    revision: ObjectVersion,
    now: Instant,
  ): LeaseObservation {
    if (this.last?.revision !== revision) {
      this.last = {record, revision, firstSeenAt: now};
    }
    return this.last;
  }
}

function toRecord(stored: z.infer<typeof recordSchema>): LeaseRecord {
  return {
    holder: stored.holder === null ? undefined : as<NodeId>(stored.holder),
    address: stored.address,
    term: as<FencingNumber>(stored.term),
  };
}
