/** Shares the event loop, and the reading of bytes, out between connections that deliver many. */

import type {Clock, Instant} from '@siskinmux/kernel';
import {after, later} from '@siskinmux/kernel';

/** Receiving a shorter chunk costs more processor time than its bytes do. */
export const SHORT_CHUNK_BYTES = 256;

/** Short chunks that a connection may deliver within one turn of the event loop. */
const QUOTA_CHUNKS = 512;

/** Short chunks a millisecond, on one core, of all connections that exceed their quota. */
const CHUNKS_PER_MILLISECOND = 100;

/** Bytes of longer chunks that a connection may deliver within one turn of the event loop. */
const QUOTA_BYTES = 65_536;

/**
 * Bytes a millisecond of all connections that exceed it, 32 MiB a second. What sockets have read
 * is collected late, so that faster senders take memory in proportion to their number.
 */
const BYTES_PER_MILLISECOND = 33_554;

/** Pauses and resumes the receipt of bytes. */
export interface FlowControl {
  pause(): void;
  resume(): void;
}

/** Why a connection is paused. */
export type PauseReason = 'short_chunks' | 'bytes' | 'stopped';

/** Runs a callback once in the next turn of the event loop. */
export type OnNextTurn = (callback: () => void) => void;

/** Options of {@link ReceiveScheduler}. */
export interface ReceiveSchedulerOptions {
  readonly clock: Clock;
  readonly onNextTurn: OnNextTurn;
  /** Processor time of the process, in cores. */
  readonly processorShare: number;
}

/**
 * Pauses connections that exceed their quota, and resumes one after the other, so that all of
 * them together leave most of the processor to the rest. Nobody else is delayed: a connection
 * within its quota is never paused.
 */
export class ReceiveScheduler {
  private readonly waiting = new Set<ReceiveMeter>();
  private turn = 0;
  private isTurnCounted = false;
  private isScheduled = false;
  private resumesAt: Instant;

  private constructor(private readonly options: ReceiveSchedulerOptions) {
    this.resumesAt = options.clock.now();
  }

  static create(options: ReceiveSchedulerOptions): ReceiveScheduler {
    return new ReceiveScheduler(options);
  }

  /** Meters one connection, which `flow` pauses. */
  createMeter(flow: FlowControl, limitsBytes = true): ReceiveMeter {
    return ReceiveMeter.create(this, flow, limitsBytes);
  }

  /** @internal Number of the current turn of the event loop. */
  countTurn(): number {
    if (!this.isTurnCounted) {
      this.isTurnCounted = true;
      this.options.onNextTurn(() => {
        this.isTurnCounted = false;
        this.turn += 1;
      });
    }
    return this.turn;
  }

  /** @internal Resumes the connection when it is its turn. */
  enqueue(meter: ReceiveMeter): void {
    this.waiting.add(meter);
    this.schedule();
  }

  /** @internal */
  remove(meter: ReceiveMeter): void {
    this.waiting.delete(meter);
  }

  private schedule(): void {
    if (this.isScheduled || this.waiting.size === 0) return;
    this.isScheduled = true;
    this.options.clock.schedule(this.resumesAt, () => {
      this.isScheduled = false;
      this.resumeNext();
    });
  }

  /** What the connection has delivered in its last turn decides when the next one is resumed. */
  private resumeNext(): void {
    const [meter] = this.waiting;
    if (meter === undefined) return;
    this.waiting.delete(meter);
    const {clock, processorShare} = this.options;
    this.resumesAt = after(
      later(this.resumesAt, clock.now()),
      meter.chunks / (CHUNKS_PER_MILLISECOND * processorShare) +
        meter.bytes / BYTES_PER_MILLISECOND,
    );
    meter.resume();
    this.schedule();
  }
}

/** Counts the short chunks of one connection. */
export class ReceiveMeter {
  private turn = -1;
  private count = 0;
  private longBytes = 0;
  private isPaused = false;

  private constructor(
    private readonly scheduler: ReceiveScheduler,
    private readonly flow: FlowControl,
    /** Whether bytes of longer chunks count, too. */
    private readonly limitsBytes: boolean,
  ) {}

  /** @internal */
  static create(
    scheduler: ReceiveScheduler,
    flow: FlowControl,
    limitsBytes: boolean,
  ): ReceiveMeter {
    return new ReceiveMeter(scheduler, flow, limitsBytes);
  }

  /** Why the connection was paused last. */
  pauseReason: PauseReason = 'short_chunks';

  /** @internal Short chunks of the turn in which the quota was exceeded. */
  get chunks(): number {
    return this.count;
  }

  /** @internal Bytes of its longer chunks in that turn. */
  get bytes(): number {
    return this.longBytes;
  }

  /** Counts a chunk of `bytes` bytes. */
  record(bytes: number): void {
    const turn = this.scheduler.countTurn();
    if (turn !== this.turn && !this.isPaused) {
      this.turn = turn;
      this.count = 0;
      this.longBytes = 0;
    }
    if (bytes < SHORT_CHUNK_BYTES) this.count += 1;
    else if (this.limitsBytes) this.longBytes += bytes;
    const hasManyChunks = this.count >= QUOTA_CHUNKS;
    if (this.isPaused || !(hasManyChunks || this.longBytes >= QUOTA_BYTES))
      return;
    this.isPaused = true;
    this.pauseReason = hasManyChunks ? 'short_chunks' : 'bytes';
    this.flow.pause();
    this.scheduler.enqueue(this);
  }

  /** @internal */
  resume(): void {
    this.isPaused = false;
    this.count = 0;
    this.longBytes = 0;
    this.flow.resume();
  }

  /** Pauses the connection for good. */
  stop(): void {
    this.scheduler.remove(this);
    if (this.isPaused) return;
    this.isPaused = true;
    this.pauseReason = 'stopped';
    this.flow.pause();
  }

  /** The connection has ended. */
  end(): void {
    this.scheduler.remove(this);
  }
}
