/** Formats changes for the output of `plan` and `diff`, and for conflict messages. */

import {isDeepStrictEqual} from 'node:util';
import type {Change} from './patch.js';
import type {Declarations} from './schema.js';
import {teamSchema} from './schema.js';

/** Formats the addition, change or removal of one entry as a line. */
export function describeChange(before: Declarations, change: Change): string {
  const subject = `${change.section}.${change.name}`;
  const entries: Record<string, unknown> = before[change.section];
  const current = entries[change.name];
  if (change.after === undefined || change.after === null) {
    return `- remove ${subject}`;
  }
  const isTeam = change.section === 'teams';
  if (current === undefined) {
    const added = isTeam ? withoutDigests(change.after) : change.after;
    return `+ add ${subject} ${formatValue(added)}`;
  }
  const describe = isTeam ? describeTeamFields : describeFields;
  return `~ change ${subject}: ${describe(current, change.after)}`;
}

/** A change with the number of a team's keys in place of their digests. */
export function hideDigests(change: Change): Change {
  const {section, after} = change;
  const isShown = section !== 'teams' || after === undefined || after === null;
  return isShown ? change : {...change, after: withoutDigests(after)};
}

function describeTeamFields(current: unknown, next: unknown): string {
  return [
    describeFields(withoutDigests(current), withoutDigests(next)),
    describeDigests(digestsOf(current), digestsOf(next)),
  ]
    .filter(text => text !== '')
    .join('; ');
}

/**
 * A team without its digests, since descriptions of changes also stand in errors. A patch that
 * was not validated may have a key in any field, so that nothing of an invalid team is shown.
 */
function withoutDigests(entry: unknown): unknown {
  const team = teamSchema.safeParse(entry).data;
  if (team === undefined) return {valid: false};
  const {key_digests: digests, ...fields} = team;
  return {...fields, keys: digests.length};
}

function digestsOf(entry: unknown): readonly string[] {
  return teamSchema.safeParse(entry).data?.key_digests ?? [];
}

function describeDigests(
  before: readonly string[],
  after: readonly string[],
): string {
  const added = after.filter(digest => !before.includes(digest)).length;
  const removed = before.filter(digest => !after.includes(digest)).length;
  return added + removed === 0 ? '' : `${added} keys added, ${removed} removed`;
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
