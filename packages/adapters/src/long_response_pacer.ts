/** Bounds the rate at which a process reads the long responses to its own calls. */

import type {FlowControl} from '@siskinmux/forwarding';
import {SHORT_CHUNK_BYTES} from '@siskinmux/forwarding';
import type {Clock, Instant} from '@siskinmux/kernel';
import {after, later} from '@siskinmux/kernel';

/** A response up to this length is never held back. */
const SHORT_RESPONSE_BYTES = 65_536;

/** Rate of all long responses together; links of hosts are slower. */
const BYTES_PER_SECOND = 33_554_432;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Lets long responses take turns. Without a bound, servers that send to no end make a process
 * allocate buffers faster than they are collected.
 */
export class LongResponsePacer {
  private freeAt: Instant;

  private constructor(private readonly clock: Clock) {
    this.freeAt = clock.now();
  }

  static create(clock: Clock): LongResponsePacer {
    return new LongResponsePacer(clock);
  }

  /** Begins a response on the connection that `flow` pauses. */
  begin(flow: FlowControl): PacedResponse {
    return PacedResponse.create(this, flow);
  }

  /** @internal Runs `resume` once it is the turn of a response that has got `bytes` more. */
  schedule(bytes: number, resume: () => void): void {
    const {clock} = this;
    const duration = (bytes * MILLISECONDS_PER_SECOND) / BYTES_PER_SECOND;
    this.freeAt = after(later(this.freeAt, clock.now()), duration);
    clock.schedule(this.freeAt, resume);
  }
}

/** One response, and whether its connection is held back. */
export class PacedResponse {
  private receivedBytes = 0;
  /** Received since the connection was paused. */
  private pausedBytes = 0;
  private isPaused = false;

  private constructor(
    private readonly pacer: LongResponsePacer,
    private readonly flow: FlowControl,
  ) {}

  /** @internal */
  static create(pacer: LongResponsePacer, flow: FlowControl): PacedResponse {
    return new PacedResponse(pacer, flow);
  }

  /** Counts a received chunk; pauses the connection until the rate allows to go on. */
  record(bytes: number): void {
    // A chunk of one byte takes as much memory as its buffer object.
    const cost = Math.max(bytes, SHORT_CHUNK_BYTES);
    this.receivedBytes += cost;
    if (this.receivedBytes <= SHORT_RESPONSE_BYTES) return;
    this.pausedBytes += cost;
    if (this.isPaused) return;
    this.isPaused = true;
    this.flow.pause();
    // What is parsed in this turn of the event loop still arrives.
    queueMicrotask(() => this.waitForTurn());
  }

  private waitForTurn(): void {
    this.pacer.schedule(this.pausedBytes, () => {
      this.pausedBytes = 0;
      this.isPaused = false;
      this.flow.resume();
    });
  }
}
