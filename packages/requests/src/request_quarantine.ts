/** Attributes engine crashes to requests, isolates suspects and enforces the quarantine. */

import type {Clock, EndpointId, Fingerprint} from '@siskinmux/kernel';
import {
  ErrorCode,
  Outcome,
  RefusalError,
  SiskinmuxError,
  after,
  createNotRunRefusal,
} from '@siskinmux/kernel';
import type {Engine} from '@siskinmux/ports';
import type {CrashSuspects, Suspect} from '@siskinmux/routing';
import {createDeadlineSignal} from './deadline_signal.js';

/** Timeout of the status call that checks an engine after its response broke off. */
const LIVENESS_TIMEOUT_MILLISECONDS = 300;

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
    const {clock, suspects} = this.options;
    const suspicion = suspects.suspicionOf(fingerprint, clock.now());
    if (suspicion !== 'quarantined') return;
    throw createNotRunRefusal(
      ErrorCode.RequestQuarantined,
      '',
      suspects.expiresAt(fingerprint),
    );
  }

  /** Whether a request is suspected of crashing endpoints. */
  isSuspect(fingerprint: Fingerprint): boolean {
    const {clock, suspects} = this.options;
    return suspects.suspicionOf(fingerprint, clock.now()) !== 'none';
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
    fingerprint: Fingerprint,
    engine: EndpointId,
    wasSuspect: boolean,
    callerSignal: AbortSignal,
  ): Promise<void> {
    const {clock, suspects, announceSuspect} = this.options;
    const hasOtherSuspect = !wasSuspect && this.enginesWithSuspect.has(engine);
    if (await this.isAlive(engine, callerSignal)) return;
    if (hasOtherSuspect) return;
    announceSuspect(suspects.recordCrash(fingerprint, clock.now()));
    const suspicion = suspects.suspicionOf(fingerprint, clock.now());
    if (suspicion !== 'quarantined') return;
    throw new RefusalError(
      ErrorCode.RequestQuarantined,
      '',
      Outcome.Failed,
      suspects.expiresAt(fingerprint),
    );
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
