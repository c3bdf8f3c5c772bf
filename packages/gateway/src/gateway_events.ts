/** Numbered events of the gateway. */

import {ADAPTER_EVENTS} from '@siskinmux/adapters';
import {CONTAINMENT_EVENTS} from '@siskinmux/containment';
import {CONTINUITY_EVENTS} from '@siskinmux/continuity';
import {REACH_EVENTS} from '@siskinmux/reach';
import type {EventDescriptor} from '@siskinmux/kernel';
import {PLACEMENT_EVENTS} from '@siskinmux/placement';
import {RUNTIME_EVENTS, renderEventsPage} from '@siskinmux/runtime';

/** A caller's request has ended. */
export const REQUEST_ENDED: EventDescriptor = {
  number: 7001,
  name: 'request-ended',
  level: 'info',
  meaning:
    'A request of a caller has ended: its result, last endpoint, number of sends, and timing. One line per request. `response` is `none` if the caller was sent nothing, `begun` if a part of a response, `whole` otherwise. `result`: `served` if the caller got a complete response with a success status or of more than 256 KiB, `status_` and the status if it got another complete response of an endpoint, `caller_gone` if the caller disconnected, `broken` if the response had begun and was cut off because no endpoint completed it or this node is stopping, `timed_out` if it was cut off by the timeout of the route, otherwise the code of the error that the caller got. `softwareVersion` is that of the last endpoint; `resumes` is the attempt whose stream the caller resumes. `runs` counts the sends that an endpoint ran or may have run; `sentAfter` and `answeredAfter` are the milliseconds from the arrival to the last send and to the last response, `longestGap` the longest time between two parts of a stream; `version` is that of the routes by which it was decided, missing before the first one; `endpointsAge` and `routesAge` are the milliseconds, at the last send, or at the end if there was none, for which a change of the platform may have been unknown to this node; `engineLoad` is the number of requests of all nodes that this node assumed at the engine of the last send, and `engineLoadAge` the mean age of the reports that it used, in milliseconds, missing if it knew only its own requests. Without a `route`, the request was refused before one was found.',
};

/** Entries of teams in the configuration can't be used. */
export const TEAMS_UNUSABLE: EventDescriptor = {
  number: 7092,
  name: 'teams-unusable',
  level: 'warn',
  meaning:
    "Entries of teams in the version of the configuration that is in force from now on can't be read, or have a name that another entry has. Such a team keeps its last usable entry, or doesn't exist if this node knows none. `count` is their number, `teams` the names of the first ones, an empty one for an entry without a name. `sharedKeys` is the number of keys that several teams have; they belong to none of them.",
};

/** A send to an endpoint failed. */
export const SEND_FAILED: EventDescriptor = {
  number: 7002,
  name: 'send-failed',
  level: 'info',
  meaning:
    'An endpoint refused a request, could not be reached, failed, or its response was cut short. `aborted` says why this node closed the connection, if it did: `superseded` by a run at another endpoint, `invalid_response` or `request_ended`. `end`: `not_run` if the endpoint did not run the request, `may_have_run` if it ran or may have run it and the caller has got nothing of its response, `stream_broken` if its response broke off after the caller got a part of it. `content` is the fingerprint of the request, equal for requests with the same content; `life` is the incarnation of the endpoint, `softwareVersion` the version of its software. `next` says whether the node sends the request again, and `retry` why: `free` or `charged` to the retry budget, `over_budget`, `other_run` if another endpoint serves it, or `not_allowed` by the route, the deadline or the limit on sends.',
};

