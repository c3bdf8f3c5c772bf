/**
 * A node's side of the claims: finds a shard's owner, asks it, goes on to the next
 * in order when it can't be reached, and owns the shards that fall to this node.
 * Ownership needs no lease: whoever opens a shard's log fences all earlier owners.
 */

import {createHash} from 'node:crypto';
import type {EmitEvent, Instant, Milliseconds, NodeId} from '@siskinmux/kernel';
import {SiskinmuxError, after, earlier, sleepFor} from '@siskinmux/kernel';
import type {
  OwnerClientOptions,
  OwnerRequest,
  OwnerReply,
} from '@siskinmux/membership';
import {OwnerClient, PeerUnreachableError} from '@siskinmux/membership';
import type {ObjectService} from '@siskinmux/ports';
import type {AttemptEnd, AttemptId, ClaimKey} from './claim_record.js';
import type {ClaimReply, ClaimRequest} from './claim_table.js';
import {SHARD_LOST, SHARD_OPENED} from './ledger_events.js';
import {ShardLostError} from './shard_log.js';
import {ShardOwner} from './shard_owner.js';

/** Writes a second that all shards together may cost the object service. */
export const CLAIM_WRITES_PER_SECOND = 150;

/** Shards of the claims; the same on all nodes of all times. */
export const CLAIM_SHARDS = 1;

/** How long a node that lost a shard leaves it to its new owner. */
const REOPEN_HOLD_MILLISECONDS = 5_000;

/** First and longest pause between reports of an end that was not acknowledged. */
const REPORT_PAUSE_MILLISECONDS = 200;
const LONGEST_REPORT_PAUSE_MILLISECONDS = 5_000;

/** What nodes tell a shard's owner. */
export type LedgerRequest =
  | {
      readonly kind: 'claim';
      readonly request: ClaimRequest;
      readonly waitUntil: Instant;
    }
  | {
      readonly kind: 'end';
      readonly key: ClaimKey;
      readonly attempt: AttemptId;
      readonly end: AttemptEnd;
    };

/** What a shard's owner answers. */
export type LedgerResponse =
  | {readonly kind: 'claim'; readonly reply: ClaimReply}
  | {readonly kind: 'ended'};

/** What a ledger needs from its surroundings. */
export interface LedgerOptions extends Omit<
  OwnerClientOptions<LedgerRequest, LedgerResponse>,
  'handle'
> {
  readonly objects: ObjectService;
  readonly shards: number;
  readonly emit: EmitEvent;
  readonly isNodeTerminated: (node: NodeId) => boolean;
  /** Starts a traced hop at the owner; returns what ends it. */
  readonly startClaimSpan: (traceparent: string | undefined) => () => void;
}

/** Claims as one node sees them. */
export class Ledger {
  private readonly owned = new Map<number, Promise<ShardOwner>>();
  private readonly lostAt = new Map<number, Instant>();
  private readonly unreported = new Set<AttemptId>();
  private isStopped = false;

  private readonly owners: OwnerClient<LedgerRequest, LedgerResponse>;

  private constructor(private readonly options: LedgerOptions) {
    this.owners = OwnerClient.create({
      ...options,
      handle: question => this.handle(question),
    });
  }

  static create(options: LedgerOptions): Ledger {
    return new Ledger(options);
  }

  /** Ends that no owner has acknowledged yet. */
  get unacknowledgedCount(): number {
    return this.unreported.size;
  }

  /**
   * Asks for the right to dispatch. A granted claim is durable. Throws
   * {@link PeerUnreachableError} when the deadline comes first; whether the claim
   * was written is then not known, so the caller gives up its attempt.
   */
  async claim(request: ClaimRequest, waitUntil: Instant): Promise<ClaimReply> {
    const until = earlier(request.deadline, waitUntil);
    const answer = await this.owners.call(
      this.subjectOf(request.key),
      {kind: 'claim', request, waitUntil: until},
      until,
    );
    if (answer.kind === 'claim') return answer.reply;
    throw new PeerUnreachableError(
      'the owner gave the answer to another question',
    );
  }

  /** Reports how an attempt ended, again and again until an owner has it durable. */
  async reportEnd(
    key: ClaimKey,
    attempt: AttemptId,
    end: AttemptEnd,
    expiresAt: Instant,
  ): Promise<void> {
    const {clock} = this.options;
    this.unreported.add(attempt);
    let pause = REPORT_PAUSE_MILLISECONDS;
    while (clock.now() < expiresAt && !this.isStopped) {
      if (await this.tryReport(key, attempt, end, expiresAt)) break;
      await sleepFor(clock, pause);
      pause = Math.min(pause * 2, LONGEST_REPORT_PAUSE_MILLISECONDS);
    }
    this.unreported.delete(attempt);
  }

