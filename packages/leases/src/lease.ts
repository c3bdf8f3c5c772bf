/**
 * The lease on the right to give orders: who holds it, and when another may take it
 * over. The record lies in the platform's store; each takeover raises its term, which
 * fences the orders of earlier holders.
 */

import type {
  FencingNumber,
  Instant,
  Milliseconds,
  NodeId,
  ObjectVersion,
} from '@siskinmux/kernel';
import {after, as, later} from '@siskinmux/kernel';

/** The lease as it is stored. */
export interface LeaseRecord {
  /** Undefined when the last holder gave it back. */
  readonly holder: NodeId | undefined;
  /** Where the holder can be reached by other nodes. */
  readonly address: string;
  readonly term: FencingNumber;
}

/** A record as this node read it. */
export interface LeaseObservation {
  readonly record: LeaseRecord;
  readonly revision: ObjectVersion;
  /** When this node first saw this revision. A holder renews, which changes it. */
  readonly firstSeenAt: Instant;
}

/**
 * What came of contacting the holder: its process is `gone` (its port is closed, or
 * another process has it), it `resigned` or does not know of its lease, or it is `silent`.
 */
export type HolderStatus = 'gone' | 'resigned' | 'silent';

/** Times that decide about a takeover. */
export interface LeaseRules {
  /** From this long after its last renewal a holder that can't be fenced may not order. */
  readonly leaseMilliseconds: Milliseconds;
  /** Whether every engine refuses orders of an earlier term. */
  readonly isFencingEnforced: boolean;
}

/** Pause between renewals; three fit into the time after which a holder counts as silent. */
export const RENEWAL_INTERVAL_MILLISECONDS: Milliseconds = 700;

/** A holder that has not renewed for this long counts as silent: one renewal and its answer late. */
const HOLDER_SILENCE_MILLISECONDS: Milliseconds = 1_300;

/** A holder that was just elected may not have read its answer yet. */
const ELECTION_GRACE_MILLISECONDS: Milliseconds = 600;

/** When a node may take the lease over from what it saw; the past means at once. */
export function takeoverAllowedAt(
  sighting: LeaseObservation,
  sign: HolderStatus,
  rules: LeaseRules,
  now: Instant,
): Instant {
  const {record, firstSeenAt} = sighting;
  if (record.holder === undefined || sign === 'gone') return now;
  if (sign === 'resigned')
    return after(firstSeenAt, ELECTION_GRACE_MILLISECONDS);
  return after(firstSeenAt, HOLDER_SILENCE_MILLISECONDS);
}

/**
 * From when on a new holder may order. Where engines don't check terms, the holder
 * before may still order until its lease has run out.
 */
export function ordersAllowedAt(
  takenAt: Instant,
  before: LeaseObservation | undefined,
  rules: LeaseRules,
): Instant {
  if (rules.isFencingEnforced || before === undefined) return takenAt;
  return later(takenAt, after(takenAt, rules.leaseMilliseconds));
}

/** The record by which a node takes the lease over. */
export function takeoverRecord(
  holder: NodeId,
  address: string,
  before: LeaseObservation | undefined,
): LeaseRecord {
  const term = (before?.record.term ?? 0) + 1;
  return {holder, address, term: as<FencingNumber>(term)};
}

/** The record by which a holder gives the lease back. */
export function releasedRecord(term: FencingNumber): LeaseRecord {
  return {holder: undefined, address: '', term};
}
