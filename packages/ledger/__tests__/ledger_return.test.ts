import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {NodeId} from '@siskinmux/kernel';
import {after, as, discardEvents} from '@siskinmux/kernel';
import {PeerUnreachableError} from '@siskinmux/membership';
import type {ClaimReply, ClaimRequest} from '../src/index.js';
import {Ledger, subjectOfShard} from '../src/index.js';
import {setUp} from './shard_fixture.js';

const NODES = [as<NodeId>('one'), as<NodeId>('two'), as<NodeId>('three')];

function buildLedgers() {
  const fixture = setUp();
  const {clock, objects} = fixture;
  const ledgers = new Map<NodeId, Ledger>();
  const dead = new Set<NodeId>();
  for (const node of NODES)
    ledgers.set(
      node,
      Ledger.create({
        objects,
        clock,
        node,
        shards: 1,
        emit: discardEvents,
        rankedOwners: () => NODES,
        isNodeTerminated: () => false,
        startClaimSpan: () => () => {},
        callPeer: async (peer, request) => {
          const ledger = ledgers.get(peer);
          if (ledger === undefined || dead.has(peer))
            throw new PeerUnreachableError(peer);
          return ledger.handle(request);
        },
      }),
    );
  /** Sends a claim to a node that takes the shard over, if it doesn't own it. */
  const claimAt = async (
    node: NodeId,
    request: ClaimRequest,
  ): Promise<ClaimReply['kind'] | 'not_owner'> => {
    const waitUntil = after(clock.now(), 100);
    const reply = await clock.runUntilSettled(
      ledgers.get(node)!.handle({
        subject: subjectOfShard(0),
        message: {kind: 'claim', request, waitUntil},
        takeOver: true,
      }),
    );
    if (reply.kind === 'not_owner') return 'not_owner';
    return reply.answer.kind === 'claim' ? reply.answer.reply.kind : 'unknown';
  };
  return {...fixture, dead, claimAt};
}

describe('ledger whose object service returns from an older copy', () => {
  const [one, two, three] = NODES as [NodeId, NodeId, NodeId];

  it('grants no key again at a node that opens the older log before its owner has read it', async () => {
    const {objects, claimAt, request} = buildLedgers();
    await claimAt(one, request('other', 'other'));
    const copy = objects.copy();
    expect(await claimAt(two, request('key', 'first'))).toEqual('granted');
    objects.comeBack(copy, true);
    expect(await claimAt(three, request('key', 'again'))).toEqual('not_owner');
    expect(await claimAt(three, request('key', 'again'))).toEqual(
      'in_progress',
    );
  });

  it('hands a shard over while its earlier owner runs, or has crashed', async () => {
    const {claimAt, request, dead} = buildLedgers();
    expect(await claimAt(one, request('key', 'first'))).toEqual('granted');
    expect(await claimAt(two, request('new', 'new'))).toEqual('granted');
    dead.add(two);
    expect(await claimAt(three, request('newer', 'newer'))).toEqual('granted');
    expect(await claimAt(three, request('new', 'again'))).toEqual(
      'in_progress',
    );
  });
});
