/**
 * Contains requests that crash endpoints: records crashes, exchanges the records with the
 * other nodes through the lease holder, and refuses requests that are quarantined.
 */

import type {
  Clock,
  EmitEvent,
  EndpointId,
  Fingerprint,
  Instant,
  Milliseconds,
  RefusalError,
  RequestId,
} from '@siskinmux/kernel';
import {ErrorCode, after, createNotRunRefusal, until} from '@siskinmux/kernel';
import type {
  CrashId,
  QuarantinePolicy,
  Suspect,
  Suspicion,
} from './crash_suspects.js';
import {CrashSuspects} from './crash_suspects.js';
import type {BrokenRun, CrashEvidence} from './crash_detector.js';
import {
  REQUEST_CLEARED,
  REQUEST_QUARANTINED,
  REQUEST_WITHHELD,
  RUN_CRASHED,
} from './containment_events.js';
import {RecentlyServed} from './recently_served.js';
import {SuspectRuns} from './suspect_runs.js';

/**
 * Quarantine after a number of crashes; the last entry applies to more. The first one is
 * short: two crashes may also hit a harmless request that ran beside another one twice.
 */
const QUARANTINE_MILLISECONDS: readonly Milliseconds[] = [
  0, 0, 30_000, 600_000, 7_200_000, 86_400_000,
];

/** The lease holder allows one run of a request on probation in this time. */
const PROBATION_INTERVAL_MILLISECONDS: Milliseconds = 5_000;

/** `Retry-After` while the lease holder can't be asked, or another node tries the request. */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 5_000;

/** Bound on the parts of a prompt in one log line. */
const MAXIMUM_LOGGED_PARTS = 8;

/** How the quarantine of the gateway lengthens with the crashes. */
export const quarantinePolicy: QuarantinePolicy = crashCount =>
  QUARANTINE_MILLISECONDS[
    Math.min(crashCount, QUARANTINE_MILLISECONDS.length - 1)
  ] ?? 0;

/** Connection to the lease holder's record of suspects. */
export interface SuspectExchange {
  /** Sends records to the lease holder, which forwards those that are new to all nodes. */
  reportSuspects(suspects: readonly Suspect[]): void;
  /** Whether this node may run a request on probation once. */
  requestProbation(fingerprint: Fingerprint): Promise<boolean>;
}

/** Dependencies of {@link CrashQuarantine}. */
export interface CrashQuarantineOptions {
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /** Called for each crash of an endpoint while it ran a request of this node. */
  readonly onCrash: (run: BrokenRun, evidence: CrashEvidence) => void;
  /** Called for each request that is refused because of its quarantine. */
  readonly onWithheld: () => void;
}

/** One node's records of requests that crashed endpoints. */
export class CrashQuarantine {
  private readonly suspects = CrashSuspects.create(quarantinePolicy);
  private readonly runs = SuspectRuns.create();
  private readonly recentlyServed = RecentlyServed.create();
  /** When the next run on probation may be allowed; used while this node holds the lease. */
  private readonly nextProbationAt = new Map<Fingerprint, Instant>();
  /** What a lease holder has sent since the connection to the previous one ended. */
  private holderRecords = CrashSuspects.create(quarantinePolicy);
  private exchange: SuspectExchange | undefined;
  private recordChanges = 0;

  private constructor(private readonly options: CrashQuarantineOptions) {}

  static create(options: CrashQuarantineOptions): CrashQuarantine {
    return new CrashQuarantine(options);
  }

  /** Whether any request is recorded; if not, none needs to be checked. */
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

  /** Requests that are quarantined or on probation, those with the most crashes first. */
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
   * Returns a refusal if a request may not be sent now. A request on probation needs the
   * permission of the lease holder, so that a single node tries it.
   */
  async check(
    fingerprint: Fingerprint,
    id: RequestId,
  ): Promise<RefusalError | undefined> {
    const {clock} = this.options;
    const suspicion = this.suspicionOf(fingerprint);
    if (suspicion.kind === 'quarantined')
      return this.withhold(fingerprint, id, suspicion.until);
    if (suspicion.kind !== 'probation') return undefined;
    const isAllowed = await this.exchange?.requestProbation(fingerprint);
    if (isAllowed === true) return undefined;
    return this.withhold(
      fingerprint,
      id,
      after(clock.now(), RETRY_AFTER_MILLISECONDS),
    );
  }

  /** Refuses a request that was quarantined while it waited for an endpoint. */
  checkAgain(
    fingerprint: Fingerprint,
    id: RequestId,
  ): RefusalError | undefined {
    const suspicion = this.suspicionOf(fingerprint);
    return suspicion.kind === 'quarantined'
      ? this.withhold(fingerprint, id, suspicion.until)
      : undefined;
  }

