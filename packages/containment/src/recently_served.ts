/** Remembers the requests that endpoints completed a short time ago. */

import type {Fingerprint, Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/**
 * How long a completed request isn't suspected. It may become harmful in this time, with a
 * new version of its endpoints.
 */
const SERVED_LIFETIME_MILLISECONDS: Milliseconds = 60_000;

/** Bound on the remembered requests; the one that was served longest ago is evicted first. */
const MAXIMUM_SERVED = 5_000;

/** Fingerprints of requests that this node's endpoints have completed. */
export class RecentlyServed {
  private readonly expiries = new Map<Fingerprint, Instant>();

  private constructor() {}

  static create(): RecentlyServed {
    return new RecentlyServed();
  }

  record(fingerprint: Fingerprint, now: Instant): void {
    this.expiries.delete(fingerprint);
    this.expiries.set(fingerprint, after(now, SERVED_LIFETIME_MILLISECONDS));
    if (this.expiries.size <= MAXIMUM_SERVED) return;
    const [oldest] = this.expiries.keys();
    if (oldest !== undefined) this.expiries.delete(oldest);
  }

  has(fingerprint: Fingerprint, now: Instant): boolean {
    const expiresAt = this.expiries.get(fingerprint);
    return expiresAt !== undefined && expiresAt > now;
  }
}
