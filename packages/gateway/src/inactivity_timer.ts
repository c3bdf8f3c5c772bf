/** Detects that an endpoint has sent nothing for too long. */

import type {
  CancelTimer,
  Clock,
  Instant,
  Milliseconds,
} from '@siskinmux/kernel';
import {after, later, until} from '@siskinmux/kernel';

/** Interval between calls while what to do about a silence is undecided. */
const UNDECIDED_INTERVAL_MILLISECONDS: Milliseconds = 100;

/**
 * Called with the length of a silence; returns whether it is decided what to do about it, or is to
 * be decided again soon.
 */
export type SilenceHandler = (
  silentFor: Milliseconds,
) => 'decided' | 'undecided';

/** Calls back each time that it is not reset within the timeout. */
export class InactivityTimer {
  private cancel: CancelTimer | undefined;
  private lastActivityAt: Instant;
  private undecidedUntil: Instant;
  private isSuspended = false;
  private isStopped = false;

  private constructor(
    private readonly clock: Clock,
    private readonly timeoutMilliseconds: Milliseconds,
    private readonly onTimeout: SilenceHandler,
  ) {
    this.lastActivityAt = clock.now();
    this.undecidedUntil = this.lastActivityAt;
    this.schedule();
  }

  static create(
    clock: Clock,
    timeoutMilliseconds: Milliseconds,
    onTimeout: SilenceHandler,
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
    const {clock} = this;
    this.cancel = clock.schedule(this.dueAt, () => {
      if (this.isSuspended) this.reset();
      if (clock.now() >= this.dueAt) this.callBack();
      if (!this.isStopped) this.schedule();
    });
  }

  private get dueAt(): Instant {
    const timeoutAt = after(this.lastActivityAt, this.timeoutMilliseconds);
    return later(timeoutAt, this.undecidedUntil);
  }

  private callBack(): void {
    const now = this.clock.now();
    const result = this.onTimeout(until(this.lastActivityAt, now));
    if (result === 'decided') this.reset();
    else this.undecidedUntil = after(now, UNDECIDED_INTERVAL_MILLISECONDS);
  }
}
