import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {FailureDomain, NodeId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {MemberUpdate} from '../src/index.js';
import {Membership} from '../src/index.js';

const BEYOND_SUSPICION_MILLISECONDS = 10_000;

const id = (name: string): NodeId => as<NodeId>(name);

function update(
  name: string,
  overrides: Partial<MemberUpdate> = {},
): MemberUpdate {
  return {
    id: id(name),
    address: `http://${name}`,
    failureDomain: as<FailureDomain>('a'),
    incarnation: 0,
    status: 'alive',
    ...overrides,
  };
}

function setUp() {
  const clock = VirtualClock.create();
  const membership = Membership.create({
    self: {
      id: id('self'),
      address: 'http://self',
      failureDomain: as<FailureDomain>('a'),
    },
    clock,
    random: createSeededRandom(1),
  });
  return {clock, membership};
}

describe(Membership.name, () => {
  it('declares an unreachable member dead only after its suspicion has expired', async () => {
    const {clock, membership} = setUp();
    membership.merge([update('one'), update('two')]);
    membership.markUnreachable(id('one'));
    expect(membership.live.includes(id('one'))).toEqual(true);
    await clock.advance(BEYOND_SUSPICION_MILLISECONDS);
    membership.processTimeouts();
    expect(membership.live).toEqual([id('self'), id('two')]);
    expect(membership.isTerminated(id('one'))).toEqual(true);
  });

  it('clears a suspicion when the suspect announces a larger incarnation', async () => {
    const {clock, membership} = setUp();
    membership.merge([update('one')]);
    membership.merge([update('one', {status: 'suspect'})]);
    membership.merge([update('one', {incarnation: 1})]);
    await clock.advance(BEYOND_SUSPICION_MILLISECONDS);
    membership.processTimeouts();
    expect(membership.live.includes(id('one'))).toEqual(true);
  });

  it('refutes a suspicion of itself with a larger incarnation', () => {
    const {membership} = setUp();
    membership.merge([update('self', {status: 'suspect', incarnation: 4})]);
    const [self] = membership.updatesToSend();
    expect(self?.incarnation).toEqual(5);
    expect(self?.status).toEqual('alive');
  });

  it('does not revive a member that has left when a delayed update has a larger incarnation', () => {
    const {membership} = setUp();
    membership.merge([update('one'), update('one', {status: 'left'})]);
    membership.merge([update('one', {incarnation: 9})]);
    expect(membership.live).toEqual([id('self')]);
  });

  it('probes every member exactly once in each round', () => {
    const {membership} = setUp();
    const names = ['one', 'two', 'three', 'four'];
    membership.merge(names.map(name => update(name)));
    const probed = names.map(() => membership.nextProbeTarget()?.id);
    expect([...probed].sort()).toEqual(names.map(id).sort());
  });

  it('stops disseminating an update after a bounded number of transmissions', () => {
    const {membership} = setUp();
    membership.merge([update('one')]);
    let transmissions = 0;
    for (let probe = 0; probe < 100; probe += 1) {
      if (membership.updatesToSend().length > 1) transmissions += 1;
    }
    expect(transmissions > 0 && transmissions < 20).toEqual(true);
  });
});
