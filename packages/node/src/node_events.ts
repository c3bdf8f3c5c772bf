/** Numbered log events of the node package. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** The node has started. */
export const NODE_STARTED: EventDescriptor = {
  number: 1001,
  name: 'node-started',
  level: 'info',
  meaning: 'The node listens on all its addresses and accepts requests.',
};

/** A graceful shutdown began. */
export const NODE_STOPPING: EventDescriptor = {
  number: 1002,
  name: 'node-stopping',
  level: 'info',
  meaning:
    'The node is shutting down: it accepts no new requests and finishes those in flight. Expected on every planned stop.',
};

/** The node has stopped. */
export const NODE_STOPPED: EventDescriptor = {
  number: 1003,
  name: 'node-stopped',
  level: 'info',
  meaning: 'The graceful shutdown is complete; the process ends.',
};

/** A graceful shutdown exceeded its time limit. */
export const STOP_CUT_SHORT: EventDescriptor = {
  number: 1004,
  name: 'stop-cut-short',
  level: 'error',
  meaning:
    'Requests were still in flight when the time limit of a graceful shutdown expired. If this recurs, increase shutdown.finish_milliseconds.',
};

/** The set of live nodes changed. */
export const MEMBERSHIP_CHANGED: EventDescriptor = {
  number: 2001,
  name: 'membership-changed',
  level: 'info',
  meaning: 'A node joined, left or is considered dead.',
};

/** The registry of nodes could not be read or written. */
export const REGISTRY_FAILED: EventDescriptor = {
  number: 2002,
  name: 'registry-failed',
  level: 'warn',
  meaning:
    'The node registry in the object service could not be read or written. Nodes that know each other are not affected; a new node finds the others once the registry is available again.',
};

/** A newer configuration became active. */
export const CONFIGURATION_ACTIVATED: EventDescriptor = {
  number: 6001,
  name: 'configuration-in-force',
  level: 'info',
  meaning: 'A newer configuration became active on this node.',
};

/** The configuration could not be read from the object service. */
export const CONFIGURATION_READ_FAILED: EventDescriptor = {
  number: 6002,
  name: 'configuration-read-failed',
  level: 'warn',
  meaning:
    'The configuration could not be read from the object service. The active one stays in use; newer ones may still arrive from other nodes.',
};

/** A configuration patch was accepted through this node. */
export const PATCH_ACCEPTED: EventDescriptor = {
  number: 6003,
  name: 'patch-accepted',
  level: 'info',
  meaning:
    'An operator submitted a patch through this node and it was accepted.',
};

/** All events of the node package. */
export const NODE_EVENTS = [
  NODE_STARTED,
  NODE_STOPPING,
  NODE_STOPPED,
  STOP_CUT_SHORT,
  MEMBERSHIP_CHANGED,
  REGISTRY_FAILED,
  CONFIGURATION_ACTIVATED,
  CONFIGURATION_READ_FAILED,
  PATCH_ACCEPTED,
] as const;
