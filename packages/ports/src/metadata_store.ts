/**
 * Port to the platform's metadata store: objects by kind and name with a global revision
 * counter, conditional writes, and watches on a kind.
 */

import type {Instant, ObjectVersion, StoreEra} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';

/** An object with the version of its latest change. */
export interface MetadataObject {
  readonly name: string;
  readonly revision: ObjectVersion;
  /** Stored content, not validated. */
  readonly content: unknown;
}

/** All objects of a kind at one version. */
export interface MetadataListing {
  readonly objects: readonly MetadataObject[];
  readonly revision: ObjectVersion;
}

/** A created, replaced or removed object. */
export interface MetadataChange {
  readonly object: MetadataObject;
  readonly isRemoved: boolean;
}

/** Changes in order, and the version from which to continue the watch. */
export interface MetadataChangeBatch {
  readonly changes: readonly MetadataChange[];
  readonly revision: ObjectVersion;
}

/** Follows and bounds a read of a list or of changes. */
export interface ReadOptions {
  /** Called when the head of the response arrives and after each part, with its length so far. */
  readonly onProgress?: (receivedBytes: number) => void;
  /** Length beyond which changes are not read; see {@link ChangesTooLongError}. */
  readonly maximumBytes?: number;
  /** Aborts the read, which rejects then. */
  readonly signal?: AbortSignal;
}

/**
 * Client of the metadata store. Reads throw `PlatformUnavailableError`. A list or watch may take
 * as long as its response keeps arriving.
 */
export interface MetadataStore {
  /** The latest era that a response to this client has named. */
  readonly era: StoreEra;
  /**
   * Lists all objects of a kind; with `mayBeStale`, changes of the last seconds may be missing.
   * Throws {@link HistoryGoneError} if the store returns from an older copy between two pages.
   */
  list(
    kind: string,
    mayBeStale: boolean,
    options?: ReadOptions,
  ): Promise<MetadataListing>;
  /** Reads an object; undefined if it does not exist. */
  read(kind: string, name: string): Promise<MetadataObject | undefined>;
  /**
   * Waits until `waitUntil` for changes of a kind after `revision`. Throws
   * {@link HistoryGoneError} if the store no longer has the changes since `revision`, or has
   * returned from an older copy since, and {@link ChangesTooLongError} beyond `maximumBytes`.
   */
  watch(
    kind: string,
    revision: ObjectVersion,
    waitUntil: Instant,
    options?: ReadOptions,
  ): Promise<MetadataChangeBatch>;
  /**
   * Replaces an object if it has the expected version, or creates it for `absent` if it
   * does not exist. Throws `VersionConflictError` (not written), `PlatformBusyError`
   * (not written), `WriteOutcomeUnknownError` (may take effect, even seconds later).
   *
   * The store compares revisions only. If it has returned from an older copy unnoticed, the
   * expected revision may be that of another write: the resulting version is of a later era then.
   */
  write(
    kind: string,
    name: string,
    content: unknown,
    expected: ObjectVersion | 'absent',
  ): Promise<ObjectVersion>;
  /** Removes an object at any revision. Throws the errors of {@link write}. */
  remove(kind: string, name: string): Promise<void>;
}

/** The store no longer has the changes since a revision; the kind must be listed again. */
export class HistoryGoneError extends SiskinmuxError {
  constructor(kind: string, revision: ObjectVersion) {
    super(ErrorCode.HistoryGone, `${kind} since ${revision}`);
  }
}

/**
 * The changes since a revision are longer than the reader wants. They hold each version of an
 * object in full, so that a list is shorter for a reader that is far behind.
 */
export class ChangesTooLongError extends SiskinmuxError {
  constructor(kind: string, revision: ObjectVersion, maximumBytes: number) {
    super(
      ErrorCode.ChangesTooLong,
      `${kind} since ${revision}: more than ${maximumBytes} bytes`,
    );
  }
}
