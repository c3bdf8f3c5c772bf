/** Reports how long the event loop stood still: a long function, or a pause of the process. */

import type {
  Clock,
  EventDescriptor,
  Milliseconds,
  Plugin,
} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';
import {Counter} from 'prom-client';
import {EMIT_EVENT} from './log.js';
import {METRICS} from './metrics.js';
import {createPeriodicJob} from './periodic_job.js';

/** The event loop stood still. */
export const EVENT_LOOP_STALLED: EventDescriptor = {
  number: 9002,
  name: 'event-loop-stalled',
  level: 'warn',
  meaning:
    'The process served nothing for `milliseconds`: its event loop stood still. `processorMilliseconds` is the processor time that the process used since the last check, at most 250 ms before. If it is about as long, a function of the process ran all the time, and the lines beside this one tell what it handled; report it. If it is much shorter, the process was paused, or its host lacked processor time.',
};

/** Events of every process. */
export const RUNTIME_EVENTS = [EVENT_LOOP_STALLED] as const;

const CHECK_INTERVAL_MILLISECONDS: Milliseconds = 250;

/** Shorter ones are usual on a busy host. */
const MINIMUM_STALL_MILLISECONDS: Milliseconds = 250;

const MILLISECONDS_PER_SECOND = 1_000;

/** What a process reads of its own time. */
export interface EventLoopMonitorOptions {
  /** Has to be monotonic. */
  readonly clock: Clock;
  /** Processor time that the process has used so far. */
  readonly readProcessorTime: () => Milliseconds;
}

/** Logs and counts the stalls of the event loop, once for each. */
export function createEventLoopPlugin({
  clock,
  readProcessorTime,
}: EventLoopMonitorOptions): Plugin {
  return {
    name: 'event loop',
    install(kernel) {
      const emit = kernel.inject(EMIT_EVENT);
      const registers = [kernel.inject(METRICS)];
      const stallsTotal = new Counter({
        name: 'siskinmux_event_loop_stalls_total',
        help: 'Times at which the event loop stood still for 250 ms or more',
        registers,
      });
      const stalledSecondsTotal = new Counter({
        name: 'siskinmux_event_loop_stalled_seconds_total',
        help: 'Time for which the event loop stood still, of such stalls',
        registers,
      });
      kernel.addEvents(RUNTIME_EVENTS);
      let dueAt = clock.now();
      let processorTime = readProcessorTime();
      const job = createPeriodicJob(clock, CHECK_INTERVAL_MILLISECONDS, () => {
        const now = clock.now();
        const earlierProcessorTime = processorTime;
        processorTime = readProcessorTime();
        const stall = until(dueAt, now);
        dueAt = after(now, CHECK_INTERVAL_MILLISECONDS);
        if (stall < MINIMUM_STALL_MILLISECONDS) return;
        stallsTotal.inc();
        stalledSecondsTotal.inc(stall / MILLISECONDS_PER_SECOND);
        emit(EVENT_LOOP_STALLED, {
          milliseconds: Math.round(stall),
          processorMilliseconds: Math.round(
            processorTime - earlierProcessorTime,
          ),
        });
      });
      kernel.addTask({
        name: 'event loop monitor',
        start: () => {
          dueAt = clock.now();
          job.start();
        },
        stop: () => job.stop(),
      });
    },
  };
}
