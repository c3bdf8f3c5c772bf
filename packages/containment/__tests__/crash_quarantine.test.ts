import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant, RefusalError, RequestId} from '@siskinmux/kernel';
import {Outcome, after, as, randomBelow, until} from '@siskinmux/kernel';
import {createSeededRandom} from '@siskinmux/testkit';
import {CrashQuarantine} from '../src/crash_quarantine.js';
import type {Trait} from '../src/index.js';
import {
  ENDPOINT,
  QuarantineCluster,
  RandomFaults,
} from './quarantine_cluster.js';

const STABLE_MILLISECONDS = 3_000;
const ALLOWED_SENDS_AFTER_THIRD_CRASH = 3;
const DAY_MILLISECONDS = 86_400_000;

const SEEDS = 200;
const RANDOM_STEPS = 400;
const STEP_MILLISECONDS = 500;
const ARRIVAL_CHANCE = 0.4;
const FAULT_CHANCE = 0.15;

const id = as<RequestId>('id');
const culprit = as<Trait>('culprit');

async function refusalOf(
  node: CrashQuarantine,
  ...traits: Trait[]
): Promise<RefusalError | undefined> {
  return (await node.check(traits, id)).refusal;
}

describe(CrashQuarantine.name, () => {
  it('lets a request that crashes its endpoints run at most three times after the third crash, over all nodes in a day', async () => {
    const cluster = new QuarantineCluster(7);
    const {clock, nodes} = cluster;
    const start = clock.now();
    let thirdCrashAt = Infinity;
    let lateSends = 0;
    for (
      let arrival = 0;
      until(start, clock.now()) < DAY_MILLISECONDS;
      arrival += 1
    ) {
      const node = nodes[arrival % nodes.length]!;
      if ((await refusalOf(node, culprit)) === undefined) {
        if (clock.now() > thirdCrashAt + STABLE_MILLISECONDS) lateSends += 1;
        cluster.crash(node, culprit);
        if (cluster.crashCount === 3) thirdCrashAt = clock.now();
      }
      await clock.advance(1_500);
    }
    expect(lateSends).toBeLessThanOrEqual(ALLOWED_SENDS_AFTER_THIRD_CRASH);
  });

  it('keeps that bound while nodes start again, are cut off and lose their lease holder', async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const lateSends = await countLateSends(seed);
      expect([seed, lateSends <= ALLOWED_SENDS_AFTER_THIRD_CRASH]).toEqual([
        seed,
        true,
      ]);
    }
  });

  it('keeps that bound when all nodes that have the record are cut off', async () => {
    expect(await countLateSends(518)).toBeLessThanOrEqual(
      ALLOWED_SENDS_AFTER_THIRD_CRASH,
    );
  });

  it('withholds the request after all nodes have been replaced by new processes', async () => {
    const cluster = new QuarantineCluster(3);
    const [node] = cluster.nodes;
    cluster.crash(node!, culprit);
    cluster.crash(node!, culprit);
    await cluster.clock.advance(1_000);
    for (const index of cluster.nodes.keys()) cluster.restart(index);
    cluster.connect(2);
    await cluster.clock.advance(1_000);
    for (const restarted of cluster.nodes) {
      const refusal = await refusalOf(restarted, culprit);
      expect(refusal?.outcome).toEqual(Outcome.NotRun);
    }
  });

  // What a return of the store had lost was written at the next crash only.
  it('withholds the request after the store has lost the record and all nodes have been replaced', async () => {
    const cluster = new QuarantineCluster(3);
    const [node] = cluster.nodes;
    cluster.crash(node!, culprit);
    cluster.crash(node!, culprit);
    await cluster.clock.advance(2_000);
    await cluster.loseStored();
    await cluster.clock.advance(2_000);
    for (const index of cluster.nodes.keys()) cluster.restart(index);
    cluster.connect(2);
    await cluster.clock.advance(1_000);
    for (const restarted of cluster.nodes) {
      const refusal = await refusalOf(restarted, culprit);
      expect(refusal?.outcome).toEqual(Outcome.NotRun);
    }
  });

  it('forgets a stored request once it has been cleared', async () => {
    const cluster = new QuarantineCluster(2);
    const [node] = cluster.nodes;
    cluster.crash(node!, culprit);
    cluster.crash(node!, culprit);
    await cluster.clock.advance(2_000);
    node!.recordServed([culprit]);
    await cluster.clock.advance(2_000);
    for (const index of cluster.nodes.keys()) cluster.restart(index);
    cluster.connect(1);
    await cluster.clock.advance(1_000);
    for (const restarted of cluster.nodes)
      expect(await refusalOf(restarted, culprit)).toEqual(undefined);
  });

  it('withholds the request at a node that connects after the crashes, and after a takeover', async () => {
    const cluster = new QuarantineCluster(3);
    const [holder, reporter] = cluster.nodes;
    cluster.crash(reporter!, culprit);
    cluster.crash(reporter!, culprit);
    cluster.addNode();
    cluster.connect(2);
    for (const node of cluster.nodes) {
      const refusal = await refusalOf(node, culprit);
      expect(refusal?.outcome).toEqual(Outcome.NotRun);
    }
    expect(holder?.records.length).toEqual(1);
  });

  it('reports crashes that were recorded without a lease holder to the next one', async () => {
    const cluster = new QuarantineCluster(3);
    const [holder, cutOff] = cluster.nodes;
    cutOff!.setExchange(undefined);
    cluster.crash(cutOff!, culprit);
    cluster.crash(cutOff!, culprit);
    expect(await refusalOf(holder!, culprit)).toEqual(undefined);
    cluster.connect(0);
    expect((await refusalOf(holder!, culprit))?.outcome).toEqual(
      Outcome.NotRun,
    );
  });

  it('allows a single run after a quarantine, although all nodes receive the request at once', async () => {
    const cluster = new QuarantineCluster(7);
    cluster.crash(cluster.nodes[1]!, culprit);
    cluster.crash(cluster.nodes[2]!, culprit);
    await cluster.clock.advance(40_000);
    const refusals = await Promise.all(
      cluster.nodes.map(node => refusalOf(node, culprit)),
    );
    expect(refusals.filter(refusal => refusal === undefined).length).toEqual(1);
  });

  it('tries the next request with a rare part as soon as the one on probation has ended without a result', async () => {
    const cluster = new QuarantineCluster(3);
    const [first, second] = cluster.nodes;
    const rare = as<Trait>('part:rare');
    for (const crash of ['e1', 'e2'])
      cluster.crash(first!, [as<Trait>(`in ${crash}`), culprit, rare], crash);
    const tried = [as<Trait>('c1'), rare];
    const {refusal, grant} = await second!.check(tried, id);
    expect(refusal).toEqual(undefined);
    expect((await second!.check(tried, id, grant)).refusal).toEqual(undefined);
    const waiting = [as<Trait>('c2'), rare] as const;
    const refused = await refusalOf(first!, ...waiting);
    expect(refused?.outcome).toEqual(Outcome.NotRun);
    expect(until(cluster.clock.now(), refused!.retryAt!)).toEqual(2_000);
    second!.returnGrant(tried, grant!);
    expect(await refusalOf(first!, ...waiting)).toEqual(undefined);
  });

  it('does not let a request use an expired permission for its run on probation', async () => {
    const cluster = new QuarantineCluster(3);
    const [first, second] = cluster.nodes;
    const rare = as<Trait>('part:rare');
    for (const crash of ['e1', 'e2'])
      cluster.crash(first!, [as<Trait>(`in ${crash}`), culprit, rare], crash);
    const {grant} = await second!.check([as<Trait>('c1'), rare], id);
    await cluster.clock.advance(5_000);
    expect(await refusalOf(first!, as<Trait>('c2'), rare)).toEqual(undefined);
    const late = await second!.check([as<Trait>('c1'), rare], id, grant);
    expect(late.refusal?.outcome).toEqual(Outcome.NotRun);
  });

  it('refuses a part that all crashes have in common after all nodes have been replaced', async () => {
    const cluster = new QuarantineCluster(3);
    const [first, second] = cluster.nodes;
    const harmful = as<Trait>('part:harmful');
    cluster.crash(first!, [as<Trait>('c1'), harmful], 'e1');
    cluster.crash(second!, [as<Trait>('c2'), harmful], 'e2');
    await cluster.clock.advance(1_000);
    for (const index of cluster.nodes.keys()) cluster.restart(index);
    cluster.connect(1);
    await cluster.clock.advance(1_000);
    for (const node of cluster.nodes) {
      const refusal = await refusalOf(node, as<Trait>('c3'), harmful);
      expect(refusal?.outcome).toEqual(Outcome.NotRun);
    }
  });

  it('serves a part that another node has served shortly before its endpoints crashed', async () => {
    const cluster = new QuarantineCluster(3);
    const [first, second, third] = cluster.nodes;
    const popular = as<Trait>('part:popular');
    second!.recordServed([as<Trait>('c0'), popular]);
    cluster.crash(first!, [as<Trait>('c1'), popular], 'e1');
    cluster.crash(first!, [as<Trait>('c2'), popular], 'e2');
    for (const node of [first!, second!, third!])
      expect(await refusalOf(node, as<Trait>('c3'), popular)).toEqual(
        undefined,
      );
  });

  it('reports each crash once on every node, and no old one to a node that has just connected', async () => {
    const cluster = new QuarantineCluster(3);
    const [first, second] = cluster.nodes;
    cluster.crash(first!, culprit, 'e1');
    cluster.crash(second!, as<Trait>('c2'), 'e1');
    cluster.crash(first!, culprit, 'e2');
    expect(cluster.reportedCrashes).toEqual([
      'e1',
      'e1',
      'e1',
      'e2',
      'e2',
      'e2',
    ]);
    await cluster.clock.advance(2_000);
    cluster.addNode();
    cluster.connect(0);
    expect(cluster.reportedCrashes.length).toEqual(6);
  });

  it('refuses a request on probation while no lease holder can be asked', async () => {
    const cluster = new QuarantineCluster(2);
    const [, node] = cluster.nodes;
    cluster.crash(node!, culprit);
    cluster.crash(node!, culprit);
    await cluster.clock.advance(40_000);
    node!.setExchange(undefined);
    expect((await refusalOf(node!, culprit))?.outcome).toEqual(Outcome.NotRun);
  });

  it('serves a harmless request again within a minute although it shared three crashed endpoints', async () => {
    const cluster = new QuarantineCluster(3);
    const [first, second] = cluster.nodes;
    const harmless = as<Trait>('harmless');
    for (const crash of ['e1', 'e2', 'e3']) {
      cluster.crash(first!, culprit, crash);
      if (crash !== 'e3') cluster.crash(second!, harmless, crash);
    }
    expect(await refusalOf(second!, harmless)).toEqual(undefined);
    cluster.crash(second!, harmless, 'e3');
    await cluster.clock.advance(60_000);
    cluster.crash(first!, culprit, 'e4');
    expect(await refusalOf(second!, harmless)).toEqual(undefined);
  });

  it('keeps serving a popular request although several endpoints that ran copies of it crashed at once', async () => {
    const cluster = new QuarantineCluster(3);
    const popular = as<Trait>('popular');
    for (const node of cluster.nodes) node.recordServed([popular]);
    await cluster.clock.advance(10_000);
    for (const node of cluster.nodes) cluster.crash(node, popular);
    for (const node of cluster.nodes)
      expect(await refusalOf(node, popular)).toEqual(undefined);
  });

  it('quarantines a popular request that has begun to crash endpoints within two minutes', async () => {
    const cluster = new QuarantineCluster(3);
    const {clock, nodes} = cluster;
    for (const node of nodes) node.recordServed([culprit]);
    for (let elapsed = 0; elapsed < 120_000; elapsed += 1_000) {
      const node = nodes[elapsed % nodes.length]!;
      if ((await refusalOf(node, culprit)) === undefined)
        cluster.crash(node, culprit);
      await clock.advance(1_000);
    }
    expect((await refusalOf(nodes[0]!, culprit))?.outcome).toEqual(
      Outcome.NotRun,
    );
  });

  it('is cleared on all nodes once an endpoint has completed the request', async () => {
    const cluster = new QuarantineCluster(3);
    const [first, second, third] = cluster.nodes;
    cluster.crash(first!, culprit);
    cluster.crash(second!, culprit);
    third!.recordServed([culprit]);
    for (const node of cluster.nodes)
      expect(await refusalOf(node, culprit)).toEqual(undefined);
  });

  it('avoids endpoints on which another suspect of this node runs', () => {
    const cluster = new QuarantineCluster(1);
    const [node] = cluster.nodes;
    const other = as<Trait>('other');
    cluster.crash(node!, culprit, 'e1');
    cluster.crash(node!, other, 'e1');
    const end = node!.trackRun([culprit], ENDPOINT.id);
    expect([...node!.endpointsToAvoid([other])]).toEqual([ENDPOINT.id]);
    expect([...node!.endpointsToAvoid([culprit])]).toEqual([]);
    end();
    expect([...node!.endpointsToAvoid([other])]).toEqual([]);
  });
});

