/** What a node reaches over its own links, as distinct from what has ended. */

export type {EndpointReachOptions, TrackedSend} from './endpoint_reach.js';
export {
  EXAMINATION_INTERVAL_MILLISECONDS,
  EndpointReach,
} from './endpoint_reach.js';
export {REACH_EVENTS} from './reach_events.js';
export type {RefusalWitnessOptions} from './refusal_witness.js';
export {RefusalWitness} from './refusal_witness.js';