  /** Endpoints on which this node runs other suspects, if the request is one itself. */
  endpointsToAvoid(fingerprint: Fingerprint): ReadonlySet<EndpointId> {
    return this.suspicionOf(fingerprint).kind === 'none'
      ? new Set()
      : this.runs.endpointsOfOthers(fingerprint);
  }

  /** Tracks the run of a suspect until the returned function is called. */
  trackRun(fingerprint: Fingerprint, endpoint: EndpointId): () => void {
    return this.suspicionOf(fingerprint).kind === 'none'
      ? () => {}
      : this.runs.track(fingerprint, endpoint);
  }

  /** Records that an endpoint crashed while it ran a request of this node. */
  readonly recordCrash = (
    run: BrokenRun,
    crash: CrashId,
    evidence: CrashEvidence,
  ): void => {
    const {clock, emit, onCrash} = this.options;
    const {fingerprint, sharedParts, hadResponded, endpoint} = run;
    const before = this.suspicionOf(fingerprint);
    const now = clock.now();
    let suspect = this.suspects.recordCrash(
      fingerprint,
      {crash, hadResponded},
      now,
    );
    // Several endpoints may crash at once while they run copies of a popular request.
    if (this.recentlyServed.has(fingerprint, now))
      suspect = this.suspects.recordSuccess(fingerprint) ?? suspect;
    this.recordChanges += 1;
    onCrash(run, evidence);
    emit(RUN_CRASHED, {
      content: fingerprint,
      parts: sharedParts.slice(0, MAXIMUM_LOGGED_PARTS).join(' '),
      endpoint: endpoint.id,
      crash,
      evidence,
      hadResponded,
      crashes: this.suspects.crashCountOf(fingerprint),
    });
    this.logIfQuarantined(fingerprint, before);
    this.exchange?.reportSuspects([suspect]);
  };

  /** Clears a request that an endpoint has completed. */
  recordServed(fingerprint: Fingerprint): void {
    this.recentlyServed.record(fingerprint, this.options.clock.now());
    const cleared = this.suspects.recordSuccess(fingerprint);
    if (cleared === undefined) return;
    this.recordChanges += 1;
    this.options.emit(REQUEST_CLEARED, {
      content: fingerprint,
      crashes: cleared.crashes.length,
    });
    this.exchange?.reportSuspects([cleared]);
  }

  /** Merges records of other nodes; returns those that were new. */
  merge(received: readonly Suspect[]): Suspect[] {
    const {clock} = this.options;
    const now = clock.now();
    return received.filter(suspect => {
      if (this.exchange === undefined) this.holderRecords.merge(suspect, now);
      const before = this.suspicionOf(suspect.fingerprint);
      const isNew = this.suspects.merge(suspect, now);
      if (isNew) {
        this.recordChanges += 1;
        this.logIfQuarantined(suspect.fingerprint, before);
      }
      return isNew;
    });
  }

  /** As the lease holder, allows a run on probation unless one was allowed recently. */
  allowProbation(fingerprint: Fingerprint): boolean {
    const now = this.options.clock.now();
    for (const [key, at] of this.nextProbationAt) {
      if (at <= now) this.nextProbationAt.delete(key);
    }
    const isWaiting = this.nextProbationAt.has(fingerprint);
    if (isWaiting || this.suspicionOf(fingerprint).kind === 'quarantined')
      return false;
    this.nextProbationAt.set(
      fingerprint,
      after(now, PROBATION_INTERVAL_MILLISECONDS),
    );
    return true;
  }

  private suspicionOf(fingerprint: Fingerprint): Suspicion {
    return this.suspects.suspicionOf(fingerprint, this.options.clock.now());
  }

  private withhold(
    fingerprint: Fingerprint,
    id: RequestId,
    retryAt: Instant,
  ): RefusalError {
    const {clock, emit, onWithheld} = this.options;
    const crashes = this.suspects.crashCountOf(fingerprint);
    onWithheld();
    emit(REQUEST_WITHHELD, {
      id,
      content: fingerprint,
      crashes,
      retryIn: Math.round(until(clock.now(), retryAt)),
    });
    return createNotRunRefusal(
      ErrorCode.RequestQuarantined,
      `${crashes} endpoints`,
      retryAt,
    );
  }

  private logIfQuarantined(fingerprint: Fingerprint, before: Suspicion): void {
    const suspicion = this.suspicionOf(fingerprint);
    if (suspicion.kind !== 'quarantined') return;
    if (before.kind === 'quarantined' && before.until >= suspicion.until)
      return;
    this.options.emit(REQUEST_QUARANTINED, {
      content: fingerprint,
      crashes: this.suspects.crashCountOf(fingerprint),
      milliseconds: Math.round(
        until(this.options.clock.now(), suspicion.until),
      ),
    });
  }
}
