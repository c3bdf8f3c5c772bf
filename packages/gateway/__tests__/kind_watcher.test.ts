import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  Instant,
  Milliseconds,
  ObjectVersion,
  StoreEra,
} from '@siskinmux/kernel';
import {after, as, discardEvents, versionOf} from '@siskinmux/kernel';
import {
  MemoryStore,
  PausableClock,
  SharedObjects,
  VirtualClock,
  createSeededRandom,
} from '@siskinmux/testkit';
import type {FeedUpdate} from '../src/change_feed.js';
import {ChangeFeed} from '../src/change_feed.js';
import {KindWatcher} from '../src/kind_watcher.js';
import {viewAgeLimits} from '../src/view_age_limits.js';

interface Environment {
  readonly clock: VirtualClock;
  /** Replaces `clock`. */
  readonly pausableClock: PausableClock;
  readonly sharedObjects: SharedObjects;
  readonly isFeedSource: boolean;
}

function build(
  batchMilliseconds: Milliseconds = 0,
  environment: Partial<Environment> = {},
) {
  const clock = environment.clock ?? VirtualClock.create();
  const watcherClock = environment.pausableClock ?? clock;
  const random = createSeededRandom(1);
  const sharedObjects = environment.sharedObjects ?? new SharedObjects();
  const feed = ChangeFeed.create({clock: watcherClock});
  const store = new MemoryStore(sharedObjects, watcherClock, random);
  const events: string[] = [];
  const keepMissingUntil: (Instant | undefined)[] = [];
  const watcher = KindWatcher.create({
    store,
    kind: 'servers',
    clock: watcherClock,
    random,
    emit: discardEvents,
    ageLimits: viewAgeLimits(2_000),
    outageMilliseconds: 2_400,
    batchMilliseconds: () => batchMilliseconds,
    isFeedSource: () => environment.isFeedSource === true,
    nodeCount: () => 1,
    onRead: read => feed.record(read),
    reregistrationGraceMilliseconds: 2_200,
    handler: {
      onList: ({objects}, context) => {
        events.push(`list ${objects.map(({name}) => name).join(' ')}`.trim());
        keepMissingUntil.push(context.keepMissingUntil);
      },
      onChanges: (changes, context) => {
        for (const {object, isRemoved} of changes) {
          events.push(`${isRemoved ? '-' : '+'}${object.name}`);
        }
        keepMissingUntil.push(context.keepMissingUntil);
        return changes;
      },
    },
  });
  void watcher.run();
  return {clock, sharedObjects, store, events, keepMissingUntil, watcher, feed};
}

/** The lease holder, and a follower that gets its feed every 300 ms while the connection is up. */
function buildPair() {
  const holder = build(300, {isFeedSource: true});
  const {clock, sharedObjects} = holder;
  const follower = build(600, {clock, sharedObjects});
  const feedConnection = {isUp: true};
  const sendFeed = (): void => {
    const updates = holder.feed.takeUpdates();
    if (feedConnection.isUp)
      for (const update of updates)
        follower.watcher.applyFeed(update, clock.now());
    clock.schedule(after(clock.now(), 300), sendFeed);
  };
  clock.schedule(after(clock.now(), 300), sendFeed);
  const stop = (): void => {
    holder.watcher.stop();
    follower.watcher.stop();
  };
  return {...holder, holder, follower, feedConnection, stop};
}

