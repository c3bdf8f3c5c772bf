/** How much of the endpoints' request limits a lease holder gives out. */

import type {Instant} from '@siskinmux/kernel';
import type {HeldLease} from '@siskinmux/leases';

/** Part of each limit while there may be another holder that gives out the other part. */
const NON_EXCLUSIVE_SHARE = 0.5;

/** The part of each limit that the holder of this lease may give out now. */
export function limitShareOf(lease: HeldLease, now: Instant): number {
  return lease.isExclusive(now) ? 1 : NON_EXCLUSIVE_SHARE;
}
