import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {FailureDomain, NodeId, ServiceName} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {RelayPeer} from '../src/index.js';
import {PeerChoice} from '../src/index.js';

const TEXT = as<ServiceName>('text');
const PLAIN = as<ServiceName>('plain');
const NONE_TRIED: ReadonlySet<NodeId> = new Set();

function peer(name: string, ...cutFrom: ServiceName[]): RelayPeer {
  return {
    node: as<NodeId>(name),
    address: name,
    failureDomain: as<FailureDomain>(name.slice(0, 1)),
    cutFrom,
  };
}

function build(...peers: RelayPeer[]) {
  const clock = VirtualClock.create();
  const choice = PeerChoice.create({
    clock,
    random: createSeededRandom(1),
    failureDomain: as<FailureDomain>('a'),
  });
  choice.setPeers(peers);
  /** The peers that requests go to which all are under way at once. */
  const spread = (count: number, service = TEXT): Map<string, number> => {
    const counts = new Map<string, number>();
    for (let index = 0; index < count; index += 1) {
      const chosen = choice.choose(service, NONE_TRIED);
      if (chosen === undefined) continue;
      choice.track(chosen);
      counts.set(chosen.node, (counts.get(chosen.node) ?? 0) + 1);
    }
    return counts;
  };
  return {clock, choice, spread};
}

describe(PeerChoice.name, () => {
  it('spreads requests evenly over the peers of the own failure domain', () => {
    const {spread} = build(peer('a1'), peer('a2'), peer('b1'), peer('b2'));
    expect([...spread(10)].sort()).toEqual([
      ['a1', 5],
      ['a2', 5],
    ]);
  });

  it('uses peers of all domains while most of the own one is cut, too', () => {
    const {spread} = build(
      peer('a1', TEXT),
      peer('a2', TEXT),
      peer('a3'),
      peer('b1'),
      peer('c1'),
    );
    expect([...spread(9)].sort()).toEqual([
      ['a3', 3],
      ['b1', 3],
      ['c1', 3],
    ]);
  });

  it('judges each service by itself', () => {
    const {choice} = build(peer('a1', TEXT), peer('b1', PLAIN));
    expect(choice.choose(TEXT, NONE_TRIED)?.node).toEqual(as<NodeId>('b1'));
    expect(choice.choose(PLAIN, NONE_TRIED)?.node).toEqual(as<NodeId>('a1'));
  });

  it('has no peer when all are cut, or have been tried', () => {
    const {choice} = build(peer('a1', TEXT), peer('b1'));
    const tried = new Set([as<NodeId>('b1')]);
    expect(choice.choose(TEXT, tried)).toEqual(undefined);
    choice.setPeers([]);
    expect(choice.choose(TEXT, NONE_TRIED)).toEqual(undefined);
  });

  it('avoids a peer that failed for a second', async () => {
    const {clock, choice} = build(peer('a1'));
    choice.avoid(peer('a1'));
    expect(choice.choose(TEXT, NONE_TRIED)).toEqual(undefined);
    await clock.advance(1_000);
    expect(choice.choose(TEXT, NONE_TRIED)?.address).toEqual('a1');
  });

  it('counts a relayed request once, however often its end is reported', () => {
    const {choice, spread} = build(peer('a1'), peer('a2'));
    const end = choice.track(peer('a1'));
    end();
    end();
    expect([...spread(2)].sort()).toEqual([
      ['a1', 1],
      ['a2', 1],
    ]);
  });
});
