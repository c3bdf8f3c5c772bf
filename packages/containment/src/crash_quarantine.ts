/**
 * Contains requests that crash endpoints: records crashes, exchanges the records with the
 * other nodes through the lease holder, and refuses requests with quarantined traits.
 */

import type {
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
  RefusalError,
  RequestId,
} from '@siskinmux/kernel';
import {ErrorCode, after, createNotRunRefusal, until} from '@siskinmux/kernel';
import {
  PROBATION_ALLOWED,
  REQUEST_QUARANTINED,
  REQUEST_WITHHELD,
  RUN_CRASHED,
  TRAIT_CLEARED,
} from './containment_events.js';
import type {BrokenRun, CrashEvidence} from './crash_detector.js';
import type {QuarantinePolicy, Suspicion} from './crash_suspects.js';
import type {CrashId, Suspect} from './run_crashes.js';
import {CrashSuspects} from './crash_suspects.js';
import {PROBATION_MILLISECONDS, Probations} from './probations.js';
import {SuspectRuns} from './suspect_runs.js';
import type {Trait} from './trait.js';

/**
 * Quarantine after a number of crashes; the last entry applies to more. The first one is
 * short: two crashes may also hit a harmless request that ran beside another one twice.
 */
const QUARANTINE_MILLISECONDS: readonly Milliseconds[] = [
  0, 0, 30_000, 600_000, 7_200_000, 86_400_000,
];

/**
 * `Retry-After` while the lease holder can't be asked, or a run on probation is going on; most
 * runs have ended by then.
 */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 2_000;

/** An endpoint that crashed longer ago may have started again. */
const RECENT_CRASH_MILLISECONDS: Milliseconds = 2_000;

/** Bound on the traits in one log line. */
const MAXIMUM_LOGGED_TRAITS = 8;

/** How the quarantine of the gateway lengthens with the crashes. */
export const quarantinePolicy: QuarantinePolicy = crashCount =>
  QUARANTINE_MILLISECONDS[
    Math.min(crashCount, QUARANTINE_MILLISECONDS.length - 1)
  ] ?? 0;

/** Connection to the lease holder's record of suspects. */
export interface SuspectExchange {
  /** Sends records to the lease holder, which forwards those that are new to all nodes. */
  reportSuspects(suspects: readonly Suspect[]): void;
  /** Whether this node may run one request with these traits on probation. */
  requestProbation(traits: readonly Trait[]): Promise<boolean>;
  /** Tells the lease holder that such a run has ended and decided nothing, or never began. */
  endProbation(traits: readonly Trait[]): void;
}

/** Dependencies of {@link CrashQuarantine}. */
export interface CrashQuarantineOptions {
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /** Called for each crash of an endpoint while it ran a request of this node. */
  readonly onCrash: (run: BrokenRun, evidence: CrashEvidence) => void;
  /** Called for each crash that this node learns of, from its own requests or from a peer. */
  readonly onEndpointCrash: (crash: CrashId) => void;
  /** Called for each request that is refused because of its quarantine. */
  readonly onWithheld: () => void;
}

/** Permission for one run on probation. */
export interface ProbationGrant {
  readonly expiresAt: Instant;
}

/** Whether a request may be sent now, and its permission if it is on probation. */
export interface QuarantineCheck {
  readonly refusal?: RefusalError;
  readonly grant?: ProbationGrant | undefined;
}

/** One node's records of traits that were present when endpoints crashed. */
export class CrashQuarantine {
  private readonly suspects = CrashSuspects.create(quarantinePolicy);
  private readonly runs = SuspectRuns.create();
  /** Used while this node holds the lease. */
  private readonly probations = Probations.create();
  /** What a lease holder has sent since the connection to the previous one ended. */
  private holderRecords = CrashSuspects.create(quarantinePolicy);
  private exchange: SuspectExchange | undefined;
  private recordChanges = 0;

  private constructor(private readonly options: CrashQuarantineOptions) {}

  static create(options: CrashQuarantineOptions): CrashQuarantine {
    return new CrashQuarantine(options);
  }

  /** Whether any trait is recorded; if not, no request needs to be checked. */
  get hasSuspects(): boolean {
    return this.suspects.size > 0;
  }

  /** All records, for a node that has just connected. */
  get records(): Suspect[] {
    return [...this.suspects.all];
  }

