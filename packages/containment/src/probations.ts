/** The runs on probation that the lease holder has allowed. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {Trait} from './trait.js';

/** One run with a trait on probation is allowed in this time, unless it ends sooner. */
export const PROBATION_MILLISECONDS: Milliseconds = 5_000;

/** Allows one run at a time for each trait on probation. */
export class Probations {
  private readonly endsAt = new Map<Trait, Instant>();

  private constructor() {}

  static create(): Probations {
    return new Probations();
  }

  /** Starts a run with these traits; false if a run with one of them is going on. */
  tryStart(traits: readonly Trait[], now: Instant): boolean {
    for (const [trait, endsAt] of this.endsAt) {
      if (endsAt <= now) this.endsAt.delete(trait);
    }
    if (traits.some(trait => this.endsAt.has(trait))) return false;
    const endsAt = after(now, PROBATION_MILLISECONDS);
    for (const trait of traits) this.endsAt.set(trait, endsAt);
    return true;
  }

  /** Ends a run, so that another one may start. */
  end(traits: readonly Trait[]): void {
    for (const trait of traits) this.endsAt.delete(trait);
  }
}
