/** Diffs between declarations, and the patches in which operators submit them. */

import {isDeepStrictEqual} from 'node:util';
import {z} from 'zod';
import type {DeclarationFault} from './declaration_error.js';
import {DeclarationError} from './declaration_error.js';
import {checkReferences} from './check_references.js';
import {assignEntry, parseEntry} from './parse_declarations.js';
import type {Declarations, Section} from './schema.js';
import {SECTIONS} from './schema.js';

/** Schema of a change: sets an entry to `after`, or removes it when `after` is missing. */
export const changeSchema = z.strictObject({
  section: z.enum(SECTIONS),
  name: z.string().min(1).max(63),
  after: z.unknown().optional(),
});

/** Schema of a patch as operators submit it. */
export const patchSchema = z.strictObject({
  /** Unique; identifies a patch that is sent again because its response was lost. */
  id: z.string().min(8).max(64),
  /** Number of the configuration that the patch applies to. */
  based_on: z.number().int().nonnegative(),
  author: z.string().min(1).max(200),
  reason: z.string().min(1).max(1_000),
  changes: z.array(changeSchema).min(1).max(5_000),
});

/** A change of one entry. */
export type Change = z.infer<typeof changeSchema>;
/** Changes that are applied together to the configuration with one number. */
export type Patch = z.infer<typeof patchSchema>;

/** Returns the changes from `before` to `after`, ordered by section and name. */
export function diffDeclarations(
  before: Declarations,
  after: Declarations,
): Change[] {
  const changes: Change[] = [];
  for (const section of SECTIONS) {
    const oldEntries: Record<string, unknown> = before[section];
    const newEntries: Record<string, unknown> = after[section];
    const names = new Set([
      ...Object.keys(oldEntries),
      ...Object.keys(newEntries),
    ]);
    for (const name of [...names].sort()) {
      if (!isDeepStrictEqual(oldEntries[name], newEntries[name])) {
        changes.push({section, name, after: newEntries[name]});
      }
    }
  }
  return changes;
}

/**
 * Applies changes to a copy of `before` and validates the result, including references
 * between entries. Throws {@link DeclarationError}.
 */
export function applyChanges(
  before: Declarations,
  changes: readonly Change[],
): Declarations {
  const next = copySections(before, changes);
  const faults: DeclarationFault[] = [];
  for (const change of changes) applyChange(next, change, faults);
  if (faults.length === 0) faults.push(...checkReferences(next));
  if (faults.length > 0) throw new DeclarationError(faults);
  return next;
}

/** Copies the sections that change; the others are shared with `before`. */
function copySections(
  before: Declarations,
  changes: readonly Change[],
): Declarations {
  const changedSections = new Set<Section>(
    changes.map(change => change.section),
  );
  const next: Record<string, unknown> = {...before};
  for (const section of changedSections) next[section] = {...before[section]};
  return next as Declarations;
}

function applyChange(
  next: Declarations,
  change: Change,
  faults: DeclarationFault[],
): void {
  const path = `${change.section}.${change.name}`;
  if (change.after === undefined || change.after === null) {
    removeEntry(next, change.section, change.name);
    return;
  }
  const parsed = parseEntry(change.section, change.after);
  if (parsed.success) {
    assignEntry(next, change.section, change.name, parsed.data);
    return;
  }
  for (const issue of parsed.error.issues) {
    const keys = [path, ...issue.path.map(String)].join('.');
    faults.push({
      file: undefined,
      line: undefined,
      path: keys,
      problem: issue.message,
    });
  }
}

function removeEntry(
  declarations: Declarations,
  section: Section,
  name: string,
): void {
  const entries: Record<string, unknown> = declarations[section];
  delete entries[name];
}
