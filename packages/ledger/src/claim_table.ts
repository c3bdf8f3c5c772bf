/**
 * In-memory state of one shard: the claimed keys, the attempt that holds each key and
 * its outcome. Performs no I/O; `ShardLog` makes the records durable.
 */

import type {Fingerprint, Instant, NodeId} from '@siskinmux/kernel';
import type {
  AttemptId,
  AttemptOutcome,
  ClaimKey,
  ClaimRecord,
  StoredResponse,
} from './claim_record.js';

/** Request for the exclusive right to dispatch a caller's request. */
export interface ClaimRequest {
  readonly key: ClaimKey;
  readonly fingerprint: Fingerprint;
  readonly attempt: AttemptId;
  readonly node: NodeId;
  /** The attempt dispatches nothing at or after this instant. */
  readonly deadline: Instant;
  /** The key is retained until this instant. */
  readonly expiresAt: Instant;
  /** W3C trace context of the call to the shard's owner. */
  readonly traceparent: string | undefined;
}

/** Result of a claim. */
export type ClaimReply =
  /** This attempt, and no other, may dispatch. */
  | {readonly kind: 'granted'}
  /** Another attempt holds the key and may still be running. */
  | {readonly kind: 'in_progress'}
  /** The call ran; `answer` is undefined when the response was not stored. */
  | {readonly kind: 'answered'; readonly answer: StoredResponse | undefined}
  /** The call may have run. */
  | {readonly kind: 'unknown'}
  /** The claim reached the owner after its own deadline; nothing was recorded. */
  | {readonly kind: 'too_late'}
  /** The key was claimed for a different request. */
  | {readonly kind: 'key_reused'};

interface ClaimEntry {
  readonly fingerprint: Fingerprint;
  readonly attempt: AttemptId;
  readonly node: NodeId;
  readonly deadline: Instant;
  readonly expiresAt: Instant;
  outcome: AttemptOutcome | undefined;
}

/** Claims of one shard by key. */
export class ClaimTable {
  private readonly entries = new Map<ClaimKey, ClaimEntry>();

  private constructor() {}

  static create(): ClaimTable {
    return new ClaimTable();
  }

  /** Number of retained keys. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Decides a claim against the current state. When a free key is granted, the
   * caller must make the claim's record durable before it replies.
   * `isNodeTerminated` checks the node of the attempt that holds the key.
   */
  decide(
    request: ClaimRequest,
    now: Instant,
    isNodeTerminated: (node: NodeId) => boolean,
  ): ClaimReply {
    const entry = this.entries.get(request.key);
    if (entry === undefined || entry.expiresAt <= now) return {kind: 'granted'};
    if (entry.fingerprint !== request.fingerprint) return {kind: 'key_reused'};
    if (entry.outcome !== undefined) return replyForOutcome(entry.outcome);
    // An attempt claims again when the reply to its first claim was lost.
    if (entry.attempt === request.attempt) return {kind: 'granted'};
    const isAbandoned = entry.deadline <= now || isNodeTerminated(entry.node);
    return isAbandoned ? {kind: 'unknown'} : {kind: 'in_progress'};
  }

  /** Whether `attempt` holds the key. */
  isHeldBy(key: ClaimKey, attempt: AttemptId): boolean {
    return this.entries.get(key)?.attempt === attempt;
  }

  /** Deadline of the attempt that holds the key; it dispatches nothing afterwards. */
  deadlineOf(key: ClaimKey): Instant | undefined {
    return this.entries.get(key)?.deadline;
  }

  /**
   * Expiry of the claim that a record belongs to, before the record is applied;
   * undefined when it belongs to none.
   */
  expiryOf(record: ClaimRecord): Instant | undefined {
    if (record.kind === 'claim') return record.expiresAt;
    if (record.kind !== 'end') return undefined;
    const entry = this.entries.get(record.key);
    return entry?.attempt === record.attempt ? entry.expiresAt : undefined;
  }

  /** Applies a record. Outcomes of attempts that do not hold the key are ignored. */
  apply(record: ClaimRecord): void {
    if (record.kind === 'claim') {
      const {fingerprint, attempt, node, deadline, expiresAt} = record;
      this.entries.set(record.key, {
        fingerprint,
        attempt,
        node,
        deadline,
        expiresAt,
        outcome: undefined,
      });
    } else if (record.kind === 'end') {
      this.applyOutcome(record.key, record.attempt, record.end);
    }
  }

  /** Records with which `stored` would know the unexpired claims that this table knows. */
  recordsMissingIn(stored: ClaimTable, now: Instant): readonly ClaimRecord[] {
    const records: ClaimRecord[] = [];
    for (const [key, {outcome, ...claim}] of this.entries) {
      if (claim.expiresAt <= now) continue;
      const other = stored.entries.get(key);
      const isMissing = other === undefined || other.expiresAt <= now;
      // A key that was granted to another attempt meanwhile remains that attempt's.
      if (!isMissing && other.attempt !== claim.attempt) continue;
      if (isMissing) records.push({kind: 'claim', key, ...claim});
      if (outcome !== undefined && (isMissing || other.outcome === undefined))
        records.push({kind: 'end', key, attempt: claim.attempt, end: outcome});
    }
    return records;
  }

  /** Removes expired keys. */
  removeExpired(now: Instant): void {
    for (const [key, entry] of this.entries) {
      if (entry.expiresAt <= now) this.entries.delete(key);
    }
  }

  private applyOutcome(
    key: ClaimKey,
    attempt: AttemptId,
    outcome: AttemptOutcome,
  ): void {
    const entry = this.entries.get(key);
    if (entry === undefined || entry.attempt !== attempt) return;
    // A late response replaces an unknown outcome; all other outcomes are final.
    const isFinal =
      entry.outcome !== undefined && entry.outcome.kind !== 'unknown';
    if (isFinal) return;
    if (outcome.kind === 'not_run') {
      if (entry.outcome === undefined) this.entries.delete(key);
    } else {
      entry.outcome = outcome;
    }
  }
}

function replyForOutcome(outcome: AttemptOutcome): ClaimReply {
  if (outcome.kind === 'answered')
    return {kind: 'answered', answer: outcome.answer};
  return {kind: 'unknown'};
}
