/** Messages with which nodes learn where they may relay requests. */

import type {FailureDomain, NodeId, ServiceName} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {z} from 'zod';
import type {RelayPeer} from './relay_peer.js';

const name = z.string().min(1);

/** A node's offer to the lease holder to take relayed requests; sent again when it changes. */
export const relayOfferSchema = z.object({
  address: name,
  failureDomain: name,
  cutFrom: z.array(name),
});

/** The peers of a node, each with its address, failure domain and the services that it can't serve. */
export const relayPeersSchema = z.object({
  peers: z.array(z.tuple([name, name, name, z.array(name)])),
});

/** Encodes an offer. */
export function encodeOffer({
  address,
  failureDomain,
  cutFrom,
}: RelayPeer): z.infer<typeof relayOfferSchema> {
  return {address, failureDomain, cutFrom: [...cutFrom]};
}

/** Decodes the offer of a node. */
export function decodeOffer(
  node: NodeId,
  message: z.infer<typeof relayOfferSchema>,
): RelayPeer {
  return {
    node,
    address: message.address,
    failureDomain: as<FailureDomain>(message.failureDomain),
    cutFrom: message.cutFrom.map(service => as<ServiceName>(service)),
  };
}

/** Encodes the peers of a node. */
export function encodePeers(
  peers: readonly RelayPeer[],
): z.infer<typeof relayPeersSchema> {
  return {
    peers: peers.map(({node, address, failureDomain, cutFrom}) => [
      node,
      address,
      failureDomain,
      [...cutFrom],
    ]),
  };
}

/** Decodes the peers of a node. */
export function decodePeers(
  message: z.infer<typeof relayPeersSchema>,
): RelayPeer[] {
  return message.peers.map(([node, address, failureDomain, cutFrom]) =>
    decodeOffer(as<NodeId>(node), {address, failureDomain, cutFrom}),
  );
}
