/**
 * Points in time and the clock port. Deadlines are kept as instants; durations
 * only appear as named constants and settings.
 */

import type {Brand} from './brand.js';

/** Milliseconds since the Unix epoch. */
export type Instant = Brand<number, 'Instant'>;

/** A length of time in milliseconds. */
export type Milliseconds = number;

/** Stops a scheduled callback; harmless after it ran. */
export type CancelTimer = () => void;

/** The injected source of time. */
export interface Clock {
  /** The current instant. */
  now(): Instant;
  /** Runs `callback` once at `at`, or as soon as possible when `at` has passed. */
  schedule(at: Instant, callback: () => void): CancelTimer;
}

/** The instant `milliseconds` after `instant`. */
export function after(instant: Instant, milliseconds: Milliseconds): Instant {
  return (instant + milliseconds) as Instant;
}

/** Milliseconds from `from` until `to`; negative when `to` lies before. */
export function until(from: Instant, to: Instant): Milliseconds {
  return to - from;
}

/** The earlier of two instants. */
export function earlier(left: Instant, right: Instant): Instant {
  return left < right ? left : right;
}

/** The later of two instants. */
export function later(left: Instant, right: Instant): Instant {
  return left > right ? left : right;
}

/** Resolves at `at`. */
export function sleepUntil(clock: Clock, at: Instant): Promise<void> {
  return new Promise(resolve => {
    clock.schedule(at, resolve);
  });
}

/** Resolves after `milliseconds`. */
export function sleepFor(
  clock: Clock,
  milliseconds: Milliseconds,
): Promise<void> {
  return sleepUntil(clock, after(clock.now(), milliseconds));
}
