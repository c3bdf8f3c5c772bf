/** Numbered events of placement. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** An engine answered an order. */
export const ORDER_ANSWERED: EventDescriptor = {
  number: 8001,
  name: 'order-answered',
  level: 'info',
  meaning:
    'An engine has answered an order: accepted, done, refused, fenced, invalid, or another engine has its address.',
};

/** An engine did not answer an order. */
export const ORDER_UNANSWERED: EventDescriptor = {
  number: 8002,
  name: 'order-unanswered',
  level: 'warn',
  meaning:
    'An order got no answer. It is sent again under the same expected count, so that it is carried out once.',
};

/** A change of models was decided. */
export const CHANGE_PLANNED: EventDescriptor = {
  number: 8003,
  name: 'change-planned',
  level: 'info',
  meaning:
    'The allocator loads a model, with what gives way for it, and from which copy.',
};

/** A change of models has ended. */
export const CHANGE_ENDED: EventDescriptor = {
  number: 8004,
  name: 'change-ended',
  level: 'info',
  meaning: 'A load has ended, or was given up for the reason named.',
};

/** An engine's state was read before the first order. */
export const ENGINE_ADOPTED: EventDescriptor = {
  number: 8005,
  name: 'engine-adopted',
  level: 'info',
  meaning:
    'The allocator has read what an engine holds and orders it from now on.',
};

/** An adapter was placed. */
export const ADAPTER_PLACED: EventDescriptor = {
  number: 8006,
  name: 'adapter-placed',
  level: 'info',
  meaning:
    'An adapter was ordered for waiting requests, with what gave way for it.',
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
