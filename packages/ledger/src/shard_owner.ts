/**
 * The task that owns one shard: decides claims, writes them in batches and answers
 * once they are durable. A claim that meets a running attempt waits for its end.
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
  AttemptEnd,
  AttemptId,
  ClaimKey,
  ClaimRecord,
} from './claim_record.js';
import type {ClaimReply, ClaimRequest} from './claim_table.js';
import {ClaimTable} from './claim_table.js';
import type {ShardLogOptions} from './shard_log.js';
import {ShardLog, ShardLostError} from './shard_log.js';

/** How long an end waits for a claim to share its write. */
const END_FLUSH_MILLISECONDS = 5_000;

/** Pause between two sweeps of expired claims. */
const SWEEP_MILLISECONDS = 10_000;

/** Records that may wait for a write before new claims are refused. */
const MAXIMUM_WAITING_RECORDS = 20_000;

/** The shard's owner holds too many claims that are not written yet. */
export class ShardBusyError extends SiskinmuxError {
  constructor(shard: number) {
    super(
      ErrorCode.PlatformBusy,
      `shard ${shard} waits for the object service`,
    );
  }
}

/** What the owner of a shard needs from its surroundings. */
export interface ShardOwnerOptions extends ShardLogOptions {
  /** Least time between the starts of two writes. */
  readonly writeInterval: Milliseconds;
  /** Whether a node is known to have ended. */
  readonly isNodeTerminated: (node: NodeId) => boolean;
  /** Called once when another node took the shard over. */
  readonly onLost: (failure: ShardLostError) => void;
}

interface WaitingClaim {
  readonly request: ClaimRequest;
  readonly resolve: (reply: ClaimReply) => void;
  readonly reject: (failure: unknown) => void;
  cancelTimer: CancelTimer;
}

interface Batch {
  /** Somebody waits for it to be written. */
  isUrgent: boolean;
  readonly records: ClaimRecord[];
  readonly onWritten: Array<() => void>;
  readonly onLost: Array<(failure: unknown) => void>;
}

/** Owner of one shard for as long as its log is open. */
export class ShardOwner {
  private table = ClaimTable.create();
  private log: ShardLog | undefined;
  private batch: Batch = emptyBatch();
  private readonly waiting = new Map<ClaimKey, WaitingClaim[]>();
  private writing: Promise<void> | undefined;
  private nextWriteAt: Instant;
  private nextSweepAt: Instant;
  private cancelFlush: CancelTimer | undefined;
  private lost: unknown;
  private writes = 0;

  private constructor(private readonly options: ShardOwnerOptions) {
    this.nextWriteAt = options.clock.now();
    this.nextSweepAt = after(options.clock.now(), SWEEP_MILLISECONDS);
  }

  /** Opens the shard, fencing its earlier owner. Throws {@link ShardLostError}. */
  static async open(options: ShardOwnerOptions): Promise<ShardOwner> {
    const owner = new ShardOwner(options);
    owner.log = await ShardLog.open(options, owner.table);
    return owner;
  }

  /** Writes to the object service so far, for metrics. */
  get writeCount(): number {
    return this.writes;
  }

  /** Keys remembered now, for metrics. */
  get claimCount(): number {
    return this.table.size;
  }

  /**
   * Decides a claim. A claim on a key that another attempt holds waits until that
   * attempt ends, or until `waitUntil`. Rejects with {@link ShardLostError}.
   */
  async claim(request: ClaimRequest, waitUntil: Instant): Promise<ClaimReply> {
    this.throwIfLost();
    // A claim that was overtaken by its own attempt's end would hold the key for nothing.
    if (request.deadline <= this.clock.now()) return {kind: 'too_late'};
    const reply = this.decide(request);
    if (reply.kind === 'in_progress') return this.wait(request, waitUntil);
    if (reply.kind !== 'granted') return reply;
    if (this.batch.records.length >= MAXIMUM_WAITING_RECORDS) {
      throw new ShardBusyError(this.options.shard);
    }
    await this.grant(request);
    return reply;
  }

  /** Records how an attempt ended; resolves when that is durable. */
  async end(key: ClaimKey, attempt: AttemptId, end: AttemptEnd): Promise<void> {
    this.throwIfLost();
    if (!this.table.isHeldBy(key, attempt)) return;
    const record: ClaimRecord = {kind: 'end', key, attempt, end};
    this.table.apply(record);
    const written = this.enqueue(record);
    this.releaseWaiting(key);
    this.scheduleFlush();
    await written;
  }

  /** Writes what waits and closes the log, so that a successor finds all of it. */
  async close(): Promise<void> {
    await this.writing;
    if (this.batch.records.length > 0) await this.write();
    this.log?.close();
    this.lose(new ShardLostError(this.options.shard, undefined));
  }

