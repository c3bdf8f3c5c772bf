import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createSeededRandom} from '@siskinmux/testkit';
import {ContinuityCluster} from './continuity_cluster.js';

const SEEDS = Number(process.env['CONTINUITY_SEEDS'] ?? 60);
const NODES = 5;
const STEPS = 240;
const STEP_MILLISECONDS = 100;
const VERSIONS = ['v1', 'v2', 'v3'];

interface Outcome {
  crossed: number;
  resumed: number;
  wentOn: number;
}

/** Something that happens to the cluster at a step, chosen by a number below 1. */
type Disturb = (cluster: ContinuityCluster, draw: () => number) => void;

const pick = (draw: () => number, count: number): number =>
  Math.floor(draw() * count);

const release: Disturb = (cluster, draw) => {
  const version = VERSIONS[pick(draw, VERSIONS.length)] ?? 'v1';
  if (draw() < 0.5) cluster.addEngine(version);
  else cluster.removeEngine(version);
};

const killOne: Disturb = (cluster, draw) =>
  cluster.kill(pick(draw, cluster.hostCount));

const killAll: Disturb = cluster => {
  for (let host = 0; host < cluster.hostCount; host += 1) cluster.kill(host);
};

const loseStore: Disturb = (cluster, draw) => {
  const host = draw() < 0.5 ? undefined : pick(draw, cluster.hostCount);
  cluster.setReachable(false, host);
  cluster.clock.schedule(
    (cluster.clock.now() + 500 + draw() * 4_000) as never,
    () => cluster.setReachable(true, host),
  );
};

const cutNode: Disturb = (cluster, draw) => {
  const host = pick(draw, cluster.hostCount);
  cluster.setCut(host, true);
  cluster.clock.schedule(
    (cluster.clock.now() + 500 + draw() * 4_000) as never,
    () => cluster.setCut(host, false),
  );
};

/** Streams begin, break and are resumed at other nodes while the disturbances go on. */
async function play(
  seed: number,
  disturbances: readonly (readonly [Disturb, number])[],
): Promise<Outcome> {
  const cluster = new ContinuityCluster(seed, NODES);
  const draw = createSeededRandom(seed + 1_000);
  const outcome = {crossed: 0, resumed: 0, wentOn: 0};
  const pending: Promise<void>[] = [];
  for (let step = 0; step < STEPS; step += 1) {
    for (const [disturb, share] of disturbances) {
      if (draw() < share) disturb(cluster, draw);
    }
    const host = pick(draw, NODES);
    const began = cluster.begin(host);
    if (began !== undefined) {
      const breaksAt = cluster.clock.now() + 50 + draw() * 4_000;
      const next = (host + 1 + pick(draw, NODES - 1)) % NODES;
      pending.push(
        new Promise(resolve => {
          cluster.clock.schedule(breaksAt as never, () => {
            void cluster.resume(next, began.stream).then(version => {
              outcome.resumed += 1;
              if (version !== undefined) outcome.wentOn += 1;
              if (version !== undefined && version !== began.version)
                outcome.crossed += 1;
              resolve();
            });
          });
        }),
      );
    }
    await cluster.clock.advance(STEP_MILLISECONDS);
  }
  await cluster.clock.runUntilSettled(Promise.all(pending));
  return outcome;
}

describe('streams of several software versions, over random histories', () => {
  it('never continue at another version than the one that began them', async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const outcome = await play(seed, [
        [release, 0.06],
        [killOne, 0.03],
        [killAll, 0.008],
        [loseStore, 0.015],
        [cutNode, 0.02],
      ]);
      expect([seed, outcome.crossed]).toEqual([seed, 0]);
    }
  });

  it('mostly continue while versions change and single nodes end', async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const {crossed, resumed, wentOn} = await play(seed, [
        [release, 0.06],
        [killOne, 0.02],
      ]);
      expect([seed, crossed]).toEqual([seed, 0]);
      expect(wentOn).toBeGreaterThanOrEqual(resumed / 2);
    }
  });

  it('all continue while only one version serves', async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const {resumed, wentOn} = await play(seed, []);
      expect([seed, wentOn]).toEqual([seed, resumed]);
    }
  });
});