/** An endpoint that runs a request may bring no response. */
export const RUN_SUSPECTED: EventDescriptor = {
  number: 7061,
  name: 'run-suspected',
  level: 'info',
  meaning:
    'An endpoint that runs a request may bring no response: `silent` if it has sent nothing for `silentFor` milliseconds, `links_lost` if this node has lost its links to the service. The run is left open. `decision`: `send` if the request is sent to another endpoint beside, otherwise why not: `not_allowed` by its route, its deadline, its sends, what the caller has got of it, or as it is suspected to crash endpoints; `other_run` if another endpoint serves it, too; `no_alternative` if no other endpoint could begin it now, which is decided again, and logged once it is decided otherwise; `over_budget` if the retry budget is used up. `life` is the incarnation of the endpoint, `endpointsAge` the age of what the node knows of others, in milliseconds.',
};

/** One of several runs of a request has gone on first. */
export const RUN_SUPERSEDED: EventDescriptor = {
  number: 7062,
  name: 'run-superseded',
  level: 'info',
  meaning:
    'Of several runs of a request beside each other, the one at the endpoint or node `by` has gone on first, and those at `ended` were ended. `lastEvent` is the id of the last event that the caller had got by then.',
};

/** A request could not be sent to a second endpoint. */
export const RETRY_REFUSED: EventDescriptor = {
  number: 7063,
  name: 'retry-refused',
  level: 'info',
  meaning:
    'A request could not be sent to another endpoint beside one that may bring no response, which goes on with it. `code` and `detail` are those of the refusal that its caller would have got.',
};

/** The store has returned from an older copy of itself. */
export const STORE_ERA_CHANGED: EventDescriptor = {
  number: 7048,
  name: 'store-era-changed',
  level: 'warn',
  meaning:
    'A response of the store names a later `era` than all `before` (0 before the first response): the store has returned from an older copy, without what it had acknowledged in the last seconds. One line per node and era.',
};

/** A response of the store names no era that can be used. */
export const STORE_ERA_UNUSABLE: EventDescriptor = {
  number: 7049,
  name: 'store-era-unusable',
  level: 'warn',
  meaning:
    'The `text` in which a response of the store names its era is missing, is no number, or is lower than `known`, which was known when the call was sent. The response counts as one of that era, so nothing is dropped for it. One line for each new text.',
};

/** What was read before the store returned from an older copy has been compared with the copy. */
export const STORE_RELISTED: EventDescriptor = {
  number: 7050,
  name: 'store-relisted',
  level: 'warn',
  meaning:
    'This node has listed the objects of a `kind` for the first time since the store returned from an older copy: `objects` are there; `missing` were known and are kept for `keptFor` milliseconds, as their writers write them again. `from` and `revision` are the versions before and after; each contains the era.',
};

/** The lease holder has written its lease again. */
export const LEASE_RESTORED: EventDescriptor = {
  number: 7051,
  name: 'lease-restored',
  level: 'warn',
  meaning:
    'The store had returned from an older copy without this node’s lease, and no other node had taken it over: it is written again, with the same `term`. `found` is the term that the copy held, if any.',
};

/** A newer route configuration is active. */
export const ROUTES_IN_FORCE: EventDescriptor = {
  number: 7003,
  name: 'routes-in-force',
  level: 'info',
  meaning:
    'This node has switched to a newer route configuration. `source`: `list` or `watch` if this node read it from the store, `feed` if the lease holder forwarded it; `delayUpTo` is the greatest possible time from its acknowledgement by the store, in milliseconds.',
};

/** A stored route configuration or endpoint entry is invalid. */
export const ENTRY_UNREADABLE: EventDescriptor = {
  number: 7004,
  name: 'entry-unreadable',
  level: 'warn',
  meaning:
    'A stored object does not match the schema of its kind; the node keeps the previous version.',
};

/** An endpoint was added, was removed, has restarted or is draining. */
export const ENDPOINT_CHANGED: EventDescriptor = {
  number: 7005,
  name: 'endpoint-changed',
  level: 'info',
  meaning:
    'The platform has added an endpoint, removed it, or lists it as draining or restarted. `state`: `ready`, `draining`, or `gone` if it was removed; `life` changes when its process restarts; `softwareVersion` is the version of its software; `source` and `delayUpTo` are those of `routes-in-force`.',
};