  /** Counts the changes of the records. */
  get changeCount(): number {
    return this.recordChanges;
  }

  /** Traits that are quarantined or on probation, those with the most crashes first. */
  get quarantined(): Suspect[] {
    return this.suspects.quarantined(this.options.clock.now());
  }

  /** Switches to another lease holder, and sends it the records that it lacks. */
  setExchange(exchange: SuspectExchange | undefined): void {
    this.exchange = exchange;
    const {holderRecords} = this;
    this.holderRecords = CrashSuspects.create(quarantinePolicy);
    if (exchange === undefined) return;
    const now = this.options.clock.now();
    const lacking = this.records.filter(suspect =>
      holderRecords.merge(suspect, now),
    );
    if (lacking.length > 0) exchange.reportSuspects(lacking);
  }

  /**
   * Contains a refusal if a request with these traits may not be sent now. On probation it
   * needs the permission of the lease holder, so that a single node tries it; an unexpired
   * `grant` of an earlier check still holds.
   */
  async check(
    traits: readonly Trait[],
    id: RequestId,
    grant?: ProbationGrant,
  ): Promise<QuarantineCheck> {
    const {clock} = this.options;
    const suspicion = this.suspicionOf(traits);
    if (suspicion.kind === 'quarantined')
      return {refusal: this.withhold(traits, id, suspicion)};
    if (suspicion.kind !== 'probation') return {grant};
    if (grant !== undefined && grant.expiresAt > clock.now()) return {grant};
    const expiresAt = after(clock.now(), PROBATION_MILLISECONDS);
    const isAllowed = await this.exchange?.requestProbation(traits);
    if (isAllowed === true) return {grant: {expiresAt}};
    return {refusal: this.withhold(traits, id, suspicion)};
  }

  /** Endpoints on which this node runs other suspects, if the request is one itself. */
  endpointsToAvoid(traits: readonly Trait[]): ReadonlySet<EndpointId> {
    const suspected = this.suspectedOf(traits);
    return suspected.length === 0
      ? new Set()
      : this.runs.endpointsOfOthers(suspected);
  }

  /** Tracks the run of a suspect until the returned function is called. */
  trackRun(traits: readonly Trait[], endpoint: EndpointId): () => void {
    const suspected = this.suspectedOf(traits);
    return suspected.length === 0
      ? () => {}
      : this.runs.track(suspected, endpoint);
  }

  /** Records that an endpoint crashed while it ran a request of this node. */
  readonly recordCrash = (
    run: BrokenRun,
    crash: CrashId,
    evidence: CrashEvidence,
  ): void => {
    const {clock, emit, onCrash, onEndpointCrash} = this.options;
    const {traits, hadResponded, endpoint} = run;
    const isNewCrash = !this.suspects.knowsCrash(crash);
    const before = this.quarantineEnds(traits);
    const changed = this.suspects.recordCrash(
      traits,
      {crash, hadResponded},
      clock.now(),
    );
    this.recordChanges += 1;
    onCrash(run, evidence);
    const [content, ...others] = traits;
    emit(RUN_CRASHED, {
      content,
      traits: others.slice(0, MAXIMUM_LOGGED_TRAITS).join(' '),
      endpoint: endpoint.id,
      crash,
      evidence,
      hadResponded,
      crashes: Math.max(0, ...traits.map(trait => this.crashCountOf(trait))),
    });
    this.logQuarantines(before);
    if (changed.length > 0) this.exchange?.reportSuspects(changed);
    if (isNewCrash) onEndpointCrash(crash);
  };

  /** Clears the traits of a request that an endpoint has completed. */
  recordServed(traits: readonly Trait[]): void {
    const {clock} = this.options;
    this.reportCleared(this.suspects.recordSuccess(traits, clock.now()));
  }

  /** Merges records of other nodes; returns those that were new. */
  merge(received: readonly Suspect[]): Suspect[] {
    const now = this.options.clock.now();
    const before = this.quarantineEnds(received.map(({trait}) => trait));
    const newCrashes = this.newCrashesOf(received, now);
    const added = received.filter(suspect => {
      if (this.exchange === undefined) this.holderRecords.merge(suspect, now);
      return this.suspects.merge(suspect, now);
    });
    this.recordChanges += added.length;
    const traits = added.map(({trait}) => trait);
    this.reportCleared(this.suspects.clearRecentlyServed(traits, now));
    this.logQuarantines(before);
    for (const crash of newCrashes) this.options.onEndpointCrash(crash);
    return added;
  }

