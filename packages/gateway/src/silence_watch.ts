/** Notices that an endpoint has been silent for too long. */

import type {
  CancelTimer,
  Clock,
  Instant,
  Milliseconds,
} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** Calls back once when nothing was heard for `patience`. */
export class InactivityTimer {
  private cancel: CancelTimer | undefined;
  private heardAt: Instant;

  private constructor(
    private readonly clock: Clock,
    private readonly patience: Milliseconds,
    private readonly onSilent: () => void,
  ) {
    this.heardAt = clock.now();
    this.schedule();
  }

  static create(
    clock: Clock,
    patience: Milliseconds,
    onSilent: () => void,
  ): InactivityTimer {
    return new InactivityTimer(clock, patience, onSilent);
  }

  /** Notes a sign of life. */
  reset(): void {
    this.heardAt = this.clock.now();
  }

  /** Watches no more. */
  stop(): void {
    this.cancel?.();
  }

  /** One timer for many signs of life: it looks again when it falls due. */
  private schedule(): void {
    const due = after(this.heardAt, this.patience);
    this.cancel = this.clock.schedule(due, () => {
      if (this.clock.now() >= after(this.heardAt, this.patience)) {
        this.onSilent();
      } else {
        this.schedule();
      }
    });
  }
}
