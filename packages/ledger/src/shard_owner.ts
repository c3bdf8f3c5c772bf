/**
 * Owner of one shard: decides claims, writes them in batches and replies once they
 * are durable. A claim on a key that a running attempt holds waits for its outcome.
 */

import type {
  CancelTimer,
  Clock,
  Instant,
  Milliseconds,
  NodeId,
} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError, after, earlier} from '@siskinmux/kernel';
import type {
  AttemptId,
  AttemptOutcome,
  ClaimKey,
  ClaimRecord,
} from './claim_record.js';
import type {ClaimReply, ClaimRequest} from './claim_table.js';
import {ClaimTable} from './claim_table.js';
import type {RetainedRecord, ShardLogOptions} from './shard_log.js';
import {LogWentBackError, ShardLog, ShardLostError} from './shard_log.js';

/** Time that an outcome may wait to be written together with a claim. */
const OUTCOME_FLUSH_DELAY_MILLISECONDS = 5_000;

/** Minimum time between two removals of expired claims. */
const EXPIRY_SWEEP_INTERVAL_MILLISECONDS = 10_000;

/** Number of unwritten records at which further claims are refused. */
const MAXIMUM_UNWRITTEN_RECORDS = 20_000;

/** The shard's owner has too many unwritten records to accept a claim. */
export class ShardBusyError extends SiskinmuxError {
  constructor(shard: number) {
    super(
      ErrorCode.PlatformBusy,
      `shard ${shard} waits for the object service`,
    );
  }
}

/** Dependencies of {@link ShardOwner}. */
export interface ShardOwnerOptions extends ShardLogOptions {
  /** Minimum time between the starts of two writes. */
  readonly writeIntervalMilliseconds: Milliseconds;
  /** Whether a node is known to have terminated. */
  readonly isNodeTerminated: (node: NodeId) => boolean;
  /** Called once when this node has lost or closed the shard. */
  readonly onLost: (failure: ShardLostError) => void;
  /** Called when the object service had lost records, which this node has written again. */
  readonly onRestored: (records: number) => void;
}

interface WaitingClaim {
  readonly request: ClaimRequest;
  readonly resolve: (reply: ClaimReply) => void;
  readonly reject: (failure: unknown) => void;
  cancelTimer: CancelTimer;
}

interface PendingRecord extends RetainedRecord {
  readonly onWritten: () => void;
  readonly onFailure: (failure: unknown) => void;
}

interface Batch {
  /** The batch contains a claim, whose caller waits for the write. */
  isUrgent: boolean;
  readonly records: PendingRecord[];
}

/** Owns one shard while its log is open. */
export class ShardOwner {
  private table = ClaimTable.create();
  private log: ShardLog | undefined;
  private batch: Batch = emptyBatch();
  private readonly waitingClaims = new Map<ClaimKey, WaitingClaim[]>();
  private activeWrite: Promise<void> | undefined;
  private nextWriteAt: Instant;
  private nextSweepAt: Instant;
  private cancelFlush: CancelTimer | undefined;
  private closeReason: unknown;
  private writesStarted = 0;

  private constructor(private readonly options: ShardOwnerOptions) {
    this.nextWriteAt = options.clock.now();
    this.nextSweepAt = after(
      options.clock.now(),
      EXPIRY_SWEEP_INTERVAL_MILLISECONDS,
    );
  }

  /** Opens the shard and fences its earlier owner. Throws {@link ShardLostError}. */
  static async open(options: ShardOwnerOptions): Promise<ShardOwner> {
    const owner = new ShardOwner(options);
    const {log, table} = await ShardLog.open(options);
    owner.log = log;
    owner.table = table;
    return owner;
  }

  /** Number of writes to the object service so far, for metrics. */
  get writeCount(): number {
    return this.writesStarted;
  }

  /** Number of retained keys, for metrics. */
  get claimCount(): number {
    return this.table.size;
  }

  /**
   * Decides a claim. A claim on a key that another attempt holds waits for the
   * outcome of that attempt, at most until `waitUntil`. Rejects with
   * {@link ShardLostError}.
   */
  async claim(request: ClaimRequest, waitUntil: Instant): Promise<ClaimReply> {
    this.throwIfClosed();
    // The outcome of an expired attempt may have arrived before its claim. Granting
    // the claim afterwards would block the key although nothing runs.
    if (request.deadline <= this.clock.now()) return {kind: 'too_late'};
    const reply = this.decide(request);
    if (reply.kind === 'in_progress')
      return this.waitForOutcome(request, waitUntil);
    if (reply.kind !== 'granted') return reply;
    if (this.batch.records.length >= MAXIMUM_UNWRITTEN_RECORDS) {
      throw new ShardBusyError(this.options.shard);
    }
    await this.grant(request);
    return reply;
  }

  /** Records the outcome of an attempt; resolves when the record is durable. */
  async recordOutcome(
    key: ClaimKey,
    attempt: AttemptId,
    outcome: AttemptOutcome,
  ): Promise<void> {
    this.throwIfClosed();
    if (!this.table.isHeldBy(key, attempt)) return;
    const record: ClaimRecord = {kind: 'end', key, attempt, end: outcome};
    const expiresAt = this.table.expiryOf(record);
    this.table.apply(record);
    const written = this.enqueue({record, expiresAt});
    this.reevaluateKey(key);
    this.scheduleFlush();
    await written;
  }

