import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {discardEvents} from '@siskinmux/kernel';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import {KindFollower} from '../src/kind_follower.js';
import {MemoryStore, SharedObjects} from './memory_store.js';

function build(gatherMilliseconds: Milliseconds = 0) {
  const clock = VirtualClock.create();
  const random = createSeededRandom(1);
  const shared = new SharedObjects();
  const store = new MemoryStore(shared, clock, random);
  const seen: string[] = [];
  const mayReturn: (Instant | undefined)[] = [];
  const follower = KindFollower.create({
    store,
    kind: 'servers',
    clock,
    random,
    emit: discardEvents,
    gatherMilliseconds,
    reappearanceMilliseconds: 2_200,
    reader: {
      onList: ({objects}, until) => {
        seen.push(`list ${objects.map(({name}) => name).join(' ')}`.trim());
        mayReturn.push(until);
      },
      onChanges: (changes, until) => {
        for (const {object, isRemoved} of changes) {
          seen.push(`${isRemoved ? '-' : '+'}${object.name}`);
        }
        mayReturn.push(until);
      },
    },
  });
  void follower.run();
  return {clock, shared, store, seen, mayReturn, follower};
}

describe('a follower of a kind', () => {
  it('lists once, then hears of each change', async () => {
    const {clock, shared, seen, follower} = build();
    shared.put('servers', 'one', {});
    await clock.advance(100);
    shared.put('servers', 'two', {});
    shared.put('other', 'three', {});
    await clock.advance(100);
    shared.remove('servers', 'one');
    await clock.advance(100);
    expect(seen).toEqual(['list one', '+two', '-one']);
    follower.stop();
  });

  it('gathers changes into one call', async () => {
    const {clock, shared, store, seen, follower} = build(600);
    await clock.advance(100);
    for (let count = 0; count < 10; count += 1) {
      shared.put('servers', `s${count}`, {});
      await clock.advance(50);
    }
    await clock.advance(700);
    expect(seen.length).toEqual(11);
    expect(store.calls <= 5).toEqual(true);
    follower.stop();
  });

  it('lists again when the store has forgotten what came since', async () => {
    const {clock, shared, seen, follower} = build();
    await clock.advance(100);
    shared.put('servers', 'one', {});
    shared.forgottenBefore = shared.revision + 1;
    shared.revision += 1;
    await clock.advance(2_000);
    expect(seen.filter(line => line.startsWith('list')).length >= 2).toEqual(
      true,
    );
    follower.stop();
  });

  it('says for a while after an outage that what is missing may come back', async () => {
    const {clock, shared, store, mayReturn, follower} = build();
    shared.put('servers', 'one', {});
    await clock.advance(100);
    store.isAway = true;
    await clock.advance(5_000);
    expect(follower.isLost).toEqual(true);
    store.isAway = false;
    shared.remove('servers', 'one');
    await clock.advance(2_500);
    expect(follower.isLost).toEqual(false);
    expect(mayReturn[0]).toEqual(undefined);
    const [, until] = mayReturn;
    expect(until !== undefined && until <= clock.now() + 2_200).toEqual(true);
    await clock.advance(3_000);
    shared.put('servers', 'two', {});
    await clock.advance(200);
    expect(mayReturn.at(-1)).toEqual(undefined);
    follower.stop();
  });

  it('asks an absent store a few times a second, no more', async () => {
    const {clock, store, follower} = build();
    await clock.advance(100);
    store.isAway = true;
    const before = store.calls;
    await clock.advance(20_000);
    expect(store.calls - before <= 20).toEqual(true);
    follower.stop();
  });
});
