/**
 * Keeps a handler up to date with all objects of a kind in the store: lists them, then
 * watches for changes, with retries after failures. While the lease holder's feed supplies
 * the changes, this node doesn't watch.
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
import {
  SiskinmuxError,
  after,
  jitter,
  later,
  sleepFor,
} from '@siskinmux/kernel';
import type {
  MetadataChange,
  MetadataListing,
  MetadataStore,
} from '@siskinmux/ports';
import {HistoryGoneError} from '@siskinmux/ports';
import type {FeedUpdate, KindRead} from './change_feed.js';
import {decodeKeepMissingUntil} from './change_feed.js';
import {
  FEED_LOST,
  FEED_USED,
  STORE_LOST,
  STORE_REGAINED,
} from './gateway_events.js';

/** Maximum duration of a watch call, and so the time to detect a silent connection. */
const WATCH_MILLISECONDS: Milliseconds = 1_500;

/** Maximum duration of a watch call of the feed source, on whose reads all other nodes depend. */
const FEED_SOURCE_WATCH_MILLISECONDS: Milliseconds = 400;

/** Exponential backoff after failed calls; the jitter keeps nodes from retrying together. */
const INITIAL_BACKOFF_MILLISECONDS: Milliseconds = 60;
const MAXIMUM_BACKOFF_MILLISECONDS: Milliseconds = 400;
const BACKOFF_JITTER = 0.4;

/**
 * Age of the store's last response up to which a feed replaces this node's own watch.
 * Leaving endpoints serve for two more seconds, and a configuration has to be active
 * within two seconds, so about one second remains for this node's own read.
 */
const MAXIMUM_FEED_AGE_MILLISECONDS: Milliseconds = 1_100;

/** Maximum interval between this node's own reads while a feed replaces its watch. */
const OWN_READ_INTERVAL_MILLISECONDS: Milliseconds = 30_000;

/** Age up to which the last response counts as current; the feed source reads more often. */
const CURRENT_MILLISECONDS: Milliseconds = 700;

/** Age up to which the last response shows that the store is reachable. */
const REACHABILITY_MILLISECONDS: Milliseconds = 2_500;

/** How changes reached this node. */
export type ReadSource = 'list' | 'watch' | 'feed';

/** Circumstances of a read. */
export interface ReadContext {
  readonly source: ReadSource;
  /**
   * Changes that the store acknowledged before this were known already; undefined before the
   * first read.
   */
  readonly knownUntil: Instant | undefined;
  /**
   * Objects that are missing or removed shortly after an outage may register again; the end
   * of that grace period, if there is one.
   */
  readonly keepMissingUntil: Instant | undefined;
}

/** Receives what is read from the store. */
export interface KindHandler {
  onList(listing: MetadataListing, context: ReadContext): void;
  /** Returns the changes that have to be forwarded to other nodes. */
  onChanges(
    changes: readonly MetadataChange[],
    context: ReadContext,
  ): readonly MetadataChange[];
}

/** Dependencies of {@link KindWatcher}. */
export interface KindWatcherOptions {
  readonly store: MetadataStore;
  readonly kind: string;
  readonly handler: KindHandler;
  readonly clock: Clock;
  readonly random: Random;
  readonly emit: EmitEvent;
  /** Pause after changes, so that further ones are batched into one call. */
  readonly batchMilliseconds: () => Milliseconds;
  /** Time after an outage in which objects that expired during it may register again. */
  readonly reregistrationGraceMilliseconds: Milliseconds;
  /** Whether other nodes rely on this node's reads. */
  readonly isFeedSource: () => boolean;
  readonly onRead: (read: KindRead) => void;
}

/** Watches one kind of object. */
export class KindWatcher {
  private revision: ObjectVersion | undefined;
  private failures = 0;
  private storeLostAt: Instant | undefined;
  private storeRegainedAt: Instant | undefined;
  private respondedAt: Instant | undefined;
  private confirmedUntil: Instant | undefined;
  /** End of the period in which the lease holder's feed replaces this node's own watch. */
  private feedFreshUntil: Instant | undefined;
  /** The latest period in which reads and the feed left no gap. */
  private current:
    {readonly since: Instant; readonly until: Instant} | undefined;
  private wake: (() => void) | undefined;
  private isStopped = false;

