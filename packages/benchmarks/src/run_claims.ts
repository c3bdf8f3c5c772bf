/** `npm run bench:claims`: measures the platform writes and the latency of claims. */

import type {BoundedMetric} from './bounds.js';
import {checkBounds, percentile} from './bounds.js';
import type {ClaimResult, ClaimWorkload} from './claim_fleet.js';
import {ClaimFleet} from './claim_fleet.js';

const NODE_COUNT = 7;
const SECONDS = 20;
const ROUND_TRIP_MILLISECONDS = 5;
const SEED = 1;
const CLAIMS_PER_SECOND = [10, 100, 1_000];

/** Timeouts of a coupon call and of a siren call in the examples. */
const SHORT_TIMEOUT_MILLISECONDS = 4_000;
const LONG_TIMEOUT_MILLISECONDS = 120_000;

const SHARD_COUNTS = [1, 2, 4, 8];

/** Bounds from the performance targets. */
const MAXIMUM_WRITES_PER_CLAIM = 1;
const MAXIMUM_WRITES_PER_SECOND = 150;
const MAXIMUM_P50_ROUND_TRIPS = 2;
const MAXIMUM_P99_ROUND_TRIPS = 5;

const print = (line: string): void => console.log(line);

const baseWorkload: ClaimWorkload = {
  nodes: NODE_COUNT,
  shards: 1,
  claimsPerSecond: 10,
  seconds: SECONDS,
  roundTripMilliseconds: ROUND_TRIP_MILLISECONDS,
  seed: SEED,
  timeoutMilliseconds: SHORT_TIMEOUT_MILLISECONDS,
};

print(
  `${NODE_COUNT} nodes, ${SECONDS} s of virtual time, platform round trip ${ROUND_TRIP_MILLISECONDS} ms, seed ${SEED}`,
);
print(
  'shards  claims/s  writes/s  KB/s written  p50  p99  (platform round trips)',
);
const metrics: BoundedMetric[] = [];
for (const shards of SHARD_COUNTS) {
  for (const perSecond of CLAIMS_PER_SECOND) {
    const result = await ClaimFleet.create({
      ...baseWorkload,
      shards,
      claimsPerSecond: perSecond,
    }).run();
    printRow(shards, perSecond, result);
    if (shards === 1) metrics.push(...createMetrics(perSecond, result));
  }
}
print('');
print(
  'For comparison: one object per key costs two writes per claim (claim and outcome).',
);
for (const perSecond of CLAIMS_PER_SECOND) {
  print(`  ${perSecond} claims/s: ${2 * perSecond} writes/s, 1 round trip`);
}
print('');
await printFaults();
print('');
process.exit(checkBounds(metrics, print) ? 0 : 1);

function printRow(
  shards: number,
  perSecond: number,
  result: ClaimResult,
): void {
  const writes = result.writes / SECONDS;
  const kilobytes = result.bytesWritten / SECONDS / 1_000;
  print(
    [
      String(shards).padStart(6),
      String(perSecond).padStart(9),
      writes.toFixed(1).padStart(9),
      kilobytes.toFixed(0).padStart(13),
      percentile(result.latenciesInRoundTrips, 0.5).toFixed(2).padStart(5),
      percentile(result.latenciesInRoundTrips, 0.99).toFixed(2).padStart(5),
    ].join(' '),
  );
}

function createMetrics(
  perSecond: number,
  result: ClaimResult,
): BoundedMetric[] {
  const writes = result.writes / SECONDS;
  const metricsOfRate: BoundedMetric[] = [
    {
      name: `p50 of a claim at ${perSecond}/s`,
      value: percentile(result.latenciesInRoundTrips, 0.5),
      unit: 'round trips',
      maximum: MAXIMUM_P50_ROUND_TRIPS,
    },
    {
      name: `p99 of a claim at ${perSecond}/s`,
      value: percentile(result.latenciesInRoundTrips, 0.99),
      unit: 'round trips',
      maximum: MAXIMUM_P99_ROUND_TRIPS,
    },
    {
      name: `writes for all claims at ${perSecond}/s`,
      value: writes,
      unit: 'writes/s',
      maximum: MAXIMUM_WRITES_PER_SECOND,
    },
  ];
  if (perSecond === 10) {
    metricsOfRate.push({
      name: 'writes for each claim at 10/s',
      value: result.writes / result.claims,
      unit: 'writes',
      maximum: MAXIMUM_WRITES_PER_CLAIM,
    });
  }
  return metricsOfRate;
}

async function printFaults(): Promise<void> {
  await printOutage(SHORT_TIMEOUT_MILLISECONDS);
  await printOutage(LONG_TIMEOUT_MILLISECONDS);
  const takeover = await ClaimFleet.create({
    ...baseWorkload,
    claimsPerSecond: 50,
    seconds: 30,
    fault: {
      at: 10_000,
      inject: fleet => fleet.dead.add(fleet.firstOwner),
      until: 30_000,
      recover: () => {},
    },
  }).run();
  const slowest = Math.max(...takeover.latenciesInRoundTrips);
  print(
    `Crash of the owner at 50/s: ${takeover.refused} of ${takeover.claims} refused, slowest claim ${slowest.toFixed(1)} round trips`,
  );
}

async function printOutage(timeoutMilliseconds: number): Promise<void> {
  const outage = await ClaimFleet.create({
    ...baseWorkload,
    claimsPerSecond: 50,
    seconds: 90,
    timeoutMilliseconds,
    fault: {
      at: 10_000,
      inject: fleet => {
        fleet.objectService.faults.isDown = true;
      },
      until: 70_000,
      recover: fleet => {
        fleet.objectService.faults.isDown = false;
      },
    },
  }).run();
  const share = (100 * outage.refused) / outage.claims;
  print(
    `60 s outage in 90 s at 50/s, timeout of ${timeoutMilliseconds / 1_000} s: ${outage.refused} of ${outage.claims} refused as not run (${share.toFixed(1)} %)`,
  );
}
