/** A clock that stands still until it is advanced, for tests and benchmarks. */

import type {Clock, Instant} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {Heap} from 'heap-js';

/** Where virtual time starts. */
const START = 1_700_000_000_000;

interface Timer {
  readonly at: Instant;
  readonly sequence: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

/** Runs timers in order of their instants, with all promise work in between. */
export class VirtualClock implements Clock {
  private current: Instant = as<Instant>(START);
  private sequence = 0;
  private readonly timers = new Heap<Timer>(
    (left, right) => left.at - right.at || left.sequence - right.sequence,
  );

  private constructor() {}

  static create(): VirtualClock {
    return new VirtualClock();
  }

  now(): Instant {
    return this.current;
  }

  schedule(at: Instant, callback: () => void): () => void {
    this.sequence += 1;
    const timer = {at, sequence: this.sequence, callback, isCancelled: false};
    this.timers.push(timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  /** Advances to `end`, running what falls due on the way. */
  async advanceTo(end: Instant): Promise<void> {
    await settle();
    for (let next = this.peek(); next !== undefined; next = this.peek()) {
      if (next.at > end) break;
      this.timers.pop();
      this.current = as<Instant>(Math.max(this.current, next.at));
      next.callback();
      await settle();
    }
    this.current = end;
  }

  /** Advances by some milliseconds. */
  advance(milliseconds: number): Promise<void> {
    return this.advanceTo(as<Instant>(this.current + milliseconds));
  }

  /** Advances until `promise` has settled, or for `limit` milliseconds. */
  async runUntilSettled<Result>(
    promise: Promise<Result>,
    limit = 600_000,
  ): Promise<Result> {
    let isSettled = false;
    const settled = promise.finally(() => {
      isSettled = true;
    });
    settled.catch(() => {});
    const end = as<Instant>(this.current + limit);
    await settle();
    while (!isSettled) {
      const next = this.peek();
      if (next === undefined || next.at > end) break;
      await this.advanceTo(next.at);
    }
    return settled;
  }

  private peek(): Timer | undefined {
    for (let next = this.timers.peek(); next; next = this.timers.peek()) {
      if (!next.isCancelled) return next;
      this.timers.pop();
    }
    return undefined;
  }
}

/** Rounds of the event loop that let chains of promises run out. */
const SETTLE_ROUNDS = 2;

async function settle(): Promise<void> {
  for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
    await new Promise(resolve => setImmediate(resolve));
  }
}
