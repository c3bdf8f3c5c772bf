/** Owners of one shard over a stand-in of the object service, in virtual time. */

import type {Fingerprint, NodeId} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import {ObjectServiceStandIn} from '@siskinmux/standins';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {AttemptId, ClaimRequest, ShardOwnerOptions} from '../src/index.js';
import {ShardOwner, claimKeyOf} from '../src/index.js';

const TIMEOUT_MILLISECONDS = 4_000;
const WRITE_INTERVAL_MILLISECONDS = 7;

/** Time for which claims are retained. */
export const RETENTION_MILLISECONDS = 60_000;

/** Sets up the shard's surroundings; `open` opens it as a node. */
export function setUp(seed = 1) {
  const clock = VirtualClock.create();
  const objects = ObjectServiceStandIn.create({
    clock,
    random: createSeededRandom(seed),
  });
  objects.faults.delayMilliseconds = 2;
  const terminated = new Set<NodeId>();
  const optionsFor = (node: string): ShardOwnerOptions => ({
    objects,
    clock,
    node: as<NodeId>(node),
    shard: 0,
    writeIntervalMilliseconds: WRITE_INTERVAL_MILLISECONDS,
    isNodeTerminated: id => terminated.has(id),
    onLost: () => {},
    onRestored: () => {},
  });
  const open = (node: string): Promise<ShardOwner> =>
    clock.runUntilSettled(ShardOwner.open(optionsFor(node)));
  const request = (
    key: string,
    attempt: string,
    overrides: Partial<ClaimRequest> = {},
  ): ClaimRequest => ({
    key: claimKeyOf('coupons/issue', key),
    fingerprint: as<Fingerprint>('body'),
    attempt: attempt as AttemptId,
    node: as<NodeId>('entry'),
    deadline: after(clock.now(), TIMEOUT_MILLISECONDS),
    expiresAt: after(clock.now(), RETENTION_MILLISECONDS),
    traceparent: undefined,
    ...overrides,
  });
  const claim = (owner: ShardOwner, claimRequest: ClaimRequest) =>
    clock.runUntilSettled(owner.claim(claimRequest, claimRequest.deadline));
  const segments = async (): Promise<readonly string[]> => {
    const listed = await clock.runUntilSettled(objects.list('claims/0/'));
    return listed.map(({key}) => key).sort();
  };
  return {
    segments,
    optionsFor,
    clock,
    objects,
    terminated,
    open,
    request,
    claim,
  };
}
