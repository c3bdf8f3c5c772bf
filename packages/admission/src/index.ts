/** Admission: what is worth waiting for, who goes first, and how much runs at once. */

export type {AdmissionDecision, AdmissionInput} from './decide_admission.js';
export {decideAdmission} from './decide_admission.js';
export type {ConcurrencyBounds} from './concurrency_limit.js';
export {ConcurrencyLimit} from './concurrency_limit.js';
export type {QueuedRequest} from './request_queue.js';
export {
  PRIORITY_CLASSES,
  QueueFullError,
  RequestQueue,
  STARVATION_LIMIT_MILLISECONDS,
} from './request_queue.js';
export {DrainIntervalEstimate, ServiceTimeEstimate} from './service_time.js';
