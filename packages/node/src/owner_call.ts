/** Calls the nodes that own shared state, addressed by node ID. */

import type {Instant, NodeId} from '@siskinmux/kernel';
import type {Membership, OwnerReply, OwnerRequest} from '@siskinmux/membership';
import {PeerUnreachableError} from '@siskinmux/membership';
import type {z} from 'zod';
import type {Peers} from './peers.js';

/** Creates the function through which an `OwnerClient` sends a request to a peer. */
export function createOwnerCall<Message, Reply>(options: {
  peers: Peers;
  membership: Membership;
  method: string;
  replySchema: z.ZodType<OwnerReply<Reply>>;
}) {
  const {peers, membership, method, replySchema} = options;
  return async (
    node: NodeId,
    request: OwnerRequest<Message>,
    deadline: Instant,
  ): Promise<OwnerReply<Reply>> => {
    const member = membership.member(node);
    if (member === undefined)
      throw new PeerUnreachableError(`node ${node} is not a known member`);
    const reply = await peers.callWithLivenessCheck(
      member.address,
      method,
      request,
      deadline,
    );
    return replySchema.parse(reply);
  };
}
