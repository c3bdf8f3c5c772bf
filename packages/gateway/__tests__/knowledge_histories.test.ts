import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ObjectVersion} from '@siskinmux/kernel';
import {randomBelow} from '@siskinmux/kernel';
import type {KnowledgeClusterOptions} from './knowledge_cluster.js';
import {
  KIND,
  KNOWN_WITHIN_MILLISECONDS,
  KnowledgeCluster,
  playHistory,
} from './knowledge_cluster.js';

const SEEDS = Array.from({length: 25}, (_, index) => index + 1);

type Disturbance = Parameters<typeof playHistory>[1][number];

const silentConnection: Disturbance = (_, node) =>
  node.loseOnce(() => node.store.silenceOpenConnections());

const lostCall: Disturbance = (_, node) =>
  node.loseOnce(() => {
    node.store.callsToLose = 1;
  });

const heldResponses: Disturbance = ({clock}, {store}, random) => {
  const heldFor = 100 + randomBelow(random, 900);
  store.responsesHeldUntil = (clock.now() +
    heldFor) as typeof store.responsesHeldUntil;
};

const delayedFeed: Disturbance = ({clock}, node, random) => {
  node.feedDelay = randomBelow(random, 1_500);
  clock.schedule((clock.now() + 900) as ReturnType<typeof clock.now>, () => {
    node.feedDelay = 0;
  });
};

const pausedFeed: Disturbance = cluster => {
  const {clock} = cluster;
  cluster.isHolderSending = false;
  clock.schedule((clock.now() + 1_200) as ReturnType<typeof clock.now>, () => {
    cluster.isHolderSending = true;
  });
};

const droppedHistory: Disturbance = cluster => {
  if (cluster.deaf.until === undefined) cluster.dropHistoryAfter(1_000);
};

/** One large object behind a link of 10 Mbit/s, which carries it in 0.32 s. */
const LARGE_BEHIND_SLOW_LINK: KnowledgeClusterOptions = {
  objectBytes: 400_000,
  bytesPerMillisecond: 1_250,
};

/** Seeds in whose histories a node chose without a change for longer than allowed. */
async function lateSeeds(
  ...disturbances: readonly Disturbance[]
): Promise<string[]> {
  return lateSeedsOf({}, disturbances);
}

async function lateSeedsOf(
  options: KnowledgeClusterOptions,
  disturbances: readonly Disturbance[],
): Promise<string[]> {
  const late: string[] = [];
  for (const seed of SEEDS) {
    const longest = await playHistory(seed, disturbances, options);
    if (longest > KNOWN_WITHIN_MILLISECONDS)
      late.push(`seed ${seed}: ${longest} ms`);
  }
  return late;
}

describe('node that chooses by what the store has acknowledged', () => {
  it('knows each change in time while nothing disturbs its reads', async () => {
    expect(await lateSeeds(() => {})).toEqual([]);
  });

  it('knows each change in time when connections to the store fall silent', async () => {
    expect(await lateSeeds(silentConnection)).toEqual([]);
  });

  it('knows each change in time when single calls to the store are lost', async () => {
    expect(await lateSeeds(lostCall)).toEqual([]);
  });

  it('knows each change in time when the feed is delayed on its way', async () => {
    expect(await lateSeeds(delayedFeed)).toEqual([]);
  });

  it('knows each change in time when the holder stops sending while a call is lost', async () => {
    expect(await lateSeeds(pausedFeed, lostCall)).toEqual([]);
  });

  it('knows each change in time when watches hear nothing before the history is dropped', async () => {
    expect(await lateSeeds(droppedHistory)).toEqual([]);
  });

  it('knows each change in time when all of this comes together', async () => {
    expect(
      await lateSeeds(
        silentConnection,
        lostCall,
        heldResponses,
        delayedFeed,
        pausedFeed,
      ),
    ).toEqual([]);
  });

  it('reads again at once after a gap in the feed, though its own watch is open', async () => {
    const cluster = new KnowledgeCluster(1);
    const [follower] = cluster.followers;
    cluster.isHolderSending = false;
    await cluster.clock.advance(2_000);
    follower!.store.silenceOpenConnections();
    cluster.acknowledge('leaves');
    const to = cluster.shared.revision as ObjectVersion;
    const gap = {kind: KIND, from: to, to, changes: [], age: 0, returnLeft: 0};
    follower!.watcher.applyFeed(gap, cluster.clock.now());
    await cluster.clock.advance(40);
    expect(follower!.known.has('leaves')).toEqual(true);
    cluster.stop();
  });

  it('waits for a read instead of choosing while a change may be unknown, but not while the store is away', async () => {
    const cluster = new KnowledgeCluster(1);
    const [follower] = cluster.followers;
    await cluster.clock.advance(2_000);
    cluster.isHolderSending = false;
    follower!.store.silenceOpenConnections();
    follower!.store.callsToLose = 100;
    let heldFor = 0;
    for (let elapsed = 0; elapsed < 3_000; elapsed += 10) {
      await cluster.clock.advance(10);
      if (!follower!.isChoosing) heldFor += 10;
    }
    expect(heldFor).toBeGreaterThan(0);
    expect(heldFor).toBeLessThanOrEqual(500);
    expect(follower!.isChoosing).toEqual(true);
    cluster.stop();
  });

  it('reads for itself when the feed tells of changes that its own open watch has not', async () => {
    const cluster = new KnowledgeCluster(1);
    const [follower] = cluster.followers;
    cluster.isHolderSending = false;
    await cluster.clock.advance(2_000);
    follower!.store.silenceOpenConnections();
    cluster.holder.feed.takeUpdates();
    cluster.acknowledge('leaves');
    await cluster.clock.advance(350);
    cluster.holder.feed.takeUpdates();
    cluster.acknowledge('another');
    await cluster.clock.advance(350);
    cluster.isHolderSending = true;
    await cluster.clock.advance(400);
    expect(follower!.known.has('leaves')).toEqual(true);
    cluster.stop();
  });
});

