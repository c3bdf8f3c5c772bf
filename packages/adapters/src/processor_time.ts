/** Processor time of this process. */

import type {Milliseconds} from '@siskinmux/kernel';

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Processor time that this process has used so far, in user and kernel mode. */
export function readProcessorTime(): Milliseconds {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}
