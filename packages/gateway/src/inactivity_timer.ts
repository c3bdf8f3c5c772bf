/** Detects that an endpoint has sent nothing for too long. */

import type {
  CancelTimer,
  Clock,
  Instant,
  Milliseconds,
} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';

/** Calls back, with the length of the silence, each time that it is not reset within the timeout. */
export class InactivityTimer {
  private cancel: CancelTimer | undefined;
  private lastActivityAt: Instant;
  private isSuspended = false;
  private isStopped = false;

  private constructor(
    private readonly clock: Clock,
    private readonly timeoutMilliseconds: Milliseconds,
    private readonly onTimeout: (silentFor: Milliseconds) => void,
  ) {
    this.lastActivityAt = clock.now();
    this.schedule();
  }

  static create(
    clock: Clock,
    timeoutMilliseconds: Milliseconds,
    onTimeout: (silentFor: Milliseconds) => void,
  ): InactivityTimer {
    return new InactivityTimer(clock, timeoutMilliseconds, onTimeout);
  }

  /** Restarts the timeout. */
  reset(): void {
    this.lastActivityAt = this.clock.now();
  }

  /** Stops the timeout until {@link resume}: the endpoint can't send anything. */
  suspend(): void {
    this.isSuspended = true;
  }

  /** Restarts the timeout after {@link suspend}. */
  resume(): void {
    this.isSuspended = false;
    this.reset();
  }

  /** Cancels the timer. */
  stop(): void {
    this.isStopped = true;
    this.cancel?.();
  }

  /** Reuses one timer for many resets: when it fires early, it is rescheduled. */
  private schedule(): void {
    const {clock, timeoutMilliseconds} = this;
    const dueAt = after(this.lastActivityAt, timeoutMilliseconds);
    this.cancel = clock.schedule(dueAt, () => {
      if (this.isSuspended) this.reset();
      const isDue =
        clock.now() >= after(this.lastActivityAt, timeoutMilliseconds);
      if (isDue) {
        const silentFor = until(this.lastActivityAt, clock.now());
        this.reset();
        this.onTimeout(silentFor);
      }
      if (!this.isStopped) this.schedule();
    });
  }
}
