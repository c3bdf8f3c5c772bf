/** Persists the lease as a record in the platform's store. */

import type {
  Clock,
  FencingNumber,
  Instant,
  NodeId,
  ObjectVersion,
  StoreEra,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {LeaseObservation, LeaseRecord} from '@siskinmux/leases';
import type {MetadataStore} from '@siskinmux/ports';
import {
  StoredObjectInvalidError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';
import {z} from 'zod';

const LEASE_KIND = 'siskinmux-leases';
const LEASE_NAME = 'allocator';

const recordSchema = z.object({
  holder: z.string().min(1).nullable(),
  address: z.string(),
  term: z.number().int().positive(),
});

/** Reads and writes the lease record; throws the store's errors. */
export class LeaseStore {
  private lastObservation: LeaseObservation | undefined;

  private constructor(
    private readonly store: MetadataStore,
    private readonly clock: Clock,
  ) {}

  static create(options: {store: MetadataStore; clock: Clock}): LeaseStore {
    return new LeaseStore(options.store, options.clock);
  }

  /** The latest era of the store that this node knows. */
  get era(): StoreEra {
    return this.store.era;
  }

  /** Reads the current record; undefined if there is none. */
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
    return this.observe(
      toRecord(parsed.data),
      object.revision,
      this.clock.now(),
    );
  }

  /**
   * Replaces the `observed` record by compare-and-set. A write without a response is
   * verified by a read; it may still be applied later if its condition holds then.
   */
  async write(
    record: LeaseRecord,
    observed: LeaseObservation | undefined,
  ): Promise<ObjectVersion> {
    const content = {...record, holder: record.holder ?? null};
    const {era} = this.store;
    try {
      return await this.store.write(
        LEASE_KIND,
        LEASE_NAME,
        content,
        observed?.revision ?? 'absent',
      );
    } catch (failure) {
      if (!(failure instanceof WriteOutcomeUnknownError)) throw failure;
      const current = await this.read();
      const isOwn =
        this.store.era === era &&
        current?.record.holder === record.holder &&
        current?.record.term === record.term &&
        current.revision !== observed?.revision;
      if (current === undefined || !isOwn) throw failure;
      return current.revision;
    }
  }

  private observe(
    record: LeaseRecord,
    revision: ObjectVersion,
    now: Instant,
  ): LeaseObservation {
    if (this.lastObservation?.revision !== revision) {
      this.lastObservation = {record, revision, firstSeenAt: now};
    }
    return this.lastObservation;
  }
}

function toRecord(stored: z.infer<typeof recordSchema>): LeaseRecord {
  return {
    holder: stored.holder === null ? undefined : as<NodeId>(stored.holder),
    address: stored.address,
    term: as<FencingNumber>(stored.term),
  };
}
