/** Ends a request's work when its caller goes away or an instant is reached. */

import type {Clock, Instant} from '@siskinmux/kernel';

/** A signal that combines a caller's with an instant. */
export interface DeadlineSignal {
  readonly signal: AbortSignal;
  /** Detaches from both; call it when the work is over. */
  release(): void;
}

/** Aborts at `until`, or as soon as `callerSignal` does. */
export function createDeadlineSignal(
  clock: Clock,
  callerSignal: AbortSignal,
  until: Instant,
): DeadlineSignal {
  const controller = new AbortController();
  const abort = (): void => controller.abort();
  if (callerSignal.aborted) abort();
  callerSignal.addEventListener('abort', abort, {once: true});
  const cancel = clock.schedule(until, abort);
  return {
    signal: controller.signal,
    release: () => {
      cancel();
      callerSignal.removeEventListener('abort', abort);
    },
  };
}
