/** Timers that don't mistake a pause of this process for a silence of others. */

import type {CancelTimer, Milliseconds} from '@siskinmux/kernel';

/**
 * Calls back after `delay`, once what has arrived by then has been read: a process that was paused
 * runs its timers before it reads.
 */
export function scheduleAfterInput(
  delay: Milliseconds,
  callback: () => void,
): CancelTimer {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(callback);
  }, delay);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}
