/** Changes in words, for `plan`, `diff` and conflict messages. */

import {isDeepStrictEqual} from 'node:util';
import type {Change} from './patch.js';
import type {Declarations} from './schema.js';

/** One line for each entry that a change adds, alters or removes. */
export function describeChange(before: Declarations, change: Change): string {
  const subject = `${change.section}.${change.name}`;
  const entries: Record<string, unknown> = before[change.section];
  const old = entries[change.name];
  if (change.after === undefined || change.after === null) {
    return `- remove ${subject}`;
  }
  if (old === undefined) return `+ add ${subject} ${render(change.after)}`;
  return `~ change ${subject}: ${describeFields(old, change.after)}`;
}

function describeFields(old: unknown, fresh: unknown): string {
  const before = old as Record<string, unknown>;
  const after = fresh as Record<string, unknown>;
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys]
    .filter(key => !isDeepStrictEqual(before[key], after[key]))
    .map(key => `${key} from ${render(before[key])} to ${render(after[key])}`)
    .join('; ');
}

function render(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}
