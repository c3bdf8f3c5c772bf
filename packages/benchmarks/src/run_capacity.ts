/**
 * `npm run capacity`: measures the costs in docs/CAPACITY.md and extrapolates them to
 * the target size.
 */

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
  measurePermits,
  measureSuspects,
} from './measure_state.js';

/**
 * Deployment size and load that the design has to support, and its limits: for one node,
 * except `platformReadsPerSecond`, which is for all nodes together.
 */
const TARGET = {
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
const PLAN_ENGINE_COUNTS = [16, 64, 256];
const PLANS_PER_SECOND = 2;
const MAXIMUM_ACTIVATION_SECONDS = 6;

const print = (line: string): void => console.log(line);

print('Cost of state, from its growth with size');
printConfiguration();
const claim = measureClaim();
print(
  `  a claim: ${claim.heap.toFixed(0)} B in memory, ${claim.stored.toFixed(0)} B stored, ${claim.microsecondsPerClaim.toFixed(1)} us to apply`,
);
const suspect = measureSuspects();
print(
  `  a request that crashed endpoints: ${suspect.heap.toFixed(0)} B in memory, ${suspect.json.toFixed(0)} B as JSON; with a full table ${suspect.microsecondsPerCheck.toFixed(1)} us to check, ${suspect.microsecondsPerMerge.toFixed(0)} us to add; ${suspect.microsecondsPerFingerprint.toFixed(1)} us for a fingerprint`,
);
const permit = measurePermits();
print(
  `  a permit under a request limit: ${permit.microsecondsPerRefusal.toFixed(1)} us to refuse, ${permit.microsecondsPerWaiter.toFixed(1)} us to let a request wait behind 200 others`,
);
for (const engines of PLAN_ENGINE_COUNTS) {
  const milliseconds = measurePlan(engines);
  const share = (milliseconds * PLANS_PER_SECOND) / 1_000;
  print(
    `  a plan over ${engines} engines with ${2 * engines} models: ${milliseconds.toFixed(2)} ms, ${(100 * share).toFixed(2)} % of a core at ${PLANS_PER_SECOND} plans/s`,
  );
}
for (const members of [7, 100, TARGET.nodes]) {
  print(`  ranking ${members} nodes: ${measureRanking(members).toFixed(0)} us`);
}

print('');
print('Control traffic on real sockets, all nodes in one process, per node:');
print(
  'nodes  core %  peer B/s  platform calls/s  MB activated p50/p99 ms  ms/change  B/change',
);
const declarations = readDeclarationFolder('examples/brindlecote');
const fleets: FleetMeasurement[] = [];
for (const nodes of fleetSizes) {
  const measurement = await measureFleet(nodes, declarations);
  fleets.push(measurement);
  print(formatRow(measurement));
}
print('');
printExtrapolation(fleets);
process.exit(0);

function printConfiguration(): void {
  const base = {models: 1, adapters: 0, engines: 1, domains: TARGET.domains};
  const atTarget = measureSize(() => declarationsOfSize({...TARGET}));
  const minimal = measureSize(() => declarationsOfSize(base));
  const perModel = measureSize(() =>
    declarationsOfSize({...base, models: 1_001}),
  );
  const perAdapter = measureSize(() =>
    declarationsOfSize({...base, adapters: 1_000}),
  );
  const perEngine = measureSize(() =>
    declarationsOfSize({...base, engines: 1_001}),
  );
  // Each size has 1 000 entries of one kind more than the minimal configuration.
  const formatSizePerEntry = (size: {json: number; heap: number}): string =>
    `${((size.json - minimal.json) / 1_000).toFixed(0)} B as JSON, ${((size.heap - minimal.heap) / 1_000).toFixed(0)} B in memory`;
  print(`  a model: ${formatSizePerEntry(perModel)}`);
  print(`  an adapter: ${formatSizePerEntry(perAdapter)}`);
  print(`  an engine: ${formatSizePerEntry(perEngine)}`);
  print(
    `  the whole configuration at the target size: ${(atTarget.json / 1e6).toFixed(2)} MB as JSON, ${(atTarget.heap / 1e6).toFixed(2)} MB in memory`,
  );
}

function formatRow(measurement: FleetMeasurement): string {
  return [
    String(measurement.nodes).padStart(5),
    (100 * measurement.coreShare).toFixed(2).padStart(7),
    measurement.peerBytesPerSecond.toFixed(0).padStart(9),
    measurement.platformCallsPerSecond.toFixed(2).padStart(17),
    (measurement.memoryBytes / 1e6).toFixed(1).padStart(3),
    `${measurement.activationMedianMilliseconds.toFixed(0)}/${measurement.activationP99Milliseconds.toFixed(0)}`.padStart(
      20,
    ),
    (1_000 * measurement.processorSecondsPerChange).toFixed(2).padStart(10),
    measurement.peerBytesPerChange.toFixed(0).padStart(9),
  ].join(' ');
}

/** Extrapolates linearly from the two largest fleets, and never below the largest. */
function printExtrapolation(measurements: readonly FleetMeasurement[]): void {
  const [smaller, largest] = measurements.slice(-2);
  if (smaller === undefined || largest === undefined) return;
  const extrapolate = (key: keyof FleetMeasurement): number => {
    const increase =
      (largest[key] - smaller[key]) / (largest.nodes - smaller.nodes);
    const slope = Math.max(0, increase);
    return largest[key] + slope * (TARGET.nodes - largest.nodes);
  };
  const changes = TARGET.changesPerSecond;
  const coreShare =
    extrapolate('coreShare') +
    extrapolate('processorSecondsPerChange') * changes;
  const bytes =
    extrapolate('peerBytesPerSecond') +
    extrapolate('peerBytesPerChange') * changes;
  const calls = extrapolate('platformCallsPerSecond') * TARGET.nodes;
  print(
    `At ${TARGET.nodes} nodes, extrapolated linearly from the two largest fleets:`,
  );
  printComparison(
    'core of a node',
    100 * coreShare,
    '%',
    100 * TARGET.coreShare,
  );
  printComparison(
    'control bytes of a node',
    bytes,
    'B/s',
    TARGET.bytesPerSecond,
  );
  printComparison(
    'platform calls of all nodes',
    calls,
    'calls/s',
    TARGET.platformReadsPerSecond,
  );
  printComparison(
    'configuration active, p99',
    extrapolate('activationP99Milliseconds') / 1_000,
    's',
    MAXIMUM_ACTIVATION_SECONDS,
  );
}

function printComparison(
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
