/** Sends questions to owners of shared state by their node ids. */

import type {Instant, NodeId} from '@siskinmux/kernel';
import type {
  Membership,
  OwnerQuestion,
  OwnerReply,
} from '@siskinmux/membership';
import {PeerUnreachableError} from '@siskinmux/membership';
import type {z} from 'zod';
import type {Peers} from './peers.js';

/** A function that an owner client calls peers by. */
export function createOwnerCall<Message, Reply>(options: {
  peers: Peers;
  membership: Membership;
  method: string;
  replySchema: z.ZodType<OwnerReply<Reply>>;
}) {
  const {peers, membership, method, replySchema} = options;
  return async (
    node: NodeId,
    question: OwnerQuestion<Message>,
    until: Instant,
  ): Promise<OwnerReply<Reply>> => {
    const member = membership.member(node);
    if (member === undefined) throw new PeerUnreachableError(`${node} unknown`);
    const answer = await peers.callWithLivenessCheck(
      member.address,
      method,
      question,
      until,
    );
    return replySchema.parse(answer);
  };
}
