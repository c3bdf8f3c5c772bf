/**
 * Delays the lease acquisition of weak nodes, so that a stronger node wins the election.
 */

import type {Milliseconds} from '@siskinmux/kernel';

/** Resources of a node's host that are available to the node. */
export interface NodeCapacity {
  /** Processor time, in cores. */
  readonly processorShare: number;
  /** Bandwidth of its network link, in megabits per second. */
  readonly linkMegabits: number;
}

/** Capacity from which a node has no delay: with it, a lease holder can serve 100 nodes. */
const AMPLE_CAPACITY: NodeCapacity = {processorShare: 0.6, linkMegabits: 50};

/** Delay of a node with almost no capacity; it prolongs a takeover only slightly. */
const MAXIMUM_DELAY_MILLISECONDS: Milliseconds = 250;

/**
 * Zero for a node with ample capacity, up to {@link MAXIMUM_DELAY_MILLISECONDS} for a
 * weak one.
 */
export function electionDelayMilliseconds(
  capacity: NodeCapacity,
): Milliseconds {
  const capacityShare = Math.min(
    1,
    capacity.processorShare / AMPLE_CAPACITY.processorShare,
    capacity.linkMegabits / AMPLE_CAPACITY.linkMegabits,
  );
  return (1 - capacityShare) * MAXIMUM_DELAY_MILLISECONDS;
}
