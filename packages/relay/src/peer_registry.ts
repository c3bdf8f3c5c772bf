/**
 * The lease holder's record of the nodes that take relayed requests. Each node learns of a few in
 * each failure domain, so that the messages don't grow with the number of nodes.
 */

import type {FailureDomain, NodeId} from '@siskinmux/kernel';
import {hash32} from '@siskinmux/routing';
import type {RelayPeer} from './relay_peer.js';

/** Peers that a node learns of in each failure domain. */
const PEERS_PER_DOMAIN = 8;

/** The nodes, each in its place on a ring, from which every node takes the next ones. */
export class PeerRegistry {
  private readonly peers = new Map<NodeId, RelayPeer>();
  private rings: ReadonlyMap<FailureDomain, readonly RelayPeer[]> | undefined;

  private constructor() {}

  static create(): PeerRegistry {
    return new PeerRegistry();
  }

  /** Adds a node, or updates what is known of it. */
  record(peer: RelayPeer): void {
    this.peers.set(peer.node, peer);
    this.rings = undefined;
  }

  remove(node: NodeId): void {
    if (this.peers.delete(node)) this.rings = undefined;
  }

  /** The peers that a node may relay requests to. */
  peersOf(node: NodeId): RelayPeer[] {
    this.rings ??= this.buildRings();
    const place = hash32(node);
    return [...this.rings.values()].flatMap(ring => {
      const start = ring.findIndex(peer => hash32(peer.node) > place);
      const inOrder = [
        ...ring.slice(Math.max(0, start)),
        ...ring.slice(0, Math.max(0, start)),
      ];
      return inOrder
        .filter(peer => peer.node !== node)
        .slice(0, PEERS_PER_DOMAIN);
    });
  }

  private buildRings(): Map<FailureDomain, RelayPeer[]> {
    const rings = new Map<FailureDomain, RelayPeer[]>();
    const sorted = [...this.peers.values()].sort(
      (left, right) => hash32(left.node) - hash32(right.node),
    );
    for (const peer of sorted) {
      const ring = rings.get(peer.failureDomain) ?? [];
      ring.push(peer);
      rings.set(peer.failureDomain, ring);
    }
    return rings;
  }
}
