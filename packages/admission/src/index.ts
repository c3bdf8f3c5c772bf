/** Admission: what is worth waiting for, who goes first, and how much runs at once. */

export type {AdmissionDecision, AdmissionFacts} from './admit.js';
export {admit} from './admit.js';
export type {ConcurrencyBounds} from './concurrency_limit.js';
export {ConcurrencyLimit} from './concurrency_limit.js';
export type {QueuedRequest} from './request_queue.js';
export {
  PRIORITY_CLASSES,
  QueueFullError,
  RequestQueue,
  STARVATION_LIMIT_MILLISECONDS,
} from './request_queue.js';
export {DrainEstimate, ServiceTimeEstimate} from './service_time.js';
