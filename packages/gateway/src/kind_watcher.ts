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
  StoreEra,
} from '@siskinmux/kernel';
import {
  SiskinmuxError,
  UNKNOWN_ERA,
  after,
  earlier,
  eraOf,
  jitter,
  later,
  scheduleWhileAwake,
  sleepFor,
  sleepUntil,
  until,
} from '@siskinmux/kernel';
import type {
  MetadataChange,
  MetadataListing,
  MetadataStore,
} from '@siskinmux/ports';
import {ChangesTooLongError, HistoryGoneError} from '@siskinmux/ports';
import type {FeedUpdate, KindRead} from './change_feed.js';
import {withEra} from './change_feed.js';
import {
  FEED_LOST,
  FEED_USED,
  READ_FAILED,
  READ_LONG,
  READ_OVERDUE,
  STORE_LOST,
  STORE_REGAINED,
  STORE_RELISTED,
  TASK_FAILED,
} from './gateway_events.js';
import {KnownRevisions} from './known_revisions.js';
import {ReadProgress} from './read_progress.js';
import {relistDelayMilliseconds} from './relist_delay.js';
import type {ViewAgeLimits} from './view_age_limits.js';

/** Exponential backoff after failed calls; the jitter keeps nodes from retrying together. */
const INITIAL_BACKOFF_MILLISECONDS: Milliseconds = 60;
const MAXIMUM_BACKOFF_MILLISECONDS: Milliseconds = 400;
const BACKOFF_JITTER = 0.4;

/**
 * A response of which nothing has arrived for this long may never come; even a store slowed down
 * 60 times is faster.
 */
const OVERDUE_MILLISECONDS: Milliseconds = 250;

/** A read that takes longer, from its head on, is logged. */
const LONG_READ_MILLISECONDS: Milliseconds = 250;

/** Changes may be this much longer than the last list before a list replaces them. */
const CHANGES_OVER_LIST_RATIO = 1.5;

/** Length up to which changes are read, however short the last list was. */
const MINIMUM_CHANGES_BYTES = 131_072;

/** Failures in a row after which the store counts as unreachable for this node. */
const UNREACHABLE_FAILURES = 2;

/** Maximum interval between this node's own reads while a feed replaces its watch. */
const OWN_READ_INTERVAL_MILLISECONDS: Milliseconds = 30_000;

/** Time in which the feed may resume after a list, which makes a watch needless. */
const FEED_RESUMPTION_MILLISECONDS: Milliseconds = 300;

/** Least interval between reads that requests ask for. */
const REFRESH_INTERVAL_MILLISECONDS: Milliseconds = 100;

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
  /** Whether this is the first list since the store returned from an older copy. */
  readonly isOlderCopy: boolean;
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
  readonly ageLimits: ViewAgeLimits;
  /** Pause after changes, so that further ones are batched into one call. */
  readonly batchMilliseconds: () => Milliseconds;
  /** Objects expire only in outages that are at least this long. */
  readonly outageMilliseconds: Milliseconds;
  /** Time after an outage in which objects that expired during it may register again. */
  readonly reregistrationGraceMilliseconds: Milliseconds;
  /** Whether other nodes rely on this node's reads. */
  readonly isFeedSource: () => boolean;
  /** Number of nodes that read the store. */
  readonly nodeCount: () => number;
  readonly onRead: (read: KindRead) => void;
}

/** Why a read is not waited for alone. */
type Interruption = 'overdue' | 'feed has more';

/** Goes on through interruptions of other causes. */
interface OverdueTimer {
  readonly expired: Promise<Interruption>;
  readonly cancel: CancelTimer;
}

