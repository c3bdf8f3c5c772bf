/**
 * Records requests whose endpoint crashed while it ran them, and decides which of them are
 * quarantined. Nodes exchange their records; merging them in any order gives the same result.
 */

import type {
  Brand,
  Fingerprint,
  Instant,
  Milliseconds,
} from '@siskinmux/kernel';
import {after, later} from '@siskinmux/kernel';

/** Identifies one crash of an endpoint, for instance by the incarnation that ended. */
export type CrashId = Brand<string, 'CrashId'>;

/** How long a record is kept after the last crash, in addition to its quarantine. */
const SUSPECT_LIFETIME_MILLISECONDS: Milliseconds = 600_000;

/** Bound on the recorded requests; those with the fewest crashes are evicted first. */
const MAXIMUM_SUSPECTS = 2_000;

/** Records kept when the bound is exceeded, so that evictions are rare. */
const KEPT_SHARE = 0.9;

/** Bound on the crashes of one request; no decision depends on more. */
const MAXIMUM_CRASHES = 8;

/**
 * A run that the endpoint had responded to weighs this many crashes less: a request that
 * crashes endpoints mostly does so before there is a response.
 */
const RESPONDED_DISCOUNT = 3;

/** The crash of an endpoint while it ran a certain request. */
export interface RunCrash {
  readonly crash: CrashId;
  /** Whether the endpoint had begun to respond to the request. */
  readonly hadResponded: boolean;
  /** Whether an endpoint completed the request afterwards, so that it wasn't the cause. */
  readonly isCleared: boolean;
}

/** A request during which endpoints crashed, as nodes send it to each other. */
export interface Suspect {
  readonly fingerprint: Fingerprint;
  readonly crashes: readonly RunCrash[];
  readonly lastCrashAt: Instant;
}

/**
 * How a request is treated because of crashes. After its quarantine a request is on
 * probation: a single run decides whether it is cleared or quarantined for longer.
 */
export type Suspicion =
  | {readonly kind: 'none' | 'suspect' | 'probation'}
  | {readonly kind: 'quarantined'; readonly until: Instant};

/** Returns how long a request is quarantined after its last crash; 0 if it isn't. */
export type QuarantinePolicy = (crashCount: number) => Milliseconds;

/** Suspect requests that this node has recorded or received from other nodes. */
export class CrashSuspects {
  private readonly suspects = new Map<Fingerprint, Suspect>();
  /** The requests that ran when an endpoint crashed; one of them may explain the crash. */
  private readonly requestsByCrash = new Map<CrashId, Set<Fingerprint>>();

  private constructor(private readonly quarantineAfter: QuarantinePolicy) {}

  static create(quarantineAfter: QuarantinePolicy): CrashSuspects {
    return new CrashSuspects(quarantineAfter);
  }

  /** Number of recorded requests. */
  get size(): number {
    return this.suspects.size;
  }

  /** All recorded requests. */
  get all(): Iterable<Suspect> {
    return this.suspects.values();
  }

  /** Records of requests that are quarantined or on probation, those with the most crashes first. */
  quarantined(now: Instant): Suspect[] {
    return [...this.suspects.values()]
      .filter(({fingerprint}) => {
        const {kind} = this.suspicionOf(fingerprint, now);
        return kind === 'quarantined' || kind === 'probation';
      })
      .sort(compareStrength);
  }

