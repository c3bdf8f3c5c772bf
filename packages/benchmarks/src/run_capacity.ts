/** `npm run capacity`: the slopes behind docs/CAPACITY.md, and what they come to at the size of the aim. */

import {parseArgs} from 'node:util';
import {readDeclarationFolder} from '../../cli/src/declaration_folder.js';
import {measureFleet} from './measure_fleet.js';
import type {FleetMeasurement} from './measure_fleet.js';
import {
  declarationsOfSize,
  measureClaim,
  measurePlan,
  measureRanking,
  measureSize,
} from './measure_state.js';

/** The size to design for. */
const AIM = {
  nodes: 570,
  engines: 8_000,
  models: 240,
  adapters: 4_600,
  domains: 6,
  changesPerSecond: 30_000 / 86_400,
  requestsPerSecond: 5_500,
  coreShare: 0.034,
  memoryBytes: 256_000_000,
  bytesPerSecond: 3_000,
  platformReadsPerSecond: 2_000,
};

const {values} = parseArgs({
  options: {fleets: {type: 'string', default: '1,7,20,50'}},
});
const fleetSizes = values.fleets.split(',').map(Number);
const PLAN_SIZES = [16, 64, 256];
const PLANS_PER_SECOND = 2;
const IN_FORCE_SECONDS = 6;

const print = (line: string): void => console.log(line);

print('State, from slopes over its size');
printConfiguration();
const claim = measureClaim();
print(
  `  a claim: ${claim.heap.toFixed(0)} B in memory, ${claim.stored.toFixed(0)} B stored, ${claim.microsecondsPerClaim.toFixed(1)} us to apply`,
);
for (const engines of PLAN_SIZES) {
  const milliseconds = measurePlan(engines);
  const share = (milliseconds * PLANS_PER_SECOND) / 1_000;
  print(
    `  a plan over ${engines} engines with ${2 * engines} models: ${milliseconds.toFixed(2)} ms, ${(100 * share).toFixed(2)} % of a core at ${PLANS_PER_SECOND} plans/s`,
  );
}
for (const members of [7, 100, AIM.nodes]) {
  print(`  ranking ${members} nodes: ${measureRanking(members).toFixed(0)} us`);
}

print('');
print('Control on real sockets, all nodes in one process, each node:');
print(
  'nodes  core %  peer B/s  platform calls/s  MB  in force p50/p99 ms  ms/change  B/change',
);
const declarations = readDeclarationFolder('examples/brindlecote');
const fleets: FleetMeasurement[] = [];
for (const nodes of fleetSizes) {
  const figures = await measureFleet(nodes, declarations);
  fleets.push(figures);
  print(rowOf(figures));
}
print('');
printExtrapolation(fleets);
process.exit(0);

function printConfiguration(): void {
  const base = {models: 1, adapters: 0, engines: 1, domains: AIM.domains};
  const whole = measureSize(() => declarationsOfSize({...AIM}));
  const none = measureSize(() => declarationsOfSize(base));
  const perModel = measureSize(() =>
    declarationsOfSize({...base, models: 1_001}),
  );
  const perAdapter = measureSize(() =>
    declarationsOfSize({...base, adapters: 1_000}),
  );
  const perEngine = measureSize(() =>
    declarationsOfSize({...base, engines: 1_001}),
  );
  const slope = (one: {json: number; heap: number}): string =>
    `${((one.json - none.json) / 1_000).toFixed(0)} B as JSON, ${((one.heap - none.heap) / 1_000).toFixed(0)} B in memory`;
  print(`  a model: ${slope(perModel)}`);
  print(`  an adapter: ${slope(perAdapter)}`);
  print(`  an engine: ${slope(perEngine)}`);
  print(
    `  the whole configuration of the aim: ${(whole.json / 1e6).toFixed(2)} MB as JSON, ${(whole.heap / 1e6).toFixed(2)} MB in memory`,
  );
}

function rowOf(figures: FleetMeasurement): string {
  return [
    String(figures.nodes).padStart(5),
    (100 * figures.coreShare).toFixed(2).padStart(7),
    figures.peerBytesPerSecond.toFixed(0).padStart(9),
    figures.platformCallsPerSecond.toFixed(2).padStart(17),
    (figures.memoryBytes / 1e6).toFixed(1).padStart(3),
    `${figures.activationMedianMilliseconds.toFixed(0)}/${figures.activationP99Milliseconds.toFixed(0)}`.padStart(
      20,
    ),
    (1_000 * figures.processorSecondsPerChange).toFixed(2).padStart(10),
    figures.peerBytesPerChange.toFixed(0).padStart(9),
  ].join(' ');
}

/** A straight line through the two largest fleets, never below the largest. */
function printExtrapolation(measured: readonly FleetMeasurement[]): void {
  const [before, last] = measured.slice(-2);
  if (before === undefined || last === undefined) return;
  const at = (key: keyof FleetMeasurement): number => {
    const rise = (last[key] - before[key]) / (last.nodes - before.nodes);
    const slope = Math.max(0, rise);
    return last[key] + slope * (AIM.nodes - last.nodes);
  };
  const changes = AIM.changesPerSecond;
  const coreShare = at('coreShare') + at('processorSecondsPerChange') * changes;
  const bytes = at('peerBytesPerSecond') + at('peerBytesPerChange') * changes;
  const calls = at('platformCallsPerSecond') * AIM.nodes;
  print(
    `At ${AIM.nodes} nodes, a straight line through the two largest fleets:`,
  );
  printVerdict('core of a node', 100 * coreShare, '%', 100 * AIM.coreShare);
  printVerdict('control bytes of a node', bytes, 'B/s', AIM.bytesPerSecond);
  printVerdict(
    'platform calls of all nodes',
    calls,
    'calls/s',
    AIM.platformReadsPerSecond,
  );
  printVerdict(
    'configuration in force, p99',
    at('activationP99Milliseconds') / 1_000,
    's',
    IN_FORCE_SECONDS,
  );
}

function printVerdict(
  name: string,
  value: number,
  unit: string,
  limit: number,
): void {
  const verdict = value <= limit ? 'fits' : 'DOES NOT FIT';
  print(
    `  ${name.padEnd(30)} ${value.toFixed(2).padStart(9)} ${unit} of ${limit.toFixed(1)}: ${verdict}`,
  );
}