/**
 * Runs a random history of arrivals, restarts, cuts and lost leases. Counts the sends that
 * nodes in touch with the others made after the third crash.
 */
async function countLateSends(seed: number): Promise<number> {
  const random = createSeededRandom(seed);
  const cluster = new QuarantineCluster(5);
  const {clock, nodes} = cluster;
  const pick = (): number => randomBelow(random, nodes.length);
  const faults = new RandomFaults(cluster, random, STABLE_MILLISECONDS);
  let thirdCrashAt: Instant | undefined;
  let lateSends = 0;
  for (let step = 0; step < RANDOM_STEPS; step += 1) {
    if (random() < FAULT_CHANCE) faults.cause(pick());
    faults.restoreHolder();
    if (random() < ARRIVAL_CHANCE) {
      const index = pick();
      const node = nodes[index]!;
      if ((await refusalOf(node, culprit)) === undefined) {
        const isLate =
          thirdCrashAt !== undefined &&
          clock.now() > after(thirdCrashAt, STABLE_MILLISECONDS);
        if (faults.isInTouch(index) && isLate) lateSends += 1;
        cluster.crash(node, culprit);
        if (cluster.crashCount === 3) thirdCrashAt = clock.now();
      }
    }
    await clock.advance(STEP_MILLISECONDS);
  }
  return lateSends;
}
