/**
 * Sends claims to the owner of their shard, fails over to the node that ranks next
 * when the owner is unreachable, and owns the shards for which this node ranks first.
 * Ownership needs no lease: opening a shard's log fences all earlier owners.
 */

import {createHash} from 'node:crypto';
import type {EmitEvent, Instant, Milliseconds, NodeId} from '@siskinmux/kernel';
import {SiskinmuxError, after, earlier, sleepFor} from '@siskinmux/kernel';
import type {
  OwnerClientOptions,
  OwnerReply,
  OwnerRequest,
} from '@siskinmux/membership';
import {OwnerClient, PeerUnreachableError} from '@siskinmux/membership';
import type {ObjectService} from '@siskinmux/ports';
import type {AttemptId, AttemptOutcome, ClaimKey} from './claim_record.js';
import type {ClaimReply, ClaimRequest} from './claim_table.js';
import {SHARD_LOST, SHARD_OPENED, SHARD_RESTORED} from './ledger_events.js';
import {ShardLostError} from './shard_log.js';
import {ShardOwner} from './shard_owner.js';

/** Maximum write rate of all shards together at the object service. */
export const CLAIM_WRITES_PER_SECOND = 150;

/** Number of shards. It must be the same on all nodes and in all releases. */
export const CLAIM_SHARDS = 1;

/** Time after losing a shard during which a node reopens it only for a requested takeover. */
const REOPEN_BACKOFF_MILLISECONDS = 5_000;

/** First and maximum delay between reports of an outcome that was not acknowledged. */
const INITIAL_REPORT_DELAY_MILLISECONDS = 200;
const MAXIMUM_REPORT_DELAY_MILLISECONDS = 5_000;

/** Time in which running owners notice that the object service has lost what they wrote. */
const VERIFY_TIMEOUT_MILLISECONDS: Milliseconds = 4_000;

/** Request to a shard's owner. */
export type LedgerRequest =
  | {
      readonly kind: 'claim';
      readonly request: ClaimRequest;
      /** When the owner replies at the latest while another attempt holds the key. */
      readonly waitUntil: Instant;
    }
  /** Another node has opened the shard; whoever owns it too reads its log. */
  | {readonly kind: 'verify'}
  /** Reports the outcome of an attempt. */
  | {
      readonly kind: 'end';
      readonly key: ClaimKey;
      readonly attempt: AttemptId;
      readonly end: AttemptOutcome;
    };

/** Response of a shard's owner. */
export type LedgerResponse =
  | {readonly kind: 'claim'; readonly reply: ClaimReply}
  | {readonly kind: 'ended'};

/** Dependencies of {@link Ledger}. */
export interface LedgerOptions extends Omit<
  OwnerClientOptions<LedgerRequest, LedgerResponse>,
  'handle'
> {
  readonly objects: ObjectService;
  readonly shards: number;
  readonly emit: EmitEvent;
  readonly isNodeTerminated: (node: NodeId) => boolean;
  /** Starts a trace span at the owner; returns the function that ends it. */
  readonly startClaimSpan: (traceparent: string | undefined) => () => void;
}

/** Claims requests and reports their outcomes on behalf of one node. */
export class Ledger {
  private readonly ownedShards = new Map<number, Promise<ShardOwner>>();
  /** Those of the owned shards that are open. */
  private readonly openOwners = new Map<number, ShardOwner>();
  private readonly lostAtByShard = new Map<number, Instant>();
  private readonly unacknowledged = new Set<AttemptId>();
  private isStopped = false;

  private readonly ownerClient: OwnerClient<LedgerRequest, LedgerResponse>;

  private constructor(private readonly options: LedgerOptions) {
    this.ownerClient = OwnerClient.create({
      ...options,
      handle: request => this.handle(request),
    });
  }

  static create(options: LedgerOptions): Ledger {
    return new Ledger(options);
  }

  /** Number of outcomes that no owner has acknowledged yet. */
  get unacknowledgedCount(): number {
    return this.unacknowledged.size;
  }

