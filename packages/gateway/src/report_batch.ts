/** Sends the first of several reports at once, and those that follow soon after it together. */

import type {
  CancelTimer,
  Clock,
  Instant,
  Milliseconds,
} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** Dependencies of {@link ReportBatch}. */
export interface ReportBatchOptions<Item> {
  readonly clock: Clock;
  /** Least time between two messages. */
  readonly intervalMilliseconds: Milliseconds;
  readonly send: (items: readonly Item[]) => void;
}

/** Bounds the number of messages when there is much to report at the same time. */
export class ReportBatch<Item> {
  private unsent: Item[] = [];
  /** When the next message may be sent. */
  private sendableAt: Instant | undefined;
  private cancelSend: CancelTimer | undefined;

  private constructor(private readonly options: ReportBatchOptions<Item>) {}

  static create<Item>(options: ReportBatchOptions<Item>): ReportBatch<Item> {
    return new ReportBatch(options);
  }

  add(items: readonly Item[]): void {
    this.unsent.push(...items);
    if (this.unsent.length === 0 || this.cancelSend !== undefined) return;
    const {clock} = this.options;
    if (this.sendableAt === undefined || this.sendableAt <= clock.now())
      this.send();
    else this.cancelSend = clock.schedule(this.sendableAt, () => this.send());
  }

  /** Drops what isn't sent yet. */
  stop(): void {
    this.cancelSend?.();
    this.cancelSend = undefined;
    this.unsent = [];
  }

  private send(): void {
    const {clock, intervalMilliseconds, send} = this.options;
    const items = this.unsent;
    this.unsent = [];
    this.cancelSend = undefined;
    this.sendableAt = after(clock.now(), intervalMilliseconds);
    send(items);
  }
}