  /** Closes the log without writing what waits. */
  abandon(): void {
    this.log?.close();
    this.lose(new ShardLostError(this.options.shard, undefined));
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
    const written = this.enqueue(record);
    this.batch.isUrgent = true;
    void this.write();
    await written;
  }

  private enqueue(record: ClaimRecord): Promise<void> {
    return new Promise((resolve, reject) => {
      this.batch.records.push(record);
      this.batch.onWritten.push(resolve);
      this.batch.onLost.push(reject);
    });
  }

  /** Decides waiting claims anew, since nodes may have ended meanwhile. */
  recheckWaiting(): void {
    for (const key of [...this.waiting.keys()]) this.releaseWaiting(key);
  }

  private wait(request: ClaimRequest, waitUntil: Instant): Promise<ClaimReply> {
    return new Promise((resolve, reject) => {
      const waiting: WaitingClaim = {
        request,
        resolve,
        reject,
        cancelTimer: () => {},
      };
      const others = this.waiting.get(request.key) ?? [];
      this.waiting.set(request.key, [...others, waiting]);
      this.watchWait(waiting, waitUntil);
    });
  }

  /** Ends a wait when its time is over, or when the attempt that runs has had its own. */
  private watchWait(waiting: WaitingClaim, waitUntil: Instant): void {
    const {request} = waiting;
    const runsUntil = this.table.deadlineOf(request.key) ?? waitUntil;
    const lookAt = earlier(waitUntil, runsUntil);
    waiting.cancelTimer = this.clock.schedule(lookAt, () => {
      const reply = this.replyAtDeadline(request);
      // Another attempt may have been granted the key meanwhile and run for longer.
      const mayGoOn = this.clock.now() < waitUntil;
      if (reply.kind === 'in_progress' && mayGoOn) {
        this.watchWait(waiting, waitUntil);
        return;
      }
      this.forget(waiting);
      waiting.resolve(reply);
    });
  }

  /** A waiter that was never granted the key must not be granted it late. */
  private replyAtDeadline(request: ClaimRequest): ClaimReply {
    const reply = this.decide(request);
    return reply.kind === 'granted' ? {kind: 'in_progress'} : reply;
  }

  private forget(waiting: WaitingClaim): void {
    const {key} = waiting.request;
    const others = (this.waiting.get(key) ?? []).filter(
      other => other !== waiting,
    );
    if (others.length > 0) this.waiting.set(key, others);
    else this.waiting.delete(key);
  }

  /** After an end, waiting claims are decided anew: one may be granted, the rest go on waiting. */
  private releaseWaiting(key: ClaimKey): void {
    for (const waiting of this.waiting.get(key) ?? []) {
      const reply = this.decide(waiting.request);
      if (reply.kind === 'in_progress') continue;
      this.forget(waiting);
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
      after(this.clock.now(), END_FLUSH_MILLISECONDS),
      () => void this.write(),
    );
  }

  /** Writes batch after batch until none waits, at most one write at a time. */
  private write(): Promise<void> {
    this.writing ??= this.writeAll();
    return this.writing;
  }

  /** Ends alone cause no further write: they wait for the next claim or the flush. */
  private async writeAll(): Promise<void> {
    do {
      await this.waitForTurn();
      await this.writeBatch();
    } while (this.batch.isUrgent && this.lost === undefined);
    this.writing = undefined;
    if (this.batch.records.length > 0) this.scheduleFlush();
    void this.sweep();
  }

  private waitForTurn(): Promise<void> | undefined {
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
    this.nextWriteAt = after(this.clock.now(), this.options.writeInterval);
    try {
      this.writes += 1;
      await this.log?.append(batch.records);
    } catch (failure) {
      for (const reject of batch.onLost) reject(failure);
      this.lose(failure);
      return;
    }
    for (const resolve of batch.onWritten) resolve();
  }

  private lose(failure: unknown): void {
    if (this.lost !== undefined) return;
    this.lost = failure;
    for (const reject of this.batch.onLost) reject(failure);
    this.batch = emptyBatch();
    this.cancelFlush?.();
    for (const [, claims] of this.waiting) {
      for (const waiting of claims) {
        waiting.cancelTimer();
        waiting.reject(failure);
      }
    }
    this.waiting.clear();
    if (failure instanceof ShardLostError) this.options.onLost(failure);
  }

  private throwIfLost(): void {
    if (this.lost !== undefined) throw this.lost;
  }

  private async sweep(): Promise<void> {
    const now = this.clock.now();
    if (now < this.nextSweepAt || this.lost !== undefined) return;
    this.nextSweepAt = after(now, SWEEP_MILLISECONDS);
    this.table.sweep(now);
    try {
      await this.log?.removeExpired(now);
    } catch {
      // Expired segments cost room only; the next sweep tries again.
    }
  }
}

function emptyBatch(): Batch {
  return {isUrgent: false, records: [], onWritten: [], onLost: []};
}
