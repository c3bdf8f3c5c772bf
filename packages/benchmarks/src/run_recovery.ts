/**
 * `npm run bench:recovery`: measures how a node takes over a shard with many live keys, and
 * how the fleet recovers from an outage of the object service.
 */

import type {
  Fingerprint,
  Instant,
  Milliseconds,
  NodeId,
} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {AttemptId, ClaimRecord} from '@siskinmux/ledger';
import {ShardOwner, claimKeyOf, encodeRecord} from '@siskinmux/ledger';
import {ObjectServiceStandIn} from '@siskinmux/standins';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import {ClaimFleet} from './claim_fleet.js';

const KEY_COUNTS = [1, 10_000, 1_000_000];
const SEGMENT_CHARACTERS = 48_000;
const ROUND_TRIP_MILLISECONDS = 5;
const RETENTION_MILLISECONDS: Milliseconds = 3_600_000;
const OPEN_LIMIT_MILLISECONDS: Milliseconds = 3_600_000;
const SEED = 1;
const MEGABYTE = 1_000_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

const NODE_COUNT = 7;
const CLAIMS_PER_SECOND = 50;
const OUTAGE_START_MILLISECONDS: Milliseconds = 10_000;
const OUTAGE_MILLISECONDS: Milliseconds = 600_000;
const SECONDS = 640;
const SHORT_TIMEOUT_MILLISECONDS: Milliseconds = 4_000;
const LONG_TIMEOUT_MILLISECONDS: Milliseconds = 900_000;

const print = (line: string): void => console.log(line);

print(
  `Takeover of a shard, platform round trip ${ROUND_TRIP_MILLISECONDS} ms, outcome of each claim stored`,
);
print(
  'live keys  segments  stored MB  calls  virtual s  processor ms  memory MB',
);
for (const keys of KEY_COUNTS) await measureTakeover(keys);
print('');
print(
  `Outage of the object service of ${OUTAGE_MILLISECONDS / 1_000} s, ${NODE_COUNT} nodes, ${CLAIMS_PER_SECOND} claims/s, seed ${SEED}`,
);
for (const timeout of [SHORT_TIMEOUT_MILLISECONDS, LONG_TIMEOUT_MILLISECONDS])
  await measureOutage(timeout);
process.exit(0);

async function measureTakeover(keys: number): Promise<void> {
  const clock = VirtualClock.create();
  const objects = ObjectServiceStandIn.create({
    clock,
    random: createSeededRandom(SEED),
  });
  const segments = await writeLog(objects, clock.now(), keys);
  const storedBytes = objects.bytesWritten;
  objects.faults.delayMilliseconds = ROUND_TRIP_MILLISECONDS;
  const callsBefore = countCalls(objects);
  const heapBefore = usedHeapBytes();
  const cpuBefore = process.cpuUsage();
  const startedAt = clock.now();
  const owner = await clock.runUntilSettled(
    ShardOwner.open({
      objects,
      clock,
      node: as<NodeId>('successor'),
      shard: 0,
      writeIntervalMilliseconds: 0,
      isNodeTerminated: () => false,
      onLost: () => {},
      onRestored: () => {},
    }),
    OPEN_LIMIT_MILLISECONDS,
  );
  const {user, system} = process.cpuUsage(cpuBefore);
  const calls = countCalls(objects) - callsBefore;
  const openedAt = clock.now();
  const heapBytes = usedHeapBytes() - heapBefore;
  if (owner.claimCount !== keys)
    throw new RangeError(`${owner.claimCount} of ${keys} keys were read`);
  print(
    [
      String(keys).padStart(9),
      String(segments).padStart(9),
      (storedBytes / MEGABYTE).toFixed(2).padStart(10),
      String(calls).padStart(6),
      ((openedAt - startedAt) / 1_000).toFixed(3).padStart(10),
      ((user + system) / MICROSECONDS_PER_MILLISECOND).toFixed(0).padStart(13),
      (heapBytes / MEGABYTE).toFixed(2).padStart(10),
    ].join(' '),
  );
}

