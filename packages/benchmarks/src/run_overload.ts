/** `npm run bench:overload`: goodput when more is offered than the engines can take. */

import {readFileSync} from 'node:fs';
import {parseScenario, runScenario} from '@siskinmux/scenarios';
import {judgeFigures} from './bound.js';

/** Requests of 8 tokens that two engines with four slots answer in a second. */
const CAPACITY = 72;
const SECONDS = 12;
const FACTORS = [0.5, 1, 2, 5, 10];
const TIMEOUT_MILLISECONDS = 3_000;

/** Goodput under overload, as a share of the goodput at capacity. */
const LEAST_GOODPUT_SHARE = 0.9;

const print = (line: string): void => console.log(line);

print('offered  answered/s  refused/s  ran and failed/s');
const goodputs = new Map<number, number>();
for (const factor of FACTORS) {
  const scenario = parseScenario(textOf(CAPACITY * factor), name =>
    readFileSync(`scenarios/deployments/${name}.toml`, 'utf8'),
  );
  const {outcomeCounts: ends, failures} = await runScenario(scenario);
  for (const failure of failures) print(`  NOT MET: ${failure}`);
  goodputs.set(factor, ends.answered / SECONDS);
  print(
    [
      `x${factor}`.padStart(7),
      (ends.answered / SECONDS).toFixed(1).padStart(11),
      (ends.refused / SECONDS).toFixed(1).padStart(10),
      (ends.failed / SECONDS).toFixed(1).padStart(17),
    ].join(' '),
  );
}
const atCapacity = goodputs.get(1) ?? NaN;
const areKept = judgeFigures(
  FACTORS.filter(factor => factor > 1).map(factor => ({
    name: `goodput at ${factor} times the capacity`,
    value: (goodputs.get(factor) ?? NaN) / atCapacity,
    unit: 'of that at capacity',
    atLeast: LEAST_GOODPUT_SHARE,
  })),
  print,
);
process.exit(areKept ? 0 : 1);

/** Callers send refused requests again every 200 ms until their time is over. */
function textOf(perSecond: number): string {
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
