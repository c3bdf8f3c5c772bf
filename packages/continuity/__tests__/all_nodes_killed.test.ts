import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {SoftwareVersion} from '@siskinmux/endpoints';
import type {RequestId} from '@siskinmux/kernel';
import {createSeededRandom} from '@siskinmux/testkit';
import {ContinuityCluster} from './continuity_cluster.js';

const SEEDS = 20;
const NODES = 5;
const STREAM_INTERVAL_MILLISECONDS = 100;
const STREAMS_BEFORE_KILL = 40;

/** Streams that began this long before the kill have to be known afterwards. */
const STORED_MILLISECONDS = 600;
const MINIMUM_CONTINUED_SHARE = 0.9;

interface BegunStream {
  readonly stream: RequestId;
  readonly version: SoftwareVersion;
  readonly begunAt: number;
}

/** What happens to the earlier version before the nodes are killed. */
const departures: Record<string, (cluster: ContinuityCluster) => void> = {
  'both versions serve': () => {},
  'the earlier version has just left': cluster => {
    cluster.removeEngine('v1');
    cluster.removeEngine('v1');
  },
};

/** What happens to the writes of the lease holder before the kill. */
const storeFaults: Record<string, (cluster: ContinuityCluster) => void> = {
  'are stored': () => {},
  'are stored, some without an answer': cluster =>
    cluster.loseWriteResponses(0.3),
  'are not stored any more': cluster => cluster.setReachable(false),
};

/** Begins streams at two versions, kills all nodes, and resumes each stream at a random node. */
async function play(
  seed: number,
  depart: (cluster: ContinuityCluster) => void,
  breakStore: (cluster: ContinuityCluster) => void,
): Promise<{crossed: number; known: number; continued: number}> {
  const cluster = new ContinuityCluster(seed, NODES);
  const draw = createSeededRandom(seed + 2_000);
  await cluster.clock.advance(1_000);
  cluster.addEngine('v2');
  cluster.addEngine('v2');
  await cluster.clock.advance(2_000);
  const begun: BegunStream[] = [];
  for (let index = 0; index < STREAMS_BEFORE_KILL; index += 1) {
    if (index === STREAMS_BEFORE_KILL - 10) {
      breakStore(cluster);
      depart(cluster);
    }
    const stream = cluster.begin(index % NODES);
    if (stream !== undefined)
      begun.push({...stream, begunAt: cluster.clock.now()});
    await cluster.clock.advance(STREAM_INTERVAL_MILLISECONDS);
  }
  const killedAt = cluster.clock.now();
  for (let host = 0; host < NODES; host += 1) cluster.kill(host);
  await cluster.clock.advance(200);
  cluster.setReachable(true);
  await cluster.clock.advance(300 + draw() * 1_500);
  const listed = new Set(
    cluster.descriptions.map(({softwareVersion}) => softwareVersion),
  );
  const outcome = {crossed: 0, known: 0, continued: 0};
  const resumptions = begun.map(async ({stream, version, begunAt}) => {
    const host = Math.floor(draw() * NODES);
    const continuedAt = await cluster.resume(host, stream);
    if (continuedAt !== undefined && continuedAt !== version)
      outcome.crossed += 1;
    const isKnown =
      listed.has(version) && killedAt - begunAt >= STORED_MILLISECONDS;
    if (!isKnown) return;
    outcome.known += 1;
    if (continuedAt === version) outcome.continued += 1;
  });
  await cluster.clock.runUntilSettled(Promise.all(resumptions));
  return outcome;
}

describe('streams that are resumed after all nodes were killed at once', () => {
  for (const [departure, depart] of Object.entries(departures)) {
    for (const [fault, breakStore] of Object.entries(storeFaults)) {
      it(`never hold text of two versions (${departure}; origins ${fault})`, async () => {
        let known = 0;
        let continued = 0;
        for (let seed = 1; seed <= SEEDS; seed += 1) {
          const outcome = await play(seed, depart, breakStore);
          expect([seed, outcome.crossed]).toEqual([seed, 0]);
          known += outcome.known;
          continued += outcome.continued;
        }
        expect(known).toBeGreaterThan(0);
        if (fault !== 'are stored') return;
        expect(continued).toBeGreaterThanOrEqual(
          known * MINIMUM_CONTINUED_SHARE,
        );
      });
    }
  }
});
