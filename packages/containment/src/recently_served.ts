/** Remembers the traits of requests that endpoints completed a short time ago. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {Trait} from './trait.js';

/** How long a trait counts as harmless after a completed request. */
const SERVED_LIFETIME_MILLISECONDS: Milliseconds = 60_000;

/**
 * Several endpoints may crash at once while they run requests with the same harmless trait.
 * Crashes that come later than this after the first one count, since the trait may have
 * become harmful, for instance with a new version of the endpoints.
 */
const CONCURRENT_CRASHES_MILLISECONDS: Milliseconds = 2_000;

/** Bound on the remembered traits; the one that was served longest ago is evicted first. */
const MAXIMUM_SERVED = 5_000;

/** When a trait was served, and when an endpoint first crashed on it after that. */
interface ServedTrait {
  readonly expiresAt: Instant;
  readonly crashesCountFrom: Instant | undefined;
}

/** Traits of requests that this node's endpoints have completed. */
export class RecentlyServed {
  private readonly served = new Map<Trait, ServedTrait>();

  private constructor() {}

  static create(): RecentlyServed {
    return new RecentlyServed();
  }

  record(trait: Trait, now: Instant): void {
    this.served.delete(trait);
    this.served.set(trait, {
      expiresAt: after(now, SERVED_LIFETIME_MILLISECONDS),
      crashesCountFrom: undefined,
    });
    if (this.served.size <= MAXIMUM_SERVED) return;
    const [oldest] = this.served.keys();
    if (oldest !== undefined) this.served.delete(oldest);
  }

  /** Whether a crash of an endpoint that ran a request with the trait isn't its fault. */
  explainsCrash(trait: Trait, now: Instant): boolean {
    const served = this.served.get(trait);
    if (served === undefined || served.expiresAt <= now) return false;
    const crashesCountFrom =
      served.crashesCountFrom ?? after(now, CONCURRENT_CRASHES_MILLISECONDS);
    this.served.set(trait, {...served, crashesCountFrom});
    return now < crashesCountFrom;
  }
}
