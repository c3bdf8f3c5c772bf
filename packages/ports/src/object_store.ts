/**
 * Port to the platform's metadata store: objects by kind and name, one revision
 * counter over all, conditional writes, and watches of a kind.
 */

import type {Instant, ObjectVersion} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';

/** An object with the revision of its last change. */
export interface MetadataObject {
  readonly name: string;
  readonly revision: ObjectVersion;
  /** What its writer stored; not checked yet. */
  readonly content: unknown;
}

/** All objects of a kind at one revision. */
export interface MetadataListing {
  readonly objects: readonly MetadataObject[];
  readonly revision: ObjectVersion;
}

/** One change of an object. */
export interface MetadataChange {
  readonly object: MetadataObject;
  readonly isRemoved: boolean;
}

/** Changes in their order, and the revision to go on from. */
export interface MetadataChangeBatch {
  readonly changes: readonly MetadataChange[];
  readonly revision: ObjectVersion;
}

/** The metadata store as the system uses it. Reads throw `PlatformUnavailableError`. */
export interface MetadataStore {
  /** All objects of a kind. `mayBeStale` reads may lack what changed in the last seconds. */
  list(kind: string, mayBeStale: boolean): Promise<MetadataListing>;
  /** One object; undefined when there is none. */
  read(kind: string, name: string): Promise<MetadataObject | undefined>;
  /**
   * Waits for changes of a kind after `revision`, until `waitUntil` at most. Throws
   * {@link HistoryGoneError} when the store does not remember that far back.
   */
  watch(
    kind: string,
    revision: ObjectVersion,
    waitUntil: Instant,
  ): Promise<MetadataChangeBatch>;
  /**
   * Creates or replaces an object if it has the expected revision, or, for `absent`,
   * does not exist. Throws `VersionConflictError` (not written), `PlatformBusyError`
   * (not written), `WriteOutcomeUnknownError` (may be written, even seconds later).
   */
  write(
    kind: string,
    name: string,
    content: unknown,
    expected: ObjectVersion | 'absent',
  ): Promise<ObjectVersion>;
  /** Removes an object whatever its revision; errors as for {@link write}. */
  remove(kind: string, name: string): Promise<void>;
}

/** The store no longer has the changes since a revision; list again. */
export class HistoryGoneError extends SiskinmuxError {
  constructor(kind: string, revision: ObjectVersion) {
    super(ErrorCode.HistoryGone, `${kind} since ${revision}`);
  }
}