  private constructor(private readonly options: KindWatcherOptions) {}

  static create(options: KindWatcherOptions): KindWatcher {
    return new KindWatcher(options);
  }

  get kind(): string {
    return this.options.kind;
  }

  /** Whether the last call to the store failed. */
  get hasLostStore(): boolean {
    return this.storeLostAt !== undefined;
  }

  /** Whether the store has responded to this node recently. */
  get reachesStore(): boolean {
    if (this.storeLostAt !== undefined || this.respondedAt === undefined) {
      return false;
    }
    const end = after(this.respondedAt, REACHABILITY_MILLISECONDS);
    return this.options.clock.now() < end;
  }

  /**
   * Since when everything that the store held about a second before has been read, without a
   * gap; undefined if it hasn't been now.
   */
  get currentSince(): Instant | undefined {
    const {current} = this;
    return current !== undefined && this.options.clock.now() < current.until
      ? current.since
      : undefined;
  }

  /**
   * All changes that the store acknowledged before this have been read, unless a feed update
   * was delayed on its way; undefined before the first read.
   */
  get knownUntil(): Instant | undefined {
    return this.confirmedUntil;
  }

  /** Watches until {@link stop}. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (this.revision === undefined) await this.list();
        else if (this.isFeedFresh) await this.sleepWhileFeedIsFresh();
        else await this.watch(this.revision);
      } catch (failure) {
        if (!(failure instanceof SiskinmuxError)) throw failure;
        if (failure instanceof HistoryGoneError) this.revision = undefined;
        else await this.backOff(failure);
      }
    }
  }

  stop(): void {
    this.isStopped = true;
    this.wake?.();
  }

  /** Applies what the lease holder has read; a gap in the revisions ends the feed. */
  applyFeed(update: FeedUpdate): void {
    const {handler, clock, emit, kind} = this.options;
    if (this.revision === undefined) return;
    const isGap =
      update.from > this.revision ||
      (update.changes === null && update.to > this.revision);
    if (isGap) {
      this.endFeed();
      return;
    }
    const now = clock.now();
    if (update.to > this.revision) {
      handler.onChanges(
        update.changes ?? [],
        this.contextOf('feed', decodeKeepMissingUntil(update, now)),
      );
      this.revision = update.to;
    }
    if (update.to === this.revision) this.confirm(after(now, -update.age));
    if (update.age >= MAXIMUM_FEED_AGE_MILLISECONDS) return;
    if (this.feedFreshUntil === undefined) {
      emit(FEED_USED, {kind, revision: update.to, age: Math.round(update.age)});
    }
    this.feedFreshUntil = after(
      now,
      MAXIMUM_FEED_AGE_MILLISECONDS - update.age,
    );
    this.extendCurrent(this.feedFreshUntil);
  }

  /** Returns to this node's own watch: the feed's connection was lost, or it had a gap. */
  endFeed(): void {
    if (this.feedFreshUntil === undefined) return;
    this.feedFreshUntil = undefined;
    const {emit, kind} = this.options;
    emit(FEED_LOST, {kind, revision: this.revision});
    this.wake?.();
  }

  private get isFeedFresh(): boolean {
    const now = this.options.clock.now();
    const {respondedAt, feedFreshUntil} = this;
    if (feedFreshUntil === undefined || respondedAt === undefined) return false;
    return (
      now < feedFreshUntil &&
      now < after(respondedAt, OWN_READ_INTERVAL_MILLISECONDS)
    );
  }

  /** Sleeps while the feed is fresh, then reads the later changes with one call. */
  private async sleepWhileFeedIsFresh(): Promise<void> {
    while (this.isFeedFresh && !this.isStopped)
      await this.sleepUntilFeedIsStale();
    if (this.isStopped || this.revision === undefined) return;
    if (
      this.feedFreshUntil !== undefined &&
      this.feedFreshUntil <= this.options.clock.now()
    ) {
      this.endFeed();
    }
    await this.watch(this.revision, this.options.clock.now());
  }

