/**
 * The origins of streams in the platform's store, for nodes that start later. They lie in a
 * ring of objects, each of which holds the streams that began in a few seconds; the oldest
 * object is overwritten. Each also records the versions of all services when it was written.
 */

import type {
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  StoreEra,
} from '@siskinmux/kernel';
import {SiskinmuxError, after, as, sleepUntil, until} from '@siskinmux/kernel';
import type {ClockReading} from '@siskinmux/leases';
import type {MetadataObject, MetadataStore} from '@siskinmux/ports';
import {ORIGINS_STORE_FAILED, ORIGINS_UNREADABLE} from './continuity_events.js';
import {
  decodeOrigins,
  observeVersions,
  storedOriginsSchema,
} from './origin_messages.js';
import type {storedOriginsSchema as schema} from './origin_messages.js';
import type {ServiceVersions} from './service_versions.js';
import type {StreamOrigin} from './stream_origins.js';
import {MAXIMUM_MEMORY_MILLISECONDS} from './stream_origins.js';
import type {z} from 'zod';

/** Kind of the stored objects. */
export const ORIGINS_KIND = 'siskinmux-stream-origins';

/**
 * Minimum time between the starts of two reads, which requests share: the second value times
 * the number of nodes, but at least the first. All nodes together read 400 times a second at most.
 */
const READ_INTERVAL_MILLISECONDS: Milliseconds = 50;
const READ_INTERVAL_MILLISECONDS_PER_NODE: Milliseconds = 2.5;

/** Allowance for clocks that differ between nodes. */
const CLOCK_DIFFERENCE_MILLISECONDS: Milliseconds = 5_000;

/** A stored object that was read. */
export interface StoredPart {
  readonly object: MetadataObject;
  readonly content: z.infer<typeof schema> | undefined;
  /** When it was written, by the clock of this process. */
  readonly writtenAt: Instant;
}

/** Dependencies of {@link StoredOrigins}. */
export interface StoredOriginsOptions {
  readonly store: MetadataStore;
  readonly clock: Clock;
  readonly readClocks: () => ClockReading;
  readonly emit: EmitEvent;
  readonly nodeCount: () => number;
}

/** Reads the stored origins on behalf of one node. */
export class StoredOrigins {
  private pending: Promise<readonly StoredPart[] | undefined> | undefined;
  private nextReadAt: Instant;

  private constructor(private readonly options: StoredOriginsOptions) {
    this.nextReadAt = options.clock.now();
  }

  static create(options: StoredOriginsOptions): StoredOrigins {
    return new StoredOrigins(options);
  }

  /** Reads all parts; undefined if the store doesn't respond. Concurrent calls share a read. */
  read(): Promise<readonly StoredPart[] | undefined> {
    this.pending ??= this.readAll().finally(() => {
      this.pending = undefined;
    });
    return this.pending;
  }

  private async readAll(): Promise<readonly StoredPart[] | undefined> {
    const {store, clock, emit, nodeCount} = this.options;
    if (this.nextReadAt > clock.now()) await sleepUntil(clock, this.nextReadAt);
    this.nextReadAt = after(
      clock.now(),
      Math.max(
        READ_INTERVAL_MILLISECONDS,
        nodeCount() * READ_INTERVAL_MILLISECONDS_PER_NODE,
      ),
    );
    try {
      const {objects} = await store.list(ORIGINS_KIND, false);
      return objects.map(object => this.decode(object));
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      emit(ORIGINS_STORE_FAILED, {call: 'list', cause: failure.message});
      return undefined;
    }
  }

  private decode(object: MetadataObject): StoredPart {
    const {clock, readClocks, emit} = this.options;
    const parsed = storedOriginsSchema.safeParse(object.content);
    if (!parsed.success) {
      emit(ORIGINS_UNREADABLE, {name: object.name, revision: object.revision});
      return {object, content: undefined, writtenAt: as<Instant>(0)};
    }
    const age = until(
      as<Instant>(parsed.data.writtenAt),
      readClocks().timeOfDay,
    );
    const writtenAt = after(clock.now(), -Math.max(0, age));
    return {object, content: parsed.data, writtenAt};
  }
}

/** The origins in a stored part; times that may be past are kept for the difference of clocks. */
export function originsOf({content, writtenAt}: StoredPart): StreamOrigin[] {
  return content === undefined
    ? []
    : decodeOrigins(content, after(writtenAt, CLOCK_DIFFERENCE_MILLISECONDS));
}

/** Whether callers may still resume streams of a stored part. */
export function isRecent({writtenAt}: StoredPart, now: Instant): boolean {
  const kept = MAXIMUM_MEMORY_MILLISECONDS + CLOCK_DIFFERENCE_MILLISECONDS;
  return after(writtenAt, kept) > now;
}

/** The part that was written last, which records the versions of all services. */
export function latestPart(
  parts: readonly StoredPart[],
): StoredPart | undefined {
  return parts.reduce<StoredPart | undefined>(
    (best, part) =>
      best === undefined || part.object.revision > best.object.revision
        ? part
        : best,
    undefined,
  );
}

/** Observes the versions that the part written last records. */
export function observeRecord(
  parts: readonly StoredPart[],
  versions: ServiceVersions,
  now: Instant,
): void {
  const latest = latestPart(parts);
  if (latest?.content === undefined) return;
  observeVersions(latest.content.versions, latest.writtenAt, versions, now);
  const {era} = latest.content;
  if (era !== undefined) versions.observeRecordEra(as<StoreEra>(era));
}
