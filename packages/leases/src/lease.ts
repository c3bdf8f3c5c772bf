/**
 * The lease on the right to send orders to engines: which node holds it, and when another
 * node may take it over. The record is kept in the platform's store. Each takeover raises its
 * term, the fencing token by which engines refuse earlier holders.
 */

import type {
  FencingNumber,
  Instant,
  Milliseconds,
  NodeId,
  ObjectVersion,
  StoreEra,
} from '@siskinmux/kernel';
import {after, as, versionOf} from '@siskinmux/kernel';

/** The lease as it is stored. */
export interface LeaseRecord {
  /** Undefined after the last holder released the lease. */
  readonly holder: NodeId | undefined;
  /** Address at which other nodes reach the holder. */
  readonly address: string;
  readonly term: FencingNumber;
}

/** A lease record as read by this node. */
export interface LeaseObservation {
  readonly record: LeaseRecord;
  readonly revision: ObjectVersion;
  /** When this node first read this revision; each renewal changes the revision. */
  readonly firstSeenAt: Instant;
}

/**
 * Result of contacting the holder. `gone`: its process ended (its port is closed, or
 * another process uses it). `resigned`: it released the lease, or doesn't know that it
 * holds it. `silent`: it doesn't respond.
 */
export type HolderStatus = 'gone' | 'resigned' | 'silent';

/** Rules for sending orders and for takeovers. */
export interface LeaseRules {
  /**
   * Where terms aren't checked, a holder sends no orders this long after its last
   * renewal.
   */
  readonly leaseMilliseconds: Milliseconds;
  /** Whether every engine refuses orders with an earlier term. */
  readonly isFencingEnforced: boolean;
}

/**
 * Interval between renewals; three can fail before a lease of the default length expires.
 */
export const RENEWAL_INTERVAL_MILLISECONDS: Milliseconds = 700;

/**
 * Time without a renewal after which the lease of a silent holder may be taken over;
 * allows for one late renewal whose response is late as well.
 */
export const HOLDER_SILENCE_MILLISECONDS: Milliseconds = 1_300;

/**
 * Time after which a lease may be taken over whose holder says that it doesn't hold it: a
 * newly elected holder may not have received the response to its write yet.
 */
const ELECTION_GRACE_MILLISECONDS: Milliseconds = 600;

/**
 * When a node may take over the lease that it observed; an instant in the past means now.
 */
export function takeoverAllowedAt(
  observation: LeaseObservation,
  status: HolderStatus,
  rules: LeaseRules,
  now: Instant,
): Instant {
  const {record, firstSeenAt} = observation;
  if (record.holder === undefined || status === 'gone') return now;
  if (status === 'resigned')
    return after(firstSeenAt, ELECTION_GRACE_MILLISECONDS);
  return after(firstSeenAt, HOLDER_SILENCE_MILLISECONDS);
}

/**
 * When a new holder may send its first order. Where engines don't check terms, the previous
 * holder may still send orders until its lease has expired. There may be one though the store
 * has no record: it may have returned from a copy that is older than the first lease.
 */
export function ordersAllowedAt(
  acquiredAt: Instant,
  rules: LeaseRules,
): Instant {
  return rules.isFencingEnforced
    ? acquiredAt
    : after(acquiredAt, rules.leaseMilliseconds);
}

/**
 * The record that a node writes to take over the lease; `era` is that of the store. The term is
 * the version of the record that is replaced. At most one write replaces a version, and a later
 * era has greater ones, so no term is used twice, whatever the store has lost.
 */
export function takeoverRecord(
  holder: NodeId,
  address: string,
  previous: LeaseObservation | undefined,
  era: StoreEra,
): LeaseRecord {
  const term =
    previous === undefined
      ? versionOf(era, 1)
      : Math.max(previous.revision, previous.record.term + 1);
  return {holder, address, term: as<FencingNumber>(term)};
}

/** The record that a holder writes to release the lease. */
export function releasedRecord(term: FencingNumber): LeaseRecord {
  return {holder: undefined, address: '', term};
}
