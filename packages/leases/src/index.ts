/** Leases: who may give orders, and until when. */

export type {ClockReading} from './holding.js';
export {HeldLease, PAUSE_CHECK_INTERVAL_MILLISECONDS} from './holding.js';
export type {NodeCapacity} from './hesitation.js';
export {electionDelayMilliseconds} from './hesitation.js';
export type {
  HolderStatus,
  LeaseRecord,
  LeaseRules,
  LeaseObservation,
} from './lease.js';
export {
  RENEWAL_INTERVAL_MILLISECONDS,
  ordersAllowedAt,
  releasedRecord,
  takeoverAllowedAt,
  takeoverRecord,
} from './lease.js';
