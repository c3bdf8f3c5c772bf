/** Numbered events of the claims. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** This node became the owner of a shard. */
export const SHARD_OPENED: EventDescriptor = {
  number: 3001,
  name: 'shard-opened',
  level: 'info',
  meaning:
    'This node took over a shard of the claims and fenced its earlier owner.',
};

/** Another node became the owner of a shard. */
export const SHARD_LOST: EventDescriptor = {
  number: 3002,
  name: 'shard-lost',
  level: 'warn',
  meaning:
    'Another node took over a shard. Expected after a pause or a membership change; frequent repeats mean that nodes disagree on who is live.',
};

/** All events of this package. */
export const LEDGER_EVENTS = [SHARD_OPENED, SHARD_LOST] as const;