  private sleepUntilFeedIsStale(): Promise<void> {
    const {clock} = this.options;
    return new Promise(resolve => {
      const end = (): void => {
        cancel();
        this.wake = undefined;
        resolve();
      };
      const cancel: CancelTimer = clock.schedule(
        this.feedFreshUntil ?? clock.now(),
        end,
      );
      this.wake = end;
    });
  }

  private async list(): Promise<void> {
    const {store, kind, handler, clock, onRead} = this.options;
    const sentAt = clock.now();
    const listing = await store.list(kind, false);
    const keepMissingUntil = this.keepMissingUntil();
    handler.onList(listing, this.contextOf('list', keepMissingUntil));
    this.revision = listing.revision;
    this.confirm(sentAt);
    this.recordResponse();
    onRead({
      kind,
      from: undefined,
      to: listing.revision,
      changes: undefined,
      keepMissingUntil,
    });
  }

  private async watch(
    from: ObjectVersion,
    waitUntil = this.watchUntil(),
  ): Promise<void> {
    const {store, kind, handler, clock, batchMilliseconds, onRead} =
      this.options;
    const sentAt = clock.now();
    const {changes, revision: to} = await store.watch(kind, from, waitUntil);
    // The feed may have advanced past this response in the meantime.
    if (this.revision === undefined || to >= this.revision) {
      const keepMissingUntil = this.keepMissingUntil();
      const context = this.contextOf('watch', keepMissingUntil);
      const forwarded =
        changes.length > 0 ? handler.onChanges(changes, context) : [];
      this.revision = to;
      // An empty response shows that nothing had happened when the wait ended.
      const isWaitOver = changes.length === 0 && clock.now() >= waitUntil;
      this.confirm(isWaitOver ? waitUntil : sentAt);
      onRead({
        kind,
        from,
        to,
        changes: forwarded,
        keepMissingUntil,
      });
    }
    this.recordResponse();
    if (changes.length > 0) await sleepFor(clock, batchMilliseconds());
  }

  private contextOf(
    source: ReadSource,
    keepMissingUntil: Instant | undefined,
  ): ReadContext {
    return {source, knownUntil: this.confirmedUntil, keepMissingUntil};
  }

  private confirm(until: Instant): void {
    this.confirmedUntil = later(this.confirmedUntil ?? until, until);
  }

  private watchUntil(): Instant {
    const {clock, isFeedSource} = this.options;
    const delay = isFeedSource()
      ? FEED_SOURCE_WATCH_MILLISECONDS
      : WATCH_MILLISECONDS;
    return after(clock.now(), delay);
  }

  /** Set for a grace period that starts with the first response after an outage. */
  private keepMissingUntil(): Instant | undefined {
    const now = this.options.clock.now();
    if (this.storeLostAt !== undefined) this.storeRegainedAt = now;
    if (this.storeRegainedAt === undefined) return undefined;
    const end = after(
      this.storeRegainedAt,
      this.options.reregistrationGraceMilliseconds,
    );
    return now < end ? end : undefined;
  }

  private recordResponse(): void {
    const {emit, kind, clock} = this.options;
    this.failures = 0;
    this.respondedAt = clock.now();
    this.extendCurrent(after(this.respondedAt, CURRENT_MILLISECONDS));
    if (this.storeLostAt === undefined) return;
    emit(STORE_REGAINED, {
      kind,
      revision: this.revision,
      awayMilliseconds: Math.round(clock.now() - this.storeLostAt),
    });
    this.storeLostAt = undefined;
  }

  private extendCurrent(end: Instant): void {
    const now = this.options.clock.now();
    const since = this.currentSince ?? now;
    this.current = {since, until: later(this.current?.until ?? end, end)};
  }

  private async backOff(failure: SiskinmuxError): Promise<void> {
    const {emit, kind, clock, random} = this.options;
    const now = clock.now();
    if (this.storeLostAt === undefined) {
      this.storeLostAt = now;
      emit(STORE_LOST, {
        kind,
        revision: this.revision,
        cause: failure.message,
      });
    }
    const delay = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      INITIAL_BACKOFF_MILLISECONDS * 2 ** Math.min(this.failures, 8),
    );
    this.failures += 1;
    await sleepFor(clock, jitter(random, delay, BACKOFF_JITTER));
  }
}
