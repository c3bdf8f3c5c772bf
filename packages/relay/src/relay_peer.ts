/** A node that may serve requests for others. */

import type {FailureDomain, NodeId, ServiceName} from '@siskinmux/kernel';

/** Where a node takes relayed requests, and which services it can't serve itself. */
export interface RelayPeer {
  readonly node: NodeId;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  /** Services whose endpoints the node doesn't reach. */
  readonly cutFrom: readonly ServiceName[];
}

/** Whether a node reaches the endpoints of a service. */
export function reaches(peer: RelayPeer, service: ServiceName): boolean {
  return !peer.cutFrom.includes(service);
}

/** Whether two lists describe the same nodes in the same state. */
export function areSamePeers(
  left: readonly RelayPeer[],
  right: readonly RelayPeer[],
): boolean {
  const describe = ({node, address, failureDomain, cutFrom}: RelayPeer) =>
    [node, address, failureDomain, ...cutFrom].join(' ');
  return (
    left.length === right.length &&
    left.every((peer, index) => describe(peer) === describe(right[index]!))
  );
}
