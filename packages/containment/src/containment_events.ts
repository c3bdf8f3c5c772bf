/** Numbered events of the containment. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** An endpoint crashed while it ran a request. */
export const RUN_CRASHED: EventDescriptor = {
  number: 7021,
  name: 'run-crashed',
  level: 'warn',
  meaning:
    'An endpoint crashed while it ran a request of this node. `content` is the fingerprint of the request, `traits` are the first eight others that it shares with other requests, `crash` is the incarnation that ended; other requests that ran there have a line with the same `crash`. `evidence`: `refused` if no process listened at the address any more, `restarted` if the endpoint has a new incarnation. `crashes` is the largest number of crashes attributed to one of its traits so far, on all nodes.',
};

/** Requests with a trait are quarantined. */
export const REQUEST_QUARANTINED: EventDescriptor = {
  number: 7022,
  name: 'request-quarantined',
  level: 'warn',
  meaning:
    'Requests with this `trait` crashed `crashes` endpoints and are refused for the given milliseconds. `trait` is the fingerprint of a content, or `part:` and the id of a part of prompts. Each node writes this line.',
};

/** A request was refused because of its quarantine. */
export const REQUEST_WITHHELD: EventDescriptor = {
  number: 7023,
  name: 'request-withheld',
  level: 'info',
  meaning:
    'A request was not sent because requests with the same `trait` crashed endpoints. `state` is `quarantined`, or `probation` while a single request is tried, on all nodes together. `retryIn` is the time in milliseconds after which it may be sent again.',
};

/** An endpoint completed a request with a trait that was suspected before. */
export const TRAIT_CLEARED: EventDescriptor = {
  number: 7024,
  name: 'trait-cleared',
  level: 'info',
  meaning:
    'An endpoint has completed a request with this `trait`, now or shortly before the crash, so that it was not the cause of the `crashes` recorded for it.',
};

/** This node ended a run before the endpoint had responded completely. */
export const RUN_ABORTED: EventDescriptor = {
  number: 7025,
  name: 'run-aborted',
  level: 'info',
  meaning:
    'This node ended a run before the endpoint had responded completely: the caller left, a timeout passed, or another endpoint went on first. `reason` says why (`superseded`, `invalid_response` or `request_ended`). `life` is the incarnation of the endpoint, `elapsed` the milliseconds since the request was sent, `hadResponded` says whether a response had begun. The run counts as a crash should the endpoint turn out to have restarted; unless `isSilent`, only as long as the same process has not responded since.',
};

/** The lease holder has read the quarantined requests from the store. */
export const QUARANTINE_RESTORED: EventDescriptor = {
  number: 7026,
  name: 'quarantine-restored',
  level: 'info',
  meaning:
    'This node holds the lease and has read the quarantined requests from the store: `stored` of them, of which it did not know `added`. `age` is the time in milliseconds since they were written.',
};

/** The lease holder has written the quarantined requests to the store. */
export const QUARANTINE_STORED: EventDescriptor = {
  number: 7027,
  name: 'quarantine-stored',
  level: 'info',
  meaning:
    'This node holds the lease and has written the quarantined requests to the store, after a change.',
};

/** The lease holder could not read or write the quarantined requests. */
export const QUARANTINE_STORE_FAILED: EventDescriptor = {
  number: 7028,
  name: 'quarantine-store-failed',
  level: 'warn',
  meaning:
    'This node holds the lease and could not read or write the quarantined requests in the store. It keeps them in memory and tries again after a second.',
};

/** The stored list of quarantined requests is invalid. */
export const QUARANTINE_UNREADABLE: EventDescriptor = {
  number: 7032,
  name: 'quarantine-unreadable',
  level: 'warn',
  meaning:
    'The object with the quarantined requests does not match its schema. This node holds the lease and replaces it by what the nodes know.',
};

/** The lease holder has allowed a run on probation. */
export const PROBATION_ALLOWED: EventDescriptor = {
  number: 7033,
  name: 'probation-allowed',
  level: 'info',
  meaning:
    'This node holds the lease and has allowed one run of a request with these `traits`, as it tells whether they crash endpoints. No other run with them is allowed until this one has ended, or for `milliseconds`.',
};

/** Events of the containment, in the order of their numbers. */
export const CONTAINMENT_EVENTS: readonly EventDescriptor[] = [
  RUN_CRASHED,
  REQUEST_QUARANTINED,
  REQUEST_WITHHELD,
  TRAIT_CLEARED,
  RUN_ABORTED,
  QUARANTINE_RESTORED,
  QUARANTINE_STORED,
  QUARANTINE_STORE_FAILED,
  QUARANTINE_UNREADABLE,
  PROBATION_ALLOWED,
];
