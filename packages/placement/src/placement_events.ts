/** Numbered events of placement. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** An engine responded to an order. */
export const ORDER_ANSWERED: EventDescriptor = {
  number: 8001,
  name: 'order-answered',
  level: 'info',
  meaning:
    'An engine responded to an order, or the order was certainly not delivered. `outcome`: `accepted` if the engine has begun to execute it, `done` if the engine is in the ordered state, `refused` if nothing changed because another order is in progress, the order count differs from `expected`, or the order was not delivered, `fenced` if the engine has seen a later term, `invalid` if it did not understand the order, `other_endpoint` if another engine has the address.',
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
    'The allocator decided to load a model on an engine. `unload` names the models to evict. `tier` is the location of the nearest copy of the weights: `memory` or `disk` of the engine, or the weight `store`. `reason`: `waiting` if no engine has the model and it is in demand, `busy` if it gets another replica, `slow` if it gets one on a faster engine, as those that have it put the objective of its route at risk, `spread` if no engine has a copy of its weights and it is loaded in advance. `isDraining` is set if evicted models are in use: other replicas take their requests, and the change waits for those in flight.',
};

/** A change of models was completed or given up. */
export const CHANGE_ENDED: EventDescriptor = {
  number: 8004,
  name: 'change-ended',
  level: 'info',
  meaning:
    'A change of models ended. `end`: `ready` if the model is loaded, `in_use` if requests still use a model to be evicted, so that the change was given up, `misfit` if the engine did not accept an order as expected or the load was lost, so that the state of the engine is read again, `unsent` if no order may be sent to the engine now, because this node may not send orders, the engine has left or restarted, or its state is unknown.',
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

/** An engine's report could not be read. */
export const REPORT_UNREADABLE: EventDescriptor = {
  number: 8007,
  name: 'report-unreadable',
  level: 'warn',
  meaning:
    'The report of an engine could not be read, and is read again. `reason`: `unanswered` if no whole response arrived in time, `too_long` if the response is longer than any report, so that its connection was closed, `invalid` if it is no report. Logged again only after another result. An engine that has just started or ended has this once or twice; one whose reports stay `too_long` or `invalid` is faulty and gets no models.',
};

/** All events of this package. */
export const PLACEMENT_EVENTS = [
  ORDER_ANSWERED,
  ORDER_UNANSWERED,
  CHANGE_PLANNED,
  CHANGE_ENDED,
  ENGINE_ADOPTED,
  ADAPTER_PLACED,
  REPORT_UNREADABLE,
] as const;
