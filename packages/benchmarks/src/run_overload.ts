/** `npm run bench:overload`: measures goodput when the offered load exceeds the capacity. */

import {readFileSync} from 'node:fs';
import {parseScenario, runScenario} from '@siskinmux/scenarios';
import {checkBounds} from './bounds.js';

/** Requests per second, of 8 tokens each, that two engines with four slots each can serve. */
const CAPACITY_PER_SECOND = 72;
const SECONDS = 12;
const LOAD_FACTORS = [0.5, 1, 2, 5, 10];
const TIMEOUT_MILLISECONDS = 3_000;

/** Goodput under overload, as a share of the goodput at capacity. */
const MINIMUM_GOODPUT_SHARE = 0.9;

const print = (line: string): void => console.log(line);

print('offered  answered/s  refused/s  ran and failed/s');
const goodputByFactor = new Map<number, number>();
for (const factor of LOAD_FACTORS) {
  const scenario = parseScenario(
    createScenario(CAPACITY_PER_SECOND * factor),
    name => readFileSync(`scenarios/deployments/${name}.toml`, 'utf8'),
  );
  const {outcomeCounts, failures} = await runScenario(scenario);
  for (const failure of failures) print(`  NOT MET: ${failure}`);
  goodputByFactor.set(factor, outcomeCounts.answered / SECONDS);
  print(
    [
      `x${factor}`.padStart(7),
      (outcomeCounts.answered / SECONDS).toFixed(1).padStart(11),
      (outcomeCounts.refused / SECONDS).toFixed(1).padStart(10),
      (outcomeCounts.failed / SECONDS).toFixed(1).padStart(17),
    ].join(' '),
  );
}
const atCapacity = goodputByFactor.get(1) ?? NaN;
const areWithinBounds = checkBounds(
  LOAD_FACTORS.filter(factor => factor > 1).map(factor => ({
    name: `goodput at ${factor} times the capacity`,
    value: (goodputByFactor.get(factor) ?? NaN) / atCapacity,
    unit: 'of that at capacity',
    minimum: MINIMUM_GOODPUT_SHARE,
  })),
  print,
);
process.exit(areWithinBounds ? 0 : 1);

/**
 * Creates the scenario. Its callers retry refused requests every 200 ms until their
 * timeout.
 */
function createScenario(perSecond: number): string {
  return [
    'title = "overload"',
    'proves = ["overload"]',
    'deployment = "three_nodes"',
    `end = ${(SECONDS + 10) * 1_000}`,
    '[[steps]]',
    'at = 0',
    'do = "text"',
    'model = "offers"',
    '[[steps]]',
    'at = 2000',
    'do = "load"',
    `until = ${(SECONDS + 2) * 1_000}`,
    `per_second = ${perSecond}`,
    'model = "offers"',
    `timeout_milliseconds = ${TIMEOUT_MILLISECONDS}`,
  ].join('\n');
}
