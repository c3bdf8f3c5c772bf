/** Cancels work when its caller disconnects or a deadline passes. */

import type {Clock, Instant} from '@siskinmux/kernel';

/** An abort signal with a timer and a listener to release. */
export interface DeadlineSignal {
  readonly signal: AbortSignal;
  /** Removes the timer and the listener; must be called when the work has ended. */
  release(): void;
}

/** Aborts at `deadline`, or as soon as `callerSignal` does. */
export function createDeadlineSignal(
  clock: Clock,
  callerSignal: AbortSignal,
  deadline: Instant,
): DeadlineSignal {
  const controller = new AbortController();
  const abort = (): void => controller.abort();
  if (callerSignal.aborted) abort();
  callerSignal.addEventListener('abort', abort, {once: true});
  const cancel = clock.schedule(deadline, abort);
  return {
    signal: controller.signal,
    release: () => {
      cancel();
      callerSignal.removeEventListener('abort', abort);
    },
  };
}
