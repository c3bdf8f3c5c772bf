/**
 * `npm run bench:store_return`: counts the calls that nodes make for their view of the
 * platform when the store returns from an older copy, in virtual time.
 */

import type {Milliseconds} from '@siskinmux/kernel';
import {
  OUTAGE_MILLISECONDS,
  PEAK_MILLISECONDS,
  RATE_MILLISECONDS,
  ReturnFleet,
} from './store_return_fleet.js';

const FLEETS = [
  {nodes: 7, endpoints: 16},
  {nodes: 91, endpoints: 90},
  {nodes: 570, endpoints: 100},
];
const SETTLE_MILLISECONDS: Milliseconds = 5_000;
const WINDOW_MILLISECONDS: Milliseconds = 10_000;

console.log(
  `the store is away for ${OUTAGE_MILLISECONDS} ms and returns; calls of all nodes in ${WINDOW_MILLISECONDS} ms`,
);
console.log(
  `nodes  endpoints  lists  watches  objects listed  lists in ${PEAK_MILLISECONDS} ms  calls in ${RATE_MILLISECONDS} ms  calm: lists  watches  calls in ${RATE_MILLISECONDS} ms`,
);
for (const {nodes, endpoints} of FLEETS) {
  const fleet = new ReturnFleet(nodes, endpoints);
  await fleet.advance(SETTLE_MILLISECONDS);
  const calm = await fleet.advance(WINDOW_MILLISECONDS);
  await fleet.comeBack();
  const use = await fleet.advance(WINDOW_MILLISECONDS);
  fleet.stop();
  console.log(
    [
      String(nodes).padStart(5),
      String(endpoints).padStart(10),
      String(use.lists).padStart(6),
      String(use.watches).padStart(8),
      String(use.listedObjects).padStart(15),
      String(use.peakLists).padStart(16),
      String(use.peakCalls).padStart(17),
      String(calm.lists).padStart(12),
      String(calm.watches).padStart(8),
      String(calm.peakCalls).padStart(17),
    ].join(' '),
  );
}
process.exit(0);
