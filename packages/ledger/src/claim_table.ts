/**
 * The state of one shard: which keys are claimed, by which attempt, and how each
 * ended. Pure; the log decides what becomes durable.
 */

import type {Fingerprint, Instant, NodeId} from '@siskinmux/kernel';
import type {
  AttemptOutcome,
  AttemptId,
  ClaimKey,
  ClaimRecord,
  StoredResponse,
} from './claim_record.js';

/** A request for the right to dispatch. */
export interface ClaimRequest {
  readonly key: ClaimKey;
  readonly fingerprint: Fingerprint;
  readonly attempt: AttemptId;
  readonly node: NodeId;
  /** The attempt dispatches nothing from this instant on. */
  readonly deadline: Instant;
  /** The key is remembered until then. */
  readonly expiresAt: Instant;
  /** W3C trace context of the hop to the owner. */
  readonly traceparent: string | undefined;
}

/** What a claim comes to. */
export type ClaimReply =
  /** This attempt, and no other, may dispatch. */
  | {readonly kind: 'granted'}
  /** Another attempt holds the key and may still be running. */
  | {readonly kind: 'in_progress'}
  /** It ran; `answer` is undefined when it was not kept. */
  | {readonly kind: 'answered'; readonly answer: StoredResponse | undefined}
  /** It may have run. */
  | {readonly kind: 'unknown'}
  /** The claim reached the owner after its own deadline; nothing was recorded. */
  | {readonly kind: 'too_late'}
  /** The key belongs to a different request. */
  | {readonly kind: 'key_reused'};

interface ClaimEntry {
  readonly fingerprint: Fingerprint;
  readonly attempt: AttemptId;
  readonly node: NodeId;
  readonly deadline: Instant;
  readonly expiresAt: Instant;
  end: AttemptOutcome | undefined;
}

/** Claims of one shard by key. */
export class ClaimTable {
  private readonly entries = new Map<ClaimKey, ClaimEntry>();

  private constructor() {}

  static create(): ClaimTable {
    return new ClaimTable();
  }

  /** Number of keys remembered. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * What a claim comes to in the present state. `granted` for a free key means
   * that the caller has to append the claim's record before telling anyone.
   * `isNodeGone` tells whether a claim's node is known to have ended.
   */
  decide(
    request: ClaimRequest,
    now: Instant,
    isNodeGone: (node: NodeId) => boolean,
  ): ClaimReply {
    const entry = this.entries.get(request.key);
    if (entry === undefined || entry.expiresAt <= now) return {kind: 'granted'};
    if (entry.fingerprint !== request.fingerprint) return {kind: 'key_reused'};
    if (entry.end !== undefined) return replyAfter(entry.end);
    // The same attempt asks again when the answer to its first claim was lost.
    if (entry.attempt === request.attempt) return {kind: 'granted'};
    const isStuck = entry.deadline <= now || isNodeGone(entry.node);
    return isStuck ? {kind: 'unknown'} : {kind: 'in_progress'};
  }

  /** Whether the attempt holds the key already. */
  isHeldBy(key: ClaimKey, attempt: AttemptId): boolean {
    return this.entries.get(key)?.attempt === attempt;
  }

  /** When the attempt that holds the key dispatches no more. */
  deadlineOf(key: ClaimKey): Instant | undefined {
    return this.entries.get(key)?.deadline;
  }

  /** Applies a record; ends of attempts that hold nothing are ignored. */
  apply(record: ClaimRecord): void {
    if (record.kind === 'claim') {
      const {fingerprint, attempt, node, deadline, expiresAt} = record;
      this.entries.set(record.key, {
        fingerprint,
        attempt,
        node,
        deadline,
        expiresAt,
        end: undefined,
      });
    } else if (record.kind === 'end') {
      this.applyEnd(record.key, record.attempt, record.end);
    }
  }

  /** Forgets expired keys. */
  removeExpired(now: Instant): void {
    for (const [key, entry] of this.entries) {
      if (entry.expiresAt <= now) this.entries.delete(key);
    }
  }

  private applyEnd(
    key: ClaimKey,
    attempt: AttemptId,
    end: AttemptOutcome,
  ): void {
    const entry = this.entries.get(key);
    if (entry === undefined || entry.attempt !== attempt) return;
    // An answer that arrives late outweighs "unknown"; nothing else replaces an end.
    const isFinal = entry.end !== undefined && entry.end.kind !== 'unknown';
    if (isFinal) return;
    if (end.kind === 'not_run') {
      if (entry.end === undefined) this.entries.delete(key);
    } else {
      entry.end = end;
    }
  }
}

function replyAfter(end: AttemptOutcome): ClaimReply {
  if (end.kind === 'answered') return {kind: 'answered', answer: end.answer};
  return {kind: 'unknown'};
}
