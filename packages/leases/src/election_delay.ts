/** How long a node lets stronger ones go first when a lease is free. */

import type {Milliseconds} from '@siskinmux/kernel';

/** What a node has to work with. */
export interface NodeCapacity {
  /** Cores' worth of processor time. */
  readonly processorShare: number;
  /** Megabits a second of its link. */
  readonly linkMegabits: number;
}

/** A holder with so much serves a hundred nodes without falling behind. */
const AMPLE_CAPACITY: NodeCapacity = {processorShare: 0.6, linkMegabits: 50};

/** Wait of a node that has next to nothing; small beside the time of a takeover. */
const MAXIMUM_DELAY_MILLISECONDS: Milliseconds = 250;

/** Zero for a node with ample means, up to {@link MAXIMUM_DELAY_MILLISECONDS} for a weak one. */
export function electionDelayMilliseconds(
  capacity: NodeCapacity,
): Milliseconds {
  const strength = Math.min(
    1,
    capacity.processorShare / AMPLE_CAPACITY.processorShare,
    capacity.linkMegabits / AMPLE_CAPACITY.linkMegabits,
  );
  return (1 - strength) * MAXIMUM_DELAY_MILLISECONDS;
}
