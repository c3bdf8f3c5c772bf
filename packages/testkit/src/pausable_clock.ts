/** A clock whose process can pause: timers that fall due meanwhile run late. */

import type {Clock, Instant, Milliseconds} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';

interface Timer {
  readonly at: Instant;
  readonly callback: () => void;
}

/** Runs the timers that are due once in each millisecond for which its process runs. */
export class PausableClock implements Clock {
  private current = as<Instant>(0);
  private timers: Timer[] = [];

  private constructor() {}

  static create(): PausableClock {
    return new PausableClock();
  }

  now(): Instant {
    return this.current;
  }

  schedule(at: Instant, callback: () => void): () => void {
    const timer = {at, callback};
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter(other => other !== timer);
    };
  }

  /** Passes time without running a timer. */
  pause(milliseconds: Milliseconds): void {
    this.current = after(this.current, milliseconds);
  }

  run(milliseconds: Milliseconds): void {
    for (let step = 0; step < milliseconds; step += 1) {
      this.current = after(this.current, 1);
      const due = this.timers.filter(({at}) => at <= this.current);
      this.timers = this.timers.filter(timer => !due.includes(timer));
      for (const {callback} of due) callback();
    }
  }
}
