/** Numbered events of the request path. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** A call that may not be repeated has no known end. */
export const OUTCOME_UNKNOWN: EventDescriptor = {
  number: 4001,
  name: 'outcome-unknown',
  level: 'warn',
  meaning:
    'The connection to an endpoint broke after a call was sent that may not be repeated. The caller was told so, unless the service could say whether it ran.',
};

/** An answer came after the caller had been told "unknown". */
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
    'An endpoint died while it ran a request. The request is suspected and, after a second death, not sent any more for a while.',
};

/** All events of this package. */
export const REQUEST_EVENTS = [
  OUTCOME_UNKNOWN,
  LATE_ANSWER,
  ENDPOINT_DIED,
] as const;
