/** Logs numbered events through roarr, one JSON object per line. */

import './enable_roarr.js';
import {ROARR, Roarr} from 'roarr';
import type {EmitEvent, EventLevel, Plugin} from '@siskinmux/kernel';
import {injectionKey} from '@siskinmux/kernel';
import {z} from 'zod';
import {NODE_IDENTITY} from './node_identity.js';
import {settingsSection} from './settings_section.js';

/** Injection key of the function that logs an event. */
export const EMIT_EVENT = injectionKey<EmitEvent>('event log');

const LEVELS = ['debug', 'info', 'warn', 'error', 'off'] as const;

const section = settingsSection(
  'log',
  z.strictObject({level: z.enum(LEVELS).default('info')}),
);

const SEVERITY: Record<EventLevel, number> = {
  debug: 0,
  info: 1,
  warn: 2,
  error: 3,
};

/** Writes one line of the log, including its line feed. */
export type WriteLine = (line: string) => void;

/** Provides {@link EMIT_EVENT}; `write` receives each log line. */
export function createLogPlugin(write: WriteLine): Plugin {
  return {
    name: 'log',
    install(kernel) {
      const {level} = kernel.settings(section);
      const minimumSeverity = level === 'off' ? Infinity : SEVERITY[level];
      const {id} = kernel.inject(NODE_IDENTITY);
      ROARR.write = line => write(`${line}\n`);
      const logger = Roarr.child({node: id});
      kernel.provide(EMIT_EVENT, (event, fields) => {
        if (SEVERITY[event.level] < minimumSeverity) return;
        const {number, name} = event;
        logger[event.level]({event: number, ...fields}, name);
      });
    },
  };
}