describe('KindWatcher without a feed', () => {
  it('lists the objects once, then receives each change of its kind', async () => {
    const {clock, sharedObjects, events, watcher} = build();
    sharedObjects.put('servers', 'one', {});
    await clock.advance(100);
    sharedObjects.put('servers', 'two', {});
    sharedObjects.put('other', 'three', {});
    await clock.advance(100);
    sharedObjects.remove('servers', 'one');
    await clock.advance(100);
    expect(events).toEqual(['list one', '+two', '-one']);
    watcher.stop();
  });

  it('reads ten changes within half a second with at most five calls to the store', async () => {
    const {clock, sharedObjects, store, events, watcher} = build(600);
    await clock.advance(100);
    for (let count = 0; count < 10; count += 1) {
      sharedObjects.put('servers', `s${count}`, {});
      await clock.advance(50);
    }
    await clock.advance(700);
    expect(events.length).toEqual(11);
    expect(store.calls <= 5).toEqual(true);
    watcher.stop();
  });

  it('lists again when the store has discarded the history since the last read', async () => {
    const {clock, sharedObjects, events, watcher} = build();
    await clock.advance(100);
    sharedObjects.put('servers', 'one', {});
    sharedObjects.compactedBefore = sharedObjects.revision + 1;
    sharedObjects.revision += 1;
    await clock.advance(2_000);
    expect(events.filter(line => line.startsWith('list')).length >= 2).toEqual(
      true,
    );
    watcher.stop();
  });

  it('passes on the end of the grace period for missing objects after an outage of the store', async () => {
    const {clock, sharedObjects, store, keepMissingUntil, watcher} = build();
    sharedObjects.put('servers', 'one', {});
    await clock.advance(100);
    store.isUnreachable = true;
    await clock.advance(5_000);
    expect(watcher.hasLostStore).toEqual(true);
    store.isUnreachable = false;
    sharedObjects.remove('servers', 'one');
    await clock.advance(2_500);
    expect(watcher.hasLostStore).toEqual(false);
    expect(keepMissingUntil[0]).toEqual(undefined);
    const [, deadline] = keepMissingUntil;
    expect(deadline !== undefined && deadline <= clock.now() + 2_200).toEqual(
      true,
    );
    await clock.advance(3_000);
    sharedObjects.put('servers', 'two', {});
    await clock.advance(200);
    expect(keepMissingUntil.at(-1)).toEqual(undefined);
    watcher.stop();
  });

  it('keeps no object that is removed after a read has failed, as objects expire in longer outages only', async () => {
    const {clock, sharedObjects, store, keepMissingUntil, watcher} = build();
    sharedObjects.put('servers', 'one', {});
    await clock.advance(100);
    store.isUnreachable = true;
    await clock.advance(50);
    store.isUnreachable = false;
    await clock.advance(1_000);
    sharedObjects.remove('servers', 'one');
    await clock.advance(100);
    expect(keepMissingUntil).toEqual([undefined, undefined]);
    watcher.stop();
  });

  it('backs off to at most one call a second while the store is unreachable', async () => {
    const {clock, store, watcher} = build();
    await clock.advance(100);
    store.isUnreachable = true;
    const before = store.calls;
    await clock.advance(20_000);
    expect(store.calls - before <= 20).toEqual(true);
    watcher.stop();
  });
});