/** Watches one kind of object. */
export class KindWatcher {
  private revision: ObjectVersion | undefined;
  private readonly known = KnownRevisions.create();
  /** Whether the store no longer has the changes after `revision`. */
  private isHistoryGone = false;
  /** When the feed has shown that this node lacks changes, if no read was sent since. */
  private behindSince: Instant | undefined;
  /** Length of the last list; 0 before the first. */
  private listBytes = 0;
  private failures = 0;
  private storeLostAt: Instant | undefined;
  private respondedAt: Instant | undefined;
  private confirmedUntil: Instant | undefined;
  private keepMissingUntil: Instant | undefined;
  /** Up to when the lease holder's feed has confirmed what this node knows, while it is used. */
  private feedConfirmedUntil: Instant | undefined;
  /** The latest period in which reads and the feed left no gap. */
  private current:
    {readonly since: Instant; readonly until: Instant} | undefined;
  private isUnreachable = false;
  /** Whether the last completed watch returned changes. */
  private hasNewChanges = false;
  /** Whether the store has returned from an older copy since this node's first read. */
  private hasStoreReturned = false;
  private wake: (() => void) | undefined;
  private interrupt: ((cause: Interruption) => void) | undefined;
  private readonly waiters = new Set<() => void>();
  /** What is acknowledged until then has to be read without further delay. */
  private refreshUntil: Instant | undefined;
  private nextRefreshAt: Instant | undefined;
  private readonly refreshWaiters = new Set<() => void>();
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
   * All changes that the store acknowledged before this have been read; undefined before the
   * first read.
   */
  get knownUntil(): Instant | undefined {
    return this.confirmedUntil;
  }

  /** Whether what has been read is recent enough to decide by it. */
  get isCurrent(): boolean {
    const {confirmedUntil} = this;
    const {clock, ageLimits} = this.options;
    return (
      confirmedUntil !== undefined &&
      clock.now() < after(confirmedUntil, ageLimits.choice)
    );
  }

  /**
   * Whether decisions may be made: by recent knowledge, by the last one during an outage, or
   * while nothing is known, which leads to refusals.
   */
  get isDecidable(): boolean {
    return (
      this.isUnreachable || this.isCurrent || this.confirmedUntil === undefined
    );
  }

  /** Resolves once {@link isDecidable} holds, or at the deadline, or on abortion. */
  async waitUntilDecidable(
    deadline: Instant,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.options;
    while (!this.isDecidable && !signal.aborted && clock.now() < deadline) {
      await new Promise<void>(resolve => {
        const end = (): void => {
          this.waiters.delete(end);
          signal.removeEventListener('abort', end);
          cancel();
          resolve();
        };
        const cancel = clock.schedule(deadline, end);
        signal.addEventListener('abort', end);
        this.waiters.add(end);
      });
    }
  }

  /**
   * Reads at once; resolves to whether all changes are known that the store had acknowledged when
   * this was called, at the deadline at the latest.
   */
  async refresh(deadline: Instant): Promise<boolean> {
    const {clock} = this.options;
    const askedAt = clock.now();
    const isDone = (): boolean =>
      this.confirmedUntil !== undefined && this.confirmedUntil >= askedAt;
    if (isDone()) return true;
    const startAt = earlier(
      later(this.nextRefreshAt ?? askedAt, askedAt),
      deadline,
    );
    if (startAt > askedAt) await sleepUntil(clock, startAt);
    // Of the requests that wait for the same instant, the first one has started the read.
    if (!isDone() && clock.now() >= (this.nextRefreshAt ?? askedAt))
      this.startRefresh();
    while (!isDone() && clock.now() < deadline)
      await new Promise<void>(resolve => {
        const end = (): void => {
          this.refreshWaiters.delete(end);
          cancel();
          resolve();
        };
        const cancel = clock.schedule(deadline, end);
        this.refreshWaiters.add(end);
      });
    return isDone();
  }

  private startRefresh(): void {
    const now = this.options.clock.now();
    this.refreshUntil = now;
    this.nextRefreshAt = after(now, REFRESH_INTERVAL_MILLISECONDS);
    this.interrupt?.('feed has more');
    this.wake?.();
  }

  private get isRefreshDue(): boolean {
    const {refreshUntil, confirmedUntil} = this;
    return (
      refreshUntil !== undefined &&
      (confirmedUntil === undefined || confirmedUntil < refreshUntil)
    );
  }

