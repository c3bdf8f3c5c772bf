import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';
import {VirtualClock} from '@siskinmux/testkit';
import type {PermitDecision} from '../src/index.js';
import {SharedRates} from '../src/index.js';

const WAIT_MILLISECONDS = 60_000;

function build(perSecond: number, share = 1) {
  const clock = VirtualClock.create();
  const start = clock.now();
  const rates = SharedRates.create<'e'>({clock, share: () => share});
  rates.setLimit('e', perSecond);
  const order: string[] = [];
  const decisions = new Map<string, PermitDecision>();
  const ask = (
    name: string,
    priority: number,
    waitMilliseconds: number | undefined = WAIT_MILLISECONDS,
  ): void => {
    const waitUntil = after(clock.now(), waitMilliseconds);
    void rates.request('e', {priority, waitUntil}).then(decision => {
      order.push(name);
      decisions.set(name, decision);
    });
  };
  const askNow = (): Promise<PermitDecision> =>
    rates.request('e', {priority: 0, waitUntil: undefined});
  const retryIn = (name: string): number => {
    const decision = decisions.get(name);
    return decision?.kind === 'refused'
      ? until(start, decision.retryAt)
      : Number.NaN;
  };
  return {clock, rates, order, decisions, ask, askNow, retryIn};
}

/** Permits that a caller gets that asks every 10 ms. */
async function countPermits(
  perSecond: number,
  share: number,
  milliseconds: number,
): Promise<{permits: number; requests: number}> {
  const {clock, askNow} = build(perSecond, share);
  const end: Instant = after(clock.now(), milliseconds);
  let permits = 0;
  let requests = 0;
  let held = 0;
  while (clock.now() < end) {
    if (held === 0) {
      requests += 1;
      const decision = await askNow();
      if (decision.kind === 'granted') held = decision.count;
    }
    permits += held;
    held = 0;
    await clock.advance(10);
  }
  return {permits, requests};
}

describe('rate limit that nodes share', () => {
  it('serves urgent requests first, and equal ones in the order of their arrival', async () => {
    const {clock, order, ask} = build(1);
    ask('report 1', 2);
    ask('urgent 1', 0);
    ask('report 2', 2);
    ask('urgent 2', 0);
    await clock.advance(5_000);
    expect(order).toEqual(['urgent 1', 'urgent 2', 'report 1', 'report 2']);
  });

  it('refuses a request at once when its turn comes too late, also if an urgent one has overtaken it', async () => {
    const {clock, order, decisions, ask} = build(1);
    ask('first', 1, 2_500);
    ask('second', 1, 2_500);
    ask('late', 1, 2_500);
    await clock.advance(0);
    expect(order).toEqual(['late']);
    ask('urgent', 0, 2_500);
    await clock.advance(0);
    expect(order).toEqual(['late', 'second']);
    await clock.advance(3_000);
    expect(order).toEqual(['late', 'second', 'urgent', 'first']);
    expect(decisions.get('second')?.kind).toEqual('refused');
  });

  it('tells refused requests to return one after the other at the rate of the limit, and starts over after 30 seconds', async () => {
    const {clock, ask, retryIn} = build(2);
    for (let index = 0; index < 100; index += 1) ask(`r${index}`, 1, 0);
    await clock.advance(0);
    expect([retryIn('r0'), retryIn('r1'), retryIn('r2')]).toEqual([
      500, 1_000, 1_500,
    ]);
    expect([retryIn('r59'), retryIn('r60'), retryIn('r99')]).toEqual([
      30_000, 500, 20_000,
    ]);
  });

  it('gives out no more than its share of the limit and a burst', async () => {
    for (const share of [1, 0.5]) {
      const {permits} = await countPermits(2.6, share, 20_000);
      expect(permits).toBeGreaterThan(20 * 2.6 * share * 0.9);
      expect(permits).toBeLessThanOrEqual(20 * 2.6 * share + 2);
    }
  });

  it('keeps permits for requests without another endpoint, and gives the others only what would be lost', async () => {
    const {clock, order, ask, askNow} = build(1);
    await clock.advance(1_500);
    expect((await askNow()).kind).toEqual('refused');
    ask('bound', 2);
    await clock.advance(0);
    expect(order).toEqual(['bound']);
    await clock.advance(1_500);
    expect((await askNow()).kind).toEqual('granted');
    ask('next', 2);
    await clock.advance(0);
    expect(order).toEqual(['bound', 'next']);
  });

  it('starts without permits, since a previous owner may have given them out', async () => {
    expect((await build(40).askNow()).kind).toEqual('refused');
  });

  it('gives out permits in batches at high rates', async () => {
    const {permits, requests} = await countPermits(1_000, 1, 5_000);
    expect(permits).toBeGreaterThan(4_000);
    expect(requests * 5).toBeLessThan(permits);
  });

  it('lets those who wait send when the limit ends, and ask the next owner when this one stops', async () => {
    for (const [end, kind] of [
      ['ends', 'granted'],
      ['stops', 'unowned'],
    ] as const) {
      const {clock, rates, decisions, ask} = build(0.1);
      ask('waiting', 0);
      await clock.advance(10);
      expect(decisions.size).toEqual(0);
      if (end === 'ends') rates.setLimit('e', undefined);
      else rates.stop();
      await clock.advance(0);
      expect(decisions.get('waiting')?.kind).toEqual(kind);
    }
  });

  it('refuses those who would now wait for too long when the limit falls', async () => {
    const {clock, rates, order, ask} = build(10);
    for (let index = 0; index < 5; index += 1) ask(`r${index}`, 0, 600);
    rates.setLimit('e', 2);
    await clock.advance(0);
    expect(order).toEqual(['r1', 'r2', 'r3', 'r4']);
    await clock.advance(600);
    expect(order).toEqual(['r1', 'r2', 'r3', 'r4', 'r0']);
  });
});
