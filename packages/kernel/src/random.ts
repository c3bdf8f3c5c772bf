/** The injected source of chance, and helpers over it. */

/** Returns a number from 0 (included) to 1 (excluded). */
export type Random = () => number;

/** A whole number from 0 to `bound - 1`. */
export function randomBelow(random: Random, bound: number): number {
  return Math.floor(random() * bound);
}

/** `value` moved by up to `share` of itself in either direction. */
export function jitter(random: Random, value: number, share: number): number {
  return value * (1 + share * (2 * random() - 1));
}