  /** Watches until {@link stop}. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.readNext();
      } catch (failure) {
        await this.handleFailure(failure);
      }
    }
  }

  stop(): void {
    this.isStopped = true;
    this.wake?.();
  }

  /**
   * Applies what the lease holder has read. `writtenAfter` is an instant of this node before
   * which the update was not written; without one, its age is unknown. An update with a gap
   * ends the feed.
   */
  applyFeed(received: FeedUpdate, writtenAfter: Instant | undefined): void {
    const {clock, emit, kind, ageLimits} = this.options;
    if (this.revision === undefined) return;
    const update = this.inOwnEra(received, eraOf(this.revision));
    if (update === undefined) {
      this.endFeed();
      return;
    }
    const isGap =
      update.from > this.revision ||
      (update.changes === null && update.to > this.revision);
    if (isGap) {
      this.behindSince = clock.now();
      this.endFeed();
      this.interrupt?.('feed has more');
      this.wake?.();
      return;
    }
    if (update.to > this.revision) {
      this.apply(update.changes ?? [], 'feed');
      this.revision = update.to;
    }
    if (writtenAfter === undefined) return;
    const knownUntil = after(writtenAfter, -update.age);
    const now = clock.now();
    this.confirm(knownUntil);
    if (now >= after(knownUntil, ageLimits.feed)) return;
    if (this.feedConfirmedUntil === undefined) {
      const age = Math.round(until(knownUntil, now));
      emit(FEED_USED, {kind, revision: update.to, age});
    }
    this.feedConfirmedUntil = later(
      this.feedConfirmedUntil ?? knownUntil,
      knownUntil,
    );
  }

  /**
   * The sender of an update without an era is of an earlier build, which doesn't notice that the
   * store returns; undefined if it has.
   */
  private inOwnEra(update: FeedUpdate, era: StoreEra): FeedUpdate | undefined {
    const isOfUnknownEra = eraOf(update.to) === UNKNOWN_ERA;
    if (!isOfUnknownEra || era === UNKNOWN_ERA) return update;
    return this.hasStoreReturned ? undefined : withEra(update, era);
  }

  /** Returns to this node's own watch: the feed's connection was lost, or it had a gap. */
  endFeed(): void {
    if (this.feedConfirmedUntil === undefined) return;
    this.feedConfirmedUntil = undefined;
    const {emit, kind} = this.options;
    emit(FEED_LOST, {kind, revision: this.revision});
    this.wake?.();
  }

  private get feedFreshUntil(): Instant | undefined {
    const {feedConfirmedUntil, respondedAt} = this;
    if (feedConfirmedUntil === undefined || respondedAt === undefined)
      return undefined;
    return earlier(
      after(feedConfirmedUntil, this.options.ageLimits.feed),
      after(respondedAt, OWN_READ_INTERVAL_MILLISECONDS),
    );
  }

  private get isFeedFresh(): boolean {
    const {feedFreshUntil} = this;
    return (
      feedFreshUntil !== undefined && this.options.clock.now() < feedFreshUntil
    );
  }

  /** Waits while the feed is fresh, then reads the later changes. */
  private async readNext(): Promise<void> {
    const {clock, ageLimits, batchMilliseconds, isFeedSource} = this.options;
    while (this.isFeedFresh && !this.isRefreshDue && !this.isStopped)
      await this.pauseUntil(this.feedFreshUntil ?? clock.now());
    if (this.isStopped) return;
    if (
      this.feedConfirmedUntil !== undefined &&
      clock.now() >= after(this.feedConfirmedUntil, ageLimits.feed)
    ) {
      this.endFeed();
    }
    if (this.revision === undefined || this.isHistoryGone) {
      const isFirst = this.revision === undefined;
      await this.finish(progress => this.list(progress), clock.now());
      if (!isFirst && !isFeedSource() && !this.isRefreshDue)
        await this.pauseUntil(after(clock.now(), FEED_RESUMPTION_MILLISECONDS));
      return;
    }
    const {revision} = this;
    const waitUntil = this.watchUntil();
    await this.finish(
      progress => this.watch(revision, waitUntil, progress),
      waitUntil,
    );
    if (this.hasNewChanges && !this.isRefreshDue)
      await this.pauseUntil(after(clock.now(), batchMilliseconds()));
  }

  /** Waits until `at`, or until there is a reason to read. */
  private pauseUntil(at: Instant): Promise<void> {
    const {clock} = this.options;
    return new Promise(resolve => {
      const end = (): void => {
        cancel();
        this.wake = undefined;
        resolve();
      };
      const cancel: CancelTimer = clock.schedule(at, end);
      this.wake = end;
    });
  }

