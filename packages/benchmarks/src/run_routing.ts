/** `npm run bench:routing`: the choice of an engine beside its baselines. */

import {checkBounds, percentile} from './bounds.js';
import type {RoutingResult, RoutingPolicy} from './routing_simulation.js';
import {RoutingSimulation} from './routing_simulation.js';

const SEED = 1;
const SECONDS = 60;
const LOADS = [0.5, 0.8];
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

/** The tail may cost this much of the best baseline's, which knows nothing of prefixes. */
const MOST_TAIL_RATIO = 1;

const print = (line: string): void => console.log(line);
const results = new Map<string, RoutingResult>();

for (const {name, engines} of DEPLOYMENTS) {
  for (const load of LOADS) {
    print(`${name}: 7 nodes, ${engines} engines, load ${load}, seed ${SEED}`);
    print('policy                    prefix hits  p50 ms  p99 ms  imbalance');
    for (const policy of POLICIES) {
      const figures = await RoutingSimulation.create(
        {engines, load, seconds: SECONDS, seed: SEED},
        policy,
      ).run();
      results.set(`${name} ${load} ${policy}`, figures);
      print(
        [
          policy.padEnd(25),
          `${(100 * figures.prefixHitRatio).toFixed(1)} %`.padStart(11),
          percentile(figures.latencies, 0.5).toFixed(0).padStart(7),
          percentile(figures.latencies, 0.99).toFixed(0).padStart(7),
          figures.imbalance.toFixed(2).padStart(10),
        ].join(' '),
      );
    }
  }
}
const areKept = checkBounds(
  DEPLOYMENTS.flatMap(({name}) =>
    LOADS.map(load => {
      const tailOf = (policy: RoutingPolicy): number =>
        percentile(
          results.get(`${name} ${load} ${policy}`)?.latencies ?? [],
          0.99,
        );
      const others = POLICIES.filter(policy => policy !== 'chosen');
      return {
        name: `${name} at ${load}: p99 over that of the best baseline`,
        value: tailOf('chosen') / Math.min(...others.map(tailOf)),
        unit: 'times',
        atMost: MOST_TAIL_RATIO,
      };
    }),
  ),
  print,
);
process.exit(areKept ? 0 : 1);
