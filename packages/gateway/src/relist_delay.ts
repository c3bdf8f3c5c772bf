/** Spreads the lists of all nodes after the store has lost its history, so that its read rate holds. */

import type {Milliseconds, Random} from '@siskinmux/kernel';

/** Time over which lists are spread, for each node. */
const SPREAD_MILLISECONDS_PER_NODE: Milliseconds = 1;

/** Time over which lists are spread at most: meanwhile a node misses what is written. */
export const MAXIMUM_RELIST_DELAY_MILLISECONDS: Milliseconds = 500;

/** Time for which one of `nodeCount` nodes waits before it lists. */
export function relistDelayMilliseconds(
  nodeCount: number,
  random: Random,
): Milliseconds {
  const spread = Math.min(
    MAXIMUM_RELIST_DELAY_MILLISECONDS,
    nodeCount * SPREAD_MILLISECONDS_PER_NODE,
  );
  return random() * spread;
}