  /**
   * Waits for a read. While its response arrives, no other is sent over the same link. Before,
   * watches again if the feed has more than this node has; if nothing arrives any more, lists the
   * objects, as the connection may have fallen silent. No two bring a large response.
   */
  private async finish(
    read: (progress: ReadProgress) => Promise<void>,
    expectedAt: Instant,
  ): Promise<void> {
    const {clock, emit, kind} = this.options;
    const progress = ReadProgress.create(clock);
    const reads = [read(progress)];
    let overdueAt = after(expectedAt, OVERDUE_MILLISECONDS);
    let overdueTimer = this.startOverdueTimer(overdueAt);
    const setOverdueAt = (at: Instant): void => {
      overdueTimer.cancel();
      overdueAt = at;
      overdueTimer = this.startOverdueTimer(at);
    };
    let hasWatchedAgain = false;
    let hasListed = false;
    let hasListedTwice = false;
    try {
      for (;;) {
        const cause = await this.firstOf(reads, overdueTimer.expired);
        if (cause === undefined) return;
        const now = clock.now();
        // A late update of the feed may end either, while the reads still bring nothing.
        if (this.isUnreachable || (hasListedTwice && this.isCurrent)) {
          setOverdueAt(after(now, OVERDUE_MILLISECONDS));
          continue;
        }
        const stalledAt = after(
          progress.arrivedAt ?? now,
          OVERDUE_MILLISECONDS,
        );
        const isArriving = progress.arrivedAt !== undefined && now < stalledAt;
        if (isArriving) setOverdueAt(later(overdueAt, stalledAt));
        // Any other read than a watch in its wait brings what the feed tells of, or the next one does.
        const isPending = hasWatchedAgain || hasListed || now >= expectedAt;
        if (isArriving || (cause === 'feed has more' && isPending)) continue;
        const {revision} = this;
        const {receivedBytes} = progress;
        emit(READ_OVERDUE, {kind, revision, cause, receivedBytes});
        if (cause === 'feed has more' && revision !== undefined) {
          hasWatchedAgain = true;
          reads.push(this.watch(revision, now, progress));
        } else if (!hasListed) {
          hasListed = true;
          reads.push(this.list(progress));
        } else {
          this.setUnreachable();
          if (!hasListedTwice) reads.push(this.list(progress));
          hasListedTwice = true;
        }
        setOverdueAt(after(now, OVERDUE_MILLISECONDS));
      }
    } finally {
      overdueTimer.cancel();
      progress.end();
    }
  }

  /** Counts the time for which nothing arrives only while this process runs. */
  private startOverdueTimer(overdueAt: Instant): OverdueTimer {
    const {clock} = this.options;
    let cancel: CancelTimer = () => {};
    const expired = new Promise<Interruption>(resolve => {
      const quietSince = after(overdueAt, -OVERDUE_MILLISECONDS);
      cancel = clock.schedule(quietSince, () => {
        const end = after(clock.now(), OVERDUE_MILLISECONDS);
        cancel = scheduleWhileAwake(clock, end, () => resolve('overdue'));
      });
    });
    return {expired, cancel: () => cancel()};
  }

  /** Resolves to undefined once a read has succeeded; rejects if all have failed. */
  private async firstOf(
    reads: readonly Promise<void>[],
    overdue: Promise<Interruption>,
  ): Promise<Interruption | undefined> {
    const interruption = new Promise<Interruption>(resolve => {
      this.interrupt = resolve;
    });
    try {
      return await Promise.race([
        firstSuccess(reads).then(() => undefined),
        overdue,
        interruption,
      ]);
    } finally {
      this.interrupt = undefined;
    }
  }

  private async list(progress: ReadProgress): Promise<void> {
    const {store, kind, handler, clock, onRead} = this.options;
    const sentAt = clock.now();
    const {revision: knownWhenSent} = this;
    let bytes = 0;
    const listing = await progress.follow(
      options => store.list(kind, false, options),
      received => (bytes = received),
    );
    this.listBytes = bytes;
    this.logIfLong('list', sentAt, bytes, progress);
    const from = this.revision;
    this.isHistoryGone = false;
    // A store that names no era shows only by a lower revision that it has returned from a copy.
    const isOlderCopy =
      from !== undefined &&
      knownWhenSent !== undefined &&
      (eraOf(listing.revision) > eraOf(from) ||
        listing.revision < knownWhenSent);
    if (from === undefined || listing.revision >= from || isOlderCopy) {
      const changes = this.known.replaceAll(listing);
      const context = this.contextOf('list', isOlderCopy);
      handler.onList(listing, context);
      this.revision = listing.revision;
      if (isOlderCopy) this.recordReturn(from, changes, context);
      this.confirm(sentAt);
      this.report(from, from === undefined ? undefined : changes, onRead);
    }
    this.recordResponse(sentAt);
  }

