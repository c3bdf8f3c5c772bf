/** Writes log lines without blocking the process when their reader is slow. */

import {write} from 'node:fs';
import type {Clock, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** Interval over which lines are batched into one system call. */
const BATCH_INTERVAL_MILLISECONDS: Milliseconds = 20;

/** Maximum amount of queued text; lines that exceed it are dropped. */
const MAXIMUM_QUEUED_CHARACTERS = 1_048_576;

/** Writes text and calls `done` when the write has ended. */
export type WriteText = (text: string, done: () => void) => void;

/** Writes to a file descriptor through the thread pool, so that a full pipe blocks no other work. */
export function writeToDescriptor(descriptor: number): WriteText {
  return (text, done) => {
    // A failed write is ignored: there is no other place to log it.
    write(descriptor, text, () => done());
  };
}

/** Bounded queue of log lines, written in batches. */
export class LineWriter {
  private queue: string[] = [];
  private queuedCharacters = 0;
  private dropped = 0;
  private isWriting = false;
  private isScheduled = false;

  private constructor(
    private readonly writeText: WriteText,
    private readonly clock: Clock,
  ) {}

  static create(options: {writeText: WriteText; clock: Clock}): LineWriter {
    return new LineWriter(options.writeText, options.clock);
  }

  /** Number of lines dropped since the last line that was accepted. */
  get droppedLines(): number {
    return this.dropped;
  }

  /** Queues a line that ends in a line feed; drops it when the queue is full. */
  write(line: string): void {
    if (this.queuedCharacters + line.length > MAXIMUM_QUEUED_CHARACTERS) {
      this.dropped += 1;
      return;
    }
    if (this.dropped > 0) {
      this.enqueue(`{"message":"log-lines-dropped","lines":${this.dropped}}\n`);
      this.dropped = 0;
    }
    this.enqueue(line);
    this.schedule();
  }

  /** Resolves when all lines are written, or at the time limit if the reader has stopped. */
  async drain(timeoutMilliseconds: Milliseconds): Promise<void> {
    const deadline = after(this.clock.now(), timeoutMilliseconds);
    this.flush();
    while (
      (this.isWriting || this.queue.length > 0) &&
      this.clock.now() < deadline
    ) {
      await new Promise<void>(resolve => {
        this.clock.schedule(after(this.clock.now(), 5), resolve);
      });
      this.flush();
    }
  }

  private enqueue(line: string): void {
    this.queue.push(line);
    this.queuedCharacters += line.length;
  }

  private schedule(): void {
    if (this.isScheduled || this.isWriting) return;
    this.isScheduled = true;
    const at = after(this.clock.now(), BATCH_INTERVAL_MILLISECONDS);
    this.clock.schedule(at, () => {
      this.isScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.isWriting || this.queue.length === 0) return;
    const text = this.queue.join('');
    this.queue = [];
    this.queuedCharacters = 0;
    this.isWriting = true;
    this.writeText(text, () => {
      this.isWriting = false;
      if (this.queue.length > 0) this.schedule();
    });
  }
}
