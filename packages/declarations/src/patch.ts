/** Differences between declarations, and patches that carry them. */

import {isDeepStrictEqual} from 'node:util';
import {z} from 'zod';
import type {DeclarationFault} from './declaration_error.js';
import {DeclarationError} from './declaration_error.js';
import {checkReferences} from './check_references.js';
import {assignEntry, parseEntry} from './parse_declarations.js';
import type {Declarations, Section} from './schema.js';
import {SECTIONS} from './schema.js';

/** Shape of one change: an entry set or, without `after`, removed. */
export const changeSchema = z.strictObject({
  section: z.enum(SECTIONS),
  name: z.string().min(1).max(63),
  after: z.unknown().optional(),
});

/** Shape of a patch as operators submit it. */
export const patchSchema = z.strictObject({
  /** Unique; a patch sent again after a lost answer is recognised by it. */
  id: z.string().min(8).max(64),
  /** Configuration number that the patch was made against. */
  based_on: z.number().int().nonnegative(),
  author: z.string().min(1).max(200),
  reason: z.string().min(1).max(1_000),
  changes: z.array(changeSchema).min(1).max(5_000),
});

/** One change of one entry. */
export type Change = z.infer<typeof changeSchema>;
/** A set of changes against one configuration number. */
export type Patch = z.infer<typeof patchSchema>;

/** The changes that turn `before` into `after`, in a stable order. */
export function diffDeclarations(
  before: Declarations,
  after: Declarations,
): Change[] {
  const changes: Change[] = [];
  for (const section of SECTIONS) {
    const old: Record<string, unknown> = before[section];
    const fresh: Record<string, unknown> = after[section];
    const names = new Set([...Object.keys(old), ...Object.keys(fresh)]);
    for (const name of [...names].sort()) {
      if (!isDeepStrictEqual(old[name], fresh[name])) {
        changes.push({section, name, after: fresh[name]});
      }
    }
  }
  return changes;
}

/**
 * Declarations with `changes` applied, checked as a whole. `before` is not
 * altered. Throws {@link DeclarationError}.
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

/** Copies only the sections that change; the rest is shared. */
function copySections(
  before: Declarations,
  changes: readonly Change[],
): Declarations {
  const touched = new Set<Section>(changes.map(change => change.section));
  const next: Record<string, unknown> = {...before};
  for (const section of touched) next[section] = {...before[section]};
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