  /** As the lease holder, allows a run on probation unless another one is going on. */
  allowProbation(traits: readonly Trait[]): boolean {
    const now = this.options.clock.now();
    if (this.suspicionOf(traits).kind === 'quarantined') return false;
    const tried = traits.filter(
      trait => this.suspects.suspicionOf([trait], now).kind === 'probation',
    );
    if (!this.probations.tryStart(tried, now)) return false;
    this.options.emit(PROBATION_ALLOWED, {
      traits: tried.slice(0, MAXIMUM_LOGGED_TRAITS).join(' '),
      milliseconds: PROBATION_MILLISECONDS,
    });
    return true;
  }

  /** Returns an unexpired permission, so that another request can be tried. */
  returnGrant(traits: readonly Trait[], {expiresAt}: ProbationGrant): void {
    if (expiresAt > this.options.clock.now())
      this.exchange?.endProbation(traits);
  }

  /** As the lease holder, allows the next run with these traits. */
  endProbation(traits: readonly Trait[]): void {
    this.probations.end(traits);
  }

  /** Crashes of the last seconds that this node didn't know. */
  private newCrashesOf(
    received: readonly Suspect[],
    now: Instant,
  ): ReadonlySet<CrashId> {
    const recent = received.filter(
      ({lastCrashAt}) => after(lastCrashAt, RECENT_CRASH_MILLISECONDS) > now,
    );
    return new Set(
      recent
        .flatMap(({crashes}) => crashes.map(({crash}) => crash))
        .filter(crash => !this.suspects.knowsCrash(crash)),
    );
  }

  private suspicionOf(traits: readonly Trait[]): Suspicion {
    return this.suspects.suspicionOf(traits, this.options.clock.now());
  }

  private suspectedOf(traits: readonly Trait[]): Trait[] {
    return this.suspects.suspectedOf(traits, this.options.clock.now());
  }

  private crashCountOf(trait: Trait): number {
    return this.suspects.crashCountOf(trait);
  }

  private withhold(
    traits: readonly Trait[],
    id: RequestId,
    suspicion: Suspicion,
  ): RefusalError {
    const {clock, emit, onWithheld} = this.options;
    const [content] = traits;
    const blamed =
      suspicion.kind === 'quarantined'
        ? suspicion.trait
        : traits.find(trait => this.suspicionOf([trait]).kind === 'probation');
    const retryAt =
      suspicion.kind === 'quarantined'
        ? suspicion.until
        : after(clock.now(), RETRY_AFTER_MILLISECONDS);
    const crashes = blamed === undefined ? 0 : this.crashCountOf(blamed);
    onWithheld();
    emit(REQUEST_WITHHELD, {
      id,
      content,
      trait: blamed,
      state: suspicion.kind,
      crashes,
      retryIn: Math.round(until(clock.now(), retryAt)),
    });
    return createNotRunRefusal(
      ErrorCode.RequestQuarantined,
      `${crashes} endpoints`,
      retryAt,
    );
  }

  private reportCleared(cleared: readonly Suspect[]): void {
    if (cleared.length === 0) return;
    this.recordChanges += cleared.length;
    for (const {trait, crashes} of cleared)
      this.options.emit(TRAIT_CLEARED, {trait, crashes: crashes.length});
    this.exchange?.reportSuspects(cleared);
  }

  /** When the quarantine of each of these traits ends; undefined for those without one. */
  private quarantineEnds(
    traits: readonly Trait[],
  ): Map<Trait, Instant | undefined> {
    return new Map(
      traits.map(trait => {
        const suspicion = this.suspicionOf([trait]);
        return [
          trait,
          suspicion.kind === 'quarantined' ? suspicion.until : undefined,
        ];
      }),
    );
  }

  private logQuarantines(
    before: ReadonlyMap<Trait, Instant | undefined>,
  ): void {
    const now = this.options.clock.now();
    for (const [trait, endsAt] of this.quarantineEnds([...before.keys()])) {
      const endedAt = before.get(trait);
      if (endsAt === undefined || (endedAt !== undefined && endedAt >= endsAt))
        continue;
      this.options.emit(REQUEST_QUARANTINED, {
        trait,
        crashes: this.crashCountOf(trait),
        milliseconds: Math.round(until(now, endsAt)),
      });
    }
  }
}
