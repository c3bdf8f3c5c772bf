/** An in-memory object service that can be slow or down, or lose the response to a write. */

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

/** Faults, evaluated anew for each call. */
export interface ObjectServiceFaults {
  /** All calls fail. */
  isDown: boolean;
  /** Delay of each call. */
  delayMilliseconds: number;
  /** Share of writes that take effect but whose response is lost. */
  lostAnswerShare: number;
  /** Share of writes that neither take effect nor get a response. */
  lostWriteShare: number;
}

/** What an older copy of the service holds. */
export interface ObjectServiceCopy {
  readonly lastVersion: number;
  readonly objects: ReadonlyMap<string, StoredObject>;
}

/** Number of calls received. */
export interface ObjectServiceCounts {
  reads: number;
  writes: number;
  lists: number;
  watches: number;
}

/** Rates above which calls are refused. */
export interface ObjectServiceRateLimits {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** Time after which a caller abandons a call without a response. */
const RESPONSE_TIMEOUT_MILLISECONDS = 2_000;

interface Watcher {
  readonly key: string;
  readonly after: number;
  readonly resolve: (stored: StoredObject | undefined) => void;
}

/** Implements the object service port in process; {@link serveObjectService} serves it over HTTP. */
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
  /** Total size of all values written. */
  bytesWritten = 0;
  private readonly objects = new Map<string, StoredObject>();
  private readonly watchers = new Set<Watcher>();
  private lastVersion = 0;
  private windowSecond = 0;
  private windowReads = 0;
  private windowWrites = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly rateLimits: ObjectServiceRateLimits | undefined,
  ) {}

  static create(options: {
    clock: Clock;
    random: () => number;
    rateLimits?: ObjectServiceRateLimits;
  }): ObjectServiceStandIn {
    return new ObjectServiceStandIn(
      options.clock,
      options.random,
      options.rateLimits,
    );
  }

  async read(key: string): Promise<StoredObject | undefined> {
    this.counts.reads += 1;
    await this.admitRead(key);
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
    await this.admitWrite(key);
    this.requireVersion(key, expected);
    const version = this.store(key, value);
    if (this.random() < this.faults.lostAnswerShare) {
      throw new WriteOutcomeUnknownError(key);
    }
    return version;
  }

  async remove(key: string, expected: ObjectVersion): Promise<void> {
    this.counts.writes += 1;
    await this.admitWrite(key);
    this.requireVersion(key, expected);
    this.objects.delete(key);
  }

  async list(prefix: string): Promise<readonly ObjectListing[]> {
    this.counts.lists += 1;
    await this.admitRead(prefix);
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
    await this.admitRead(key);
    const from = afterVersion === 'absent' ? 0 : afterVersion;
    const stored = this.objects.get(key);
    if (stored !== undefined && stored.version > from) return stored;
    const changed = await this.waitForChange(key, from, waitUntil);
    if (this.faults.isDown) throw new PlatformUnavailableError(key);
    return changed;
  }

  /** Fails after the time that a caller waits for a response, as over a cut connection. */
  async failAfterTimeout(): Promise<never> {
    await sleepFor(this.clock, RESPONSE_TIMEOUT_MILLISECONDS);
    throw new PlatformUnavailableError('no response');
  }

  /** What a copy of the service holds. */
  copy(): ObjectServiceCopy {
    return {lastVersion: this.lastVersion, objects: new Map(this.objects)};
  }

  /**
   * Returns from an older copy: what was written since is lost, and versions are given out again,
   * unless `keepsCounting`.
   */
  comeBack(copy: ObjectServiceCopy, keepsCounting: boolean): void {
    if (!keepsCounting) this.lastVersion = copy.lastVersion;
    this.objects.clear();
    for (const [key, stored] of copy.objects) this.objects.set(key, stored);
  }

  private waitForChange(
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

  private requireVersion(key: string, expected: ExpectedVersion): void {
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

  private async admitRead(key: string): Promise<void> {
    await this.delay();
    if (this.faults.isDown) throw new PlatformUnavailableError(key);
    this.enforceRateLimit('read');
  }

  private async admitWrite(key: string): Promise<void> {
    await this.delay();
    const isLost = this.random() < this.faults.lostWriteShare;
    if (this.faults.isDown || isLost) throw new WriteOutcomeUnknownError(key);
    this.enforceRateLimit('write');
  }

  private async delay(): Promise<void> {
    const {delayMilliseconds} = this.faults;
    if (delayMilliseconds > 0) {
      await sleepFor(this.clock, delayMilliseconds);
    }
  }

  private enforceRateLimit(kind: 'read' | 'write'): void {
    if (this.rateLimits === undefined) return;
    const second = Math.floor(this.clock.now() / 1_000);
    if (second !== this.windowSecond) {
      this.windowSecond = second;
      this.windowReads = 0;
      this.windowWrites = 0;
    }
    if (kind === 'read') this.windowReads += 1;
    else this.windowWrites += 1;
    const isOverLimit =
      this.windowReads > this.rateLimits.readsPerSecond ||
      this.windowWrites > this.rateLimits.writesPerSecond;
    if (isOverLimit) throw new PlatformBusyError(`${kind} rate`);
  }
}
