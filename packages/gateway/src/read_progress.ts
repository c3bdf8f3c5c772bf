/** Follows the reads of one kind that run at the same time, and ends those that are left over. */

import type {Clock, Instant} from '@siskinmux/kernel';
import type {ReadOptions} from '@siskinmux/ports';

/** When something of a response arrived last, and how much. */
export class ReadProgress {
  private readonly abort = new AbortController();
  private firstAt: Instant | undefined;
  private lastAt: Instant | undefined;
  private received = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ReadProgress {
    return new ReadProgress(clock);
  }

  /** When the first head arrived; undefined before. */
  get headAt(): Instant | undefined {
    return this.firstAt;
  }

  /** When something arrived last; undefined before the first head. */
  get arrivedAt(): Instant | undefined {
    return this.lastAt;
  }

  /** Length of what the read that progressed last has received. */
  get receivedBytes(): number {
    return this.received;
  }

  /** Options of a read that is followed. */
  options(onBytes: (receivedBytes: number) => void): ReadOptions {
    return {
      signal: this.abort.signal,
      onProgress: receivedBytes => {
        this.lastAt = this.clock.now();
        this.firstAt ??= this.lastAt;
        this.received = receivedBytes;
        onBytes(receivedBytes);
      },
    };
  }

  /** Aborts the reads that are still running. */
  end(): void {
    this.abort.abort();
  }
}
