/** A manually advanced clock, for tests and benchmarks. */

import type {Clock, Instant} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {Heap} from 'heap-js';

/** Initial instant of virtual time, in epoch milliseconds. */
const START_MILLISECONDS = 1_700_000_000_000;

interface Timer {
  readonly at: Instant;
  readonly sequence: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

/** Runs timers in order of their instants, and settles pending promises between them. */
export class VirtualClock implements Clock {
  private current: Instant = as<Instant>(START_MILLISECONDS);
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

  /** Advances to `end` and runs the timers that are due on the way. */
  async advanceTo(end: Instant): Promise<void> {
    await settlePromises();
    for (let next = this.peek(); next !== undefined; next = this.peek()) {
      if (next.at > end) break;
      this.timers.pop();
      this.current = as<Instant>(Math.max(this.current, next.at));
      next.callback();
      await settlePromises();
    }
    this.current = end;
  }

  advance(milliseconds: number): Promise<void> {
    return this.advanceTo(as<Instant>(this.current + milliseconds));
  }

  /**
   * Advances until `promise` has settled, for `limitMilliseconds` at most. If it has not
   * settled by then, the result stays pending.
   */
  async runUntilSettled<Result>(
    promise: Promise<Result>,
    limitMilliseconds = 600_000,
  ): Promise<Result> {
    let isSettled = false;
    const settled = promise.finally(() => {
      isSettled = true;
    });
    settled.catch(() => {});
    const end = as<Instant>(this.current + limitMilliseconds);
    await settlePromises();
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

/** Event loop iterations after which chains of promises have settled. */
const SETTLE_ITERATIONS = 2;

async function settlePromises(): Promise<void> {
  for (let iteration = 0; iteration < SETTLE_ITERATIONS; iteration += 1) {
    await new Promise(resolve => setImmediate(resolve));
  }
}
