/** Leases: who may give orders, and until when. */

export type {ClockReading} from './holding.js';
export {Holding, TICK_MILLISECONDS} from './holding.js';
export type {NodeCapacity} from './hesitation.js';
export {hesitation} from './hesitation.js';
export type {
  HolderSign,
  LeaseRecord,
  LeaseRules,
  LeaseSighting,
} from './lease.js';
export {
  RENEWAL_MILLISECONDS,
  mayOrderFrom,
  resignedRecord,
  takeoverAt,
  takeoverRecord,
} from './lease.js';
