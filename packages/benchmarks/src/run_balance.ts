/** `npm run bench:balance`: evenness of the load on engines, before and after. */

import type {CreatePolicy} from './balance_policies.js';
import {
  createByLoad,
  createNodeShare,
  createOmniscient,
  createOwnMinimum,
  createRandom,
  createReportedMinimum,
  createTwoRandom,
} from './balance_policies.js';
import {BALANCE_SCENARIOS} from './balance_scenarios.js';
import type {BalanceResult} from './balance_simulation.js';
import {BalanceSimulation} from './balance_simulation.js';

const SEEDS = [1, 2, 3];

/** Rules that are only compared in the first scenarios with each number of nodes. */
const OTHER_RULES: readonly [name: string, create: CreatePolicy][] = [
  ['any engine', createRandom],
  ['reported minimum', createReportedMinimum],
  ['own minimum', createOwnMinimum],
  ['a fourth for each node', createNodeShare],
  ['omniscient', createOmniscient],
];
const RULES: readonly [name: string, create: CreatePolicy][] = [
  ['before: two random', createTwoRandom],
  ['after: by load', createByLoad],
];
const COMPARED = new Set(['7 nodes', '91 nodes', 'reports of 2 s']);

const print = (line: string): void => console.log(line);

function formatResult(results: readonly BalanceResult[]): string {
  const average = (valueOf: (result: BalanceResult) => number): number =>
    results.reduce((sum, result) => sum + valueOf(result), 0) / results.length;
  const sends = average(result => result.sends);
  const rejected = average(result => result.rejectedSends);
  return [
    average(result => result.imbalance)
      .toFixed(2)
      .padStart(12),
    `${((100 * rejected) / sends).toFixed(2)} %`.padStart(10),
    average(result => result.refused)
      .toFixed(0)
      .padStart(8),
    average(result => result.p99WaitMilliseconds)
      .toFixed(0)
      .padStart(12),
    average(result => result.reprocessedTokensPerRequest)
      .toFixed(0)
      .padStart(12),
    `${(100 * average(result => result.ownDomainShare)).toFixed(0)} %`.padStart(
      11,
    ),
    average(result => result.microsecondsPerChoice)
      .toFixed(0)
      .padStart(10),
  ].join(' ');
}

print(`seeds ${SEEDS.join(', ')}; 24 slots and a queue of 72 at each engine`);
for (const scenario of BALANCE_SCENARIOS) {
  const {name, nodes, engines, load} = scenario;
  print(`\n${name}: ${nodes} nodes, ${engines} engines, load ${load}`);
  print(
    `${'rule'.padEnd(24)} busiest/mean   rejected  refused  p99 wait ms  tokens/req. own domain  us/choice`,
  );
  for (const [rule, createPolicy] of COMPARED.has(name)
    ? [...RULES, ...OTHER_RULES]
    : RULES) {
    const results: BalanceResult[] = [];
    for (const seed of SEEDS)
      results.push(
        await BalanceSimulation.create({...scenario, seed}, createPolicy, () =>
          performance.now(),
        ).run(),
      );
    print(`${rule.padEnd(24)} ${formatResult(results)}`);
  }
}
