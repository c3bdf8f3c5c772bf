/** Chance that is the same for the same seed on every machine. */

import type {Random} from '@siskinmux/kernel';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const RANGE = 2 ** 32;

/** A source of chance for one seed. */
export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / RANGE;
}
