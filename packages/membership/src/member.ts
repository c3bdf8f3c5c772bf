/** Membership records that nodes exchange. */

import type {FailureDomain, Instant, NodeId} from '@siskinmux/kernel';
import {z} from 'zod';

/** Status of a node. `left` follows a graceful shutdown, `dead` an expired suspicion. */
export type MemberStatus = 'alive' | 'suspect' | 'left' | 'dead';

/** State of one node as it is exchanged between members. */
export interface MemberUpdate {
  readonly id: NodeId;
  /** Base URL of the node's peer interface. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  /** Incremented by the node to refute a suspicion; the larger value takes precedence. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/** A member with the state that is local to this node. */
export interface Member extends MemberUpdate {
  /** When the suspected member is declared dead. */
  readonly suspectUntil: Instant | undefined;
  /** When this node last applied an update about the member. */
  readonly changedAt: Instant;
}

/** Schema of an update on the wire and in the registry. */
export const memberUpdateSchema = z.strictObject({
  id: z.string().min(1).max(128),
  address: z.string().max(256),
  failureDomain: z.string().max(63),
  incarnation: z.number().int().nonnegative(),
  status: z.enum(['alive', 'suspect', 'left', 'dead']),
});

/** Parses updates that a peer sent. Throws `ZodError` when one is invalid. */
export function parseMemberUpdates(value: unknown): MemberUpdate[] {
  return z.array(memberUpdateSchema).max(1_000).parse(value) as MemberUpdate[];
}

/** Whether `update` is newer than the known state of the member. */
export function supersedes(update: MemberUpdate, known: MemberUpdate): boolean {
  // Node ids are not reused: a node that has left never returns under the same id.
  if (known.status === 'left') return false;
  if (update.status === 'left') return true;
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return statusPrecedence(update.status) > statusPrecedence(known.status);
}

function statusPrecedence(status: MemberStatus): number {
  return ['alive', 'suspect', 'dead', 'left'].indexOf(status);
}
