/** Follows all objects of a kind in the store: a list, then watches, again after each trouble. */

import type {
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  ObjectVersion,
  Random,
} from '@siskinmux/kernel';
import {SiskinmuxError, after, jitter, sleepUntil} from '@siskinmux/kernel';
import type {ObjectStore, StoreChange, StoreListing} from '@siskinmux/ports';
import {HistoryGoneError} from '@siskinmux/ports';
import {STORE_LOST, STORE_REGAINED} from './gateway_events.js';

/** How long one watch waits; a connection that went silent is noticed that late. */
const WATCH_MILLISECONDS: Milliseconds = 1_500;

/** First and longest pause after a failed call, and the share by which nodes differ. */
const FIRST_PAUSE_MILLISECONDS: Milliseconds = 60;
const LONGEST_PAUSE_MILLISECONDS: Milliseconds = 400;
const PAUSE_JITTER = 0.4;

/** Who gets what is read; objects that are missing may come back until `mayReturnUntil`. */
export interface KindReader {
  onList(listing: StoreListing, mayReturnUntil: Instant | undefined): void;
  onChanges(
    changes: readonly StoreChange[],
    mayReturnUntil: Instant | undefined,
  ): void;
}

/** What a follower needs. */
export interface KindFollowerOptions {
  readonly store: ObjectStore;
  readonly kind: string;
  readonly reader: KindReader;
  readonly clock: Clock;
  readonly random: Random;
  readonly emit: EmitEvent;
  /** Pause after changes, in which more of them gather into one call. */
  readonly gatherMilliseconds: Milliseconds;
  /** After an outage, what lapsed meanwhile is back within this time. */
  readonly reappearanceMilliseconds: Milliseconds;
}

/** Keeps a reader up to date about one kind. */
export class KindFollower {
  private revision: ObjectVersion | undefined;
  private failures = 0;
  private lostAt: Instant | undefined;
  private regainedAt: Instant | undefined;
  private isStopped = false;

  private constructor(private readonly options: KindFollowerOptions) {}

  static create(options: KindFollowerOptions): KindFollower {
    return new KindFollower(options);
  }

  /** Whether the last call got no answer. */
  get isLost(): boolean {
    return this.lostAt !== undefined;
  }

  /** Follows until {@link stop}. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (this.revision === undefined) await this.list();
        else await this.watch(this.revision);
        this.noteAnswer();
      } catch (failure) {
        if (!(failure instanceof SiskinmuxError)) throw failure;
        if (failure instanceof HistoryGoneError) this.revision = undefined;
        else await this.noteFailure(failure);
      }
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  private async list(): Promise<void> {
    const {store, kind, reader} = this.options;
    const listing = await store.list(kind, false);
    reader.onList(listing, this.mayReturnUntil());
    this.revision = listing.revision;
  }

  private async watch(revision: ObjectVersion): Promise<void> {
    const {store, kind, reader, clock, gatherMilliseconds} = this.options;
    const until = after(clock.now(), WATCH_MILLISECONDS);
    const {changes, revision: reached} = await store.watch(
      kind,
      revision,
      until,
    );
    if (changes.length > 0) reader.onChanges(changes, this.mayReturnUntil());
    this.revision = reached;
    if (changes.length > 0 && gatherMilliseconds > 0) {
      await sleepUntil(clock, after(clock.now(), gatherMilliseconds));
    }
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
    this.failures = 0;
    if (this.lostAt === undefined) return;
    const {emit, kind, clock} = this.options;
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
    await sleepUntil(clock, after(now, jitter(random, pause, PAUSE_JITTER)));
  }
}
