/** Finds out which request an engine died of, and keeps suspects apart. */

import type {Clock, EndpointId, Fingerprint} from '@siskinmux/kernel';
import {
  ErrorCode,
  Outcome,
  RefusalError,
  SiskinmuxError,
  after,
  refuseNotRun,
} from '@siskinmux/kernel';
import type {Engine} from '@siskinmux/ports';
import type {CrashSuspects, Suspect} from '@siskinmux/routing';
import {limitWork} from './request_limits.js';

/** Time in which an engine that broke off an answer must show that it lives. */
const LIFE_SIGN_MILLISECONDS = 300;

/** What a watch needs from its surroundings. */
export interface CrashWatchOptions {
  readonly clock: Clock;
  readonly suspects: CrashSuspects;
  readonly engine: (id: EndpointId) => Engine;
  /** Tells the other nodes of a request that an endpoint died of. */
  readonly announceSuspect: (suspect: Suspect) => void;
}

/** Suspected requests and the engines that they run on. */
export class RequestQuarantine {
  /** Engines on which a suspected request of this node runs now. */
  private readonly suspectedAt = new Set<EndpointId>();

  private constructor(private readonly options: CrashWatchOptions) {}

  static create(options: CrashWatchOptions): RequestQuarantine {
    return new RequestQuarantine(options);
  }

  /** Refuses a request that is known to crash endpoints. */
  throwIfQuarantined(fingerprint: Fingerprint): void {
    const {clock, suspects} = this.options;
    const suspicion = suspects.suspicionOf(fingerprint, clock.now());
    if (suspicion !== 'quarantined') return;
    throw refuseNotRun(
      ErrorCode.RequestQuarantined,
      '',
      suspects.expiresAt(fingerprint),
    );
  }

  /** Whether a request may be one that crashes endpoints. */
  isSuspect(fingerprint: Fingerprint): boolean {
    const {clock, suspects} = this.options;
    return suspects.suspicionOf(fingerprint, clock.now()) !== 'none';
  }

  /** Two suspects side by side could not be told apart by the next death. */
  mayRunAt(engine: EndpointId, fingerprint: Fingerprint): boolean {
    return !this.suspectedAt.has(engine) || !this.isSuspect(fingerprint);
  }

  /** Notes that a suspect runs on an engine. */
  enter(engine: EndpointId): void {
    this.suspectedAt.add(engine);
  }

  /** Notes that the suspect there has ended. */
  leave(engine: EndpointId): void {
    this.suspectedAt.delete(engine);
  }

  /** Clears a request that was answered after all. */
  clearSuspicion(fingerprint: Fingerprint): void {
    this.options.suspects.recordSuccess(fingerprint);
  }

  /**
   * Blames a request whose answer broke off, if the engine has died; beside a
   * suspect, only the suspect is blamed. Throws a `RefusalError` for a request that
   * is not to be sent again.
   */
  async blameIfDead(
    fingerprint: Fingerprint,
    engine: EndpointId,
    wasSuspect: boolean,
    callerSignal: AbortSignal,
  ): Promise<void> {
    const {clock, suspects, announceSuspect} = this.options;
    const isBesideSuspect = !wasSuspect && this.suspectedAt.has(engine);
    if (await this.isAlive(engine, callerSignal)) return;
    if (isBesideSuspect) return;
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
    const until = after(clock.now(), LIFE_SIGN_MILLISECONDS);
    const work = limitWork(clock, callerSignal, until);
    try {
      await this.options.engine(engine).status(work.signal);
      return true;
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      return false;
    } finally {
      work.release();
    }
  }
}
