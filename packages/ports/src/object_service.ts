/**
 * Port to the platform's object service: versioned values of up to 1 MB with
 * conditional writes, listing and watches.
 */

import type {Instant, ObjectVersion} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';

/** Maximum size of a value in the object service. */
export const MAXIMUM_VALUE_BYTES = 1_000_000;

/** A value with its version; the versions of a key increase with every write. */
export interface StoredObject {
  readonly key: string;
  readonly version: ObjectVersion;
  readonly value: string;
}

/** Precondition of a write: the key has this version, or does not exist. */
export type ExpectedVersion = ObjectVersion | 'absent';

/** Client of the object service. */
export interface ObjectService {
  /** Reads one key; undefined when absent. Throws {@link PlatformUnavailableError}. */
  read(key: string): Promise<StoredObject | undefined>;
  /**
   * Writes if the key has the expected version, and returns the new version.
   * Throws {@link VersionConflictError}, {@link PlatformBusyError} (not written),
   * {@link PlatformUnavailableError} (not sent), {@link WriteOutcomeUnknownError} (may have
   * been written), {@link ValueTooLargeError}.
   */
  write(
    key: string,
    value: string,
    expected: ExpectedVersion,
  ): Promise<ObjectVersion>;
  /** Removes a key if it has the expected version. Throws the errors of {@link write}. */
  remove(key: string, expected: ObjectVersion): Promise<void>;
  /** Lists all keys with this prefix, without their values. */
  list(prefix: string): Promise<readonly ObjectListing[]>;
  /**
   * Resolves when the key has a version above `after`, or with undefined at
   * `waitUntil`.
   */
  watch(
    key: string,
    after: ObjectVersion | 'absent',
    waitUntil: Instant,
  ): Promise<StoredObject | undefined>;
}

/** One entry of a listing. */
export interface ObjectListing {
  readonly key: string;
  readonly version: ObjectVersion;
}

/**
 * A platform service (object service, metadata store, host list or weight store) can't be
 * reached, or did not send a valid response.
 */
export class PlatformUnavailableError extends SiskinmuxError {
  constructor(detail: string, options?: ErrorOptions) {
    super(ErrorCode.PlatformUnavailable, detail, options);
  }
}

/**
 * A store rejected a call, for example due to its rate limit, or the call was not sent to
 * it; nothing changed.
 */
export class PlatformBusyError extends SiskinmuxError {
  constructor(detail: string) {
    super(ErrorCode.PlatformBusy, detail);
  }
}

/** A write got no response; only a later read shows whether it took effect. */
export class WriteOutcomeUnknownError extends SiskinmuxError {
  constructor(key: string, options?: ErrorOptions) {
    super(ErrorCode.WriteOutcomeUnknown, key, options);
  }
}

/** The key does not have the expected version; nothing was written. */
export class VersionConflictError extends SiskinmuxError {
  constructor(
    readonly key: string,
    readonly expected: ExpectedVersion,
  ) {
    super(ErrorCode.VersionConflict, `${key}, expected ${expected}`);
  }
}

/** The value exceeds {@link MAXIMUM_VALUE_BYTES}; nothing was written. */
export class ValueTooLargeError extends SiskinmuxError {
  constructor(key: string, bytes: number) {
    super(ErrorCode.ValueTooLarge, `${key}: ${bytes} bytes`);
  }
}

/** A stored value does not match its schema. */
export class StoredObjectInvalidError extends SiskinmuxError {
  constructor(key: string, detail: string) {
    super(ErrorCode.StoredObjectInvalid, `${key}: ${detail}`);
  }
}
