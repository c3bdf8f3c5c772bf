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

/** This node wrote records of a shard again. */
export const SHARD_RESTORED: EventDescriptor = {
  number: 3003,
  name: 'shard-restored',
  level: 'warn',
  meaning:
    'The object service had lost records of a shard that this node owns: it returned from an older copy. This node has written them again before it granted further claims. Claims that no running node held are lost; their keys may run again.',
};

/** All events of this package. */
export const LEDGER_EVENTS = [
  SHARD_OPENED,
  SHARD_LOST,
  SHARD_RESTORED,
] as const;