  private async watch(
    from: ObjectVersion,
    waitUntil: Instant,
    progress: ReadProgress,
  ): Promise<void> {
    const {store, kind, clock, onRead} = this.options;
    const sentAt = clock.now();
    let bytes = 0;
    const maximumBytes = Math.max(
      MINIMUM_CHANGES_BYTES,
      CHANGES_OVER_LIST_RATIO * this.listBytes,
    );
    const {changes, revision: to} = await progress.follow(
      options => store.watch(kind, from, waitUntil, {...options, maximumBytes}),
      received => (bytes = received),
    );
    this.logIfLong('watch', sentAt, bytes, progress);
    this.hasNewChanges = changes.length > 0;
    // The feed, or a later call, may have advanced past this response in the meantime.
    if (this.revision === undefined || to >= this.revision) {
      const forwarded = this.apply(changes, 'watch');
      this.revision = to;
      // An empty response shows that nothing had happened when the wait ended.
      const isWaitOver = changes.length === 0 && clock.now() >= waitUntil;
      this.confirm(isWaitOver ? later(sentAt, waitUntil) : sentAt);
      this.report(from, forwarded, onRead);
    }
    this.recordResponse(sentAt);
  }

  private logIfLong(
    source: ReadSource,
    sentAt: Instant,
    bytes: number,
    {headAt}: ReadProgress,
  ): void {
    const {clock, emit, kind, ageLimits} = this.options;
    const now = clock.now();
    const transferred = until(headAt ?? now, now);
    if (transferred < LONG_READ_MILLISECONDS) return;
    emit(READ_LONG, {
      kind,
      source,
      revision: this.revision,
      bytes,
      sentBefore: Math.round(until(sentAt, now)),
      transferMilliseconds: Math.round(transferred),
      bound: ageLimits.choice,
    });
  }

  private recordReturn(
    from: ObjectVersion,
    changes: readonly MetadataChange[],
    {keepMissingUntil}: ReadContext,
  ): void {
    const {clock, emit, kind} = this.options;
    this.hasStoreReturned = true;
    const missing = changes.filter(({isRemoved}) => isRemoved).length;
    emit(STORE_RELISTED, {
      kind,
      from,
      revision: this.revision,
      objects: changes.length - missing,
      missing,
      keptFor:
        keepMissingUntil && Math.round(until(clock.now(), keepMissingUntil)),
    });
  }

  private report(
    from: ObjectVersion | undefined,
    changes: readonly MetadataChange[] | undefined,
    onRead: KindWatcherOptions['onRead'],
  ): void {
    const {revision, confirmedUntil, keepMissingUntil} = this;
    if (revision === undefined || confirmedUntil === undefined) return;
    onRead({
      kind: this.options.kind,
      from,
      to: revision,
      changes,
      knownUntil: confirmedUntil,
      keepMissingUntil,
    });
  }

  /** Passes on the changes that are newer than what is known; returns those to forward. */
  private apply(
    changes: readonly MetadataChange[],
    source: ReadSource,
  ): readonly MetadataChange[] {
    const news = changes.filter(change => this.known.record(change));
    const context = this.contextOf(source);
    return news.length > 0 ? this.options.handler.onChanges(news, context) : [];
  }

  private watchUntil(): Instant {
    const {clock, isFeedSource, ageLimits} = this.options;
    const now = clock.now();
    if (
      this.behindSince !== undefined ||
      this.isRefreshDue ||
      this.failures > 0 ||
      this.isFeedFresh
    )
      return now;
    const wait = isFeedSource() ? ageLimits.feedSourceWatch : ageLimits.watch;
    const dueAt = after(this.confirmedUntil ?? now, ageLimits.read);
    return later(now, earlier(dueAt, after(now, wait)));
  }

