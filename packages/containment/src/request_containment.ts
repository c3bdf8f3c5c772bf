/** One request's checks against the quarantine, and its reports of broken runs. */

import type {EndpointDescription} from '@siskinmux/endpoints';
import type {PromptPartId, SentRequest} from '@siskinmux/forwarding';
import type {
  Clock,
  EmitEvent,
  EndpointId,
  Fingerprint,
  Instant,
  Milliseconds,
  RequestId,
} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import type {BrokenRun, CrashDetector} from './crash_detector.js';
import type {CrashQuarantine} from './crash_quarantine.js';
import {RUN_ABORTED} from './containment_events.js';

/** After a shorter silence, a later response of the endpoint clears the run. */
const MINIMUM_SILENCE_MILLISECONDS: Milliseconds = 1_000;

/** Dependencies of {@link RequestContainment}. */
export interface ContainmentDependencies {
  readonly clock: Clock;
  readonly emit: EmitEvent;
  readonly quarantine: CrashQuarantine;
  readonly crashDetector: CrashDetector;
}

/** A run that ended without a complete response. */
export interface EndedRun {
  readonly endpoint: EndpointDescription;
  readonly sentRequest: SentRequest;
  readonly sentAt: Instant;
  readonly hadResponded: boolean;
}

/** Keeps one request from crashing more and more endpoints. */
export class RequestContainment {
  private knownFingerprint: Fingerprint | undefined;

  private constructor(
    private readonly dependencies: ContainmentDependencies,
    private readonly id: RequestId,
    private readonly sharedParts: readonly PromptPartId[],
    private readonly computeFingerprint: () => Fingerprint,
  ) {}

  /** `computeFingerprint` is called at most once. */
  static create(
    dependencies: ContainmentDependencies,
    id: RequestId,
    sharedParts: readonly PromptPartId[],
    computeFingerprint: () => Fingerprint,
  ): RequestContainment {
    return new RequestContainment(
      dependencies,
      id,
      sharedParts,
      computeFingerprint,
    );
  }

  /** Equal for requests that an endpoint can't tell apart, apart from ids and deadlines. */
  get fingerprint(): Fingerprint {
    this.knownFingerprint ??= this.computeFingerprint();
    return this.knownFingerprint;
  }

  private get identity(): Pick<BrokenRun, 'fingerprint' | 'sharedParts'> {
    const {fingerprint, sharedParts} = this;
    return {fingerprint, sharedParts};
  }

  /** Throws a `RefusalError` if the request may not be sent now. */
  async throwIfWithheld(): Promise<void> {
    const {quarantine} = this.dependencies;
    if (!quarantine.hasSuspects) return;
    const refusal = await quarantine.check(this.fingerprint, this.id);
    if (refusal !== undefined) throw refusal;
  }

  /** Throws a `RefusalError` if the request was quarantined while it waited. */
  throwIfQuarantined(): void {
    const {quarantine} = this.dependencies;
    if (!quarantine.hasSuspects) return;
    const refusal = quarantine.checkAgain(this.fingerprint, this.id);
    if (refusal !== undefined) throw refusal;
  }

  /** Endpoints that run other suspects, if the request is one. */
  endpointsToAvoid(): ReadonlySet<EndpointId> {
    const {quarantine} = this.dependencies;
    return quarantine.hasSuspects
      ? quarantine.endpointsToAvoid(this.fingerprint)
      : new Set();
  }

  /** Tracks a run until the returned function is called. */
  trackRun(endpoint: EndpointId): () => void {
    const {quarantine} = this.dependencies;
    return quarantine.hasSuspects
      ? quarantine.trackRun(this.fingerprint, endpoint)
      : () => {};
  }

  /** Clears the request if it was suspected. */
  recordServed(): void {
    this.dependencies.quarantine.recordServed(this.fingerprint);
  }

  /** Records that an endpoint responded, over a connection established at `connectedAt`. */
  recordResponse(
    endpoint: EndpointDescription,
    {connectedAt}: SentRequest,
  ): void {
    this.dependencies.crashDetector.recordResponse(endpoint, connectedAt);
  }

  /** Finds out whether the endpoint crashed; resolves as soon as a probe can tell. */
  async recordBroken(run: EndedRun): Promise<void> {
    const {crashDetector, clock, emit} = this.dependencies;
    const {endpoint, sentRequest, sentAt, hadResponded} = run;
    if (!sentRequest.isAborted) {
      await crashDetector.checkBrokenRun({...run, ...this.identity});
      return;
    }
    const elapsed = until(sentAt, clock.now());
    const isSilent = !hadResponded && elapsed >= MINIMUM_SILENCE_MILLISECONDS;
    emit(RUN_ABORTED, {
      id: this.id,
      content: this.fingerprint,
      endpoint: endpoint.id,
      life: endpoint.incarnation,
      elapsed: Math.round(elapsed),
      hadResponded,
      isSilent,
    });
    const broken = {...run, ...this.identity};
    if (isSilent) crashDetector.watchForRestart(broken);
    else crashDetector.watchWhileSilent(broken);
  }
}
