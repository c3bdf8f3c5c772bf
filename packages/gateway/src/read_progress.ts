/** Follows the reads of one kind that run at the same time, and ends those that are left over. */

import type {Clock, Instant} from '@siskinmux/kernel';
import type {ReadOptions} from '@siskinmux/ports';

/** Once this much of a response has arrived, the other reads would only share its link. */
const EXCLUSIVE_BYTES = 65_536;

/** When something of a response arrived last, and how much. */
export class ReadProgress {
  private readonly running = new Set<AbortController>();
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

  /** Options of a further read that is followed. */
  options(onBytes: (receivedBytes: number) => void): ReadOptions {
    const abort = new AbortController();
    this.running.add(abort);
    return {
      signal: abort.signal,
      onProgress: receivedBytes => {
        this.lastAt = this.clock.now();
        this.firstAt ??= this.lastAt;
        this.received = receivedBytes;
        if (receivedBytes >= EXCLUSIVE_BYTES) this.endOthers(abort);
        onBytes(receivedBytes);
      },
    };
  }

  /** Aborts the reads that are still running. */
  end(): void {
    this.endOthers(undefined);
  }

  private endOthers(kept: AbortController | undefined): void {
    for (const abort of this.running) {
      if (abort === kept) continue;
      this.running.delete(abort);
      abort.abort();
    }
  }
}
