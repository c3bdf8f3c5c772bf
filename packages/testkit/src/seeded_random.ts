/** Random numbers that are reproducible from a seed on every machine. */

import type {Random} from '@siskinmux/kernel';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const GENERATOR_RANGE = 2 ** 32;

/** Creates a random number generator for `seed`. */
export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / GENERATOR_RANGE;
}
