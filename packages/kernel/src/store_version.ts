/**
 * Versions of a store whose history may branch: it may return from an older copy of itself, and
 * then gives out again the revisions that were lost. A version orders writes by the era, which
 * rises with each return, before the revision.
 */

import type {ObjectVersion, StoreEra} from './brand.js';
import {as} from './brand.js';

/** The era of a store that names none. */
export const UNKNOWN_ERA = as<StoreEra>(0);

const REVISIONS_PER_ERA = 2 ** 40;

/** Largest era whose versions are exact numbers. */
const MAXIMUM_ERA = 2 ** 13 - 1;

/** Whether a number can be the era of a version. */
export function isEra(era: number): boolean {
  return Number.isInteger(era) && era > 0 && era <= MAXIMUM_ERA;
}

/** Whether a number can be the revision of a version. */
export function isRevision(revision: number): boolean {
  return (
    Number.isInteger(revision) && revision >= 0 && revision < REVISIONS_PER_ERA
  );
}

/** The version of a write; greater than those of all earlier eras. */
export function versionOf(era: StoreEra, revision: number): ObjectVersion {
  return as<ObjectVersion>(era * REVISIONS_PER_ERA + revision);
}

/** The era in which a version was read. */
export function eraOf(version: ObjectVersion): StoreEra {
  return as<StoreEra>(Math.floor(version / REVISIONS_PER_ERA));
}

/** The store's own revision, which says nothing without the era. */
export function revisionOf(version: ObjectVersion): number {
  return version % REVISIONS_PER_ERA;
}