/** Writes a log as an owner leaves it, and returns the number of its segments. */
async function writeLog(
  objects: ObjectServiceStandIn,
  now: Instant,
  keys: number,
): Promise<number> {
  let segments = 0;
  let text = encodeRecord({kind: 'takeover', node: as<NodeId>('first')});
  const write = async (): Promise<void> => {
    const key = `claims/0/${String(segments).padStart(10, '0')}`;
    await objects.write(key, text, 'absent');
    segments += 1;
    text = '';
  };
  for (let index = 0; index < keys; index += 1) {
    text += recordsOf(index, now).map(encodeRecord).join('');
    if (text.length < SEGMENT_CHARACTERS) continue;
    text += encodeRecord({kind: 'seal'});
    await write();
  }
  if (text !== '') await write();
  return segments;
}

function recordsOf(index: number, now: Instant): ClaimRecord[] {
  const key = claimKeyOf('coupons/issue', `key-${index}`);
  const attempt = as<AttemptId>(`attempt-${index}`);
  const body = JSON.stringify({coupon: 'c'.repeat(36), value: 150});
  return [
    {
      kind: 'claim',
      key,
      fingerprint: claimKeyOf('body', String(index)) as string as Fingerprint,
      attempt,
      node: as<NodeId>('node-1'),
      deadline: after(now, SHORT_TIMEOUT_MILLISECONDS),
      expiresAt: after(now, RETENTION_MILLISECONDS),
    },
    {
      kind: 'end',
      key,
      attempt,
      end: {
        kind: 'answered',
        answer: {status: 200, contentType: 'application/json', body},
      },
    },
  ];
}

function countCalls(objects: ObjectServiceStandIn): number {
  const {reads, writes, lists} = objects.counts;
  return reads + writes + lists;
}

function usedHeapBytes(): number {
  if (globalThis.gc === undefined)
    throw new RangeError('Needs node --expose-gc.');
  globalThis.gc();
  return process.memoryUsage().heapUsed;
}

async function measureOutage(timeoutMilliseconds: Milliseconds): Promise<void> {
  const heapBefore = usedHeapBytes();
  let recoveredAt = as<Instant>(0);
  let callsDuring = 0;
  let callsBefore = 0;
  let bytesBefore = 0;
  const fleet = ClaimFleet.create({
    nodes: NODE_COUNT,
    shards: 1,
    claimsPerSecond: CLAIMS_PER_SECOND,
    seconds: SECONDS,
    roundTripMilliseconds: ROUND_TRIP_MILLISECONDS,
    seed: SEED,
    timeoutMilliseconds,
    fault: {
      at: OUTAGE_START_MILLISECONDS,
      inject: ({objectService}) => {
        callsBefore = countCalls(objectService);
        objectService.faults.isDown = true;
      },
      until: OUTAGE_START_MILLISECONDS + OUTAGE_MILLISECONDS,
      recover: ({objectService, clock}) => {
        objectService.faults.isDown = false;
        callsDuring = countCalls(objectService) - callsBefore;
        callsBefore = countCalls(objectService);
        bytesBefore = objectService.bytesWritten;
        recoveredAt = clock.now();
      },
    },
  });
  const result = await fleet.run();
  const {objectService} = fleet;
  const granted = result.grantedAt.filter(at => at >= recoveredAt);
  const firstAt = Math.min(...granted) - recoveredAt;
  const share = (100 * result.refused) / result.claims;
  print(
    `timeout ${timeoutMilliseconds / 1_000} s: ${result.refused} of ${result.claims} refused (${share.toFixed(1)} %), first grant ${(firstAt / 1_000).toFixed(2)} s after the outage, ${granted.length} granted from then on`,
  );
  print(
    `  ${callsDuring} calls during the outage, ${countCalls(objectService) - callsBefore} calls and ${((objectService.bytesWritten - bytesBefore) / MEGABYTE).toFixed(1)} MB written after it, ${((usedHeapBytes() - heapBefore) / MEGABYTE).toFixed(1)} MB of memory for all nodes and the stand-in at the end`,
  );
}
