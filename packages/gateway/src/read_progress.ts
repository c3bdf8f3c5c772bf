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
  private isOver = false;

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

  /**
   * Starts a further read that is followed. Its signal never aborts after the read has ended: the
   * connection may carry another call by then.
   */
  async follow<Result>(
    read: (options: ReadOptions) => Promise<Result>,
    onBytes: (receivedBytes: number) => void,
  ): Promise<Result> {
    const abort = new AbortController();
    this.running.add(abort);
    try {
      return await read({
        signal: abort.signal,
        onProgress: receivedBytes => {
          this.lastAt = this.clock.now();
          this.firstAt ??= this.lastAt;
          this.received = receivedBytes;
          if (receivedBytes >= EXCLUSIVE_BYTES) this.endOthers(abort);
          if (receivedBytes >= EXCLUSIVE_BYTES && this.isOver) abort.abort();
          onBytes(receivedBytes);
        },
      });
    } finally {
      this.running.delete(abort);
    }
  }

  /** Ends each read that is left over once much of its response arrives. */
  end(): void {
    this.isOver = true;
  }

  private endOthers(kept: AbortController): void {
    for (const abort of this.running) {
      if (abort === kept) continue;
      this.running.delete(abort);
      abort.abort();
    }
  }
}
