/**
 * Records the traits of requests whose endpoint crashed while it ran them, and infers which
 * traits are the cause. Nodes exchange their records; merging them in any order gives the
 * same result.
 *
 * The inference is group testing: a crash is explained by the trait with the most crashes
 * among those that were present, so that few traits explain all crashes. Traits that were
 * present in the same crashes explain them equally well, until a request that has only some
 * of these traits is completed or crashes its endpoint.
 */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {after, later} from '@siskinmux/kernel';
import {RecentlyServed} from './recently_served.js';
import type {CrashId, RunCrash, Suspect} from './run_crashes.js';
import {
  compareStrength,
  hasNews,
  mergeRuns,
  uncleared,
  unclearedRun,
  weightOf,
} from './run_crashes.js';
import type {Trait} from './trait.js';

/** How long a record is kept after the last crash, in addition to its quarantine. */
const SUSPECT_LIFETIME_MILLISECONDS: Milliseconds = 600_000;

/** Bound on the recorded traits; those with the fewest crashes are evicted first. */
const MAXIMUM_SUSPECTS = 2_000;

/** Records kept when the bound is exceeded, so that evictions are rare. */
const KEPT_SHARE = 0.9;

/**
 * How a request is treated because of crashes. On probation, a single run decides whether
 * its traits are cleared or quarantined: after a quarantine, and while several traits
 * explain the same crashes and the request has only some of them.
 */
export type Suspicion =
  | {readonly kind: 'none' | 'suspect' | 'probation'}
  | {
      readonly kind: 'quarantined';
      readonly until: Instant;
      readonly trait: Trait;
    };

/** Returns how long a trait is quarantined after its last crash; 0 if it isn't. */
export type QuarantinePolicy = (crashCount: number) => Milliseconds;

const NOT_SUSPECTED: Suspicion = {kind: 'none'};

const RANK_BY_KIND: Readonly<Record<Suspicion['kind'], number>> = {
  none: 0,
  suspect: 1,
  probation: 2,
  quarantined: 3,
};

/** Suspected traits that this node has recorded or received from other nodes. */
export class CrashSuspects {
  private readonly suspects = new Map<Trait, Suspect>();
  /** The traits that were present at a crash; one of them may explain it. */
  private readonly traitsByCrash = new Map<CrashId, Set<Trait>>();
  private readonly recentlyServed = RecentlyServed.create();

  private constructor(private readonly quarantineAfter: QuarantinePolicy) {}

  static create(quarantineAfter: QuarantinePolicy): CrashSuspects {
    return new CrashSuspects(quarantineAfter);
  }

  /** Whether any record names the crash. */
  knowsCrash(crash: CrashId): boolean {
    return this.traitsByCrash.has(crash);
  }

  /** Number of recorded traits. */
  get size(): number {
    return this.suspects.size;
  }

  /** All recorded traits. */
  get all(): Iterable<Suspect> {
    return this.suspects.values();
  }

  /** Records of traits that are quarantined or on probation, those with the most crashes first. */
  quarantined(now: Instant): Suspect[] {
    return [...this.suspects.values()]
      .filter(suspect => {
        if (this.quarantineAfter(uncleared(suspect).length) === 0) return false;
        const {kind} = this.suspicionOf([suspect.trait], now);
        return kind === 'quarantined' || kind === 'probation';
      })
      .sort(compareStrength);
  }

  /** Returns how a request with these traits is to be treated at `now`. */
  suspicionOf(traits: readonly Trait[], now: Instant): Suspicion {
    let gravest = NOT_SUSPECTED;
    for (const trait of traits) {
      const suspicion = this.suspicionOfTrait(trait, traits, now);
      if (isGraver(suspicion, gravest)) gravest = suspicion;
    }
    return gravest;
  }

  /** Those of a request's traits that aren't free of suspicion. */
  suspectedOf(traits: readonly Trait[], now: Instant): Trait[] {
    return traits.filter(
      trait => this.suspicionOfTrait(trait, traits, now).kind !== 'none',
    );
  }

  /** Crashes that are attributed to a trait: not cleared, and not explained by another one. */
  crashCountOf(trait: Trait): number {
    const suspect = this.suspects.get(trait);
    return suspect === undefined ? 0 : this.attributedCrashes(suspect).length;
  }

  /** Traits that explain all crashes of a trait as well as the trait itself does. */
  rivalsOf(trait: Trait): Trait[] {
    const suspect = this.suspects.get(trait);
    if (suspect === undefined) return [];
    const crashes = this.attributedCrashes(suspect);
    const [first] = crashes;
    if (first === undefined) return [];
    return [...(this.traitsByCrash.get(first.crash) ?? [])].filter(other => {
      const rival = this.suspects.get(other);
      return (
        rival !== undefined &&
        other !== trait &&
        crashes.every(run => this.explainsAsWell(rival, suspect, run))
      );
    });
  }

