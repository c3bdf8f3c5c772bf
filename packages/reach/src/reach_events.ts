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

/** All events of this package. */
export const REACH_EVENTS = [REFUSAL_JUDGED] as const;
