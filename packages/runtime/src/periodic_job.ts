/** Runs work periodically; runs never overlap. */

import type {CancelTimer, Clock, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** Controls work that runs periodically. */
export interface PeriodicJob {
  /** Starts with an immediate run. */
  start(): void;
  /** Starts with a pause, followed by the first run. */
  startAfterPause(): void;
  /** Starts no further run; one in progress continues. */
  stop(): void;
}

/**
 * Creates a job that waits for `pause` after the end of each run. If `work` throws, the error
 * is reported as an unhandled rejection, and the job goes on.
 */
export function createPeriodicJob(
  clock: Clock,
  pause: Milliseconds | (() => Milliseconds),
  work: () => void | Promise<void>,
): PeriodicJob {
  let isStopped = false;
  let cancel: CancelTimer | undefined;
  const nextPause = typeof pause === 'number' ? () => pause : pause;
  const schedule = (): void => {
    if (isStopped) return;
    cancel = clock.schedule(after(clock.now(), nextPause()), () => void run());
  };
  const run = async (): Promise<void> => {
    try {
      await work();
    } finally {
      schedule();
    }
  };
  return {
    start: () => void run(),
    startAfterPause: schedule,
    stop: () => {
      isStopped = true;
      cancel?.();
    },
  };
}
