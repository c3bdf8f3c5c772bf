/** Detects that an endpoint has sent nothing for too long. */

import type {
  CancelTimer,
  Clock,
  Instant,
  Milliseconds,
} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** Calls back once if it is not reset within the timeout. */
export class InactivityTimer {
  private cancel: CancelTimer | undefined;
  private lastActivityAt: Instant;

  private constructor(
    private readonly clock: Clock,
    private readonly timeoutMilliseconds: Milliseconds,
    private readonly onTimeout: () => void,
  ) {
    this.lastActivityAt = clock.now();
    this.schedule();
  }

  static create(
    clock: Clock,
    timeoutMilliseconds: Milliseconds,
    onTimeout: () => void,
  ): InactivityTimer {
    return new InactivityTimer(clock, timeoutMilliseconds, onTimeout);
  }

  /** Restarts the timeout. */
  reset(): void {
    this.lastActivityAt = this.clock.now();
  }

  /** Cancels the timer. */
  stop(): void {
    this.cancel?.();
  }

  /** Reuses one timer for many resets: when it fires early, it is rescheduled. */
  private schedule(): void {
    const dueAt = after(this.lastActivityAt, this.timeoutMilliseconds);
    this.cancel = this.clock.schedule(dueAt, () => {
      if (
        this.clock.now() >= after(this.lastActivityAt, this.timeoutMilliseconds)
      ) {
        this.onTimeout();
      } else {
        this.schedule();
      }
    });
  }
}
