/** Repeats work with pauses in between, one run at a time. */

import type {CancelTimer, Clock, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** Life cycle of repeated work. */
export interface PeriodicJob {
  /** Runs the work at once. */
  start(): void;
  /** Runs the work after the first pause. */
  startAfterPause(): void;
  stop(): void;
}

/** Runs `work` again and again, `pause` after each end, until stopped. */
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
    await work();
    schedule();
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
