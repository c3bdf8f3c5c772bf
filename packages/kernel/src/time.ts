/**
 * Instants, durations and the clock port. Deadlines are kept as instants; durations only
 * appear as named constants and settings.
 */

import type {Brand} from './brand.js';

/**
 * An instant in milliseconds, as its process's clock counts them. Request nodes use the
 * time of day since the Unix epoch, so they may send and store instants. Gateway nodes use
 * a monotonic clock that starts near the Unix time: their instants are only comparable
 * within one process, and their messages carry durations instead.
 */
export type Instant = Brand<number, 'Instant'>;

/** A duration in milliseconds. */
export type Milliseconds = number;

/** Cancels a scheduled callback; does nothing after it has run. */
export type CancelTimer = () => void;

/** Injectable time source. */
export interface Clock {
  /** The current instant. */
  now(): Instant;
  /**
   * Runs `callback` once at `at`, or as soon as possible when `at` has passed; in either case after
   * what has arrived by then.
   */
  schedule(at: Instant, callback: () => void): CancelTimer;
}

/** Returns the instant `milliseconds` after `instant`. */
export function after(instant: Instant, milliseconds: Milliseconds): Instant {
  return (instant + milliseconds) as Instant;
}

/** Returns the milliseconds from `from` until `to`; negative if `to` is earlier. */
export function until(from: Instant, to: Instant): Milliseconds {
  return to - from;
}

/** Returns the earlier of two instants. */
export function earlier(left: Instant, right: Instant): Instant {
  return left < right ? left : right;
}

/** Returns the later of two instants. */
export function later(left: Instant, right: Instant): Instant {
  return left > right ? left : right;
}

/** Resolves at `at`, or as soon as possible if `at` has passed. */
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
