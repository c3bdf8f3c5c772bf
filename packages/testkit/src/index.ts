/** Virtual time and seeded chance for tests and benchmarks. */

export {createSeededRandom} from './seeded_random.js';
export {VirtualClock} from './virtual_clock.js';
