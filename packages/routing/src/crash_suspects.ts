/**
 * Remembers requests whose endpoint died while running them. A request is suspected
 * after one such end and quarantined after two, so that few endpoints die of it.
 */

import type {Fingerprint, Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** Endpoint deaths after which a request is sent no more. */
const DEATHS_TO_QUARANTINE = 2;

/** How long a death counts against a request. */
const MEMORY_MILLISECONDS: Milliseconds = 600_000;

/** Suspects kept; the oldest is forgotten first. */
const MAXIMUM_SUSPECTS = 10_000;

/** What a request's past says of it. */
export type Suspicion = 'none' | 'suspect' | 'quarantined';

/** One suspect, as nodes tell each other. */
export interface Suspect {
  readonly fingerprint: Fingerprint;
  readonly deaths: number;
  readonly expiresAt: Instant;
}

/** Requests that endpoints died of, as far as this node knows. */
export class CrashSuspects {
  private readonly suspects = new Map<Fingerprint, Suspect>();

  private constructor() {}

  static create(): CrashSuspects {
    return new CrashSuspects();
  }

  /** How a request is to be treated. */
  suspicionOf(fingerprint: Fingerprint, now: Instant): Suspicion {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || suspect.expiresAt <= now) return 'none';
    return suspect.deaths >= DEATHS_TO_QUARANTINE ? 'quarantined' : 'suspect';
  }

  /** When a request's past is forgotten. */
  expiresAt(fingerprint: Fingerprint): Instant | undefined {
    return this.suspects.get(fingerprint)?.expiresAt;
  }

  /** Notes that an endpoint died while it ran the request; returns what peers are told. */
  recordCrash(fingerprint: Fingerprint, now: Instant): Suspect {
    const known = this.suspects.get(fingerprint);
    const isCounted = known !== undefined && known.expiresAt > now;
    return this.remember({
      fingerprint,
      deaths: (isCounted ? known.deaths : 0) + 1,
      expiresAt: after(now, MEMORY_MILLISECONDS),
    });
  }

  /** Clears a request that an endpoint answered after all: it stood beside the culprit. */
  recordSuccess(fingerprint: Fingerprint): void {
    this.suspects.delete(fingerprint);
  }

  /** Takes over what a peer knows; counts are never added up twice. */
  merge(suspect: Suspect): void {
    const known = this.suspects.get(suspect.fingerprint);
    if (known === undefined || known.deaths < suspect.deaths) {
      this.remember(suspect);
    }
  }

  private remember(suspect: Suspect): Suspect {
    this.suspects.delete(suspect.fingerprint);
    this.suspects.set(suspect.fingerprint, suspect);
    if (this.suspects.size > MAXIMUM_SUSPECTS) {
      const [oldest] = this.suspects.keys();
      if (oldest !== undefined) this.suspects.delete(oldest);
    }
    return suspect;
  }
}
