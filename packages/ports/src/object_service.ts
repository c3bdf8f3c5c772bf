/**
 * Port to the platform's object service: versioned values of up to 1 MB with
 * conditional writes, listing and watches.
 */

import type {Instant, ObjectVersion} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';

/** Largest value that the object service holds. */
export const MAXIMUM_VALUE_BYTES = 1_000_000;

/** A value with its version; versions of one key only grow. */
export interface StoredObject {
  readonly key: string;
  readonly version: ObjectVersion;
  readonly value: string;
}

/** What a conditional write expects: a version, or that the key does not exist. */
export type ExpectedVersion = ObjectVersion | 'absent';

/** The object service as the system uses it. */
export interface ObjectService {
  /** Reads one key; undefined when absent. Throws {@link PlatformUnavailableError}. */
  read(key: string): Promise<StoredObject | undefined>;
  /**
   * Writes when the version is the expected one and returns the new version.
   * Throws {@link VersionConflictError}, {@link PlatformBusyError} (not written),
   * {@link WriteOutcomeUnknownError} (may have been written), {@link ValueTooLargeError}.
   */
  write(
    key: string,
    value: string,
    expected: ExpectedVersion,
  ): Promise<ObjectVersion>;
  /** Removes a key at the expected version; errors as for {@link write}. */
  remove(key: string, expected: ObjectVersion): Promise<void>;
  /** All keys with this prefix, without their values. */
  list(prefix: string): Promise<readonly ObjectListing[]>;
  /**
   * Waits until the key has a version above `after`; undefined when `waitUntil`
   * comes first.
   */
  watch(
    key: string,
    after: ObjectVersion | 'absent',
    waitUntil: Instant,
  ): Promise<StoredObject | undefined>;
}

/** One row of a listing. */
export interface ObjectListing {
  readonly key: string;
  readonly version: ObjectVersion;
}

/** The object service did not answer a read, a list or a watch. */
export class PlatformUnavailableError extends SiskinmuxError {
  constructor(detail: string, options?: ErrorOptions) {
    super(ErrorCode.PlatformUnavailable, detail, options);
  }
}

/** The object service refused a call for its rate limit; nothing was done. */
export class PlatformBusyError extends SiskinmuxError {
  constructor(detail: string) {
    super(ErrorCode.PlatformBusy, detail);
  }
}

/** A write got no answer; whether it took effect has to be read back. */
export class WriteOutcomeUnknownError extends SiskinmuxError {
  constructor(key: string, options?: ErrorOptions) {
    super(ErrorCode.WriteOutcomeUnknown, key, options);
  }
}

/** The key has another version than the expected one; nothing was written. */
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

/** A stored value does not have the shape that its kind prescribes. */
export class StoredObjectInvalidError extends SiskinmuxError {
  constructor(key: string, detail: string) {
    super(ErrorCode.StoredObjectInvalid, `${key}: ${detail}`);
  }
}