describe('KindWatcher with a feed', () => {
  it('receives 20 changes with at most one call to the store', async () => {
    const {clock, sharedObjects, follower, stop} = buildPair();
    await clock.advance(2_000);
    const before = follower.store.calls;
    for (let count = 0; count < 20; count += 1) {
      sharedObjects.put('servers', `s${count}`, {});
      await clock.advance(500);
    }
    await clock.advance(1_000);
    expect(follower.events.filter(line => line.startsWith('+')).length).toEqual(
      20,
    );
    expect(follower.store.calls - before <= 1).toEqual(true);
    stop();
  });

  it('reads the store within two seconds of a change when the feed stops', async () => {
    const {clock, sharedObjects, follower, feedConnection, stop} = buildPair();
    await clock.advance(2_000);
    feedConnection.isUp = false;
    sharedObjects.put('servers', 'late', {});
    await clock.advance(1_500);
    expect(follower.events).toInclude('+late');
    expect(follower.watcher.reachesStore).toEqual(true);
    stop();
  });

  it('reads the store within 1.5 seconds of a change when the feed source has lost the store', async () => {
    const {clock, sharedObjects, holder, follower, stop} = buildPair();
    await clock.advance(2_000);
    holder.store.isUnreachable = true;
    sharedObjects.put('servers', 'late', {});
    await clock.advance(1_500);
    expect(follower.events).toInclude('+late');
    stop();
  });

  it('reads the store after a gap in the feed', async () => {
    const {clock, sharedObjects, follower, feedConnection, stop} = buildPair();
    await clock.advance(2_000);
    feedConnection.isUp = false;
    sharedObjects.put('servers', 'unheard', {});
    await clock.advance(650);
    feedConnection.isUp = true;
    await clock.advance(400);
    expect(follower.events).toInclude('+unheard');
    stop();
  });

  it('receives changes from the feed while it cannot reach the store itself', async () => {
    const {clock, sharedObjects, follower, stop} = buildPair();
    await clock.advance(2_000);
    follower.store.isUnreachable = true;
    await clock.advance(40_000);
    sharedObjects.put('servers', 'new', {});
    await clock.advance(1_500);
    expect(follower.events).toInclude('+new');
    expect(follower.watcher.reachesStore).toEqual(false);
    stop();
  });

  // Reads that hung were only waited for, so that requests were refused meanwhile.
  it('finds out again that the store is unreachable after a late update of the feed', async () => {
    const {clock, sharedObjects, follower, feedConnection, stop} = buildPair();
    const {watcher, store} = follower;
    await clock.advance(2_000);
    feedConnection.isUp = false;
    store.isUnreachable = true;
    while (watcher.isCurrent || !watcher.isDecidable) await clock.advance(10);
    const to = versionOf(sharedObjects.era, sharedObjects.revision);
    const update = {kind: 'servers', from: to, to, changes: [], age: 900};
    watcher.applyFeed({...update, returnLeft: 0}, clock.now());
    while (watcher.isCurrent) await clock.advance(10);
    const {signal} = new AbortController();
    const held = watcher.waitUntilDecidable(after(clock.now(), 500), signal);
    await clock.advance(500);
    await held;
    expect(watcher.isDecidable).toEqual(true);
    stop();
  });

  it('finds out that the store is unreachable while updates of the feed with a gap arrive', async () => {
    const {clock, sharedObjects, follower, feedConnection, stop} = buildPair();
    const {watcher, store} = follower;
    await clock.advance(2_000);
    feedConnection.isUp = false;
    store.isUnreachable = true;
    const from = versionOf(sharedObjects.era, sharedObjects.revision + 1);
    const update = {kind: 'servers', from, to: from, changes: [], age: 0};
    for (let count = 0; count < 18; count += 1) {
      watcher.applyFeed({...update, returnLeft: 0}, clock.now());
      await clock.advance(100);
    }
    expect([watcher.isCurrent, watcher.isDecidable]).toEqual([false, true]);
    stop();
  });

  it('reads changes from the store that are too large for the feed', async () => {
    const {clock, sharedObjects, follower, stop} = buildPair();
    await clock.advance(2_000);
    sharedObjects.put('servers', 'large', {text: 'x'.repeat(40_000)});
    await clock.advance(1_000);
    expect(follower.events).toInclude('+large');
    stop();
  });
});

describe('KindWatcher that is asked to read at once', () => {
  it('knows what was acknowledged before, though its feed is fresh', async () => {
    const {clock, sharedObjects, follower, feedConnection, stop} = buildPair();
    await clock.advance(2_000);
    feedConnection.isUp = false;
    sharedObjects.put('servers', 'joined', {});
    const isKnown = follower.watcher.refresh(after(clock.now(), 400));
    await clock.advance(50);
    expect(await isKnown).toEqual(true);
    expect(follower.events.at(-1)).toEqual('+joined');
    stop();
  });

  it('tells that it does not know when the store does not respond in time', async () => {
    const {clock, store, watcher} = build();
    await clock.advance(1_000);
    store.isUnreachable = true;
    const isKnown = watcher.refresh(after(clock.now(), 400));
    await clock.advance(400);
    expect(await isKnown).toEqual(false);
    watcher.stop();
  });

  it('reads ten times a second at most, however many requests ask', async () => {
    const {clock, store, follower, stop} = buildPair();
    await clock.advance(2_000);
    const {calls} = follower.store;
    const known: Promise<boolean>[] = [];
    for (let count = 0; count < 500; count += 1) {
      known.push(follower.watcher.refresh(after(clock.now(), 400)));
      await clock.advance(2);
    }
    await clock.advance(400);
    expect(new Set(await Promise.all(known))).toEqual(new Set([true]));
    expect(follower.store.calls - calls).toBeLessThanOrEqual(14);
    expect(store.calls).toBeGreaterThan(0);
    stop();
  });
});

