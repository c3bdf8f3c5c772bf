/**
 * What the holder of the lease reads from the store, passed on to the other nodes: they
 * need no watches of their own while it comes. Every part says which revisions it
 * covers, so that a node notices a gap and reads for itself.
 */

import type {Clock, Instant, ObjectVersion} from '@siskinmux/kernel';
import {as, after, until} from '@siskinmux/kernel';
import type {StoreChange} from '@siskinmux/ports';
import {z} from 'zod';

/** Characters from which changes are only announced; a slow link takes them 90 times. */
const MOST_CHARACTERS = 32_768;

const version = z
  .number()
  .int()
  .transform(number => as<ObjectVersion>(number));

/** What happened to one kind between two revisions; a part of a message between nodes. */
export const feedPartSchema = z.object({
  kind: z.string().min(1),
  /** Everything that matters after `from`, up to `to`, is in `changes`. */
  from: version,
  to: version,
  /** Null when the changes are too large to pass on. */
  changes: z
    .array(
      z.object({
        object: z.object({
          name: z.string().min(1),
          revision: version,
          content: z.unknown(),
        }),
        isRemoved: z.boolean(),
      }),
    )
    .nullable(),
  /** Milliseconds since the store answered with `to`. */
  age: z.number().nonnegative(),
  /** Milliseconds for which what is missing may come back; 0 without an outage. */
  returnLeft: z.number().nonnegative(),
});

/** One part. */
export type FeedPart = z.infer<typeof feedPartSchema>;

/** What a follower of a kind read. */
export interface FollowerProgress {
  readonly kind: string;
  readonly from: ObjectVersion | undefined;
  readonly to: ObjectVersion;
  /** Undefined after a whole list: nobody knows what changed. */
  readonly changes: readonly StoreChange[] | undefined;
  readonly mayReturnUntil: Instant | undefined;
}

interface Gathered {
  from: ObjectVersion;
  to: ObjectVersion;
  changes: StoreChange[] | undefined;
  answeredAt: Instant;
  mayReturnUntil: Instant | undefined;
}

/** Gathers what was read until it is told. */
export class ChangeFeed {
  private readonly kinds = new Map<string, Gathered>();

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): ChangeFeed {
    return new ChangeFeed(options.clock);
  }

  /** Notes an answer of the store. */
  note({kind, from, to, changes, mayReturnUntil}: FollowerProgress): void {
    const answeredAt = this.clock.now();
    const known = this.kinds.get(kind);
    if (known === undefined) {
      // Nobody was told anything before: what comes next begins here.
      this.kinds.set(kind, {
        from: to,
        to,
        changes: [],
        answeredAt,
        mayReturnUntil,
      });
      return;
    }
    const isUnbroken = changes !== undefined && from === known.to;
    if (isUnbroken) known.changes?.push(...changes);
    else known.changes = undefined;
    known.to = to;
    known.answeredAt = answeredAt;
    known.mayReturnUntil = mayReturnUntil;
  }

  /** What is to be told now; what comes later begins where it ends. */
  drain(): FeedPart[] {
    const now = this.clock.now();
    return [...this.kinds].map(([kind, gathered]) => {
      const {from, to, answeredAt, mayReturnUntil} = gathered;
      const changes = smallEnough(gathered.changes);
      gathered.from = to;
      gathered.changes = [];
      return {
        kind,
        from,
        to,
        changes,
        age: until(answeredAt, now),
        returnLeft: Math.max(0, until(now, mayReturnUntil ?? now)),
      };
    });
  }
}

/** When a part's `returnLeft` ends at the node that got it. */
export function returnEndsAt(
  {returnLeft}: FeedPart,
  now: Instant,
): Instant | undefined {
  return returnLeft > 0 ? after(now, returnLeft) : undefined;
}

function smallEnough(changes: StoreChange[] | undefined): StoreChange[] | null {
  if (changes === undefined) return null;
  if (changes.length === 0) return changes;
  return JSON.stringify(changes).length > MOST_CHARACTERS ? null : changes;
}