  /** Answers a peer, or this node itself, as a shard's owner. */
  async handle(
    question: OwnerRequest<LedgerRequest>,
  ): Promise<OwnerReply<LedgerResponse>> {
    const shard = shardOfSubject(question.subject);
    if (!this.mayOwn(shard, question)) {
      return {kind: 'not_owner', owner: this.owners.hintedOwner(question.subject)};
    }
    try {
      const owner = await this.ownerOf(shard);
      const answer = await this.carryOut(owner, question.message);
      return {kind: 'answer', answer};
    } catch (failure) {
      if (!(failure instanceof ShardLostError)) throw failure;
      return {kind: 'not_owner', owner: failure.owner};
    }
  }

  /** Tells waiting claims that the set of live nodes has changed. */
  onMembershipChange(): void {
    this.owners.clearHints();
    for (const opening of this.owned.values()) {
      opening.then(
        owner => owner.recheckWaiting(),
        () => {},
      );
    }
  }

  /** Writes what waits and gives all shards back. */
  async stop(): Promise<void> {
    const opened = [...this.owned.values()];
    await Promise.allSettled(
      opened.map(async opening => (await opening).close()),
    );
    this.isStopped = true;
  }

  /** Drops everything that is not written, as a crash would. */
  abandon(): void {
    this.isStopped = true;
    for (const opening of this.owned.values()) {
      opening.then(
        owner => owner.abandon(),
        () => {},
      );
    }
  }

  private async tryReport(
    key: ClaimKey,
    attempt: AttemptId,
    end: AttemptEnd,
    until: Instant,
  ): Promise<boolean> {
    const message: LedgerRequest = {kind: 'end', key, attempt, end};
    try {
      const answer = await this.owners.call(this.subjectOf(key), message, until);
      return answer.kind === 'ended';
    } catch (failure) {
      if (failure instanceof SiskinmuxError) return false;
      throw failure;
    }
  }

  private subjectOf(key: ClaimKey): string {
    return subjectOfShard(shardOf(key, this.options.shards));
  }

  private async carryOut(
    owner: ShardOwner,
    message: LedgerRequest,
  ): Promise<LedgerResponse> {
    if (message.kind === 'end') {
      await owner.end(message.key, message.attempt, message.end);
      return {kind: 'ended'};
    }
    const endTrace = this.options.startClaimSpan(message.request.traceparent);
    try {
      const reply = await owner.claim(message.request, message.waitUntil);
      return {kind: 'claim', reply};
    } finally {
      endTrace();
    }
  }

  private mayOwn(
    shard: number,
    question: OwnerRequest<LedgerRequest>,
  ): boolean {
    if (this.isStopped) return false;
    if (question.takeOver || this.owned.has(shard)) return true;
    const lostAt = this.lostAt.get(shard);
    const isHeldOff =
      lostAt !== undefined &&
      this.options.clock.now() < after(lostAt, REOPEN_HOLD_MILLISECONDS);
    const [first] = this.options.rankedOwners(question.subject);
    return !isHeldOff && first === this.options.node;
  }

  private ownerOf(shard: number): Promise<ShardOwner> {
    let opening = this.owned.get(shard);
    if (opening === undefined) {
      opening = this.openShard(shard);
      this.owned.set(shard, opening);
      opening.catch(() => this.owned.delete(shard));
    }
    return opening;
  }

  private async openShard(shard: number): Promise<ShardOwner> {
    const {options} = this;
    const owner = await ShardOwner.open({
      ...options,
      shard,
      writeInterval: writeInterval(options.shards),
      onLost: failure => this.lose(shard, failure),
    });
    options.emit(SHARD_OPENED, {shard, claims: owner.claimCount});
    return owner;
  }

  private lose(shard: number, failure: ShardLostError): void {
    this.owned.delete(shard);
    this.lostAt.set(shard, this.options.clock.now());
    if (failure.owner !== undefined) {
      this.owners.setHint(subjectOfShard(shard), failure.owner);
    }
    this.options.emit(SHARD_LOST, {shard, owner: failure.owner});
  }
}

/** Least time between the writes of one shard, so that all shards keep to the total. */
export function writeInterval(shards: number): Milliseconds {
  return (shards * 1_000) / CLAIM_WRITES_PER_SECOND;
}

/** Digest under which a caller's key is remembered. */
export function claimKeyOf(scope: string, idempotencyKey: string): ClaimKey {
  return createHash('sha256')
    .update(scope)
    .update('\n')
    .update(idempotencyKey)
    .digest('base64url')
    .slice(0, 22) as ClaimKey;
}

/** The shard of a key. */
export function shardOf(key: ClaimKey, shards: number): number {
  const digest = createHash('sha256').update(key).digest();
  return digest.readUInt32BE(0) % shards;
}

/** Name of a shard among the pieces of state that nodes own. */
export function subjectOfShard(shard: number): string {
  return `claims/${shard}`;
}

function shardOfSubject(subject: string): number {
  return Number(subject.slice(subject.lastIndexOf('/') + 1));
}
