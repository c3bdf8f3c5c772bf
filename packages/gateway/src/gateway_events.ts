/** Numbered events of the gateway. */

import type {EventDescriptor} from '@siskinmux/kernel';
import {PLACEMENT_EVENTS} from '@siskinmux/placement';
import {renderEventsPage} from '@siskinmux/runtime';

/** A request has ended. */
export const REQUEST_ENDED: EventDescriptor = {
  number: 7001,
  name: 'request-ended',
  level: 'info',
  meaning:
    'A request of a caller has ended: how, at which endpoint, after how many sends, and when. One line for each request.',
};

/** A send to an endpoint failed. */
export const SEND_FAILED: EventDescriptor = {
  number: 7002,
  name: 'send-failed',
  level: 'info',
  meaning:
    'An endpoint refused a request, broke off or could not be reached; `next` says what the node does about it.',
};

/** A newer route configuration is in force. */
export const ROUTES_IN_FORCE: EventDescriptor = {
  number: 7003,
  name: 'routes-in-force',
  level: 'info',
  meaning: 'This node serves by a newer route configuration from now on.',
};

/** A route configuration or an endpoint's entry can't be read. */
export const ENTRY_UNREADABLE: EventDescriptor = {
  number: 7004,
  name: 'entry-unreadable',
  level: 'warn',
  meaning:
    'An object of the store does not have the shape of its kind; what was known before stays.',
};

/** An endpoint came, left or changed. */
export const ENDPOINT_CHANGED: EventDescriptor = {
  number: 7005,
  name: 'endpoint-changed',
  level: 'info',
  meaning:
    'The platform lists an endpoint for the first time, as draining, in a new life, or no longer.',
};

/** The store stopped answering this node. */
export const STORE_LOST: EventDescriptor = {
  number: 7006,
  name: 'store-lost',
  level: 'warn',
  meaning:
    'The metadata store does not answer this node. It goes on with what it knows and tries again.',
};

/** The store answers again. */
export const STORE_REGAINED: EventDescriptor = {
  number: 7007,
  name: 'store-regained',
  level: 'info',
  meaning: 'The metadata store answers this node again.',
};

/** Another node's reading of the store stands in for this node's own. */
export const FEED_USED: EventDescriptor = {
  number: 7018,
  name: 'feed-used',
  level: 'info',
  meaning:
    'The holder of the lease passes on what it reads from the store; this node reads nothing of that kind for itself meanwhile. `age` is how old the answer is, in milliseconds.',
};

/** What the holder passes on is too old, or lacks something. */
export const FEED_LOST: EventDescriptor = {
  number: 7019,
  name: 'feed-lost',
  level: 'info',
  meaning:
    'What the holder of the lease passes on is too old or has a gap; this node reads the store for itself again.',
};

/** The gateway listens. */
export const GATEWAY_STARTED: EventDescriptor = {
  number: 7008,
  name: 'gateway-started',
  level: 'info',
  meaning: 'The node listens on its addresses; it is ready once it has routes.',
};

/** The gateway was told to stop. */
export const GATEWAY_STOPPING: EventDescriptor = {
  number: 7009,
  name: 'gateway-stopping',
  level: 'info',
  meaning: 'The node is no longer ready and finishes what it has.',
};

/** The gateway has stopped. */
export const GATEWAY_STOPPED: EventDescriptor = {
  number: 7010,
  name: 'gateway-stopped',
  level: 'info',
  meaning: 'The process ends; `open` requests were still running.',
};

/** A task failed in a way that it does not expect. */
export const TASK_FAILED: EventDescriptor = {
  number: 7011,
  name: 'task-failed',
  level: 'error',
  meaning: 'A defect: a task met a failure that it does not handle.',
};

/** Another node sent something that can't be read. */
export const PEER_MESSAGE_INVALID: EventDescriptor = {
  number: 7012,
  name: 'peer-message-invalid',
  level: 'warn',
  meaning:
    'A message of another node was refused; nodes of two versions may run side by side.',
};

/** This node holds the lease. */
export const LEASE_TAKEN: EventDescriptor = {
  number: 7013,
  name: 'lease-taken',
  level: 'info',
  meaning:
    'This node holds the lease and orders from now on, under the term named.',
};

/** This node no longer holds the lease. */
export const LEASE_ENDED: EventDescriptor = {
  number: 7014,
  name: 'lease-ended',
  level: 'info',
  meaning: 'This node orders no more, for the reason named.',
};

/** This node follows an allocator. */
export const ALLOCATOR_FOLLOWED: EventDescriptor = {
  number: 7015,
  name: 'allocator-followed',
  level: 'info',
  meaning: 'This node is connected to the holder of the lease.',
};

/** The connection to the allocator has ended. */
export const ALLOCATOR_LOST: EventDescriptor = {
  number: 7016,
  name: 'allocator-lost',
  level: 'warn',
  meaning:
    'The holder of the lease is silent or its connection has ended. Until another is found, models stay where they are.',
};

/** The lease could not be read or written. */
export const LEASE_UNREACHABLE: EventDescriptor = {
  number: 7017,
  name: 'lease-unreachable',
  level: 'warn',
  meaning: 'The store did not answer a call for the lease; it is tried again.',
};

/** All events of this package. */
export const GATEWAY_EVENTS = [
  REQUEST_ENDED,
  SEND_FAILED,
  ROUTES_IN_FORCE,
  ENTRY_UNREADABLE,
  ENDPOINT_CHANGED,
  STORE_LOST,
  STORE_REGAINED,
  FEED_USED,
  FEED_LOST,
  GATEWAY_STARTED,
  GATEWAY_STOPPING,
  GATEWAY_STOPPED,
  TASK_FAILED,
  PEER_MESSAGE_INVALID,
  LEASE_TAKEN,
  LEASE_ENDED,
  ALLOCATOR_FOLLOWED,
  ALLOCATOR_LOST,
  LEASE_UNREACHABLE,
] as const;

/** Text of docs/GATEWAY_EVENTS.md. */
export function gatewayEventsPage(): string {
  return renderEventsPage('Events of the gateway', [
    ...GATEWAY_EVENTS,
    ...PLACEMENT_EVENTS,
  ]);
}
