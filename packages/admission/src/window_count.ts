/** Amounts of the last window, counted in equal parts of it. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';

/** Counts by part of a window; parts begin at fixed instants. */
export class WindowCount {
  private readonly amounts: number[];
  /** Number of the part that counts now. */
  private current = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly partMilliseconds: Milliseconds,
    parts: number,
  ) {
    this.amounts = new Array<number>(parts).fill(0);
  }

  static create(windowMilliseconds: Milliseconds, parts: number): WindowCount {
    return new WindowCount(windowMilliseconds / parts, parts);
  }

  add(amount: number, now: Instant): void {
    this.moveTo(now);
    this.amounts[0] = (this.amounts[0] ?? 0) + amount;
  }

  /** Amounts of the parts, newest first. */
  slots(now: Instant): readonly number[] {
    this.moveTo(now);
    return [...this.amounts];
  }

  private moveTo(now: Instant): void {
    const part = Math.floor(now / this.partMilliseconds);
    if (part <= this.current) return;
    const passed = Math.min(part - this.current, this.amounts.length);
    this.current = part;
    for (let count = 0; count < passed; count += 1) {
      this.amounts.pop();
      this.amounts.unshift(0);
    }
  }
}
