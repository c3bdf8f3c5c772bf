/**
 * Follows all objects of a kind in the store: a list, then watches, again after each
 * trouble. While another node passes on what it reads, the watches rest.
 */

import type {
  CancelTimer,
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  ObjectVersion,
  Random,
} from '@siskinmux/kernel';
import {SiskinmuxError, after, jitter, sleepFor} from '@siskinmux/kernel';
import type {ObjectStore, StoreChange, StoreListing} from '@siskinmux/ports';
import {HistoryGoneError} from '@siskinmux/ports';
import type {FeedPart, FollowerProgress} from './change_feed.js';
import {returnEndsAt} from './change_feed.js';
import {
  FEED_USED,
  FEED_LOST,
  STORE_LOST,
  STORE_REGAINED,
} from './gateway_events.js';

/** How long one watch waits; a connection that went silent is noticed that late. */
const WATCH_MILLISECONDS: Milliseconds = 1_500;

/** The same for a node that passes on what it reads: all others wait for its answers. */
const FEEDING_WATCH_MILLISECONDS: Milliseconds = 400;

/** First and longest pause after a failed call, and the share by which nodes differ. */
const FIRST_PAUSE_MILLISECONDS: Milliseconds = 60;
const LONGEST_PAUSE_MILLISECONDS: Milliseconds = 400;
const PAUSE_JITTER = 0.4;

/**
 * Age of the store's last answer, as passed on, up to which this node reads nothing for
 * itself. Endpoints that leave serve on for two seconds, and a configuration has two
 * seconds to be in force: one of them is left.
 */
const FEED_LIFETIME_MILLISECONDS: Milliseconds = 1_100;

/** Even so the node reads for itself this often. */
const OWN_READ_MILLISECONDS: Milliseconds = 30_000;

/** An answer that is older says nothing of whether the store can be reached. */
const REACHED_MILLISECONDS: Milliseconds = 2_500;

/** Who gets what is read; objects that are missing may come back until `mayReturnUntil`. */
export interface KindReader {
  onList(listing: StoreListing, mayReturnUntil: Instant | undefined): void;
  /** Returns the changes that other nodes have to hear of. */
  onChanges(
    changes: readonly StoreChange[],
    mayReturnUntil: Instant | undefined,
  ): readonly StoreChange[];
}

/** What a follower needs. */
export interface KindFollowerOptions {
  readonly store: ObjectStore;
  readonly kind: string;
  readonly handler: KindReader;
  readonly clock: Clock;
  readonly random: Random;
  readonly emit: EmitEvent;
  /** Pause after changes, in which more of them gather into one call. */
  readonly gatherMilliseconds: () => Milliseconds;
  /** After an outage, what lapsed meanwhile is back within this time. */
  readonly reappearanceMilliseconds: Milliseconds;
  /** Whether other nodes rely on what this one reads. */
  readonly isFeeding: () => boolean;
  readonly onProgress: (progress: FollowerProgress) => void;
}

/** Keeps a reader up to date about one kind. */
export class KindFollower {
  private revision: ObjectVersion | undefined;
  private failures = 0;
  private lostAt: Instant | undefined;
  private regainedAt: Instant | undefined;
  private answeredAt: Instant | undefined;
  /** Until when another node's reading stands in for this node's own. */
  private fedUntil: Instant | undefined;
  private wake: (() => void) | undefined;
  private isStopped = false;

  private constructor(private readonly options: KindFollowerOptions) {}

  static create(options: KindFollowerOptions): KindFollower {
    return new KindFollower(options);
  }

  get kind(): string {
    return this.options.kind;
  }

  /** Whether the last call got no answer. */
  get hasLostStore(): boolean {
    return this.lostAt !== undefined;
  }

  /** Whether the store has answered this node lately. */
  get reachesStore(): boolean {
    if (this.lostAt !== undefined || this.answeredAt === undefined) {
      return false;
    }
    const end = after(this.answeredAt, REACHED_MILLISECONDS);
    return this.options.clock.now() < end;
  }

  /** Follows until {@link stop}. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (this.revision === undefined) await this.list();
        else if (this.isFed) await this.sleepWhileFed();
        else await this.watch(this.revision);
      } catch (failure) {
        if (!(failure instanceof SiskinmuxError)) throw failure;
        if (failure instanceof HistoryGoneError) this.revision = undefined;
        else await this.noteFailure(failure);
      }
    }
  }

  stop(): void {
    this.isStopped = true;
    this.wake?.();
  }

  /** Takes over what another node read. */
  takeFeed(part: FeedPart): void {
    const {handler: reader, clock, emit, kind} = this.options;
    if (this.revision === undefined) return;
    const isGap =
      part.from > this.revision ||
      (part.changes === null && part.to > this.revision);
    if (isGap) {
      this.endFeed();
      return;
    }
    const now = clock.now();
    if (part.to > this.revision) {
      reader.onChanges(part.changes ?? [], returnEndsAt(part, now));
      this.revision = part.to;
    }
    if (part.age >= FEED_LIFETIME_MILLISECONDS) return;
    if (this.fedUntil === undefined) {
      emit(FEED_USED, {kind, revision: part.to, age: Math.round(part.age)});
    }
    this.fedUntil = after(now, FEED_LIFETIME_MILLISECONDS - part.age);
  }

