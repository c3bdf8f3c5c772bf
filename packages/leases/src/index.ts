/** Leases: which node may send orders to the engines, and until when. */

export type {ClockReading} from './held_lease.js';
export {HeldLease, PAUSE_CHECK_INTERVAL_MILLISECONDS} from './held_lease.js';
export type {NodeCapacity} from './election_delay.js';
export {electionDelayMilliseconds} from './election_delay.js';
export type {
  HolderStatus,
  LeaseObservation,
  LeaseRecord,
  LeaseRules,
} from './lease.js';
export {
  HOLDER_SILENCE_MILLISECONDS,
  RENEWAL_INTERVAL_MILLISECONDS,
  ordersAllowedAt,
  releasedRecord,
  takeoverAllowedAt,
  takeoverRecord,
} from './lease.js';
