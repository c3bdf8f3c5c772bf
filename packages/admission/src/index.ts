/** Admission: deadline-based admission, queue order, concurrency limits and shared rates. */

export type {ExpiredRequest, HoldDecision} from './capacity_queue.js';
export {CapacityQueue, MAXIMUM_HELD_REQUESTS} from './capacity_queue.js';
export type {CapacityRequest} from './capacity_request.js';
export type {ConcurrencyBounds} from './concurrency_limit.js';
export {ConcurrencyLimit} from './concurrency_limit.js';
export type {AdmissionDecision, AdmissionInput} from './decide_admission.js';
export {decideAdmission} from './decide_admission.js';
export type {QueuedRequest} from './request_queue.js';
export {
  QueueFullError,
  RequestQueue,
  STARVATION_LIMIT_MILLISECONDS,
} from './request_queue.js';
export type {PermitDecision, PermitRequest} from './shared_rate.js';
export {PERMIT_LIFETIME_MILLISECONDS, SharedRate} from './shared_rate.js';
export type {SharedRatesOptions} from './shared_rates.js';
export {SharedRates} from './shared_rates.js';
export type {ServedRequest} from './service_shares.js';
export {
  DepartureIntervalEstimate,
  ServiceTimeEstimate,
} from './service_time.js';
export type {QuotaRate, QuotaRules} from './team_quota_rules.js';
export {allowedExcess, enforcedRate} from './team_quota_rules.js';
export type {QuotaDecision, SettleQuota, TeamState} from './team_ledger.js';
export type {
  AdmittedTotal,
  TeamChange,
  TeamQuotaLedgerOptions,
  TeamStatement,
} from './team_quota_ledger.js';
export {SLOTS_PER_WINDOW, TeamQuotaLedger} from './team_quota_ledger.js';
export type {
  GateDecision,
  GatePreview,
  GateReport,
  HolderState,
  TeamQuotaGateOptions,
} from './team_quota_gate.js';
export {TeamQuotaGate} from './team_quota_gate.js';
