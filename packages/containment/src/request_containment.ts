/** One request's checks against the quarantine, and its reports of broken runs. */

import type {EndpointDescription} from '@siskinmux/endpoints';
import type {SentRequest} from '@siskinmux/forwarding';
import type {
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
  RequestId,
} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import type {CrashDetector} from './crash_detector.js';
import type {CrashQuarantine, ProbationGrant} from './crash_quarantine.js';
import type {Trait} from './trait.js';
import {RUN_ABORTED} from './containment_events.js';

/** In a longer silence, the endpoint may have started again. */
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
  private knownTraits: readonly Trait[] | undefined;
  private grant: ProbationGrant | undefined;

  private constructor(
    private readonly dependencies: ContainmentDependencies,
    private readonly id: RequestId,
    private readonly readTraits: () => readonly Trait[],
  ) {}

  /**
   * `readTraits` is called at most once; the first trait is the content of the request, equal
   * for requests that an endpoint can't tell apart, apart from ids and deadlines.
   */
  static create(
    dependencies: ContainmentDependencies,
    id: RequestId,
    readTraits: () => readonly Trait[],
  ): RequestContainment {
    return new RequestContainment(dependencies, id, readTraits);
  }

  /** The traits that a crash of an endpoint may be attributed to. */
  get traits(): readonly Trait[] {
    this.knownTraits ??= this.readTraits();
    return this.knownTraits;
  }

  /** Names the request in log lines. */
  get content(): Trait | undefined {
    return this.traits[0];
  }

  /** Throws a `RefusalError` if the request may not be sent now. */
  async throwIfWithheld(): Promise<void> {
    const {quarantine} = this.dependencies;
    if (!quarantine.hasSuspects) return;
    const {refusal, grant} = await quarantine.check(
      this.traits,
      this.id,
      this.grant,
    );
    if (refusal !== undefined) throw refusal;
    this.grant = grant;
  }

  /** Endpoints that run other suspects, if the request is one. */
  endpointsToAvoid(): ReadonlySet<EndpointId> {
    const {quarantine} = this.dependencies;
    return quarantine.hasSuspects
      ? quarantine.endpointsToAvoid(this.traits)
      : new Set();
  }

  /** Whether the request may run only at one endpoint at a time, as it is suspected to crash them. */
  get isOnProbation(): boolean {
    return this.grant !== undefined;
  }

  /** Tracks a run until the returned function is called. */
  trackRun(endpoint: EndpointId): () => void {
    const {quarantine} = this.dependencies;
    return quarantine.hasSuspects
      ? quarantine.trackRun(this.traits, endpoint)
      : () => {};
  }

  /** Clears the request if it was suspected. */
  recordServed(): void {
    this.dependencies.quarantine.recordServed(this.traits);
  }

  /** Returns the permission for a run on probation when the request has ended. */
  end(): void {
    if (this.grant === undefined) return;
    this.dependencies.quarantine.returnGrant(this.traits, this.grant);
    this.grant = undefined;
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
    // The endpoint may turn out to have crashed, so no other request may be tried yet.
    this.grant = undefined;
    if (sentRequest.abortReason === undefined) {
      await crashDetector.checkBrokenRun({...run, traits: this.traits});
      return;
    }
    const elapsed = until(sentAt, clock.now());
    const isSilent = !hadResponded && elapsed >= MINIMUM_SILENCE_MILLISECONDS;
    emit(RUN_ABORTED, {
      id: this.id,
      content: this.content,
      endpoint: endpoint.id,
      life: endpoint.incarnation,
      elapsed: Math.round(elapsed),
      hadResponded,
      isSilent,
      reason: sentRequest.abortReason,
    });
    const broken = {...run, traits: this.traits};
    if (isSilent) crashDetector.watchAfterLongSilence(broken);
    else crashDetector.watchWhileSilent(broken);
  }
}
