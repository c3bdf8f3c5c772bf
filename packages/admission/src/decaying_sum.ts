/** A sum whose amounts lose weight exponentially with their age. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';

/** Sums recent amounts. */
export class DecayingSum {
  private sum = 0;
  private updatedAt: Instant | undefined;

  private constructor(private readonly timeConstant: Milliseconds) {}

  /** An amount has lost 63 % of its weight after `timeConstant`. */
  static create(timeConstant: Milliseconds): DecayingSum {
    return new DecayingSum(timeConstant);
  }

  /** When an amount was added last; undefined if none was. */
  get lastAddedAt(): Instant | undefined {
    return this.updatedAt;
  }

  /** The amounts, each with the weight that it has now. */
  at(now: Instant): number {
    if (this.updatedAt === undefined) return 0;
    const age = Math.max(0, until(this.updatedAt, now));
    return this.sum * Math.exp(-age / this.timeConstant);
  }

  /** Adds an amount. */
  add(amount: number, now: Instant): void {
    this.sum = this.at(now) + amount;
    this.updatedAt = now;
  }
}
