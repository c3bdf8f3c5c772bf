/** Formats changes for the output of `plan` and `diff`, and for conflict messages. */

import {isDeepStrictEqual} from 'node:util';
import type {Change} from './patch.js';
import type {Declarations} from './schema.js';

/** Formats the addition, change or removal of one entry as a line. */
export function describeChange(before: Declarations, change: Change): string {
  const subject = `${change.section}.${change.name}`;
  const entries: Record<string, unknown> = before[change.section];
  const current = entries[change.name];
  if (change.after === undefined || change.after === null) {
    return `- remove ${subject}`;
  }
  if (current === undefined)
    return `+ add ${subject} ${formatValue(change.after)}`;
  return `~ change ${subject}: ${describeFields(current, change.after)}`;
}

function describeFields(current: unknown, next: unknown): string {
  const before = current as Record<string, unknown>;
  const after = next as Record<string, unknown>;
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys]
    .filter(key => !isDeepStrictEqual(before[key], after[key]))
    .map(
      key =>
        `${key} from ${formatValue(before[key])} to ${formatValue(after[key])}`,
    )
    .join('; ');
}

function formatValue(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}
