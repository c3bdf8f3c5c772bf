/** Attributes engine crashes to traits of requests, isolates suspects and enforces the quarantine. */

import type {Clock, EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
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
  Trait,
} from '@siskinmux/containment';
import {createDeadlineSignal} from './deadline_signal.js';

/** How long a request waits for the status of an engine whose response to it broke off. */
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
  readonly traits: readonly Trait[];
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
  /** Sends the other nodes the records of traits that were present at a crash. */
  readonly announceSuspects: (suspects: readonly Suspect[]) => void;
  /** Called for each crash, with the largest number of crashes attributed to a trait. */
  readonly onCrash: (crashCount: number) => void;
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
  throwIfQuarantined(traits: readonly Trait[]): void {
    const until = this.quarantinedUntil(traits);
    if (until === undefined) return;
    throw createNotRunRefusal(ErrorCode.RequestQuarantined, '', until);
  }

  /** Whether a request is suspected of crashing endpoints. */
  isSuspect(traits: readonly Trait[]): boolean {
    const {clock, suspects} = this.options;
    return suspects.suspicionOf(traits, clock.now()).kind !== 'none';
  }

  /**
   * Whether a request may run on an engine. An engine runs at most one suspect, because a
   * crash while it runs two could be attributed to neither.
   */
  canRunOn(engine: EndpointId, traits: readonly Trait[]): boolean {
    return !this.enginesWithSuspect.has(engine) || !this.isSuspect(traits);
  }

  /** Records that a suspect runs on an engine. */
  recordSuspectStart(engine: EndpointId): void {
    this.enginesWithSuspect.add(engine);
  }

  /** Records that the suspect on an engine has ended. */
  recordSuspectEnd(engine: EndpointId): void {
    this.enginesWithSuspect.delete(engine);
  }

  /** Clears the traits of a request that got a complete response. */
  recordSuccess(traits: readonly Trait[]): void {
    const {clock, suspects, announceSuspects} = this.options;
    const cleared = suspects.recordSuccess(traits, clock.now());
    if (cleared.length > 0) announceSuspects(cleared);
  }

  /** Merges records of another node. */
  merge(received: readonly Suspect[]): void {
    const {clock, suspects, announceSuspects} = this.options;
    const now = clock.now();
    const added = received.filter(suspect => suspects.merge(suspect, now));
    const cleared = suspects.clearRecentlyServed(
      added.map(({trait}) => trait),
      now,
    );
    if (cleared.length > 0) announceSuspects(cleared);
  }

  /**
   * Records a crash for a request whose response broke off, if the engine can't be reached
   * any more. If a suspect ran there at the same time, the crash is attributed only to the
   * suspect. Throws a `RefusalError` if the request is now quarantined.
   */
  async attributeCrash(
    {traits, engine, wasSuspect, hadResponded}: BrokenGeneration,
    callerSignal: AbortSignal,
  ): Promise<void> {
    const {clock, suspects, announceSuspects, onCrash} = this.options;
    const hasOtherSuspect = !wasSuspect && this.enginesWithSuspect.has(engine);
    if (!(await this.hasEnded(engine, callerSignal))) return;
    if (hasOtherSuspect) return;
    const now = clock.now();
    const crash = crashIdOf(engine, now);
    announceSuspects(suspects.recordCrash(traits, {crash, hadResponded}, now));
    onCrash(Math.max(0, ...traits.map(trait => suspects.crashCountOf(trait))));
    const until = this.quarantinedUntil(traits);
    if (until === undefined) return;
    throw new RefusalError(
      ErrorCode.RequestQuarantined,
      '',
      Outcome.Failed,
      until,
    );
  }

  private quarantinedUntil(traits: readonly Trait[]): Instant | undefined {
    const {clock, suspects} = this.options;
    const suspicion = suspects.suspicionOf(traits, clock.now());
    return suspicion.kind === 'quarantined' ? suspicion.until : undefined;
  }

  /** An engine that is only silent may go on. */
  private async hasEnded(
    engine: EndpointId,
    callerSignal: AbortSignal,
  ): Promise<boolean> {
    const {clock} = this.options;
    const deadline = after(clock.now(), LIVENESS_TIMEOUT_MILLISECONDS);
    const deadlineSignal = createDeadlineSignal(clock, callerSignal, deadline);
    try {
      await this.options.engine(engine).status(deadlineSignal.signal);
      return false;
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      return !deadlineSignal.signal.aborted;
    } finally {
      deadlineSignal.release();
    }
  }
}

function crashIdOf(engine: EndpointId, now: Instant): CrashId {
  return as<CrashId>(`${engine}@${Math.floor(now / SAME_CRASH_MILLISECONDS)}`);
}
