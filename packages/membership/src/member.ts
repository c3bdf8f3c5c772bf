/** What nodes know of each other. */

import type {FailureDomain, Instant, NodeId} from '@siskinmux/kernel';
import {z} from 'zod';

/** How a node is seen. `left` is a graceful end, `dead` one that others concluded. */
export type MemberStatus = 'alive' | 'suspect' | 'left' | 'dead';

/** One node as members tell each other. */
export interface MemberUpdate {
  readonly id: NodeId;
  /** Base URL of the node's peer interface. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  /** Grows when the node refutes a suspicion; the larger one counts. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/** A member with what this node adds to it. */
export interface Member extends MemberUpdate {
  /** When a suspicion becomes a conclusion. */
  readonly suspectUntil: Instant | undefined;
  /** When the status last changed here. */
  readonly changedAt: Instant;
}

/** Shape of an update on the wire. */
export const memberUpdateSchema = z.strictObject({
  id: z.string().min(1).max(128),
  address: z.string().max(256),
  failureDomain: z.string().max(63),
  incarnation: z.number().int().nonnegative(),
  status: z.enum(['alive', 'suspect', 'left', 'dead']),
});

/** Reads updates that a peer sent; invalid ones throw a `ZodError`. */
export function parseMemberUpdates(value: unknown): MemberUpdate[] {
  return z.array(memberUpdateSchema).max(1_000).parse(value) as MemberUpdate[];
}

/** Whether `update` says something newer than what is known. */
export function supersedes(update: MemberUpdate, known: MemberUpdate): boolean {
  // A process that ended never comes back under the same id.
  if (known.status === 'left') return false;
  if (update.status === 'left') return true;
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return rank(update.status) > rank(known.status);
}

function rank(status: MemberStatus): number {
  return ['alive', 'suspect', 'dead', 'left'].indexOf(status);
}