/** The store no longer responds to this node. */
export const STORE_LOST: EventDescriptor = {
  number: 7006,
  name: 'store-lost',
  level: 'warn',
  meaning:
    'The metadata store does not respond to this node. The node keeps serving with its last known state and retries.',
};

/** The store responds again. */
export const STORE_REGAINED: EventDescriptor = {
  number: 7007,
  name: 'store-regained',
  level: 'info',
  meaning: 'The metadata store responds to this node again.',
};

/** This node follows the store through the lease holder. */
export const FEED_USED: EventDescriptor = {
  number: 7018,
  name: 'feed-used',
  level: 'info',
  meaning:
    'The lease holder forwards its reads of the store, so this node stops watching that kind itself. `age` is the age of the forwarded data in milliseconds.',
};

/** The lease holder's feed is stale or has a gap. */
export const FEED_LOST: EventDescriptor = {
  number: 7019,
  name: 'feed-lost',
  level: 'info',
  meaning:
    'The feed from the lease holder is stale or has a gap; this node watches the store itself again.',
};

/** A read of the store takes longer than expected, or the feed has more. */
export const READ_OVERDUE: EventDescriptor = {
  number: 7044,
  name: 'read-overdue',
  level: 'info',
  meaning:
    'Nothing of a response of the store has arrived for 250 ms, or the feed shows that the store has more than this node, which therefore reads once more over another connection. `cause`: `overdue` or `feed has more`; `revision` is the last one that this node has read; `receivedBytes` is what has arrived of the response.',
};

/** A response of the store took long to arrive. */
export const READ_LONG: EventDescriptor = {
  number: 7059,
  name: 'read-long',
  level: 'info',
  meaning:
    'A response of the store took 250 ms or longer from its head to its end (`transferMilliseconds`): it is large (`bytes`) for the link of this node, or the link carries other traffic. `source`: `list` or `watch`; `sentBefore` is the time since the call, which is how old the knowledge is at least; requests are held if it exceeds `bound`.',
};

/** Reads of the store fail in a row. */
export const READ_FAILED: EventDescriptor = {
  number: 7060,
  name: 'read-failed',
  level: 'info',
  meaning:
    'Reads of the store have failed `failures` times in a row, since `store-lost`; written at 2, 4, 8 ... of them. `revision` is the last one that this node has read.',
};

/** An endpoint has said that it leaves. */
export const ENDPOINT_LEAVING: EventDescriptor = {
  number: 7046,
  name: 'endpoint-leaving',
  level: 'info',
  meaning:
    'An endpoint has said in a response that it leaves, so that it gets no new requests from now on. `life` is its incarnation, `source` whether this node (`response`) or another one (`peer`) read it, `age` the milliseconds since then; `isListed` is false if it drained already, or isn’t listed at this node.',
};

/** A request waited for a read of the store. */
export const REQUEST_HELD: EventDescriptor = {
  number: 7045,
  name: 'request-held',
  level: 'info',
  meaning:
    'A request waited, since a change of the platform might have been unknown to this node for too long. `endpointsAge` and `routesAge` are the milliseconds for which that was possible, `waited` those of the wait. `version` is that of the routes after the wait. `outcome`: `current` after a read; `unreachable` if the store answered no read that began during the wait, and the last knowledge was used; `outdated` if it was used although the store answered one, as of another kind of objects; `refused` if no read came in time, `gone` if the request had ended.',
};

/** The gateway has opened its listeners. */
export const GATEWAY_STARTED: EventDescriptor = {
  number: 7008,
  name: 'gateway-started',
  level: 'info',
  meaning:
    'The node listens on its addresses; it becomes ready once it has read routes and endpoints. `codeCache` is `used` if the process did not have to compile its bundle, `rejected` if the cache is damaged, belongs to another bundle, or was written by another version of Node.js or with other options, `missing` if there is none.',
};

/** The gateway begins a graceful stop. */
export const GATEWAY_STOPPING: EventDescriptor = {
  number: 7009,
  name: 'gateway-stopping',
  level: 'info',
  meaning: 'The node is no longer ready and finishes its open requests.',
};

