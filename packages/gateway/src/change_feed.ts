/**
 * Change feed from the lease holder to the other nodes, which need no watches of their own
 * while it arrives. Each update states the revisions it covers, so that a node detects a
 * gap and reads the store itself.
 */

import type {
  Clock,
  Instant,
  Milliseconds,
  ObjectVersion,
  StoreEra,
} from '@siskinmux/kernel';
import {
  UNKNOWN_ERA,
  as,
  eraOf,
  isEra,
  isRevision,
  revisionOf,
  until,
  versionOf,
} from '@siskinmux/kernel';
import type {MetadataChange} from '@siskinmux/ports';
import {z} from 'zod';

/**
 * Maximum length of the changes of one kind in a heartbeat; followers read larger changes
 * from the store. Each heartbeat goes to all followers, so a slow link of the lease holder
 * would carry large changes up to 90 times.
 */
const MAXIMUM_CHANGES_CHARACTERS = 32_768;

const revisionSchema = z.number().refine(isRevision);

/** Changes of one kind between two versions of one era; part of the heartbeat. */
const feedMessageSchema = z.object({
  kind: z.string().min(1),
  /** Era of all revisions; missing if the sender is of an earlier build or the store names none. */
  era: z.number().refine(isEra).optional(),
  /** `changes` holds every relevant change after `from`, up to and including `to`. */
  from: revisionSchema,
  to: revisionSchema,
  /** Null if the changes are too large to send, or unknown. */
  changes: z
    .array(
      z.object({
        object: z.object({
          name: z.string().min(1),
          revision: revisionSchema,
          content: z.unknown(),
        }),
        isRemoved: z.boolean(),
      }),
    )
    .nullable(),
  /** Milliseconds, when this is written, since every change was known to be contained. */
  age: z.number().nonnegative(),
  /**
   * Remaining milliseconds in which missing objects are kept after an outage of the sender; 0
   * without one. Only nodes of earlier versions heed it.
   */
  returnLeft: z.number().nonnegative(),
});

/** Changes of one kind between two versions. */
interface UpdateOf<Revision extends number> {
  readonly kind: string;
  readonly from: Revision;
  readonly to: Revision;
  readonly changes:
    | readonly {
        readonly object: {
          readonly name: string;
          readonly revision: Revision;
          readonly content: unknown;
        };
        readonly isRemoved: boolean;
      }[]
    | null;
  readonly age: Milliseconds;
  readonly returnLeft: Milliseconds;
}

/** An update in the process; its versions are of an unknown era if the sender knows none. */
export type FeedUpdate = UpdateOf<ObjectVersion>;

/** An update on the wire. */
type FeedMessage = UpdateOf<number> & {readonly era?: number};

export const feedUpdateSchema = feedMessageSchema.transform(
  ({era, ...message}): FeedUpdate =>
    withRevisions(message, revision =>
      versionOf(era === undefined ? UNKNOWN_ERA : as<StoreEra>(era), revision),
    ),
);

/** The update as it is sent. */
export function encodeFeedUpdate(update: FeedUpdate): FeedMessage {
  const era = eraOf(update.to);
  return {
    ...withRevisions(update, revisionOf),
    ...(era !== UNKNOWN_ERA && {era}),
  };
}

/** The update of a sender that doesn't know the era, which must be that of the receiver. */
export function withEra(update: FeedUpdate, era: StoreEra): FeedUpdate {
  return withRevisions(update, revision => versionOf(era, revision));
}

function withRevisions<From extends number, To extends number>(
  update: UpdateOf<From>,
  convert: (revision: From) => To,
): UpdateOf<To> {
  return {
    ...update,
    from: convert(update.from),
    to: convert(update.to),
    changes:
      update.changes?.map(({object, isRemoved}) => ({
        object: {...object, revision: convert(object.revision)},
        isRemoved,
      })) ?? null,
  };
}

/** Changes of one kind of object that one read of the store returned. */
export interface KindRead {
  readonly kind: string;
  readonly from: ObjectVersion | undefined;
  readonly to: ObjectVersion;
  /** Undefined after a full list, from which the changes are unknown. */
  readonly changes: readonly MetadataChange[] | undefined;
  /** `to` covers all changes that the store acknowledged before this. */
  readonly knownUntil: Instant;
  readonly keepMissingUntil: Instant | undefined;
}

interface Batch {
  from: ObjectVersion;
  to: ObjectVersion;
  changes: MetadataChange[] | undefined;
  knownUntil: Instant;
  keepMissingUntil: Instant | undefined;
}

/** Batches the reads of the store until the next heartbeat. */
export class ChangeFeed {
  private readonly batches = new Map<string, Batch>();

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): ChangeFeed {
    return new ChangeFeed(options.clock);
  }

  /** Records a response of the store. */
  record(read: KindRead): void {
    const {kind, from, to, changes, knownUntil, keepMissingUntil} = read;
    const batch = this.batches.get(kind);
    if (batch === undefined) {
      // Nothing was sent before, so the first update starts at this revision.
      this.batches.set(kind, {
        from: to,
        to,
        changes: [],
        knownUntil,
        keepMissingUntil,
      });
      return;
    }
    const isContiguous =
      changes !== undefined &&
      from !== undefined &&
      from <= batch.to &&
      eraOf(from) === eraOf(to);
    if (isContiguous) batch.changes?.push(...changes);
    else batch.changes = undefined;
    batch.to = to;
    batch.knownUntil = knownUntil;
    batch.keepMissingUntil = keepMissingUntil;
  }

  /** Returns the updates to send now; the next ones start where these end. */
  takeUpdates(): FeedUpdate[] {
    const now = this.clock.now();
    return [...this.batches].map(([kind, batch]) => {
      const {to, knownUntil, keepMissingUntil} = batch;
      // No update spans two eras: what lies between them is unknown.
      const from = eraOf(batch.from) === eraOf(to) ? batch.from : to;
      const changes = omitTooLarge(batch.changes);
      batch.from = to;
      batch.changes = [];
      return {
        kind,
        from,
        to,
        changes,
        age: Math.max(0, until(knownUntil, now)),
        returnLeft: Math.max(0, until(now, keepMissingUntil ?? now)),
      };
    });
  }
}

function omitTooLarge(
  changes: MetadataChange[] | undefined,
): MetadataChange[] | null {
  if (changes === undefined) return null;
  if (changes.length === 0) return changes;
  return JSON.stringify(changes).length > MAXIMUM_CHANGES_CHARACTERS
    ? null
    : changes;
}
