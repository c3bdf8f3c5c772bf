/** Numbered events of the request path. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** The outcome of a call that must not be repeated is unknown. */
export const OUTCOME_UNKNOWN: EventDescriptor = {
  number: 4001,
  name: 'outcome-unknown',
  level: 'warn',
  meaning:
    'The connection to an endpoint broke after a non-repeatable call was sent. The caller was told that the outcome is unknown, unless the service could report whether the call ran.',
};

/** An answer arrived after the caller was told that the outcome is unknown. */
export const LATE_ANSWER: EventDescriptor = {
  number: 4002,
  name: 'late-answer',
  level: 'info',
  meaning:
    'A service answered after the deadline. A resend with the same key gets this answer.',
};

/** An endpoint died while it ran a request. */
export const ENDPOINT_DIED: EventDescriptor = {
  number: 4003,
  name: 'endpoint-died',
  level: 'warn',
  meaning:
    'An endpoint died while it ran a request. The request becomes a suspect and, after a second death, is refused for a while.',
};

/** All events of this package. */
export const REQUEST_EVENTS = [
  OUTCOME_UNKNOWN,
  LATE_ANSWER,
  ENDPOINT_DIED,
] as const;
