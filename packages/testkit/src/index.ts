/** Virtual time, seeded random numbers and an in-memory store, for tests and benchmarks. */

export {ENGINE_SLOTS, createEngineDescription} from './engine_description.js';
export type {StoreCopy} from './memory_store.js';
export {MemoryStore, SharedObjects} from './memory_store.js';
export {mostInWindow} from './most_in_window.js';
export {PausableClock} from './pausable_clock.js';
export {createSeededRandom} from './seeded_random.js';
export {VirtualClock} from './virtual_clock.js';
