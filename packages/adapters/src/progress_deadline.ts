/** The deadline of a response, extended while its body arrives. */

import type {
  CancelTimer,
  Clock,
  Instant,
  Milliseconds,
} from '@siskinmux/kernel';
import {after, earlier} from '@siskinmux/kernel';

const MILLISECONDS_PER_SECOND = 1_000;

/** Options of {@link ProgressDeadline}. */
export interface ProgressDeadlineOptions {
  readonly clock: Clock;
  /** Deadline of the response's head. */
  readonly headUntil: Instant;
  /** Longest time without a byte of the body, and the delay from which the rate counts. */
  readonly stallMilliseconds: Milliseconds;
  /** Mean rate below which the response expires although bytes arrive. */
  readonly minimumBytesPerSecond: number;
  /** Called once, when the deadline has passed; not after {@link ProgressDeadline.cancel}. */
  readonly onExpired: () => void;
}

/**
 * Expires when the head of a response is late, when its body stalls, or when the body falls
 * behind a minimum rate. A long transfer therefore ends only if it makes no progress.
 */
export class ProgressDeadline {
  private expiresAt: Instant;
  private headAt: Instant | undefined;
  private receivedBytes = 0;
  private isEnded = false;
  private cancelTimer: CancelTimer = () => {};

  private constructor(private readonly options: ProgressDeadlineOptions) {
    this.expiresAt = options.headUntil;
    this.schedule();
  }

  static create(options: ProgressDeadlineOptions): ProgressDeadline {
    return new ProgressDeadline(options);
  }

  /** Records the head with 0, then the number of bytes of the body received so far. */
  recordProgress(receivedBytes: number): void {
    if (this.isEnded) return;
    const now = this.options.clock.now();
    const isHead = this.headAt === undefined;
    if (!isHead && receivedBytes <= this.receivedBytes) return;
    this.headAt ??= now;
    this.receivedBytes = receivedBytes;
    this.expiresAt = this.deadlineOf(this.headAt, now);
    // Later deadlines are only postponed, which the timer does when it fires.
    if (isHead) this.schedule();
  }

  /** Ends the deadline; has no effect once it has expired. */
  cancel(): void {
    this.isEnded = true;
    this.cancelTimer();
  }

  private deadlineOf(headAt: Instant, progressAt: Instant): Instant {
    const {stallMilliseconds, minimumBytesPerSecond} = this.options;
    const slowestMilliseconds =
      (this.receivedBytes * MILLISECONDS_PER_SECOND) / minimumBytesPerSecond;
    return earlier(
      after(progressAt, stallMilliseconds),
      after(headAt, stallMilliseconds + slowestMilliseconds),
    );
  }

  private schedule(): void {
    this.cancelTimer();
    const {clock} = this.options;
    this.cancelTimer = clock.schedule(this.expiresAt, () => {
      if (clock.now() < this.expiresAt) return this.schedule();
      this.isEnded = true;
      this.options.onExpired();
    });
  }
}