/** The gateway has stopped. */
export const GATEWAY_STOPPED: EventDescriptor = {
  number: 7010,
  name: 'gateway-stopped',
  level: 'info',
  meaning:
    'The process ends; `open` is the number of requests that had not finished.',
};

/** A task failed with an error that it does not handle. */
export const TASK_FAILED: EventDescriptor = {
  number: 7011,
  name: 'task-failed',
  level: 'error',
  meaning: 'A defect: a task failed with an error that it does not handle.',
};

/** Another node sent an invalid message. */
export const PEER_MESSAGE_INVALID: EventDescriptor = {
  number: 7012,
  name: 'peer-message-invalid',
  level: 'warn',
  meaning:
    'A message from another node was rejected; nodes of different versions may be running side by side.',
};

/** This node has acquired the lease. */
export const LEASE_TAKEN: EventDescriptor = {
  number: 7013,
  name: 'lease-taken',
  level: 'info',
  meaning:
    'This node has acquired the lease and issues orders to engines under this `term`.',
};

/** This node no longer holds the lease. */
export const LEASE_ENDED: EventDescriptor = {
  number: 7014,
  name: 'lease-ended',
  level: 'info',
  meaning:
    'This node has stopped issuing orders to engines. `reason`: `replaced` if another node has taken the lease over, `fenced` if an engine has seen a later term, `handed over` if this node could not renew the lease and another one reaches the store, `stopped` if this process is stopping.',
};

/** This node is connected to the allocator. */
export const ALLOCATOR_FOLLOWED: EventDescriptor = {
  number: 7015,
  name: 'allocator-followed',
  level: 'info',
  meaning:
    'This node is connected to the lease holder, which runs the allocator.',
};

/** The connection to the allocator has ended. */
export const ALLOCATOR_LOST: EventDescriptor = {
  number: 7016,
  name: 'allocator-lost',
  level: 'warn',
  meaning:
    'The lease holder sends no heartbeats (`reason` is `silent`), has resigned (`resigned`), or its connection has ended (`closed`). Models stay in place until this node has connected to a new holder.',
};

/** The lease could not be read or written. */
export const LEASE_UNREACHABLE: EventDescriptor = {
  number: 7017,
  name: 'lease-unreachable',
  level: 'warn',
  meaning:
    'The store did not respond to a read or write of the lease; the node retries.',
};

/** The number of nodes that share the retry limits has changed. */
export const RETRY_LIMITS_CHANGED: EventDescriptor = {
  number: 7020,
  name: 'retry-limits-changed',
  level: 'info',
  meaning:
    'This node shares the limits on retries with another number of nodes than before, or has run long enough to use its part of the allowance. `nodes` is missing until a lease holder has been found; `allowance` is the number of retries for each service that it may accumulate beyond its share of the requests.',
};

/** An endpoint names another request limit than before, or none any more. */
export const ENDPOINT_LIMIT_CHANGED: EventDescriptor = {
  number: 7029,
  name: 'endpoint-limit-changed',
  level: 'info',
  meaning:
    'An endpoint has named another limit on its requests than before. `limit` is the number of requests a second from all nodes together, missing if the endpoint no longer names one; `before` is the previous limit. `source`: `response` if this node got the response, `peer` if another node reported it; `age` is the time in milliseconds since that response.',
};

/** An endpoint named a request limit that can't be used. */
export const ENDPOINT_LIMIT_INVALID: EventDescriptor = {
  number: 7030,
  name: 'endpoint-limit-invalid',
  level: 'warn',
  meaning:
    'An endpoint named a limit on its requests that is not a positive decimal number, or several different ones. The previous limit, `kept`, still applies, if there is one. One line for each new `text`.',
};