describe('KindWatcher whose store returns from an older copy', () => {
  function buildReturning(era = 1) {
    const sharedObjects = new SharedObjects();
    sharedObjects.era = as<StoreEra>(era);
    return build(0, {sharedObjects});
  }

  it('follows a store that names no era, though its revisions have gone back', async () => {
    const {clock, sharedObjects, events, watcher} = buildReturning(0);
    const copy = sharedObjects.copy();
    for (let count = 0; count < 30; count += 1)
      sharedObjects.put('servers', 'one', {count});
    await clock.advance(500);
    sharedObjects.comeBack(copy);
    sharedObjects.era = as<StoreEra>(0);
    await clock.advance(1_500);
    sharedObjects.put('servers', 'two', {});
    await clock.advance(500);
    expect(events.at(-1)).toEqual('+two');
    watcher.stop();
  });

  it('heeds updates of a holder that knows no eras until the store has returned', async () => {
    const {clock, sharedObjects, events, watcher} = buildReturning();
    await clock.advance(100);
    const {revision} = sharedObjects;
    const update = (to: number): FeedUpdate => ({
      kind: 'servers',
      from: as<ObjectVersion>(revision),
      to: as<ObjectVersion>(to),
      changes: [
        {
          object: {name: 'fed', revision: as<ObjectVersion>(to), content: {}},
          isRemoved: false,
        },
      ],
      age: 0,
      returnLeft: 0,
    });
    watcher.applyFeed(update(revision + 1), clock.now());
    expect(events.at(-1)).toEqual('+fed');
    sharedObjects.comeBack(sharedObjects.copy());
    await clock.advance(2_000);
    const count = events.length;
    watcher.applyFeed(update(revision + 2), clock.now());
    expect(events.length).toEqual(count);
    watcher.stop();
  });

  it('sends no update that spans two eras, whose changes are unknown', () => {
    const clock = VirtualClock.create();
    const feed = ChangeFeed.create({clock});
    const version = (era: number, revision: number): ObjectVersion =>
      versionOf(as<StoreEra>(era), revision);
    const read = {
      kind: 'servers',
      knownUntil: clock.now(),
      keepMissingUntil: undefined,
      changes: [],
    };
    feed.record({...read, from: undefined, to: version(1, 50)});
    feed.takeUpdates();
    feed.record({...read, from: version(1, 50), to: version(2, 40)});
    feed.record({...read, from: version(2, 40), to: version(2, 41)});
    const [update] = feed.takeUpdates();
    expect(update?.from).toEqual(version(2, 41));
    expect(update?.changes).toEqual(null);
    feed.record({...read, from: version(2, 41), to: version(2, 42)});
    expect(feed.takeUpdates()[0]?.changes).toEqual([]);
  });
});

describe('KindWatcher in a process that pauses', () => {
  it('does not take the store for unreachable whose responses it could not read yet', async () => {
    const pausableClock = PausableClock.create();
    const {watcher, store} = build(0, {pausableClock});
    const runFor = async (turns: number): Promise<void> => {
      for (let turn = 0; turn < turns; turn += 1) {
        pausableClock.run(1);
        await new Promise(resolve => setImmediate(resolve));
      }
    };
    await runFor(100);
    const hang = (): Promise<never> => new Promise(() => {});
    Object.assign(store, {list: hang, watch: hang});
    await runFor(500);
    expect(watcher.isCurrent).toEqual(true);
    for (let pause = 0; pause < 4; pause += 1) {
      pausableClock.pause(1_000);
      await runFor(1);
    }
    expect([watcher.isCurrent, watcher.isDecidable]).toEqual([false, false]);
    watcher.stop();
  });
});
