/** A complete deployment on loopback, for the demonstration and for tests. */

export type {LocalClusterOptions} from './local_cluster.js';
export {LocalCluster} from './local_cluster.js';
export type {StandInProfile} from './local_stand_ins.js';
export {DEFAULT_STAND_IN_PROFILE, LocalStandIns} from './local_stand_ins.js';
export type {CallerResult, DemoOutcome} from './caller.js';
export {DemoCaller} from './caller.js';
export type {RunningLoad} from './load.js';
export {countOutcomes, startLoad} from './load.js';
export type {
  DemonstrationOptions,
  DemonstrationResult,
} from './demonstration.js';
export {runDemonstration} from './demonstration.js';
