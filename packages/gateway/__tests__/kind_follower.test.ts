import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {after, discardEvents} from '@siskinmux/kernel';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import {ChangeFeed} from '../src/change_feed.js';
import {KindFollower} from '../src/kind_follower.js';
import {MemoryStore, SharedObjects} from './memory_store.js';

interface Surroundings {
  readonly clock: VirtualClock;
  readonly shared: SharedObjects;
  readonly isFeeding: boolean;
}

function build(
  gatherMilliseconds: Milliseconds = 0,
  surroundings: Partial<Surroundings> = {},
) {
  const clock = surroundings.clock ?? VirtualClock.create();
  const random = createSeededRandom(1);
  const shared = surroundings.shared ?? new SharedObjects();
  const feed = ChangeFeed.create({clock});
  const store = new MemoryStore(shared, clock, random);
  const seen: string[] = [];
  const mayReturn: (Instant | undefined)[] = [];
  const follower = KindFollower.create({
    store,
    kind: 'servers',
    clock,
    random,
    emit: discardEvents,
    gatherMilliseconds: () => gatherMilliseconds,
    isFeeding: () => surroundings.isFeeding === true,
    onProgress: progress => feed.note(progress),
    reappearanceMilliseconds: 2_200,
    handler: {
      onList: ({objects}, until) => {
        seen.push(`list ${objects.map(({name}) => name).join(' ')}`.trim());
        mayReturn.push(until);
      },
      onChanges: (changes, until) => {
        for (const {object, isRemoved} of changes) {
          seen.push(`${isRemoved ? '-' : '+'}${object.name}`);
        }
        mayReturn.push(until);
        return changes;
      },
    },
  });
  void follower.run();
  return {clock, shared, store, seen, mayReturn, follower, feed};
}

/** A node that reads, and one that it feeds every 300 ms while `link.isUp`. */
function buildPair() {
  const holder = build(300, {isFeeding: true});
  const {clock, shared} = holder;
  const fed = build(600, {clock, shared});
  const link = {isUp: true};
  const tell = (): void => {
    const parts = holder.feed.drain();
    if (link.isUp) for (const part of parts) fed.follower.takeFeed(part);
    clock.schedule(after(clock.now(), 300), tell);
  };
  clock.schedule(after(clock.now(), 300), tell);
  const stop = (): void => {
    holder.follower.stop();
    fed.follower.stop();
  };
  return {...holder, holder, fed, link, stop};
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
    expect(follower.hasLostStore).toEqual(true);
    store.isAway = false;
    shared.remove('servers', 'one');
    await clock.advance(2_500);
    expect(follower.hasLostStore).toEqual(false);
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

describe('a follower that is fed', () => {
  it('hears of every change and reads next to nothing for itself', async () => {
    const {clock, shared, fed, stop} = buildPair();
    await clock.advance(2_000);
    const before = fed.store.calls;
    for (let count = 0; count < 20; count += 1) {
      shared.put('servers', `s${count}`, {});
      await clock.advance(500);
    }
    await clock.advance(1_000);
    expect(fed.seen.filter(line => line.startsWith('+')).length).toEqual(20);
    expect(fed.store.calls - before <= 1).toEqual(true);
    stop();
  });

  it('reads for itself within two seconds of a change when the feed falls silent', async () => {
    const {clock, shared, fed, link, stop} = buildPair();
    await clock.advance(2_000);
    link.isUp = false;
    shared.put('servers', 'late', {});
    await clock.advance(1_500);
    expect(fed.seen).toInclude('+late');
    expect(fed.follower.reachesStore).toEqual(true);
    stop();
  });

  it('reads for itself when the feeding node has lost the store', async () => {
    const {clock, shared, holder, fed, stop} = buildPair();
    await clock.advance(2_000);
    holder.store.isAway = true;
    shared.put('servers', 'late', {});
    await clock.advance(1_500);
    expect(fed.seen).toInclude('+late');
    stop();
  });

  it('reads for itself after a gap', async () => {
    const {clock, shared, fed, link, stop} = buildPair();
    await clock.advance(2_000);
    link.isUp = false;
    shared.put('servers', 'unheard', {});
    await clock.advance(650);
    link.isUp = true;
    await clock.advance(400);
    expect(fed.seen).toInclude('+unheard');
    stop();
  });

  it('is told of changes while the store turns it away', async () => {
    const {clock, shared, fed, stop} = buildPair();
    await clock.advance(2_000);
    fed.store.isAway = true;
    await clock.advance(40_000);
    shared.put('servers', 'new', {});
    await clock.advance(1_500);
    expect(fed.seen).toInclude('+new');
    expect(fed.follower.reachesStore).toEqual(false);
    stop();
  });

  it('reads for itself what is too large to pass on', async () => {
    const {clock, shared, fed, stop} = buildPair();
    await clock.advance(2_000);
    shared.put('servers', 'large', {text: 'x'.repeat(40_000)});
    await clock.advance(1_000);
    expect(fed.seen).toInclude('+large');
    stop();
  });
});
