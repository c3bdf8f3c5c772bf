/** Bounds the length of a request's head, and the time that its client takes to send it. */

import type {CancelTimer, Clock, Milliseconds} from '@siskinmux/kernel';
import {after, scheduleWhileAwake} from '@siskinmux/kernel';

/** Most that a head may take. */
export interface HeadLimits {
  readonly maximumBytes: number;
  readonly timeoutMilliseconds: Milliseconds;
}

/** A limit that a head exceeds. */
export type HeadLimit = 'head_bytes' | 'head_time';

/** What the heads of a listener are subject to. */
export interface HeadRules {
  readonly clock: Clock;
  /** The limits that are in force; undefined if there are none yet. */
  readonly limits: () => HeadLimits | undefined;
  /** The whole response, which closes the connection, to a head that exceeds a limit. */
  readonly refuse: (limit: HeadLimit) => Buffer;
}

/** Options of {@link HeadWatch}. */
export interface HeadWatchOptions extends Pick<HeadRules, 'clock' | 'limits'> {
  /** Whether the node itself holds back what the client has sent. */
  readonly isHeldBack: () => boolean;
  readonly onTimeout: () => void;
}

/** Watches the head that a connection receives. Only one that doesn't arrive at once has a timer. */
export class HeadWatch {
  private receivedBytes = 0;
  private cancel: CancelTimer | undefined;

  private constructor(private readonly options: HeadWatchOptions) {}

  static create(options: HeadWatchOptions): HeadWatch {
    return new HeadWatch(options);
  }

  /** Counts bytes of a head, the last ones if it `isWhole`; false if it is too long. */
  record(count: number, isWhole: boolean): boolean {
    this.receivedBytes += count;
    const limits = this.options.limits();
    const isTooLong =
      limits !== undefined && this.receivedBytes > limits.maximumBytes;
    if (isTooLong || isWhole) this.stop();
    else if (this.cancel === undefined && limits !== undefined)
      this.wait(limits.timeoutMilliseconds);
    return !isTooLong;
  }

  /** The head has ended, or its connection has. */
  stop(): void {
    this.cancel?.();
    this.cancel = undefined;
    this.receivedBytes = 0;
  }

  /** `waited` is how long the client has been waited for before. */
  private wait(milliseconds: Milliseconds, waited: Milliseconds = 0): void {
    const {clock} = this.options;
    this.cancel = scheduleWhileAwake(
      clock,
      after(clock.now(), milliseconds),
      () => this.handleTimeout(waited + milliseconds),
    );
  }

  private handleTimeout(waited: Milliseconds): void {
    const {limits, isHeldBack, onTimeout} = this.options;
    const timeout = limits()?.timeoutMilliseconds ?? waited;
    if (isHeldBack()) {
      this.wait(timeout);
    } else if (timeout > waited) {
      // A newer configuration allows more time.
      this.wait(timeout - waited, waited);
    } else {
      this.stop();
      onTimeout();
    }
  }
}
