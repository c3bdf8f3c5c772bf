/** Numbered events of a node's own tasks. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** The node serves. */
export const NODE_STARTED: EventDescriptor = {
  number: 1001,
  name: 'node-started',
  level: 'info',
  meaning: 'The node listens on all its addresses and takes requests.',
};

/** The node was told to stop. */
export const NODE_STOPPING: EventDescriptor = {
  number: 1002,
  name: 'node-stopping',
  level: 'info',
  meaning:
    'The node takes no new work and finishes what it has. Expected on every planned stop.',
};

/** The node has stopped. */
export const NODE_STOPPED: EventDescriptor = {
  number: 1003,
  name: 'node-stopped',
  level: 'info',
  meaning: 'Nothing is left to do; the process ends.',
};

/** A planned stop took longer than the settings allow. */
export const STOP_CUT_SHORT: EventDescriptor = {
  number: 1004,
  name: 'stop-cut-short',
  level: 'error',
  meaning:
    'Requests were still running when the time for a planned stop was over. Allow more time under shutdown.finish_milliseconds.',
};

/** The set of live nodes changed. */
export const MEMBERSHIP_CHANGED: EventDescriptor = {
  number: 2001,
  name: 'membership-changed',
  level: 'info',
  meaning: 'A node came, left or is believed to have died.',
};

/** The registry of nodes could not be read or written. */
export const REGISTRY_FAILED: EventDescriptor = {
  number: 2002,
  name: 'registry-failed',
  level: 'warn',
  meaning:
    'The list of nodes in the object service could not be read or written. Nodes that know each other go on; a new node finds the others once it is back.',
};

/** A newer configuration came into force. */
export const CONFIGURATION_ACTIVATED: EventDescriptor = {
  number: 6001,
  name: 'configuration-in-force',
  level: 'info',
  meaning: 'This node serves by a newer configuration from now on.',
};

/** The configuration could not be read from the object service. */
export const CONFIGURATION_READ_FAILED: EventDescriptor = {
  number: 6002,
  name: 'configuration-read-failed',
  level: 'warn',
  meaning:
    'The configuration could not be read from the object service. The one in force stays; newer ones still arrive from other nodes.',
};

/** An operator's patch was accepted here. */
export const PATCH_ACCEPTED: EventDescriptor = {
  number: 6003,
  name: 'patch-accepted',
  level: 'info',
  meaning:
    'An operator submitted a patch through this node and it was accepted.',
};

/** All events of this package. */
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