  /**
   * Reads the log, so that a return of the object service from an older copy, or another owner,
   * is noticed without a write.
   */
  async verify(): Promise<void> {
    if (this.closeReason !== undefined) return;
    // A write that is in progress notices both, too.
    this.activeWrite ??= this.verifyLog();
    await this.activeWrite;
  }

  /** Writes pending records, so that a successor reads them, and closes the log. */
  async close(): Promise<void> {
    await this.activeWrite;
    if (this.batch.records.length > 0) await this.write();
    this.log?.close();
    this.closeWith(new ShardLostError(this.options.shard, undefined));
  }

  /** Closes the log without writing pending records. */
  abandon(): void {
    this.log?.close();
    this.closeWith(new ShardLostError(this.options.shard, undefined));
  }

  private get clock(): Clock {
    return this.options.clock;
  }

  private decide(request: ClaimRequest): ClaimReply {
    return this.table.decide(
      request,
      this.clock.now(),
      this.options.isNodeTerminated,
    );
  }

  private async grant(request: ClaimRequest): Promise<void> {
    const {traceparent: _notStored, ...claim} = request;
    const record: ClaimRecord = {kind: 'claim', ...claim};
    if (!this.table.isHeldBy(request.key, request.attempt)) {
      this.table.apply(record);
    }
    const {expiresAt} = request;
    const written = this.enqueue({record, expiresAt});
    this.batch.isUrgent = true;
    void this.write();
    await written;
  }

  private enqueue(record: RetainedRecord): Promise<void> {
    return new Promise((onWritten, onFailure) => {
      this.batch.records.push({...record, onWritten, onFailure});
    });
  }

  /** Decides all waiting claims again, since nodes may have terminated meanwhile. */
  reevaluateWaitingClaims(): void {
    for (const key of [...this.waitingClaims.keys()]) this.reevaluateKey(key);
  }

  private waitForOutcome(
    request: ClaimRequest,
    waitUntil: Instant,
  ): Promise<ClaimReply> {
    return new Promise((resolve, reject) => {
      const waiting: WaitingClaim = {
        request,
        resolve,
        reject,
        cancelTimer: () => {},
      };
      const others = this.waitingClaims.get(request.key) ?? [];
      this.waitingClaims.set(request.key, [...others, waiting]);
      this.scheduleWaitEnd(waiting, waitUntil);
    });
  }

  /** Ends a wait at `waitUntil`, or at the deadline of the attempt that holds the key. */
  private scheduleWaitEnd(waiting: WaitingClaim, waitUntil: Instant): void {
    const {request} = waiting;
    const holderDeadline = this.table.deadlineOf(request.key) ?? waitUntil;
    const checkAt = earlier(waitUntil, holderDeadline);
    waiting.cancelTimer = this.clock.schedule(checkAt, () => {
      const reply = this.replyAtWaitEnd(request);
      // Another attempt may hold the key by now, with a later deadline.
      const canKeepWaiting = this.clock.now() < waitUntil;
      if (reply.kind === 'in_progress' && canKeepWaiting) {
        this.scheduleWaitEnd(waiting, waitUntil);
        return;
      }
      this.removeWaiting(waiting);
      waiting.resolve(reply);
    });
  }

  /** Decides a claim whose wait is over; such a claim is not granted any more. */
  private replyAtWaitEnd(request: ClaimRequest): ClaimReply {
    const reply = this.decide(request);
    return reply.kind === 'granted' ? {kind: 'in_progress'} : reply;
  }

  private removeWaiting(waiting: WaitingClaim): void {
    const {key} = waiting.request;
    const others = (this.waitingClaims.get(key) ?? []).filter(
      other => other !== waiting,
    );
    if (others.length > 0) this.waitingClaims.set(key, others);
    else this.waitingClaims.delete(key);
  }

  /** Decides the waiting claims of a key again. One may be granted; the others keep waiting. */
  private reevaluateKey(key: ClaimKey): void {
    for (const waiting of this.waitingClaims.get(key) ?? []) {
      const reply = this.decide(waiting.request);
      if (reply.kind === 'in_progress') continue;
      this.removeWaiting(waiting);
      waiting.cancelTimer();
      if (reply.kind !== 'granted') {
        waiting.resolve(reply);
        continue;
      }
      this.grant(waiting.request).then(
        () => waiting.resolve(reply),
        failure => waiting.reject(failure),
      );
    }
  }

  private scheduleFlush(): void {
    if (this.cancelFlush !== undefined) return;
    this.cancelFlush = this.clock.schedule(
      after(this.clock.now(), OUTCOME_FLUSH_DELAY_MILLISECONDS),
      () => void this.write(),
    );
  }

  /** Writes batches until no claim waits for a write. Only one write runs at a time. */
  private write(): Promise<void> {
    this.activeWrite ??= this.writeBatches();
    return this.activeWrite;
  }

