/** Numbered events of the request path. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** The outcome of a call that must not be repeated is unknown. */
export const OUTCOME_UNKNOWN: EventDescriptor = {
  number: 4001,
  name: 'outcome-unknown',
  level: 'warn',
  meaning:
    'The connection to an endpoint broke after a non-repeatable call was sent. The caller got the outcome "unknown", unless the service could report whether the call ran.',
};

/** A response arrived after the caller had got the outcome "unknown". */
export const LATE_ANSWER: EventDescriptor = {
  number: 4002,
  name: 'late-answer',
  level: 'info',
  meaning:
    'A service responded after the deadline. A resend with the same key gets this response.',
};

/** An endpoint crashed while it ran a request. */
export const ENDPOINT_DIED: EventDescriptor = {
  number: 4003,
  name: 'endpoint-died',
  level: 'warn',
  meaning:
    'An endpoint crashed while it ran a request. The request becomes a suspect and, after a second crash, is refused for a while.',
};

/** All events of this package. */
export const REQUEST_EVENTS = [
  OUTCOME_UNKNOWN,
  LATE_ANSWER,
  ENDPOINT_DIED,
] as const;
