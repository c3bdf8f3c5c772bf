/** `npm run bench:routing`: compares the choice of an engine with baseline policies. */

import {checkBounds, percentile} from './bounds.js';
import type {RoutingPolicy, RoutingResult} from './routing_simulation.js';
import {RoutingSimulation} from './routing_simulation.js';

const SEED = 1;
const SECONDS = 60;
const LOAD_SHARES = [0.5, 0.8];
const POLICIES: readonly RoutingPolicy[] = [
  'round robin',
  'least reported load',
  'own requests in flight',
  'chosen, no prefix',
  'chosen',
];
const DEPLOYMENTS = [
  {name: 'brindlecote', engines: 6},
  {name: 'petir_waspada', engines: 13},
];

/** Bound on the p99 latency, relative to the best baseline; baselines ignore prefixes. */
const MAXIMUM_P99_RATIO = 1;

const print = (line: string): void => console.log(line);
const results = new Map<string, RoutingResult>();

for (const {name, engines} of DEPLOYMENTS) {
  for (const load of LOAD_SHARES) {
    print(`${name}: 7 nodes, ${engines} engines, load ${load}, seed ${SEED}`);
    print('policy                    prefix hits  p50 ms  p99 ms  imbalance');
    for (const policy of POLICIES) {
      const result = await RoutingSimulation.create(
        {engines, load, seconds: SECONDS, seed: SEED},
        policy,
      ).run();
      results.set(`${name} ${load} ${policy}`, result);
      print(
        [
          policy.padEnd(25),
          `${(100 * result.prefixHitRatio).toFixed(1)} %`.padStart(11),
          percentile(result.latencies, 0.5).toFixed(0).padStart(7),
          percentile(result.latencies, 0.99).toFixed(0).padStart(7),
          result.imbalance.toFixed(2).padStart(10),
        ].join(' '),
      );
    }
  }
}
const areWithinBounds = checkBounds(
  DEPLOYMENTS.flatMap(({name}) =>
    LOAD_SHARES.map(load => {
      const p99Of = (policy: RoutingPolicy): number =>
        percentile(
          results.get(`${name} ${load} ${policy}`)?.latencies ?? [],
          0.99,
        );
      const baselines = POLICIES.filter(policy => policy !== 'chosen');
      return {
        name: `${name} at ${load}: p99 over that of the best baseline`,
        value: p99Of('chosen') / Math.min(...baselines.map(p99Of)),
        unit: 'times',
        maximum: MAXIMUM_P99_RATIO,
      };
    }),
  ),
  print,
);
process.exit(areWithinBounds ? 0 : 1);