/** An endpoint wants no request of this node for a while. */
export const ENDPOINT_PAUSED: EventDescriptor = {
  number: 7064,
  name: 'endpoint-paused',
  level: 'info',
  meaning:
    'An endpoint rejected a request and asked for no more within `asked` milliseconds. This node sends it nothing for `kept` milliseconds; requests go to others, wait, or are refused as `endpoint-limited`. Not logged again until the pause has ended.',
};

/** An endpoint asked for a pause of an unusable length. */
export const ENDPOINT_PAUSE_INVALID: EventDescriptor = {
  number: 7065,
  name: 'endpoint-pause-invalid',
  level: 'warn',
  meaning:
    'An endpoint rejected a request and asked for a pause that is not a decimal number of seconds, or named several different ones. An earlier pause still applies, if there is one. One line for each new `text`.',
};

/** The request limit of an endpoint concerned a request. */
export const REQUEST_LIMITED: EventDescriptor = {
  number: 7031,
  name: 'request-limited',
  level: 'info',
  meaning:
    'An endpoint that was chosen for a request had no permit left under the limit that it named, `limit` requests a second from all nodes; `age` is the time in milliseconds since the response that named it. `outcome`: `diverted` if the request looks for another endpoint, `waited` if there was none and it got a permit in time, `refused` if it would have got one too late. `retryIn` is the time in milliseconds after which the endpoint has another permit, or the caller may return.',
};

/** The wait of a request for room at engines has ended. */
export const CAPACITY_WAIT_ENDED: EventDescriptor = {
  number: 7085,
  name: 'capacity-wait-ended',
  level: 'info',
  meaning:
    'All engines that have the model of a request were loaded beyond the level up to which requests are sent at once, in a configuration with teams. `outcome`: `sent` after it was held for `heldFor` milliseconds, `refused` at once if it was not expected to start in time, `expired` if it was held until it could not start in time, `gone` if its caller had gone. `retryIn` is the time in milliseconds after which its caller may return. `team` is missing for a request without one; `group` names the service and the model, `stillHeld` the requests for it that this node still holds.',
};

/** An endpoint has crashed, and isn't used until it registers again. */
export const ENDPOINT_CRASHED: EventDescriptor = {
  number: 7034,
  name: 'endpoint-crashed',
  level: 'warn',
  meaning:
    'This node has learned, from its own requests or from another node, that the process of an endpoint has ended without draining. It sends it no requests, and as the lease holder plans without it, until the endpoint registers its next start, or for five seconds.',
};

/** A connection delivers short chunks faster than its share. */
export const CONNECTION_PACED: EventDescriptor = {
  number: 7052,
  name: 'connection-paced',
  level: 'info',
  meaning:
    'The caller, endpoint or node at the other end of a connection, `address`, sends so many chunks of a few bytes at once that receiving them would delay others. From now on the connection is read when it is its turn, whenever it exceeds its quota; its requests and responses become slow, and end by their own timeouts. One line for each connection.',
};

/** The memory for bodies and events is used up. */
export const BUFFERS_FULL: EventDescriptor = {
  number: 7053,
  name: 'buffers-full',
  level: 'warn',
  meaning:
    'The bodies and events that this node holds take `heldBytes` of `limitBytes`, a share of `capacity.memory_megabytes`. Until `buffers-free`, requests whose bodies need more are refused as not run, long responses are passed on before they are complete, and events that need more break off. What the node holds already, and requests without a body, are not affected.',
};

/** The memory for bodies and events is free again. */
export const BUFFERS_FREE: EventDescriptor = {
  number: 7054,
  name: 'buffers-free',
  level: 'info',
  meaning:
    'The bodies and events that this node holds take half of their memory or less, after `buffers-full`.',
};

/** A team is metered, or no longer is. */
export const TEAM_METERED: EventDescriptor = {
  number: 7066,
  name: 'team-metered',
  level: 'info',
  meaning:
    'The lease holder: the bucket of a `team` has fallen below half of its burst, so that all nodes ask about each of its requests, or, with `isMetered` false, has been well filled again for a second. `available` is the amount in the bucket, negative while the team is in debt for what nodes had admitted before they reported it. One line per team in 10 s at most.',
};