describe('node behind a slow link whose kind has a large object', () => {
  it('knows each version in time', async () => {
    expect(await lateSeedsOf(LARGE_BEHIND_SLOW_LINK, [() => {}])).toEqual([]);
  });

  it('knows each version in time when single calls to the store are lost', async () => {
    expect(await lateSeedsOf(LARGE_BEHIND_SLOW_LINK, [lostCall])).toEqual([]);
  });

  it('catches up after the store has refused it while ten versions came', async () => {
    const cluster = new KnowledgeCluster(1, LARGE_BEHIND_SLOW_LINK);
    const {clock} = cluster;
    await clock.advance(2_000);
    const [follower] = cluster.followers;
    follower!.store.refusedUntil = (clock.now() + 4_000) as ReturnType<
      typeof clock.now
    >;
    for (let version = 1; version <= 10; version += 1) {
      cluster.acknowledge(`version-${version}`);
      await clock.advance(400);
    }
    await clock.advance(KNOWN_WITHIN_MILLISECONDS);
    expect(follower!.known.has('version-10')).toEqual(true);
    cluster.stop();
  });

  it('catches up though the feed tells of more before the store, which is slow, begins to respond', async () => {
    const cluster = new KnowledgeCluster(1, LARGE_BEHIND_SLOW_LINK);
    const {clock} = cluster;
    await clock.advance(2_000);
    for (const {store} of cluster.nodes) store.headMilliseconds = 220;
    const [follower] = cluster.followers;
    follower!.store.refusedUntil = (clock.now() + 2_000) as ReturnType<
      typeof clock.now
    >;
    for (let version = 1; version <= 8; version += 1) {
      cluster.acknowledge(`version-${version}`);
      await clock.advance(800);
    }
    expect(follower!.known.has('version-7')).toEqual(true);
    cluster.stop();
  });

  it('keeps up with versions that come faster than the link carries each of them', async () => {
    const cluster = new KnowledgeCluster(1, LARGE_BEHIND_SLOW_LINK);
    const {clock} = cluster;
    await clock.advance(2_000);
    for (let version = 1; version <= 30; version += 1) {
      cluster.acknowledge(`version-${version}`);
      await clock.advance(200);
    }
    expect(cluster.longestIgnorance).toBeLessThanOrEqual(
      KNOWN_WITHIN_MILLISECONDS,
    );
    cluster.stop();
  });

  it('reads no second copy beside one that arrives', async () => {
    const cluster = new KnowledgeCluster(1, LARGE_BEHIND_SLOW_LINK);
    await cluster.clock.advance(2_000);
    for (let version = 1; version <= 5; version += 1) {
      cluster.acknowledge(`version-${version}`);
      await cluster.clock.advance(2_000);
    }
    const most = cluster.nodes.map(({link}) => link.mostTransfers);
    expect(most).toEqual(cluster.nodes.map(() => 1));
    cluster.stop();
  });
});
