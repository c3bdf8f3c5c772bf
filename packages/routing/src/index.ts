/** Routing: endpoint choice, retry budgets and outlier ejection. */

export type {Candidate, ChoiceContext, CostContext} from './choose_endpoint.js';
export {
  CROSS_DOMAIN_COST,
  chooseEndpoint,
  weighEndpoints,
} from './choose_endpoint.js';
export type {EngineCandidate} from './choose_engine.js';
export {chooseEngineByLoad, weighEngines} from './choose_engine.js';
export type {
  EstimatedEngine,
  LoadEstimate,
  LoadReport,
} from './engine_loads.js';
export {EngineLoads} from './engine_loads.js';
export {EngineSpeeds} from './engine_speeds.js';
export {fingerprintOf} from './fingerprint.js';
export {OutlierDetector} from './outlier_detector.js';
export {hash32, ownerOf, rankMembers} from './rendezvous.js';
export type {RetryLimits} from './retry_budget.js';
export {RetryBudget} from './retry_budget.js';
