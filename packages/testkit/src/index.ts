/** Virtual time and seeded random numbers for tests and benchmarks. */

export {createSeededRandom} from './seeded_random.js';
export {VirtualClock} from './virtual_clock.js';
