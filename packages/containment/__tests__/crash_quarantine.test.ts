import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Fingerprint, Instant, RequestId} from '@siskinmux/kernel';
import {Outcome, after, as, randomBelow, until} from '@siskinmux/kernel';
import {createSeededRandom} from '@siskinmux/testkit';
import {CrashQuarantine} from '../src/crash_quarantine.js';
import {ENDPOINT, QuarantineCluster} from './quarantine_cluster.js';

const STABLE_MILLISECONDS = 3_000;
const ALLOWED_SENDS_AFTER_THIRD_CRASH = 3;
const DAY_MILLISECONDS = 86_400_000;

const SEEDS = 200;
const RANDOM_STEPS = 400;
const STEP_MILLISECONDS = 500;
const ARRIVAL_CHANCE = 0.4;
const FAULT_CHANCE = 0.15;

const id = as<RequestId>('id');
const culprit = as<Fingerprint>('culprit');
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
      if ((await node.check(culprit, id)) === undefined) {
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
      const refusal = await restarted.check(culprit, id);
      expect(refusal?.outcome).toEqual(Outcome.NotRun);
    }
  });

  it('forgets a stored request once it has been cleared', async () => {
    const cluster = new QuarantineCluster(2);
    const [node] = cluster.nodes;
    cluster.crash(node!, culprit);
    cluster.crash(node!, culprit);
    await cluster.clock.advance(2_000);
    node!.recordServed(culprit);
    await cluster.clock.advance(2_000);
    for (const index of cluster.nodes.keys()) cluster.restart(index);
    cluster.connect(1);
    await cluster.clock.advance(1_000);
    for (const restarted of cluster.nodes)
      expect(await restarted.check(culprit, id)).toEqual(undefined);
  });

  it('withholds the request at a node that connects after the crashes, and after a takeover', async () => {
    const cluster = new QuarantineCluster(3);
    const [holder, reporter] = cluster.nodes;
    cluster.crash(reporter!, culprit);
    cluster.crash(reporter!, culprit);
    cluster.addNode();
    cluster.connect(2);
    for (const node of cluster.nodes) {
      const refusal = await node.check(culprit, id);
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
    expect(await holder!.check(culprit, id)).toEqual(undefined);
    cluster.connect(0);
    expect((await holder!.check(culprit, id))?.outcome).toEqual(Outcome.NotRun);
  });

  it('allows a single run after a quarantine, although all nodes receive the request at once', async () => {
    const cluster = new QuarantineCluster(7);
    cluster.crash(cluster.nodes[1]!, culprit);
    cluster.crash(cluster.nodes[2]!, culprit);
    await cluster.clock.advance(40_000);
    const refusals = await Promise.all(
      cluster.nodes.map(node => node.check(culprit, id)),
    );
    expect(refusals.filter(refusal => refusal === undefined).length).toEqual(1);
  });

  it('refuses a request on probation while no lease holder can be asked', async () => {
    const cluster = new QuarantineCluster(2);
    const [, node] = cluster.nodes;
    cluster.crash(node!, culprit);
    cluster.crash(node!, culprit);
    await cluster.clock.advance(40_000);
    node!.setExchange(undefined);
    expect((await node!.check(culprit, id))?.outcome).toEqual(Outcome.NotRun);
  });

  it('serves a harmless request again within a minute although it shared three crashed endpoints', async () => {
    const cluster = new QuarantineCluster(3);
    const [first, second] = cluster.nodes;
    const harmless = as<Fingerprint>('harmless');
    for (const crash of ['e1', 'e2', 'e3']) {
      cluster.crash(first!, culprit, crash);
      if (crash !== 'e3') cluster.crash(second!, harmless, crash);
    }
    expect(await second!.check(harmless, id)).toEqual(undefined);
    cluster.crash(second!, harmless, 'e3');
    await cluster.clock.advance(60_000);
    cluster.crash(first!, culprit, 'e4');
    expect(await second!.check(harmless, id)).toEqual(undefined);
  });

  it('keeps serving a popular request although several endpoints that ran copies of it crashed at once', async () => {
    const cluster = new QuarantineCluster(3);
    const popular = as<Fingerprint>('popular');
    for (const node of cluster.nodes) node.recordServed(popular);
    await cluster.clock.advance(10_000);
    for (const node of cluster.nodes) cluster.crash(node, popular);
    for (const node of cluster.nodes)
      expect(await node.check(popular, id)).toEqual(undefined);
  });

  it('quarantines a popular request that has begun to crash endpoints within two minutes', async () => {
    const cluster = new QuarantineCluster(3);
    const {clock, nodes} = cluster;
    for (const node of nodes) node.recordServed(culprit);
    for (let elapsed = 0; elapsed < 120_000; elapsed += 1_000) {
      const node = nodes[elapsed % nodes.length]!;
      if ((await node.check(culprit, id)) === undefined)
        cluster.crash(node, culprit);
      await clock.advance(1_000);
    }
    expect((await nodes[0]!.check(culprit, id))?.outcome).toEqual(
      Outcome.NotRun,
    );
  });

  it('is cleared on all nodes once an endpoint has completed the request', async () => {
    const cluster = new QuarantineCluster(3);
    const [first, second, third] = cluster.nodes;
    cluster.crash(first!, culprit);
    cluster.crash(second!, culprit);
    third!.recordServed(culprit);
    for (const node of cluster.nodes)
      expect(await node.check(culprit, id)).toEqual(undefined);
  });

  it('avoids endpoints on which another suspect of this node runs', () => {
    const cluster = new QuarantineCluster(1);
    const [node] = cluster.nodes;
    const other = as<Fingerprint>('other');
    cluster.crash(node!, culprit, 'e1');
    cluster.crash(node!, other, 'e1');
    const end = node!.trackRun(culprit, ENDPOINT.id);
    expect([...node!.endpointsToAvoid(other)]).toEqual([ENDPOINT.id]);
    expect([...node!.endpointsToAvoid(culprit)]).toEqual([]);
    end();
    expect([...node!.endpointsToAvoid(other)]).toEqual([]);
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
  const disturbedUntil = new Map<number, Instant>();
  const cutOff = new Set<number>();
  let holderReturnsAt: Instant | undefined;
  let thirdCrashAt: Instant | undefined;
  let lateSends = 0;
  const disturb = (index: number): void => {
    disturbedUntil.set(index, after(clock.now(), STABLE_MILLISECONDS));
  };
  const causeFault = (index: number): void => {
    disturb(index);
    if (random() < 0.5) {
      cutOff.delete(index);
      cluster.restart(index);
    } else if (cutOff.delete(index)) {
      cluster.heal(index);
    } else {
      cutOff.add(index);
      cluster.cut(index);
    }
    holderReturnsAt ??= after(clock.now(), random() * 2_000);
  };
  for (let step = 0; step < RANDOM_STEPS; step += 1) {
    if (random() < FAULT_CHANCE) causeFault(pick());
    if (holderReturnsAt !== undefined && holderReturnsAt <= clock.now()) {
      const connected = nodes.findIndex((_, index) => !cutOff.has(index));
      if (connected >= 0) cluster.connect(connected);
      holderReturnsAt = undefined;
    }
    if (random() < ARRIVAL_CHANCE) {
      const index = pick();
      const node = nodes[index]!;
      if ((await node.check(culprit, id)) === undefined) {
        const isInTouch =
          !cutOff.has(index) &&
          (disturbedUntil.get(index) ?? clock.now()) <= clock.now();
        const isLate =
          thirdCrashAt !== undefined &&
          clock.now() > after(thirdCrashAt, STABLE_MILLISECONDS);
        if (isInTouch && isLate) lateSends += 1;
        cluster.crash(node, culprit);
        if (cluster.crashCount === 3) thirdCrashAt = clock.now();
      }
    }
    await clock.advance(STEP_MILLISECONDS);
  }
  return lateSends;
}