  /**
   * Requests the right to dispatch. A granted claim is durable. Throws
   * {@link PeerUnreachableError} when no owner replies before the deadline. The claim
   * may have been written nevertheless, so the caller must not run its attempt.
   */
  async claim(request: ClaimRequest, waitUntil: Instant): Promise<ClaimReply> {
    const deadline = earlier(request.deadline, waitUntil);
    const response = await this.ownerClient.call(
      this.subjectOf(request.key),
      {kind: 'claim', request, waitUntil: deadline},
      deadline,
    );
    if (response.kind === 'claim') return response.reply;
    throw new PeerUnreachableError(
      'the owner gave the answer to another question',
    );
  }

  /** Reports the outcome of an attempt, with retries until an owner has made it durable. */
  async reportOutcome(
    key: ClaimKey,
    attempt: AttemptId,
    outcome: AttemptOutcome,
    expiresAt: Instant,
  ): Promise<void> {
    const {clock} = this.options;
    this.unacknowledged.add(attempt);
    let delayMilliseconds = INITIAL_REPORT_DELAY_MILLISECONDS;
    while (clock.now() < expiresAt && !this.isStopped) {
      if (await this.tryReportOutcome(key, attempt, outcome, expiresAt)) break;
      await sleepFor(clock, delayMilliseconds);
      delayMilliseconds = Math.min(
        delayMilliseconds * 2,
        MAXIMUM_REPORT_DELAY_MILLISECONDS,
      );
    }
    this.unacknowledged.delete(attempt);
  }

  /** Handles a request from a peer, or from this node itself, as a shard's owner. */
  async handle(
    request: OwnerRequest<LedgerRequest>,
  ): Promise<OwnerReply<LedgerResponse>> {
    const shard = shardOfSubject(request.subject);
    if (request.message.kind === 'verify') {
      await this.openOwners.get(shard)?.verify();
      return {kind: 'answer', answer: {kind: 'ended'}};
    }
    if (!this.canOwn(shard, request)) {
      return {
        kind: 'not_owner',
        owner: this.ownerClient.hintedOwner(request.subject),
      };
    }
    try {
      const shardOwner = await this.getOrOpenOwner(shard);
      const response = await this.execute(shardOwner, request.message);
      return {kind: 'answer', answer: response};
    } catch (failure) {
      if (!(failure instanceof ShardLostError)) throw failure;
      return {kind: 'not_owner', owner: failure.owner};
    }
  }

  /** Notices whether the object service has lost what the owned shards had written. */
  async verifyShards(): Promise<void> {
    await Promise.all(
      [...this.openOwners.values()].map(owner => owner.verify()),
    );
  }

  /** Discards owner hints and decides waiting claims again. */
  onMembershipChange(): void {
    this.ownerClient.clearHints();
    for (const pendingOwner of this.ownedShards.values()) {
      pendingOwner.then(
        owner => owner.reevaluateWaitingClaims(),
        () => {},
      );
    }
  }

  /** Writes pending records and closes all shards. */
  async stop(): Promise<void> {
    const pendingOwners = [...this.ownedShards.values()];
    await Promise.allSettled(
      pendingOwners.map(async pendingOwner => (await pendingOwner).close()),
    );
    this.isStopped = true;
  }

  /** Drops all unwritten records, as a crash would. */
  abandon(): void {
    this.isStopped = true;
    for (const pendingOwner of this.ownedShards.values()) {
      pendingOwner.then(
        owner => owner.abandon(),
        () => {},
      );
    }
  }

  private async tryReportOutcome(
    key: ClaimKey,
    attempt: AttemptId,
    outcome: AttemptOutcome,
    deadline: Instant,
  ): Promise<boolean> {
    const message: LedgerRequest = {kind: 'end', key, attempt, end: outcome};
    try {
      const response = await this.ownerClient.call(
        this.subjectOf(key),
        message,
        deadline,
      );
      return response.kind === 'ended';
    } catch (failure) {
      if (failure instanceof SiskinmuxError) return false;
      throw failure;
    }
  }

