/** Attributes engine crashes to requests, isolates suspects and enforces the quarantine. */

import type {
  Clock,
  EndpointId,
  Fingerprint,
  Instant,
  Milliseconds,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  Outcome,
  RefusalError,
  SiskinmuxError,
  after,
  as,
  createNotRunRefusal,
} from '@siskinmux/kernel';
import type {Engine} from '@siskinmux/ports';
import type {
  CrashId,
  CrashSuspects,
  QuarantinePolicy,
  Suspect,
} from '@siskinmux/containment';
import {createDeadlineSignal} from './deadline_signal.js';

/** Timeout of the status call that checks an engine after its response broke off. */
const LIVENESS_TIMEOUT_MILLISECONDS = 300;

/** Crashes of an engine that nodes detect in the same window count as one. */
const SAME_CRASH_MILLISECONDS: Milliseconds = 10_000;

const QUARANTINE_MILLISECONDS: Milliseconds = 600_000;

/** Endpoint crashes after which a request is no longer sent. */
const CRASHES_TO_QUARANTINE = 2;

/** Quarantines a request for ten minutes after its second crash and each one after that. */
export const requestQuarantinePolicy: QuarantinePolicy = crashCount =>
  crashCount >= CRASHES_TO_QUARANTINE ? QUARANTINE_MILLISECONDS : 0;

/** A run whose response broke off. */
export interface BrokenGeneration {
  readonly fingerprint: Fingerprint;
  readonly engine: EndpointId;
  /** Whether the request was a suspect when the run began. */
  readonly wasSuspect: boolean;
  readonly hadResponded: boolean;
}

/** Dependencies of {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  readonly clock: Clock;
  readonly suspects: CrashSuspects;
  readonly engine: (id: EndpointId) => Engine;
  /** Sends the other nodes the record of a request during which an endpoint crashed. */
  readonly announceSuspect: (suspect: Suspect) => void;
}

/** Requests suspected of crashing engines, and the engines on which they run. */
export class RequestQuarantine {
  /** Engines that are running a suspect of this node. */
  private readonly enginesWithSuspect = new Set<EndpointId>();

  private constructor(private readonly options: RequestQuarantineOptions) {}

  static create(options: RequestQuarantineOptions): RequestQuarantine {
    return new RequestQuarantine(options);
  }

  /** Throws a `RefusalError` for a quarantined request. */
  throwIfQuarantined(fingerprint: Fingerprint): void {
    const until = this.quarantinedUntil(fingerprint);
    if (until === undefined) return;
    throw createNotRunRefusal(ErrorCode.RequestQuarantined, '', until);
  }

  /** Whether a request is suspected of crashing endpoints. */
  isSuspect(fingerprint: Fingerprint): boolean {
    const {clock, suspects} = this.options;
    return suspects.suspicionOf(fingerprint, clock.now()).kind !== 'none';
  }

  /**
   * Whether a request may run on an engine. An engine runs at most one suspect, because a
   * crash while it runs two could be attributed to neither.
   */
  canRunOn(engine: EndpointId, fingerprint: Fingerprint): boolean {
    return !this.enginesWithSuspect.has(engine) || !this.isSuspect(fingerprint);
  }

  /** Records that a suspect runs on an engine. */
  recordSuspectStart(engine: EndpointId): void {
    this.enginesWithSuspect.add(engine);
  }

  /** Records that the suspect on an engine has ended. */
  recordSuspectEnd(engine: EndpointId): void {
    this.enginesWithSuspect.delete(engine);
  }

  /** Clears the suspicion of a request that got a complete response. */
  clearSuspicion(fingerprint: Fingerprint): void {
    this.options.suspects.recordSuccess(fingerprint);
  }

  /**
   * Records a crash for a request whose response broke off, if the engine no longer
   * responds. If a suspect ran there at the same time, the crash is attributed only to the
   * suspect. Throws a `RefusalError` if the request is now quarantined.
   */
  async attributeCrash(
    {fingerprint, engine, wasSuspect, hadResponded}: BrokenGeneration,
    callerSignal: AbortSignal,
  ): Promise<void> {
    const {clock, suspects, announceSuspect} = this.options;
    const hasOtherSuspect = !wasSuspect && this.enginesWithSuspect.has(engine);
    if (await this.isAlive(engine, callerSignal)) return;
    if (hasOtherSuspect) return;
    const now = clock.now();
    const crash = crashIdOf(engine, now);
    announceSuspect(
      suspects.recordCrash(fingerprint, {crash, hadResponded}, now),
    );
    const until = this.quarantinedUntil(fingerprint);
    if (until === undefined) return;
    throw new RefusalError(
      ErrorCode.RequestQuarantined,
      '',
      Outcome.Failed,
      until,
    );
  }

  private quarantinedUntil(fingerprint: Fingerprint): Instant | undefined {
    const {clock, suspects} = this.options;
    const suspicion = suspects.suspicionOf(fingerprint, clock.now());
    return suspicion.kind === 'quarantined' ? suspicion.until : undefined;
  }

  private async isAlive(
    engine: EndpointId,
    callerSignal: AbortSignal,
  ): Promise<boolean> {
    const {clock} = this.options;
    const deadline = after(clock.now(), LIVENESS_TIMEOUT_MILLISECONDS);
    const deadlineSignal = createDeadlineSignal(clock, callerSignal, deadline);
    try {
      await this.options.engine(engine).status(deadlineSignal.signal);
      return true;
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      return false;
    } finally {
      deadlineSignal.release();
    }
  }
}

function crashIdOf(engine: EndpointId, now: Instant): CrashId {
  return as<CrashId>(`${engine}@${Math.floor(now / SAME_CRASH_MILLISECONDS)}`);
}