  /** Returns how a request is to be treated at `now`. */
  suspicionOf(fingerprint: Fingerprint, now: Instant): Suspicion {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || this.expiresAt(suspect) <= now)
      return {kind: 'none'};
    const crashCount = this.crashCountOf(fingerprint);
    if (crashCount === 0) return {kind: 'none'};
    const quarantineMilliseconds = this.quarantineAfter(crashCount);
    if (quarantineMilliseconds === 0) return {kind: 'suspect'};
    const until = after(suspect.lastCrashAt, quarantineMilliseconds);
    return until > now ? {kind: 'quarantined', until} : {kind: 'probation'};
  }

  /** Crashes that are attributed to a request: not cleared, and not explained by another one. */
  crashCountOf(fingerprint: Fingerprint): number {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined) return 0;
    return suspect.crashes.filter(
      run => !run.isCleared && !this.isExplainedByOther(suspect, run),
    ).length;
  }

  /** Records that an endpoint crashed while it ran a request; returns the record for peers. */
  recordCrash(
    fingerprint: Fingerprint,
    run: Omit<RunCrash, 'isCleared'>,
    now: Instant,
  ): Suspect {
    this.merge(
      {fingerprint, crashes: [{...run, isCleared: false}], lastCrashAt: now},
      now,
    );
    return this.suspects.get(fingerprint)!;
  }

  /**
   * Clears a request that an endpoint has completed; its crashes had another cause. Returns
   * the record for peers, or undefined if nothing was recorded against the request.
   */
  recordSuccess(fingerprint: Fingerprint): Suspect | undefined {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || !suspect.crashes.some(run => !run.isCleared))
      return undefined;
    const crashes = suspect.crashes.map(run => ({...run, isCleared: true}));
    const cleared = {...suspect, crashes};
    this.suspects.set(fingerprint, cleared);
    return cleared;
  }

  /** Merges a peer's record; returns whether it contained anything new. */
  merge(received: Suspect, now: Instant): boolean {
    const known = this.suspects.get(received.fingerprint);
    if (!hasNews(known?.crashes ?? [], received.crashes)) return false;
    const crashes = mergeRuns(known?.crashes ?? [], received.crashes);
    this.delete(received.fingerprint);
    this.insert({
      fingerprint: received.fingerprint,
      crashes,
      lastCrashAt: later(
        known?.lastCrashAt ?? received.lastCrashAt,
        received.lastCrashAt,
      ),
    });
    if (this.suspects.size > MAXIMUM_SUSPECTS) this.evict(now);
    return true;
  }

  /** Whether another request that ran there is the more likely cause of the crash. */
  private isExplainedByOther(suspect: Suspect, run: RunCrash): boolean {
    const own = weightOf(suspect, run);
    for (const fingerprint of this.requestsByCrash.get(run.crash) ?? []) {
      if (fingerprint === suspect.fingerprint) continue;
      const other = this.suspects.get(fingerprint);
      const otherRun = other?.crashes.find(({crash}) => crash === run.crash);
      if (other === undefined || otherRun === undefined) continue;
      if (!otherRun.isCleared && weightOf(other, otherRun) > own) return true;
    }
    return false;
  }

  private expiresAt(suspect: Suspect): Instant {
    const quarantineMilliseconds = this.quarantineAfter(
      uncleared(suspect).length,
    );
    return after(
      suspect.lastCrashAt,
      quarantineMilliseconds + SUSPECT_LIFETIME_MILLISECONDS,
    );
  }

  private insert(suspect: Suspect): void {
    this.suspects.set(suspect.fingerprint, suspect);
    for (const {crash} of suspect.crashes) {
      const requests = this.requestsByCrash.get(crash) ?? new Set();
      requests.add(suspect.fingerprint);
      this.requestsByCrash.set(crash, requests);
    }
  }

  private delete(fingerprint: Fingerprint): void {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined) return;
    this.suspects.delete(fingerprint);
    for (const {crash} of suspect.crashes) {
      const requests = this.requestsByCrash.get(crash);
      requests?.delete(fingerprint);
      if (requests?.size === 0) this.requestsByCrash.delete(crash);
    }
  }

  /** Evicts expired records, then those with the fewest and oldest crashes. */
  private evict(now: Instant): void {
    const kept = [...this.suspects.values()]
      .filter(suspect => this.expiresAt(suspect) > now)
      .sort(compareStrength)
      .slice(0, MAXIMUM_SUSPECTS * KEPT_SHARE);
    const keptSet = new Set(kept);
    for (const suspect of [...this.suspects.values()]) {
      if (!keptSet.has(suspect)) this.delete(suspect.fingerprint);
    }
  }
}

function uncleared({crashes}: Suspect): RunCrash[] {
  return crashes.filter(({isCleared}) => !isCleared);
}

/** How much speaks for a request as the cause of one of its crashes. */
function weightOf(suspect: Suspect, {hadResponded}: RunCrash): number {
  return uncleared(suspect).length - (hadResponded ? RESPONDED_DISCOUNT : 0);
}

/** Sorts requests with more crashes first, then those with later ones. */
function compareStrength(left: Suspect, right: Suspect): number {
  return (
    uncleared(right).length - uncleared(left).length ||
    right.lastCrashAt - left.lastCrashAt
  );
}

function hasNews(
  known: readonly RunCrash[],
  received: readonly RunCrash[],
): boolean {
  return received.some(run => {
    const same = known.find(({crash}) => crash === run.crash);
    if (same === undefined) return true;
    return (
      (run.isCleared && !same.isCleared) ||
      (!run.hadResponded && same.hadResponded)
    );
  });
}

/** Union of the crashes, in a fixed order; beyond the bound, cleared ones are dropped first. */
function mergeRuns(
  known: readonly RunCrash[],
  received: readonly RunCrash[],
): RunCrash[] {
  const merged = new Map(known.map(run => [run.crash, run]));
  for (const run of received) {
    const {crash, hadResponded, isCleared} = merged.get(run.crash) ?? run;
    merged.set(crash, {
      crash,
      hadResponded: hadResponded && run.hadResponded,
      isCleared: isCleared || run.isCleared,
    });
  }
  return [...merged.values()]
    .sort(
      (left, right) =>
        Number(left.isCleared) - Number(right.isCleared) ||
        (left.crash < right.crash ? -1 : 1),
    )
    .slice(0, MAXIMUM_CRASHES);
}
