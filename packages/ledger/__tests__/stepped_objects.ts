/** An object service whose calls stay open until the test answers, loses or delays them. */

import type {
  Clock,
  Instant,
  Milliseconds,
  ObjectVersion,
} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {
  ExpectedVersion,
  ObjectListing,
  ObjectService,
  StoredObject,
} from '@siskinmux/ports';
import {
  PlatformUnavailableError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';

/** What the service stores, for all of its clients. */
export class StoredObjects {
  readonly objects = new Map<string, StoredObject>();
  private lastVersion = 0;

  write(key: string, value: string, expected: ExpectedVersion): ObjectVersion {
    this.requireVersion(key, expected);
    this.lastVersion += 1;
    const version = as<ObjectVersion>(this.lastVersion);
    this.objects.set(key, {key, version, value});
    return version;
  }

  remove(key: string, expected: ObjectVersion): void {
    this.requireVersion(key, expected);
    this.objects.delete(key);
  }

  versionOf(key: string): ExpectedVersion {
    return this.objects.get(key)?.version ?? 'absent';
  }

  private requireVersion(key: string, expected: ExpectedVersion): void {
    if (this.versionOf(key) !== expected)
      throw new VersionConflictError(key, expected);
  }
}

/** A call without a response yet. */
export interface OpenObjectCall {
  readonly description: string;
  readonly isWrite: boolean;
  /** Executes the call once; the response arrives when {@link answer} is called. */
  readonly execute: () => void;
  readonly answer: () => void;
  /** The caller learns nothing of what the service did, or will do. */
  readonly lose: () => void;
}

/** One node's client of the service. */
export class SteppedObjects implements ObjectService {
  calls: OpenObjectCall[] = [];

  constructor(private readonly shared: StoredObjects) {}

  read(key: string): Promise<StoredObject | undefined> {
    return this.open(`read ${key}`, false, () => this.shared.objects.get(key));
  }

  list(prefix: string): Promise<readonly ObjectListing[]> {
    return this.open(`list ${prefix}`, false, () =>
      [...this.shared.objects.values()]
        .filter(({key}) => key.startsWith(prefix))
        .map(({key, version}) => ({key, version})),
    );
  }

  write(
    key: string,
    value: string,
    expected: ExpectedVersion,
  ): Promise<ObjectVersion> {
    return this.open(`write ${key} ${expected} ${value}`, true, () =>
      this.shared.write(key, value, expected),
    );
  }

  remove(key: string, expected: ObjectVersion): Promise<void> {
    return this.open(`remove ${key} ${expected}`, true, () =>
      this.shared.remove(key, expected),
    );
  }

  watch(): Promise<StoredObject | undefined> {
    throw new RangeError('not part of the model');
  }

  private open<Result>(
    description: string,
    isWrite: boolean,
    respond: () => Result,
  ): Promise<Result> {
    return new Promise((resolve, reject) => {
      let answer: (() => void) | undefined;
      const execute = (): void => {
        if (answer !== undefined) return;
        try {
          const result = respond();
          answer = () => resolve(result);
        } catch (failure) {
          answer = () => reject(failure as Error);
        }
      };
      this.calls.push({
        description,
        isWrite,
        execute,
        answer: () => {
          execute();
          answer?.();
        },
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

/** A clock that may jump ahead of the others. Its timers are not affected. */
export class JumpingClock implements Clock {
  jumped: Milliseconds = 0;

  constructor(private readonly clock: Clock) {}

  now(): Instant {
    return after(this.clock.now(), this.jumped);
  }

  schedule(at: Instant, callback: () => void): () => void {
    return this.clock.schedule(after(at, -this.jumped), callback);
  }
}