  private async verifyLog(): Promise<void> {
    try {
      await this.log?.verify();
    } catch (failure) {
      // While the object service does not respond, the next write or verification shows it.
      if (failure instanceof ShardLostError) await this.recover(failure, []);
    }
    if (this.batch.isUrgent && this.closeReason === undefined)
      return this.writeBatches();
    this.endWrites();
  }

  /** Outcomes alone trigger no further write: they wait for the next claim or the flush. */
  private async writeBatches(): Promise<void> {
    do {
      await this.waitForWriteInterval();
      await this.writeBatch();
    } while (this.batch.isUrgent && this.closeReason === undefined);
    this.endWrites();
    void this.removeExpired();
  }

  private endWrites(): void {
    this.activeWrite = undefined;
    if (this.batch.records.length > 0) this.scheduleFlush();
  }

  private waitForWriteInterval(): Promise<void> | undefined {
    if (this.clock.now() >= this.nextWriteAt) return undefined;
    return new Promise(resolve => {
      this.clock.schedule(this.nextWriteAt, resolve);
    });
  }

  private async writeBatch(): Promise<void> {
    this.cancelFlush?.();
    this.cancelFlush = undefined;
    const {batch} = this;
    this.batch = emptyBatch();
    this.nextWriteAt = after(
      this.clock.now(),
      this.options.writeIntervalMilliseconds,
    );
    const {records} = batch;
    let written = 0;
    try {
      this.writesStarted += 1;
      written = (await this.log?.append(records)) ?? 0;
    } catch (failure) {
      await this.recover(failure, records);
      return;
    }
    for (const {onWritten} of records.slice(0, written)) onWritten();
    this.writeFirst(records.slice(written));
  }

  /**
   * Writes what this node knows into a log that has lost it, before anything else is granted.
   * After any other failure, the shard is lost. `records` are those of the failed write.
   */
  private async recover(
    failure: unknown,
    records: readonly PendingRecord[],
  ): Promise<void> {
    if (failure instanceof LogWentBackError && this.closeReason === undefined)
      try {
        await this.restore();
        this.settle(records);
        return;
      } catch (restoreFailure) {
        failure = restoreFailure;
      }
    rejectAll(records, failure);
    this.closeWith(failure);
  }

  private async restore(): Promise<void> {
    const {options, clock} = this;
    const {log, table, restored} = await ShardLog.open(options, stored =>
      this.table.recordsMissingIn(stored, clock.now()),
    );
    if (this.closeReason !== undefined) log.close();
    this.log = log;
    this.table = table;
    this.applyArrived();
    options.onRestored(restored);
    this.reevaluateWaitingClaims();
  }

  /** Applies to the restored table what arrived while it was written. */
  private applyArrived(): void {
    const arrived = this.batch.records.splice(0);
    for (const pending of arrived) {
      const {record} = pending;
      const isDecided =
        record.kind === 'claim' &&
        this.table.deadlineOf(record.key) !== undefined;
      if (isDecided) {
        this.settle([pending]);
        continue;
      }
      this.table.apply(record);
      this.batch.records.push(pending);
    }
  }

  /** Ends the records of a failed write: what their attempts hold is restored. */
  private settle(records: readonly PendingRecord[]): void {
    for (const {record, onWritten, onFailure} of records) {
      const isLost =
        record.kind === 'claim' &&
        !this.table.isHeldBy(record.key, record.attempt);
      if (isLost) onFailure(new ShardLostError(this.options.shard, undefined));
      else onWritten();
    }
  }

  /** Puts records that did not fit into a write before the others. */
  private writeFirst(records: readonly PendingRecord[]): void {
    if (records.length === 0) return;
    if (this.closeReason !== undefined) {
      rejectAll(records, this.closeReason);
      return;
    }
    this.batch = {
      isUrgent: true,
      records: [...records, ...this.batch.records],
    };
  }

  private closeWith(failure: unknown): void {
    if (this.closeReason !== undefined) return;
    this.closeReason = failure;
    rejectAll(this.batch.records, failure);
    this.batch = emptyBatch();
    this.cancelFlush?.();
    for (const [, claims] of this.waitingClaims) {
      for (const waiting of claims) {
        waiting.cancelTimer();
        waiting.reject(failure);
      }
    }
    this.waitingClaims.clear();
    if (failure instanceof ShardLostError) this.options.onLost(failure);
  }

  private throwIfClosed(): void {
    if (this.closeReason !== undefined) throw this.closeReason;
  }

  private async removeExpired(): Promise<void> {
    const now = this.clock.now();
    if (now < this.nextSweepAt || this.closeReason !== undefined) return;
    this.nextSweepAt = after(now, EXPIRY_SWEEP_INTERVAL_MILLISECONDS);
    this.table.removeExpired(now);
    try {
      await this.log?.removeExpired(now);
    } catch {
      // A remaining expired segment only takes up space; the next sweep retries.
    }
  }
}

function emptyBatch(): Batch {
  return {isUrgent: false, records: []};
}

function rejectAll(records: readonly PendingRecord[], failure: unknown): void {
  for (const {onFailure} of records) onFailure(failure);
}
