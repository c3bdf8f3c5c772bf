/** Events of the ledger. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** This node became the owner of a shard. */
export const SHARD_OPENED: EventDescriptor = {
  number: 3001,
  name: 'shard-opened',
  level: 'info',
  meaning:
    'This node took over a shard of the claims and fenced the previous owner.',
};

/** Another node became the owner of a shard. */
export const SHARD_LOST: EventDescriptor = {
  number: 3002,
  name: 'shard-lost',
  level: 'warn',
  meaning:
    'Another node took over a shard of the claims. Expected after this process was paused or the membership changed. If it repeats often, nodes disagree on which nodes are live.',
};

/** All events of this package. */
export const LEDGER_EVENTS = [SHARD_OPENED, SHARD_LOST] as const;
