/** What a node reaches over its own links, as distinct from what has ended. */

export {REACH_EVENTS} from './reach_events.js';
export type {RefusalWitnessOptions} from './refusal_witness.js';
export {RefusalWitness} from './refusal_witness.js';