  private contextOf(source: ReadSource, isOlderCopy = false): ReadContext {
    const {clock, outageMilliseconds, reregistrationGraceMilliseconds} =
      this.options;
    const {confirmedUntil: knownUntil} = this;
    const now = clock.now();
    const wasOut =
      knownUntil !== undefined && now >= after(knownUntil, outageMilliseconds);
    if (wasOut || isOlderCopy)
      this.keepMissingUntil = after(now, reregistrationGraceMilliseconds);
    else if (
      this.keepMissingUntil !== undefined &&
      now >= this.keepMissingUntil
    )
      this.keepMissingUntil = undefined;
    const {keepMissingUntil} = this;
    return {source, knownUntil, keepMissingUntil, isOlderCopy};
  }

  private confirm(confirmedUntil: Instant): void {
    this.confirmedUntil = later(
      this.confirmedUntil ?? confirmedUntil,
      confirmedUntil,
    );
    const {clock, ageLimits} = this.options;
    const now = clock.now();
    const end = after(this.confirmedUntil, ageLimits.feed);
    if (end > now) {
      this.isUnreachable = false;
      this.current = {since: this.currentSince ?? now, until: end};
    }
    this.notifyWaiters();
    for (const end of [...this.refreshWaiters]) end();
  }

  private setUnreachable(): void {
    this.isUnreachable = true;
    this.notifyWaiters();
  }

  private notifyWaiters(): void {
    if (!this.isDecidable) return;
    for (const end of [...this.waiters]) end();
  }

  private recordResponse(sentAt: Instant): void {
    const {emit, kind, clock} = this.options;
    this.failures = 0;
    if (this.behindSince !== undefined && sentAt >= this.behindSince)
      this.behindSince = undefined;
    this.respondedAt = clock.now();
    if (this.storeLostAt === undefined) return;
    emit(STORE_REGAINED, {
      kind,
      revision: this.revision,
      awayMilliseconds: Math.round(clock.now() - this.storeLostAt),
    });
    this.storeLostAt = undefined;
  }

  private async handleFailure(failure: unknown): Promise<void> {
    const {emit, kind, clock, random, isFeedSource, nodeCount} = this.options;
    if (needsList(failure)) {
      this.isHistoryGone = true;
      // The feed source lists first, so that the feed resumes early.
      if (failure instanceof HistoryGoneError && !isFeedSource())
        await sleepFor(clock, relistDelayMilliseconds(nodeCount(), random));
      return;
    }
    if (!(failure instanceof SiskinmuxError)) {
      // What was read may have been applied in part, so it is listed again.
      this.isHistoryGone = true;
      const task = `watch of ${kind}`;
      emit(TASK_FAILED, {task, failure: String(failure)});
    } else if (this.storeLostAt === undefined) {
      this.storeLostAt = clock.now();
      const {revision} = this;
      emit(STORE_LOST, {kind, revision, cause: failure.message});
    }
    const delay = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      INITIAL_BACKOFF_MILLISECONDS * 2 ** Math.min(this.failures, 8),
    );
    this.failures += 1;
    // Logged at 2, 4, 8 ... failures in a row, so that a long outage writes few lines.
    if (this.failures > 1 && Number.isInteger(Math.log2(this.failures)))
      emit(READ_FAILED, {
        kind,
        revision: this.revision,
        failures: this.failures,
        cause: failure instanceof Error ? failure.message : String(failure),
      });
    if (this.failures >= UNREACHABLE_FAILURES) this.setUnreachable();
    await sleepFor(clock, jitter(random, delay, BACKOFF_JITTER));
  }
}

/**
 * Resolves with the first read that succeeds. If all fail, rejects with the failure that asks for
 * a list, or else with the last one, which may be that of an aborted read.
 */
async function firstSuccess(reads: readonly Promise<void>[]): Promise<void> {
  try {
    await Promise.any(reads);
  } catch (failure) {
    if (!(failure instanceof AggregateError)) throw failure;
    throw failure.errors.find(needsList) ?? failure.errors.at(-1);
  }
}

/** Whether the objects have to be listed after this failure. */
function needsList(failure: unknown): boolean {
  return (
    failure instanceof HistoryGoneError ||
    failure instanceof ChangesTooLongError
  );
}
