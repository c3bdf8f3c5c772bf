import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {FailureDomain, NodeId, ServiceName} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {RelayPeer} from '../src/index.js';
import {
  PeerRegistry,
  areSamePeers,
  decodePeers,
  encodePeers,
  relayPeersSchema,
} from '../src/index.js';

const DOMAINS = 6;
const PEERS_PER_DOMAIN = 8;

function peer(index: number, ...cutFrom: string[]): RelayPeer {
  return {
    node: as<NodeId>(`node-${index}`),
    address: `10.0.0.${index}:7382`,
    failureDomain: as<FailureDomain>(`d${index % DOMAINS}`),
    cutFrom: cutFrom.map(name => as<ServiceName>(name)),
  };
}

function build(count: number): PeerRegistry {
  const registry = PeerRegistry.create();
  for (let index = 0; index < count; index += 1) registry.record(peer(index));
  return registry;
}

describe(PeerRegistry.name, () => {
  it('tells each node of all others in a small cluster, and never of itself', () => {
    const registry = build(7);
    for (let index = 0; index < 7; index += 1) {
      const peers = registry.peersOf(peer(index).node);
      expect(peers.length).toEqual(6);
      expect(peers.some(({node}) => node === peer(index).node)).toEqual(false);
    }
  });

  it('tells each of 570 nodes of eight in each failure domain, and each node is told to some', () => {
    const registry = build(570);
    const told = new Map<string, number>();
    for (let index = 0; index < 570; index += 1) {
      const peers = registry.peersOf(peer(index).node);
      expect(peers.length).toEqual(PEERS_PER_DOMAIN * DOMAINS);
      for (const {node} of peers) told.set(node, (told.get(node) ?? 0) + 1);
    }
    expect(told.size).toEqual(570);
  });

  it('forgets nodes that are gone, and follows what the others reach', () => {
    const registry = build(3);
    registry.remove(peer(1).node);
    registry.record(peer(2, 'text'));
    expect(registry.peersOf(peer(0).node)).toEqual([peer(2, 'text')]);
  });

  it('sends the peers as they are', () => {
    const peers = [peer(1), peer(2, 'text', 'plain')];
    const message: unknown = JSON.parse(JSON.stringify(encodePeers(peers)));
    const received = decodePeers(relayPeersSchema.parse(message));
    expect(received).toEqual(peers);
    expect(areSamePeers(received, peers)).toEqual(true);
    expect(areSamePeers(received, [peer(1), peer(2, 'text')])).toEqual(false);
  });
});
