/**
 * A store whose calls stay open until the test answers, loses or delays them, and the clocks of
 * its clients.
 */

import type {
  Clock,
  Instant,
  Milliseconds,
  ObjectVersion,
  StoreEra,
} from '@siskinmux/kernel';
import {
  after,
  as,
  eraOf,
  later,
  revisionOf,
  until,
  versionOf,
} from '@siskinmux/kernel';
import type {
  MetadataChangeBatch,
  MetadataListing,
  MetadataObject,
  MetadataStore,
} from '@siskinmux/ports';
import {
  EraTracker,
  HistoryGoneError,
  PlatformUnavailableError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';
import type {SharedObjects} from '@siskinmux/testkit';

const START = as<Instant>(0);

/** Lets all promises settle that don't wait for a timer. */
export function settle(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** The time that all clocks follow. */
export class Timeline {
  now = START;
  readonly clocks: SteppedClock[] = [];

  /** Runs the timers up to `milliseconds` from now; `onStep` follows each instant with one. */
  async advance(
    milliseconds: Milliseconds,
    onStep: () => Promise<void>,
  ): Promise<void> {
    const end = after(this.now, milliseconds);
    for (;;) {
      const dueAt = Math.min(...this.clocks.map(clock => clock.nextDue));
      if (dueAt > end) break;
      this.now = later(this.now, as<Instant>(dueAt));
      for (const clock of this.clocks) clock.runDue();
      await onStep();
    }
    this.now = end;
  }
}

/** The clock of one process, which may be frozen, and of its host, which may be suspended. */
export class SteppedClock implements Clock {
  /** Since when the process does not run. */
  stoppedAt: Instant | undefined;
  /** How far the time of day has jumped. */
  jump: Milliseconds = 0;
  private isSteadyStopped = false;
  private suspendedFor: Milliseconds = 0;
  private timers: {readonly at: Instant; readonly callback: () => void}[] = [];

  constructor(private readonly timeline: Timeline) {
    timeline.clocks.push(this);
  }

  now(): Instant {
    const {isSteadyStopped, stoppedAt, suspendedFor, timeline} = this;
    const shown = isSteadyStopped ? (stoppedAt ?? timeline.now) : timeline.now;
    return after(shown, -suspendedFor);
  }

  get timeOfDay(): Instant {
    return after(this.timeline.now, this.jump);
  }

  schedule(at: Instant, callback: () => void): () => void {
    const timer = {at, callback};
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter(other => other !== timer);
    };
  }

  /** When the next timer is due, by the time that all clocks follow. */
  get nextDue(): number {
    if (this.stoppedAt !== undefined) return Infinity;
    return Math.min(...this.timers.map(({at}) => at)) + this.suspendedFor;
  }

  /** Milliseconds to each timer. */
  get remaining(): readonly Milliseconds[] {
    const now = this.now();
    return this.timers.map(({at}) => until(now, at)).sort((a, b) => a - b);
  }

  runDue(): void {
    if (this.stoppedAt !== undefined) return;
    const now = this.now();
    const due = this.timers.filter(({at}) => at <= now);
    this.timers = this.timers.filter(({at}) => at > now);
    for (const {callback} of due) callback();
  }

  /** The process stands still; with `isSuspended`, its steady clock does, too. */
  stop(isSuspended: boolean): void {
    this.stoppedAt = this.timeline.now;
    this.isSteadyStopped = isSuspended;
  }

  goOn(): void {
    const {stoppedAt, timeline} = this;
    if (this.isSteadyStopped && stoppedAt !== undefined)
      this.suspendedFor += until(stoppedAt, timeline.now);
    this.isSteadyStopped = false;
    this.stoppedAt = undefined;
  }
}

/** A response of the store that is on its way. */
type Response = () => void;

/** A call without a response yet. */
export interface OpenCall {
  readonly description: string;
  readonly isWrite: boolean;
  readonly sentAt: Instant;
  /** Whether the store has something to respond, or the wait of a watch is over. */
  readonly isReady: () => boolean;
  /** Executes the call; its response arrives when the result is called. */
  readonly execute: () => Response;
  /** The response, once the call has been executed. */
  response: Response | undefined;
  /** The caller learns nothing of what the store did. */
  readonly lose: () => void;
}

/** One node's client of the store. */
export class SteppedStore implements MetadataStore {
  calls: OpenCall[] = [];
  onEra: () => void = () => {};
  private readonly eras = EraTracker.create({
    onEra: () => this.onEra(),
    onUnusableEra: () => {},
  });

  constructor(
    private readonly shared: SharedObjects,
    private readonly clock: Clock,
  ) {}

  get era(): StoreEra {
    return this.eras.current;
  }

  list(kind: string): Promise<MetadataListing> {
    return this.open(`list ${kind}`, false, era => ({
      objects: [...this.shared.objects]
        .filter(([key]) => key.startsWith(`${kind}/`))
        .map(([, object]) => ({
          ...object,
          revision: versionOf(era, object.revision),
        })),
      revision: versionOf(era, this.shared.revision),
    }));
  }

  read(kind: string, name: string): Promise<MetadataObject | undefined> {
    return this.open(`read ${kind}`, false, era => {
      const object = this.shared.objects.get(`${kind}/${name}`);
      return object && {...object, revision: versionOf(era, object.revision)};
    });
  }

  async watch(
    kind: string,
    revision: ObjectVersion,
    waitUntil: Instant,
  ): Promise<MetadataChangeBatch> {
    if (eraOf(revision) < this.era) throw new HistoryGoneError(kind, revision);
    const {shared, clock} = this;
    const from = revisionOf(revision);
    const isReady = (): boolean =>
      clock.now() >= waitUntil ||
      shared.era !== eraOf(revision) ||
      shared.changes.some(({object}) => object.revision > from);
    clock.schedule(waitUntil, () => {});
    const respond = (era: StoreEra): MetadataChangeBatch => {
      const isGone = from < shared.compactedBefore || from > shared.revision;
      if (isGone || era !== eraOf(revision))
        throw new HistoryGoneError(kind, revision);
      return {
        changes: shared.changes
          .filter(change => change.kind === kind)
          .filter(({object}) => object.revision > from)
          .map(({object, isRemoved}) => ({
            object: {...object, revision: versionOf(era, object.revision)},
            isRemoved,
          })),
        revision: versionOf(era, shared.revision),
      };
    };
    return this.open(`watch ${kind} ${revision}`, false, respond, isReady);
  }

  async write(
    kind: string,
    name: string,
    content: unknown,
    expected: ObjectVersion | 'absent',
  ): Promise<ObjectVersion> {
    const key = `${kind}/${name}`;
    if (expected !== 'absent' && eraOf(expected) < this.era)
      throw new VersionConflictError(key, expected);
    const description = `write ${JSON.stringify(content)} ${expected}`;
    return this.open(description, true, era => {
      const wanted = expected === 'absent' ? undefined : revisionOf(expected);
      // The store compares revisions, and knows nothing of the era of the caller.
      if (this.shared.objects.get(key)?.revision !== wanted)
        throw new VersionConflictError(key, expected);
      this.shared.put(kind, name, content);
      return versionOf(era, this.shared.revision);
    });
  }

  remove(): Promise<void> {
    throw new RangeError('not part of the model');
  }

  private open<Result>(
    description: string,
    isWrite: boolean,
    respond: (era: StoreEra) => Result,
    isReady = (): boolean => true,
  ): Promise<Result> {
    const {shared, clock} = this;
    const known = this.era;
    return new Promise((resolve, reject) => {
      const execute = (): Response => {
        const era = shared.era;
        let result: Result;
        try {
          result = respond(era);
        } catch (failure) {
          return () => {
            this.eras.observe(String(era), known);
            reject(failure);
          };
        }
        return () => {
          this.eras.observe(String(era), known);
          resolve(result);
        };
      };
      this.calls.push({
        description: `${description} in ${known}`,
        isWrite,
        sentAt: clock.now(),
        isReady,
        execute,
        response: undefined,
        lose: () =>
          reject(
            isWrite
              ? new WriteOutcomeUnknownError(description)
              : new PlatformUnavailableError(description),
          ),
      });
    });
  }
}