  /**
   * Records that an endpoint crashed while it ran a request with these traits; returns the
   * records that have changed, for peers.
   */
  recordCrash(
    traits: readonly Trait[],
    run: Omit<RunCrash, 'isCleared'>,
    now: Instant,
  ): Suspect[] {
    const crashes = [{...run, isCleared: false}];
    const added = traits.filter(trait =>
      this.merge({trait, crashes, lastCrashAt: now}, now),
    );
    this.clearRecentlyServed(added, now);
    return this.recordsOf(added);
  }

  /**
   * Clears the traits of a request that an endpoint has completed; their crashes had another
   * cause. Returns the records that have changed, for peers.
   */
  recordSuccess(traits: readonly Trait[], now: Instant): Suspect[] {
    for (const trait of traits) this.recentlyServed.record(trait, now);
    return this.clear(traits);
  }

  /**
   * Clears received traits that this node's endpoints have served shortly before. Returns
   * the records that have changed, for peers.
   */
  clearRecentlyServed(traits: readonly Trait[], now: Instant): Suspect[] {
    return this.clear(
      traits.filter(trait => this.recentlyServed.explainsCrash(trait, now)),
    );
  }

  /** Merges a peer's record; returns whether it contained anything new. */
  merge(received: Suspect, now: Instant): boolean {
    const {trait} = received;
    const known = this.suspects.get(trait);
    if (!hasNews(known?.crashes ?? [], received.crashes)) return false;
    const crashes = mergeRuns(known?.crashes ?? [], received.crashes);
    this.delete(trait);
    this.insert({
      trait,
      crashes,
      lastCrashAt: later(
        known?.lastCrashAt ?? received.lastCrashAt,
        received.lastCrashAt,
      ),
    });
    if (this.suspects.size > MAXIMUM_SUSPECTS) this.evict(now);
    return true;
  }

  private suspicionOfTrait(
    trait: Trait,
    traits: readonly Trait[],
    now: Instant,
  ): Suspicion {
    const suspect = this.suspects.get(trait);
    if (suspect === undefined || this.expiresAt(suspect) <= now)
      return NOT_SUSPECTED;
    const crashCount = this.crashCountOf(trait);
    if (crashCount === 0) return NOT_SUSPECTED;
    const quarantineMilliseconds = this.quarantineAfter(crashCount);
    if (quarantineMilliseconds === 0) return {kind: 'suspect'};
    // The run of a request that lacks one of the rivals tells them apart.
    if (this.rivalsOf(trait).some(rival => !traits.includes(rival)))
      return {kind: 'probation'};
    const until = after(suspect.lastCrashAt, quarantineMilliseconds);
    return until > now
      ? {kind: 'quarantined', until, trait}
      : {kind: 'probation'};
  }

  private attributedCrashes(suspect: Suspect): RunCrash[] {
    return uncleared(suspect).filter(
      run => !this.isExplainedByOther(suspect, run),
    );
  }

  /** Whether another trait that was present is the more likely cause of the crash. */
  private isExplainedByOther(suspect: Suspect, run: RunCrash): boolean {
    for (const trait of this.traitsByCrash.get(run.crash) ?? []) {
      const other = this.suspects.get(trait);
      if (other === undefined || trait === suspect.trait) continue;
      if (unclearedRun(other, run.crash) === undefined) continue;
      if (weightOf(other) > weightOf(suspect)) return true;
    }
    return false;
  }

  private explainsAsWell(
    rival: Suspect,
    suspect: Suspect,
    run: RunCrash,
  ): boolean {
    return (
      unclearedRun(rival, run.crash) !== undefined &&
      weightOf(rival) >= weightOf(suspect)
    );
  }

  private clear(traits: readonly Trait[]): Suspect[] {
    const cleared = this.recordsOf(traits).filter(
      suspect => uncleared(suspect).length > 0,
    );
    return cleared.map(suspect => {
      const crashes = suspect.crashes.map(run => ({...run, isCleared: true}));
      const record = {...suspect, crashes};
      this.suspects.set(suspect.trait, record);
      return record;
    });
  }

  private recordsOf(traits: readonly Trait[]): Suspect[] {
    return traits.flatMap(trait => this.suspects.get(trait) ?? []);
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
    const {trait} = suspect;
    this.suspects.set(trait, suspect);
    for (const {crash} of suspect.crashes) {
      const traits = this.traitsByCrash.get(crash) ?? new Set();
      traits.add(trait);
      this.traitsByCrash.set(crash, traits);
    }
  }

  private delete(trait: Trait): void {
    const suspect = this.suspects.get(trait);
    if (suspect === undefined) return;
    this.suspects.delete(trait);
    for (const {crash} of suspect.crashes) {
      const traits = this.traitsByCrash.get(crash);
      traits?.delete(trait);
      if (traits?.size === 0) this.traitsByCrash.delete(crash);
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
      if (!keptSet.has(suspect)) this.delete(suspect.trait);
    }
  }
}

function isGraver(left: Suspicion, right: Suspicion): boolean {
  if (left.kind === 'quarantined' && right.kind === 'quarantined')
    return left.until > right.until;
  return RANK_BY_KIND[left.kind] > RANK_BY_KIND[right.kind];
}
