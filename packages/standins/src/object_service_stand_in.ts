/** An object service in memory that can be slow, down, or lose the answer to a write. */

import type {Clock, Instant, ObjectVersion} from '@siskinmux/kernel';
import {as, sleepFor} from '@siskinmux/kernel';
import type {
  ExpectedVersion,
  ObjectListing,
  ObjectService,
  StoredObject,
} from '@siskinmux/ports';
import {
  MAXIMUM_VALUE_BYTES,
  PlatformBusyError,
  PlatformUnavailableError,
  ValueTooLargeError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';

/** What goes wrong, decided anew at each call. */
export interface ObjectServiceFaults {
  /** No call is answered. */
  isDown: boolean;
  /** Time that each call takes. */
  delayMilliseconds: number;
  /** Share of writes that take effect and whose answer is lost. */
  lostAnswerShare: number;
  /** Share of writes that neither take effect nor are answered. */
  lostWriteShare: number;
}

/** Calls taken so far. */
export interface ObjectServiceCounts {
  reads: number;
  writes: number;
  lists: number;
  watches: number;
}

/** Limits that the service keeps to; undefined for none. */
export interface ObjectServiceRates {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** Time after which a caller gives up on a call that gets no answer. */
const UNANSWERED_MILLISECONDS = 2_000;

interface Watcher {
  readonly key: string;
  readonly after: number;
  readonly resolve: (stored: StoredObject | undefined) => void;
}

/** Implements the port itself; the HTTP server puts it on a socket. */
export class ObjectServiceStandIn implements ObjectService {
  readonly faults: ObjectServiceFaults = {
    isDown: false,
    delayMilliseconds: 0,
    lostAnswerShare: 0,
    lostWriteShare: 0,
  };
  readonly counts: ObjectServiceCounts = {
    reads: 0,
    writes: 0,
    lists: 0,
    watches: 0,
  };
  /** Bytes of all values written. */
  bytesWritten = 0;
  private readonly objects = new Map<string, StoredObject>();
  private readonly watchers = new Set<Watcher>();
  private lastVersion = 0;
  private windowStart = 0;
  private windowReads = 0;
  private windowWrites = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly rates: ObjectServiceRates | undefined,
  ) {}

  static create(options: {
    clock: Clock;
    random: () => number;
    rateLimits?: ObjectServiceRates;
  }): ObjectServiceStandIn {
    return new ObjectServiceStandIn(
      options.clock,
      options.random,
      options.rateLimits,
    );
  }

  async read(key: string): Promise<StoredObject | undefined> {
    this.counts.reads += 1;
    await this.beforeRead(key);
    return this.objects.get(key);
  }

  async write(
    key: string,
    value: string,
    expected: ExpectedVersion,
  ): Promise<ObjectVersion> {
    this.counts.writes += 1;
    const bytes = Buffer.byteLength(value);
    if (bytes > MAXIMUM_VALUE_BYTES) throw new ValueTooLargeError(key, bytes);
    await this.beforeWrite(key);
    this.expect(key, expected);
    const version = this.store(key, value);
    if (this.random() < this.faults.lostAnswerShare) {
      throw new WriteOutcomeUnknownError(key);
    }
    return version;
  }

  async remove(key: string, expected: ObjectVersion): Promise<void> {
    this.counts.writes += 1;
    await this.beforeWrite(key);
    this.expect(key, expected);
    this.objects.delete(key);
  }

  async list(prefix: string): Promise<readonly ObjectListing[]> {
    this.counts.lists += 1;
    await this.beforeRead(prefix);
    return [...this.objects.values()]
      .filter(({key}) => key.startsWith(prefix))
      .map(({key, version}) => ({key, version}));
  }

  async watch(
    key: string,
    afterVersion: ExpectedVersion,
    waitUntil: Instant,
  ): Promise<StoredObject | undefined> {
    this.counts.watches += 1;
    await this.beforeRead(key);
    const from = afterVersion === 'absent' ? 0 : afterVersion;
    const stored = this.objects.get(key);
    if (stored !== undefined && stored.version > from) return stored;
    const changed = await this.nextChange(key, from, waitUntil);
    if (this.faults.isDown) throw new PlatformUnavailableError(key);
    return changed;
  }

  /** A call that gets no answer, as over a cut connection. */
  async unanswered(): Promise<never> {
    await sleepFor(this.clock, UNANSWERED_MILLISECONDS);
    throw new PlatformUnavailableError('cut off');
  }

  private nextChange(
    key: string,
    from: number,
    waitUntil: Instant,
  ): Promise<StoredObject | undefined> {
    return new Promise(resolve => {
      const watcher: Watcher = {
        key,
        after: from,
        resolve: stored => {
          this.watchers.delete(watcher);
          cancel();
          resolve(stored);
        },
      };
      const cancel = this.clock.schedule(waitUntil, () =>
        watcher.resolve(undefined),
      );
      this.watchers.add(watcher);
    });
  }

  private expect(key: string, expected: ExpectedVersion): void {
    const version = this.objects.get(key)?.version ?? 'absent';
    if (version !== expected) throw new VersionConflictError(key, expected);
  }

  private store(key: string, value: string): ObjectVersion {
    this.bytesWritten += value.length;
    this.lastVersion += 1;
    const version = as<ObjectVersion>(this.lastVersion);
    const stored = {key, version, value};
    this.objects.set(key, stored);
    for (const watcher of [...this.watchers]) {
      if (watcher.key === key) watcher.resolve(stored);
    }
    return version;
  }

  private async beforeRead(key: string): Promise<void> {
    await this.wait();
    if (this.faults.isDown) throw new PlatformUnavailableError(key);
    this.countAgainstRate('read');
  }

  private async beforeWrite(key: string): Promise<void> {
    await this.wait();
    const isLost = this.random() < this.faults.lostWriteShare;
    if (this.faults.isDown || isLost) throw new WriteOutcomeUnknownError(key);
    this.countAgainstRate('write');
  }

  private async wait(): Promise<void> {
    const {delayMilliseconds} = this.faults;
    if (delayMilliseconds > 0) {
      await sleepFor(this.clock, delayMilliseconds);
    }
  }

  private countAgainstRate(kind: 'read' | 'write'): void {
    if (this.rates === undefined) return;
    const second = Math.floor(this.clock.now() / 1_000);
    if (second !== this.windowStart) {
      this.windowStart = second;
      this.windowReads = 0;
      this.windowWrites = 0;
    }
    if (kind === 'read') this.windowReads += 1;
    else this.windowWrites += 1;
    const isOver =
      this.windowReads > this.rates.readsPerSecond ||
      this.windowWrites > this.rates.writesPerSecond;
    if (isOver) throw new PlatformBusyError(`${kind} rate`);
  }
}
