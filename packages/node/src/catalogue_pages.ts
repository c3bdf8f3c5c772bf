/** Generates the documentation pages that list all events and all errors. */

import type {EventDescriptor} from '@siskinmux/kernel';
import {ERROR_MESSAGES, ErrorCode} from '@siskinmux/kernel';
import {ADAPTER_EVENTS} from '@siskinmux/adapters';
import {ALLOCATION_EVENTS} from '@siskinmux/allocation';
import {LEDGER_EVENTS} from '@siskinmux/ledger';
import {REQUEST_EVENTS} from '@siskinmux/requests';
import {RUNTIME_EVENTS, renderEventsPage} from '@siskinmux/runtime';
import {NODE_EVENTS} from './node_events.js';
import {httpStatusOf} from './problem.js';

const ALL_EVENTS: readonly EventDescriptor[] = [
  ...NODE_EVENTS,
  ...LEDGER_EVENTS,
  ...REQUEST_EVENTS,
  ...ALLOCATION_EVENTS,
  ...ADAPTER_EVENTS,
  ...RUNTIME_EVENTS,
];

/** Content of docs/EVENTS.md. */
export function eventsPage(): string {
  return renderEventsPage('Events', ALL_EVENTS);
}

/** Content of docs/ERRORS.md. */
export function errorsPage(): string {
  const rows = Object.values(ErrorCode).map(
    code => `| \`${code}\` | ${httpStatusOf(code)} | ${ERROR_MESSAGES[code]} |`,
  );
  return [
    '# Errors',
    '',
    'A refusal is `application/problem+json`. Its `type` is',
    '`urn:siskinmux:problem:` and the code below; its `outcome` says what is true of',
    'the request: `not run`, `ran and failed` or `unknown`. This page is made by',
    '`npm run catalogues`; a test compares it.',
    '',
    '| code | HTTP status | meaning |',
    '|---|---|---|',
    ...rows,
    '',
  ].join('\n');
}
