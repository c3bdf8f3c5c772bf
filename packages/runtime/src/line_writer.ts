/** Writes log lines without ever waiting for whoever reads them. */

import {write} from 'node:fs';
import type {Clock, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** Lines gather this long into one system call. */
const GATHER_MILLISECONDS: Milliseconds = 20;

/** Text that waits for a reader that has stopped; beyond it, lines are dropped. */
const MOST_WAITING_CHARACTERS = 1_048_576;

/** Writes a text and calls back when it is written. */
export type WriteText = (text: string, done: () => void) => void;

/** Writes to a file descriptor through the thread pool; a full pipe blocks only that. */
export function writeToDescriptor(descriptor: number): WriteText {
  return (text, done) => {
    // The log itself can't tell that it can't be written.
    write(descriptor, text, () => done());
  };
}

/** A bounded queue of lines before a slow writer. */
export class LineWriter {
  private waiting: string[] = [];
  private waitingCharacters = 0;
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

  /** Lines dropped since the last one that was written. */
  get droppedLines(): number {
    return this.dropped;
  }

  /** Takes a line with its line feed; drops it when too much waits. */
  write(line: string): void {
    if (this.waitingCharacters + line.length > MOST_WAITING_CHARACTERS) {
      this.dropped += 1;
      return;
    }
    if (this.dropped > 0) {
      this.push(`{"message":"log-lines-dropped","lines":${this.dropped}}\n`);
      this.dropped = 0;
    }
    this.push(line);
    this.schedule();
  }

  /** Resolves when everything is written, or at once when nobody reads. */
  async drain(limit: Milliseconds): Promise<void> {
    const end = after(this.clock.now(), limit);
    this.flush();
    while (
      (this.isWriting || this.waiting.length > 0) &&
      this.clock.now() < end
    ) {
      await new Promise<void>(resolve => {
        this.clock.schedule(after(this.clock.now(), 5), resolve);
      });
      this.flush();
    }
  }

  private push(line: string): void {
    this.waiting.push(line);
    this.waitingCharacters += line.length;
  }

  private schedule(): void {
    if (this.isScheduled || this.isWriting) return;
    this.isScheduled = true;
    const at = after(this.clock.now(), GATHER_MILLISECONDS);
    this.clock.schedule(at, () => {
      this.isScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.isWriting || this.waiting.length === 0) return;
    const text = this.waiting.join('');
    this.waiting = [];
    this.waitingCharacters = 0;
    this.isWriting = true;
    this.writeText(text, () => {
      this.isWriting = false;
      if (this.waiting.length > 0) this.schedule();
    });
  }
}
