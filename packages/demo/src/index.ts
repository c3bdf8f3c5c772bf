/** A whole deployment on loopback, for the demonstration and for tests. */

export type {LocalClusterOptions} from './local_cluster.js';
export {LocalCluster} from './local_cluster.js';
export type {EndpointProfile} from './local_endpoints.js';
export {DEFAULT_PROFILE, LocalStandIns} from './local_endpoints.js';
export type {CallerOutcome, CallerResult} from './caller.js';
export {DemoCaller} from './caller.js';
export type {RunningLoad} from './load.js';
export {countOutcomes, startLoad} from './load.js';
export type {StoryOptions, StoryResult} from './story.js';
export {runStory} from './story.js';