  /** The node that passed on what it read is lost, or told too little. */
  endFeed(): void {
    if (this.fedUntil === undefined) return;
    this.fedUntil = undefined;
    const {emit, kind} = this.options;
    emit(FEED_LOST, {kind, revision: this.revision});
    this.wake?.();
  }

  private get isFed(): boolean {
    const now = this.options.clock.now();
    const {answeredAt, fedUntil} = this;
    if (fedUntil === undefined || answeredAt === undefined) return false;
    return now < fedUntil && now < after(answeredAt, OWN_READ_MILLISECONDS);
  }

  /** Rests until the feed is too old; then one call brings what came since. */
  private async sleepWhileFed(): Promise<void> {
    while (this.isFed && !this.isStopped) await this.sleepUntilOld();
    if (this.isStopped || this.revision === undefined) return;
    if (
      this.fedUntil !== undefined &&
      this.fedUntil <= this.options.clock.now()
    ) {
      this.endFeed();
    }
    await this.watch(this.revision, this.options.clock.now());
  }

  private sleepUntilOld(): Promise<void> {
    const {clock} = this.options;
    return new Promise(resolve => {
      const end = (): void => {
        cancel();
        this.wake = undefined;
        resolve();
      };
      const cancel: CancelTimer = clock.schedule(
        this.fedUntil ?? clock.now(),
        end,
      );
      this.wake = end;
    });
  }

  private async list(): Promise<void> {
    const {store, kind, handler: reader, onProgress} = this.options;
    const listing = await store.list(kind, false);
    const mayReturnUntil = this.mayReturnUntil();
    reader.onList(listing, mayReturnUntil);
    this.revision = listing.revision;
    this.noteAnswer();
    onProgress({
      kind,
      from: undefined,
      to: listing.revision,
      changes: undefined,
      mayReturnUntil,
    });
  }

  private async watch(
    from: ObjectVersion,
    waitUntil = this.watchUntil(),
  ): Promise<void> {
    const {store, kind, handler: reader, clock, gatherMilliseconds, onProgress} =
      this.options;
    const {changes, revision: to} = await store.watch(kind, from, waitUntil);
    // What was passed on meanwhile may go further than this answer.
    if (this.revision === undefined || to >= this.revision) {
      const mayReturnUntil = this.mayReturnUntil();
      const news =
        changes.length > 0 ? reader.onChanges(changes, mayReturnUntil) : [];
      this.revision = to;
      onProgress({kind, from, to, changes: news, mayReturnUntil});
    }
    this.noteAnswer();
    if (changes.length > 0) await sleepFor(clock, gatherMilliseconds());
  }

  private watchUntil(): Instant {
    const {clock, isFeeding} = this.options;
    const wait = isFeeding() ? FEEDING_WATCH_MILLISECONDS : WATCH_MILLISECONDS;
    return after(clock.now(), wait);
  }

  /** Set for some time from the first answer after an outage on. */
  private mayReturnUntil(): Instant | undefined {
    const now = this.options.clock.now();
    if (this.lostAt !== undefined) this.regainedAt = now;
    if (this.regainedAt === undefined) return undefined;
    const end = after(this.regainedAt, this.options.reappearanceMilliseconds);
    return now < end ? end : undefined;
  }

  private noteAnswer(): void {
    const {emit, kind, clock} = this.options;
    this.failures = 0;
    this.answeredAt = clock.now();
    if (this.lostAt === undefined) return;
    emit(STORE_REGAINED, {
      kind,
      revision: this.revision,
      awayMilliseconds: Math.round(clock.now() - this.lostAt),
    });
    this.lostAt = undefined;
  }

  private async noteFailure(failure: SiskinmuxError): Promise<void> {
    const {emit, kind, clock, random} = this.options;
    const now = clock.now();
    if (this.lostAt === undefined) {
      this.lostAt = now;
      emit(STORE_LOST, {
        kind,
        revision: this.revision,
        cause: failure.message,
      });
    }
    const pause = Math.min(
      LONGEST_PAUSE_MILLISECONDS,
      FIRST_PAUSE_MILLISECONDS * 2 ** Math.min(this.failures, 8),
    );
    this.failures += 1;
    await sleepFor(clock, jitter(random, pause, PAUSE_JITTER));
  }
}
