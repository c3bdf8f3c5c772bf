/** Events of the allocation package. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** Another node took over the allocation of a failure domain. */
export const ALLOCATION_LOST: EventDescriptor = {
  number: 5001,
  name: 'allocation-lost',
  level: 'warn',
  meaning:
    'Another node took over the allocation of a failure domain. Expected after a pause or a membership change.',
};

/** A plan could not be made or written. */
export const ALLOCATION_STEP_FAILED: EventDescriptor = {
  number: 5002,
  name: 'allocation-step-failed',
  level: 'warn',
  meaning:
    'A plan could not be made or written, usually because the object service is unavailable. Loaded models keep serving; nothing new is loaded until it is available again.',
};

/** An order to an engine ended, with any outcome. */
export const ORDER_ENDED: EventDescriptor = {
  number: 5003,
  name: 'order-ended',
  level: 'info',
  meaning:
    'An order to an engine to load or unload a model or adapter has ended. `end`: `done` if the engine carried it out, `refused` if the engine rejected it and changed nothing, `unreached` if it was not sent or did not reach the engine and cannot take effect, `stale` if the engine has seen a larger fencing number and so ignores it, `unknown` if no valid response came: the order may have taken effect or may still do so.',
};

/** A requested model or adapter could not be placed. */
export const REPLICA_REFUSED: EventDescriptor = {
  number: 5004,
  name: 'replica-refused',
  level: 'warn',
  meaning:
    'Requests wait for a model or adapter that cannot be placed now; `reason` says why, and is logged again only after it has ended. `the weight store is busy` and `room is being made` usually pass. If another reason persists or recurs, declare more memory or replicas, or accept that the models are loaded in turn.',
};

/** The object service had lost a domain's allocation. */
export const ALLOCATION_RESTORED: EventDescriptor = {
  number: 5005,
  name: 'allocation-restored',
  level: 'warn',
  meaning:
    'The object service had lost what this node wrote of a failure domain: it returned from an older copy. This node writes its reservations again before it sends further orders.',
};

/** All events of this package. */
export const ALLOCATION_EVENTS = [
  ALLOCATION_LOST,
  ALLOCATION_STEP_FAILED,
  ORDER_ENDED,
  REPLICA_REFUSED,
  ALLOCATION_RESTORED,
] as const;
