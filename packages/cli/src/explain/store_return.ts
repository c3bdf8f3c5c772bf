/** Finds the returns of the store from an older copy that a request fell into. */

import type {LogLine} from './log_line.js';
import {numberOf} from './log_line.js';

/** One return, as the node of the request met it. */
export interface StoreReturn {
  /** Where the node learned of the new era. */
  readonly change: LogLine;
  /** What the node found in the copy, by kind. */
  readonly relisted: readonly LogLine[];
  /** Where the lease was written again, if it was lost. */
  readonly restored: LogLine | undefined;
  readonly lines: readonly LogLine[];
  /** Milliseconds from the change to the end of the request; negative if the change came later. */
  readonly endedAfter: number;
}

/**
 * The returns during which a request was open at its node: from the node's loss of the store until
 * it no longer keeps what the copy lacks.
 */
export function findStoreReturns(
  end: LogLine,
  allLines: readonly LogLine[],
): StoreReturn[] {
  const startedAt = end.time - (numberOf(end, 'milliseconds') ?? 0);
  const ownLines = allLines
    .filter(({node}) => node === end.node)
    .sort((left, right) => left.time - right.time);
  const changes = ownLines.filter(isReturn);
  return changes.flatMap((change, index) => {
    const nextAt = changes[index + 1]?.time ?? Infinity;
    const relisted = ownLines.filter(
      ({event, time}) =>
        event === 'store-relisted' && time >= change.time && time < nextAt,
    );
    const keptUntil = relisted.map(
      line => line.time + (numberOf(line, 'keptFor') ?? 0),
    );
    const endsAt = Math.max(change.time, ...keptUntil);
    if (end.time < lostAt(change, ownLines) || startedAt > endsAt) return [];
    const restored = allLines.find(
      ({event, fields}) =>
        event === 'lease-restored' && fields['era'] === change.fields['era'],
    );
    const lines = [change, ...relisted, ...(restored ? [restored] : [])];
    const endedAfter = end.time - change.time;
    return [{change, relisted, restored, lines, endedAfter}];
  });
}

/** What the node of a request dropped in a return, and what was written again. */
export function describeReturn({
  change,
  relisted,
  restored,
  endedAfter,
}: StoreReturn): string {
  const {era, before} = change.fields;
  const distance =
    endedAfter < 0
      ? `${-endedAfter} ms after the request ended`
      : `${endedAfter} ms before the request ended`;
  const found = relisted.map(line => {
    const {kind, objects, missing} = line.fields;
    const keptFor = numberOf(line, 'keptFor') ?? 0;
    return `${String(objects)} of ${String(kind)} listed, ${String(missing)} known ones missing and kept for ${keptFor} ms`;
  });
  const read =
    found.length === 0 ? 'it had read nothing again' : found.join('; ');
  const lease =
    restored === undefined
      ? 'No line shows that the lease was written again.'
      : `The lease was written again by ${restored.node}.`;
  return `Node ${change.node}: the store had returned from an older copy (era ${String(era)} after ${String(before)}), seen ${distance}: ${read}. ${lease}`;
}

/** The first response that names an era shows no return. */
function isReturn(line: LogLine): boolean {
  return (
    line.event === 'store-era-changed' && (numberOf(line, 'before') ?? 0) > 0
  );
}

/** Since when the node had no response of the store before it learned of the return. */
function lostAt(change: LogLine, ownLines: readonly LogLine[]): number {
  const earlier = ownLines.filter(({time}) => time <= change.time);
  const regainedAt =
    earlier.findLast(
      ({event, time}) => event === 'store-regained' && time < change.time,
    )?.time ?? -Infinity;
  const lost = earlier.find(
    ({event, time}) => event === 'store-lost' && time > regainedAt,
  );
  return lost?.time ?? change.time;
}
