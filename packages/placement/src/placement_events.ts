/** Numbered events of placement. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** An engine responded to an order. */
export const ORDER_ANSWERED: EventDescriptor = {
  number: 8001,
  name: 'order-answered',
  level: 'info',
  meaning:
    'An engine responded to an order: accepted, done, refused, fenced, invalid, or another engine has the address.',
};

/** An engine did not respond to an order, which is resent. */
export const ORDER_UNANSWERED: EventDescriptor = {
  number: 8002,
  name: 'order-unanswered',
  level: 'warn',
  meaning:
    'An engine did not respond to an order. The order is resent with the same expected order count, so that it is executed only once.',
};

/** A change of models was planned for an engine. */
export const CHANGE_PLANNED: EventDescriptor = {
  number: 8003,
  name: 'change-planned',
  level: 'info',
  meaning:
    'The allocator decided to load a model on an engine; the fields name the evicted models and the source of the weights.',
};

/** A change of models was completed or given up. */
export const CHANGE_ENDED: EventDescriptor = {
  number: 8004,
  name: 'change-ended',
  level: 'info',
  meaning:
    'A change of models ended: the model is ready, or the change was given up for the reason in `end`.',
};

/** An engine's state was read from its report. */
export const ENGINE_ADOPTED: EventDescriptor = {
  number: 8005,
  name: 'engine-adopted',
  level: 'info',
  meaning:
    'The allocator read the state of an engine and sends orders to it from now on.',
};

/** The load of an adapter was planned for an engine. */
export const ADAPTER_PLACED: EventDescriptor = {
  number: 8006,
  name: 'adapter-placed',
  level: 'info',
  meaning:
    'The allocator decided to load an adapter for waiting requests; `unload` names the evicted adapter.',
};

/** All events of this package. */
export const PLACEMENT_EVENTS = [
  ORDER_ANSWERED,
  ORDER_UNANSWERED,
  CHANGE_PLANNED,
  CHANGE_ENDED,
  ENGINE_ADOPTED,
  ADAPTER_PLACED,
] as const;
