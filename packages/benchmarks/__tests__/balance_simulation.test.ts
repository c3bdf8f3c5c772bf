import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createByLoad, createTwoRandom} from '../src/balance_policies.js';
import {BALANCE_SCENARIOS} from '../src/balance_scenarios.js';
import type {
  BalanceResult,
  BalanceScenario,
} from '../src/balance_simulation.js';
import {BalanceSimulation} from '../src/balance_simulation.js';

/** Bound on the load of the busiest engine relative to the mean, where the choice is free. */
const MAXIMUM_IMBALANCE = 1.5;

function scenarioOf(name: string): BalanceScenario {
  const scenario = BALANCE_SCENARIOS.find(each => each.name === name);
  if (scenario === undefined) throw new Error(`no scenario ${name}`);
  return scenario;
}

const runAfter = (name: string): Promise<BalanceResult> =>
  BalanceSimulation.create(scenarioOf(name), createByLoad).run();
const runBefore = (name: string): Promise<BalanceResult> =>
  BalanceSimulation.create(scenarioOf(name), createTwoRandom).run();

describe('load of engines by late reports', () => {
  for (const name of [
    '7 nodes',
    '7 nodes in one domain',
    '58 nodes',
    '91 nodes',
    '91 nodes in one domain',
    'load 0.95',
    'long requests',
    'reports of 5 ms',
    'reports of 0.1 s',
    'half of the reports lost',
    'heartbeats 0.5 s late',
    '2 engines slow down 4 times',
    'engines leave and join',
    '20 nodes cut off',
    'wrong reports',
  ])
    it(`stays within 1.5 times the mean: ${name}`, async () => {
      const {imbalance} = await runAfter(name);
      expect(imbalance <= MAXIMUM_IMBALANCE).toEqual(true);
    });

  it('halves the rejections with models on few engines', async () => {
    const name = 'more rare models, load 0.9';
    const [before, after] = [await runBefore(name), await runAfter(name)];
    expect(before.rejectedSends > 0).toEqual(true);
    expect(after.rejectedSends <= before.rejectedSends / 2).toEqual(true);
  });

  it('leads to no rejections when all nodes of one domain get no reports', async () => {
    const name = 'all nodes cut off, one domain';
    const [before, after] = [await runBefore(name), await runAfter(name)];
    expect(before.rejectedSends > 0).toEqual(true);
    expect(after.rejectedSends).toEqual(0);
  });

  for (const name of ['570 nodes', 'short requests', 'reports of 2 s'])
    it(`is more even than by two random engines: ${name}`, async () => {
      const [before, after] = [await runBefore(name), await runAfter(name)];
      expect(after.imbalance < before.imbalance).toEqual(true);
      expect(after.p99WaitMilliseconds < before.p99WaitMilliseconds).toEqual(
        true,
      );
    });
});
