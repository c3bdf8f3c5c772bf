/** Numbered events about a node's own links to the endpoints. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** An endpoint refused a connection after it had broken one. */
export const REFUSAL_JUDGED: EventDescriptor = {
  number: 7040,
  name: 'refusal-judged',
  level: 'info',
  meaning:
    'An endpoint broke a connection of this node and refuses new ones. `peer` is what another node sees: `refused`, `listening`, or `unknown` if none could be asked or that one reaches no endpoint either. `reachesOthers` says whether this node reaches other endpoints; missing if the other node could tell. `outcome`: `ended` if the process of the endpoint has ended, `link` if only the link of this node is broken.',
};

/** This node reaches no endpoint of a service any more. */
export const LINKS_LOST: EventDescriptor = {
  number: 7041,
  name: 'links-lost',
  level: 'warn',
  meaning:
    'This node gets no response from any endpoint of `service` that it has probed, in two rounds: none can be connected to, or all are silent (`service-silent`). Its requests are relayed to other nodes. `sends` is the number of requests that were waiting for endpoints of the service, `silentFor` the milliseconds since any of them sent something.',
};

/** This node reaches the endpoints of a service again. */
export const LINKS_REGAINED: EventDescriptor = {
  number: 7042,
  name: 'links-regained',
  level: 'info',
  meaning:
    'This node reaches endpoints of `service` again, or none is registered any more. It sends its requests to them itself.',
};

/** Endpoints of a service accept connections, and none responds. */
export const SERVICE_SILENT: EventDescriptor = {
  number: 7043,
  name: 'service-silent',
  level: 'info',
  meaning:
    'This node can connect to endpoints of `service`, and none that it has probed responds, in two rounds. `respondsToPeer`: whether endpoints of the service respond to another node; if so, the links of this node are taken for lost (`links-lost`). Otherwise the endpoints themselves are silent, or no node could tell.',
};

/** All events of this package. */
export const REACH_EVENTS = [
  REFUSAL_JUDGED,
  LINKS_LOST,
  LINKS_REGAINED,
  SERVICE_SILENT,
] as const;