  private subjectOf(key: ClaimKey): string {
    return subjectOfShard(shardOf(key, this.options.shards));
  }

  private async execute(
    shardOwner: ShardOwner,
    message: Exclude<LedgerRequest, {kind: 'verify'}>,
  ): Promise<LedgerResponse> {
    if (message.kind === 'end') {
      await shardOwner.recordOutcome(message.key, message.attempt, message.end);
      return {kind: 'ended'};
    }
    const endSpan = this.options.startClaimSpan(message.request.traceparent);
    try {
      const reply = await shardOwner.claim(message.request, message.waitUntil);
      return {kind: 'claim', reply};
    } finally {
      endSpan();
    }
  }

  private canOwn(shard: number, request: OwnerRequest<LedgerRequest>): boolean {
    if (this.isStopped) return false;
    if (request.takeOver || this.ownedShards.has(shard)) return true;
    const lostAt = this.lostAtByShard.get(shard);
    const isInBackoff =
      lostAt !== undefined &&
      this.options.clock.now() < after(lostAt, REOPEN_BACKOFF_MILLISECONDS);
    const [first] = this.options.rankedOwners(request.subject);
    return !isInBackoff && first === this.options.node;
  }

  private getOrOpenOwner(shard: number): Promise<ShardOwner> {
    let pendingOwner = this.ownedShards.get(shard);
    if (pendingOwner === undefined) {
      pendingOwner = this.openShard(shard);
      this.ownedShards.set(shard, pendingOwner);
      pendingOwner.catch(() => this.ownedShards.delete(shard));
    }
    return pendingOwner;
  }

  private async openShard(shard: number): Promise<ShardOwner> {
    const {options} = this;
    const shardOwner = await ShardOwner.open({
      ...options,
      shard,
      writeIntervalMilliseconds: shardWriteIntervalMilliseconds(options.shards),
      onLost: failure => this.onShardLost(shard, failure),
      onRestored: records => options.emit(SHARD_RESTORED, {shard, records}),
    });
    this.openOwners.set(shard, shardOwner);
    options.emit(SHARD_OPENED, {shard, claims: shardOwner.claimCount});
    await this.verifyAtOthers(shard);
    return shardOwner;
  }

  /**
   * Waits until an earlier owner that runs has read the log: if the object service has lost what
   * it wrote, it takes the shard back before anything is granted here.
   */
  private async verifyAtOthers(shard: number): Promise<void> {
    const {clock, node, rankedOwners, callPeer} = this.options;
    const subject = subjectOfShard(shard);
    const deadline = after(clock.now(), VERIFY_TIMEOUT_MILLISECONDS);
    const request = {
      subject,
      message: {kind: 'verify'},
      takeOver: false,
    } as const;
    await Promise.allSettled(
      rankedOwners(subject)
        .filter(other => other !== node)
        .map(other => callPeer(other, request, deadline)),
    );
  }

  private onShardLost(shard: number, failure: ShardLostError): void {
    this.ownedShards.delete(shard);
    this.openOwners.delete(shard);
    this.lostAtByShard.set(shard, this.options.clock.now());
    if (failure.owner !== undefined) {
      this.ownerClient.setHint(subjectOfShard(shard), failure.owner);
    }
    this.options.emit(SHARD_LOST, {shard, owner: failure.owner});
  }
}

/**
 * Minimum time between two writes of one shard, with which all shards together stay
 * within {@link CLAIM_WRITES_PER_SECOND}.
 */
export function shardWriteIntervalMilliseconds(shards: number): Milliseconds {
  return (shards * 1_000) / CLAIM_WRITES_PER_SECOND;
}

/** Digest that identifies a caller's idempotency key within its scope. */
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

/** Subject under which requests are routed to the owner of a shard. */
export function subjectOfShard(shard: number): string {
  return `claims/${shard}`;
}

function shardOfSubject(subject: string): number {
  return Number(subject.slice(subject.lastIndexOf('/') + 1));
}
