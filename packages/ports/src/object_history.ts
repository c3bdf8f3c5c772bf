/** Tells whether the object service has lost what a node has read or written itself. */

import type {ObjectVersion} from '@siskinmux/kernel';
import type {StoredObject} from './object_service.js';

/** What became of an object since a node read or wrote it. */
export type ObjectChange = 'unchanged' | 'continued' | 'removed' | 'went back';

/** An object as a node last read or wrote it. */
export interface KnownObject {
  readonly version: ObjectVersion;
  readonly value: string;
}

/**
 * Compares what a node knows of an object with what is stored now. A service that has returned
 * from an older copy may give versions out again, so that the same version proves nothing, and a
 * higher one only together with a value that `continues` the known one. Whether a missing object
 * was removed or lost is for the caller to decide.
 */
export function compareWithKnown(
  known: KnownObject,
  stored: StoredObject | undefined,
  continues: (known: string, stored: string) => boolean,
): ObjectChange {
  if (stored === undefined) return 'removed';
  const {version, value} = stored;
  if (version === known.version)
    return value === known.value ? 'unchanged' : 'went back';
  return version > known.version && continues(known.value, value)
    ? 'continued'
    : 'went back';
}
