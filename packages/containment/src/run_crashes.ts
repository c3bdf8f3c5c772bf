/** The crashes of endpoints at which a trait was present, and how records of them are merged. */

import type {Brand, Instant} from '@siskinmux/kernel';
import type {Trait} from './trait.js';

/** Identifies one crash of an endpoint, for instance by the incarnation that ended. */
export type CrashId = Brand<string, 'CrashId'>;

/** Bound on the crashes of one trait; no decision depends on more. */
const MAXIMUM_CRASHES = 8;

/** The crash of an endpoint while it ran requests with a certain trait. */
export interface RunCrash {
  readonly crash: CrashId;
  /**
   * Whether the endpoint had begun to respond to all of these requests. For log lines and for
   * nodes of earlier versions; a request that has no response may still wait in a queue.
   */
  readonly hadResponded: boolean;
  /** Whether an endpoint completed a request with the trait, so that it wasn't the cause. */
  readonly isCleared: boolean;
}

/** A trait that was present when endpoints crashed, as nodes send it to each other. */
export interface Suspect {
  readonly trait: Trait;
  readonly crashes: readonly RunCrash[];
  readonly lastCrashAt: Instant;
}

/** The crashes of which the trait may be the cause. */
export function uncleared({crashes}: Suspect): RunCrash[] {
  return crashes.filter(({isCleared}) => !isCleared);
}

/** The trait's part in a crash, if it may be the cause. */
export function unclearedRun(
  {crashes}: Suspect,
  id: CrashId,
): RunCrash | undefined {
  return crashes.find(({crash, isCleared}) => crash === id && !isCleared);
}

/** How much speaks for a trait, compared with another one, as the cause of one of its crashes. */
export function weightOf(suspect: Suspect): number {
  return uncleared(suspect).length;
}

/** Sorts traits with more crashes first, then those with later ones. */
export function compareStrength(left: Suspect, right: Suspect): number {
  return (
    weightOf(right) - weightOf(left) || right.lastCrashAt - left.lastCrashAt
  );
}

/** Whether received crashes say more than the known ones. */
export function hasNews(
  known: readonly RunCrash[],
  received: readonly RunCrash[],
): boolean {
  return received.some(run => {
    const same = known.find(({crash}) => crash === run.crash);
    if (same === undefined) return true;
    return (
      (run.isCleared && !same.isCleared) ||
      (!run.hadResponded && same.hadResponded)
    );
  });
}

/** Union of the crashes, in a fixed order; beyond the bound, cleared ones are dropped first. */
export function mergeRuns(
  known: readonly RunCrash[],
  received: readonly RunCrash[],
): RunCrash[] {
  const merged = new Map(known.map(run => [run.crash, run]));
  for (const run of received) {
    const {crash, hadResponded, isCleared} = merged.get(run.crash) ?? run;
    merged.set(crash, {
      crash,
      hadResponded: hadResponded && run.hadResponded,
      isCleared: isCleared || run.isCleared,
    });
  }
  return [...merged.values()]
    .sort(
      (left, right) =>
        Number(left.isCleared) - Number(right.isCleared) ||
        (left.crash < right.crash ? -1 : 1),
    )
    .slice(0, MAXIMUM_CRASHES);
}
