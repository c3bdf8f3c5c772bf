/** Numbered events of the continuation of streams. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** A caller resumes a stream that began in an earlier attempt. */
export const STREAM_RESUMED: EventDescriptor = {
  number: 7035,
  name: 'stream-resumed',
  level: 'info',
  meaning:
    'A caller resumes a stream that began in the attempt `resumes`. `source` says how this node knows the software version at which it began: `memory` of this node and the lease holder, `store`, `only version` if the service had no other one lately, or `unknown`, in which case the request is refused. `versions` are the versions seen lately, `waited` the milliseconds until this decision.',
};

/** The lease holder has written the origins of streams to the store. */
export const ORIGINS_STORED: EventDescriptor = {
  number: 7036,
  name: 'origins-stored',
  level: 'debug',
  meaning:
    'This node holds the lease and has written the origins of `streams` streams to the store, as a service has endpoints of several software versions.',
};

/** The origins of streams could not be read from the store, or written to it. */
export const ORIGINS_STORE_FAILED: EventDescriptor = {
  number: 7037,
  name: 'origins-store-failed',
  level: 'warn',
  meaning:
    'The store did not respond to a call for the origins of streams. Streams that only the store knows are refused until it does.',
};

/** A stored object with origins of streams is invalid. */
export const ORIGINS_UNREADABLE: EventDescriptor = {
  number: 7038,
  name: 'origins-unreadable',
  level: 'warn',
  meaning:
    'A stored object with origins of streams does not match its schema and is ignored.',
};

/** The software versions of a service's endpoints have changed. */
export const VERSIONS_CHANGED: EventDescriptor = {
  number: 7039,
  name: 'versions-changed',
  level: 'info',
  meaning:
    'Endpoints of these software versions serve, or have served lately. While there are several, the origins of streams are exchanged and stored.',
};

/** Events of the continuation of streams, in the order of their numbers. */
export const CONTINUITY_EVENTS: readonly EventDescriptor[] = [
  STREAM_RESUMED,
  ORIGINS_STORED,
  ORIGINS_STORE_FAILED,
  ORIGINS_UNREADABLE,
  VERSIONS_CHANGED,
];
