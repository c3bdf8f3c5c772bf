/** `npm run bench:claims`: what claims cost the platform, and how long they take. */

import type {BoundedFigure} from './bound.js';
import {judgeFigures, percentile} from './bound.js';
import type {ClaimFigures, ClaimLoad} from './claim_fleet.js';
import {ClaimFleet} from './claim_fleet.js';

const NODES = 7;
const SECONDS = 20;
const ROUND_TRIP_MILLISECONDS = 5;
const SEED = 1;
const RATES = [10, 100, 1_000];

/** A coupon's and a siren's deadline. */
const SHORT_TIMEOUT_MILLISECONDS = 4_000;
const LONG_TIMEOUT_MILLISECONDS = 120_000;

const SHARD_COUNTS = [1, 2, 4, 8];

/** Bounds that the target sets. */
const MOST_WRITES_PER_CLAIM = 1;
const MOST_WRITES_PER_SECOND = 150;
const MOST_MEDIAN_ROUND_TRIPS = 2;
const MOST_TAIL_ROUND_TRIPS = 5;

const print = (line: string): void => console.log(line);

const base: ClaimLoad = {
  nodes: NODES,
  shards: 1,
  perSecond: 10,
  seconds: SECONDS,
  roundTripMilliseconds: ROUND_TRIP_MILLISECONDS,
  seed: SEED,
  timeoutMilliseconds: SHORT_TIMEOUT_MILLISECONDS,
};

print(
  `${NODES} nodes, ${SECONDS} s of virtual time, platform round trip ${ROUND_TRIP_MILLISECONDS} ms, seed ${SEED}`,
);
print(
  'shards  claims/s  writes/s  KB/s written  p50  p99  (platform round trips)',
);
const figures: BoundedFigure[] = [];
for (const shards of SHARD_COUNTS) {
  for (const perSecond of RATES) {
    const result = await ClaimFleet.create({...base, shards, perSecond}).run();
    printRow(shards, perSecond, result);
    if (shards === 1) figures.push(...boundsOf(perSecond, result));
  }
}
print('');
print(
  'Compared: an object for each key costs two writes a claim (claim and end).',
);
for (const perSecond of RATES) {
  print(`  ${perSecond} claims/s: ${2 * perSecond} writes/s, 1 round trip`);
}
print('');
await printFaults();
print('');
process.exit(judgeFigures(figures, print) ? 0 : 1);

function printRow(
  shards: number,
  perSecond: number,
  result: ClaimFigures,
): void {
  const writes = result.writes / SECONDS;
  const kilobytes = result.bytesWritten / SECONDS / 1_000;
  print(
    [
      String(shards).padStart(6),
      String(perSecond).padStart(9),
      writes.toFixed(1).padStart(9),
      kilobytes.toFixed(0).padStart(13),
      percentile(result.roundTrips, 0.5).toFixed(2).padStart(5),
      percentile(result.roundTrips, 0.99).toFixed(2).padStart(5),
    ].join(' '),
  );
}

function boundsOf(perSecond: number, result: ClaimFigures): BoundedFigure[] {
  const writes = result.writes / SECONDS;
  const figuresOfRate: BoundedFigure[] = [
    {
      name: `p50 of a claim at ${perSecond}/s`,
      value: percentile(result.roundTrips, 0.5),
      unit: 'round trips',
      atMost: MOST_MEDIAN_ROUND_TRIPS,
    },
    {
      name: `p99 of a claim at ${perSecond}/s`,
      value: percentile(result.roundTrips, 0.99),
      unit: 'round trips',
      atMost: MOST_TAIL_ROUND_TRIPS,
    },
    {
      name: `writes for all claims at ${perSecond}/s`,
      value: writes,
      unit: 'writes/s',
      atMost: MOST_WRITES_PER_SECOND,
    },
  ];
  if (perSecond === 10) {
    figuresOfRate.push({
      name: 'writes for each claim at 10/s',
      value: result.writes / result.claims,
      unit: 'writes',
      atMost: MOST_WRITES_PER_CLAIM,
    });
  }
  return figuresOfRate;
}

async function printFaults(): Promise<void> {
  await printOutage(SHORT_TIMEOUT_MILLISECONDS);
  await printOutage(LONG_TIMEOUT_MILLISECONDS);
  const takeover = await ClaimFleet.create({
    ...base,
    perSecond: 50,
    seconds: 30,
    fault: {
      at: 10_000,
      act: fleet => fleet.dead.add(fleet.firstOwner),
      until: 30_000,
      undo: () => {},
    },
  }).run();
  const slowest = Math.max(...takeover.roundTrips);
  print(
    `The owner dies at 50/s: ${takeover.refused} of ${takeover.claims} refused, slowest claim ${slowest.toFixed(1)} round trips`,
  );
}

async function printOutage(timeoutMilliseconds: number): Promise<void> {
  const outage = await ClaimFleet.create({
    ...base,
    perSecond: 50,
    seconds: 90,
    timeoutMilliseconds,
    fault: {
      at: 10_000,
      act: fleet => {
        fleet.objectService.faults.isDown = true;
      },
      until: 70_000,
      undo: fleet => {
        fleet.objectService.faults.isDown = false;
      },
    },
  }).run();
  const share = (100 * outage.refused) / outage.claims;
  print(
    `60 s outage in 90 s at 50/s, deadlines of ${timeoutMilliseconds / 1_000} s: ${outage.refused} of ${outage.claims} refused as not run (${share.toFixed(1)} %)`,
  );
}
