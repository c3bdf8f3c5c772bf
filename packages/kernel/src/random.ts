/** Injectable random source, and functions that use it. */

/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/** Returns a random integer from 0 to `bound - 1`. */
export function randomBelow(random: Random, bound: number): number {
  return Math.floor(random() * bound);
}

/** Randomizes `value` by up to `share` of itself in either direction. */
export function jitter(random: Random, value: number, share: number): number {
  return value * (1 + share * (2 * random() - 1));
}
