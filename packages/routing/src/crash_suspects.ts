/**
 * Records requests whose endpoint crashed while it ran them. A request is suspect after
 * one crash and quarantined after two, which bounds the endpoints that it can crash.
 */

import type {Fingerprint, Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** Endpoint crashes after which a request is no longer sent. */
const CRASHES_TO_QUARANTINE = 2;

/** How long a crash counts against a request. */
const SUSPECT_LIFETIME_MILLISECONDS: Milliseconds = 600_000;

/** Bound on the recorded requests; the least recently recorded one is evicted first. */
const MAXIMUM_SUSPECTS = 10_000;

/** How a request is treated because of earlier endpoint crashes. */
export type Suspicion = 'none' | 'suspect' | 'quarantined';

/** A suspect request, as nodes send it to each other. */
export interface Suspect {
  readonly fingerprint: Fingerprint;
  readonly deaths: number;
  readonly expiresAt: Instant;
}

/** Suspect requests that this node has recorded or received from peers. */
export class CrashSuspects {
  private readonly suspects = new Map<Fingerprint, Suspect>();

  private constructor() {}

  static create(): CrashSuspects {
    return new CrashSuspects();
  }

  /** Returns how a request is to be treated at `now`. */
  suspicionOf(fingerprint: Fingerprint, now: Instant): Suspicion {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || suspect.expiresAt <= now) return 'none';
    return suspect.deaths >= CRASHES_TO_QUARANTINE ? 'quarantined' : 'suspect';
  }

  /** When the record of a request expires. */
  expiresAt(fingerprint: Fingerprint): Instant | undefined {
    return this.suspects.get(fingerprint)?.expiresAt;
  }

  /**
   * Records that an endpoint crashed while it ran the request; returns the record for
   * peers.
   */
  recordCrash(fingerprint: Fingerprint, now: Instant): Suspect {
    const known = this.suspects.get(fingerprint);
    const isCounted = known !== undefined && known.expiresAt > now;
    return this.store({
      fingerprint,
      deaths: (isCounted ? known.deaths : 0) + 1,
      expiresAt: after(now, SUSPECT_LIFETIME_MILLISECONDS),
    });
  }

  /**
   * Clears a request that an endpoint has completed: the crash was probably caused by
   * another request that ran at the same time.
   */
  recordSuccess(fingerprint: Fingerprint): void {
    this.suspects.delete(fingerprint);
  }

  /** Merges a peer's record. The larger count wins, so that no crash counts twice. */
  merge(suspect: Suspect): void {
    const known = this.suspects.get(suspect.fingerprint);
    if (known === undefined || known.deaths < suspect.deaths) {
      this.store(suspect);
    }
  }

  private store(suspect: Suspect): Suspect {
    this.suspects.delete(suspect.fingerprint);
    this.suspects.set(suspect.fingerprint, suspect);
    if (this.suspects.size > MAXIMUM_SUSPECTS) {
      const [oldest] = this.suspects.keys();
      if (oldest !== undefined) this.suspects.delete(oldest);
    }
    return suspect;
  }
}