/** Requests of a team were refused by its quota. */
export const QUOTA_REFUSED: EventDescriptor = {
  number: 7067,
  name: 'quota-refused',
  level: 'info',
  meaning:
    'This node has refused `count` requests of a `team` since the last line about it, as its quota was used up. `retryIn` is the time in milliseconds after which the last one may return. `hasHolder` is false if this node has no lease holder and admits only its share. One line per team in 10 s at most.',
};

/** The lease holder did not decide on a request in time. */
export const QUOTA_UNANSWERED: EventDescriptor = {
  number: 7068,
  name: 'quota-unanswered',
  level: 'warn',
  meaning:
    'The lease holder has not decided on a request of a `team` within `waited` milliseconds. This node admits by its share of the quotas until the next heartbeat of the holder. One line in 10 s at most.',
};

/** A limit on what clients take of this node has taken effect. */
export const CLIENT_LIMITED: EventDescriptor = {
  number: 7075,
  name: 'client-limited',
  level: 'warn',
  meaning:
    'A `listener` has closed the connection of a client, or holds it back, by a `limit`. `connections`, `connections_per_address`: there were more than the settings allow, and this one was closed. `unread`: closed, as the client took nothing of its responses for 30 s. `read_ahead`: the client has sent more requests than are read ahead of their responses; the others stay unread until one has ended. `refusals`: closed after 32 responses in a row with status 401, or 429 for a quota, the last of which stated so. `head_bytes`, `head_time`: closed, as the head of a request was longer, or took longer, than the configuration allows (431, 408). `peer_messages`: another node’s connection was closed, as the messages that it has begun, or doesn’t read, take too much memory. `read_rate`, with the listener `all`: the caller, endpoint or node at the other end delivers more than 64 KiB at once, and is read in turn with others like it from now on, 32 MiB a second together. `address` is that of the client. One line for each listener and limit within 10 s; `unlogged` is how often it took effect since the last line.',
};

/** All events of this package. */
export const GATEWAY_EVENTS = [
  REQUEST_ENDED,
  SEND_FAILED,
  RUN_SUSPECTED,
  RUN_SUPERSEDED,
  RETRY_REFUSED,
  ROUTES_IN_FORCE,
  TEAMS_UNUSABLE,
  ENTRY_UNREADABLE,
  ENDPOINT_CHANGED,
  STORE_LOST,
  STORE_REGAINED,
  STORE_ERA_CHANGED,
  STORE_ERA_UNUSABLE,
  STORE_RELISTED,
  LEASE_RESTORED,
  FEED_USED,
  FEED_LOST,
  READ_OVERDUE,
  READ_LONG,
  READ_FAILED,
  REQUEST_HELD,
  ENDPOINT_LEAVING,
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
  RETRY_LIMITS_CHANGED,
  ...CONTAINMENT_EVENTS,
  ENDPOINT_LIMIT_CHANGED,
  ENDPOINT_LIMIT_INVALID,
  ENDPOINT_PAUSED,
  ENDPOINT_PAUSE_INVALID,
  REQUEST_LIMITED,
  CAPACITY_WAIT_ENDED,
  ENDPOINT_CRASHED,
  CONNECTION_PACED,
  BUFFERS_FULL,
  BUFFERS_FREE,
  TEAM_METERED,
  QUOTA_REFUSED,
  QUOTA_UNANSWERED,
  CLIENT_LIMITED,
  ...CONTINUITY_EVENTS,
  ...REACH_EVENTS,
] as const;

/** Text of docs/GATEWAY_EVENTS.md. */
export function gatewayEventsPage(): string {
  return renderEventsPage('Events of the gateway', [
    ...GATEWAY_EVENTS,
    ...PLACEMENT_EVENTS,
    ...ADAPTER_EVENTS,
    ...RUNTIME_EVENTS,
  ]);
}
