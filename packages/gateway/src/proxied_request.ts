/**
 * Proxies one caller request: chooses an endpoint, forwards the request, relays the
 * response, and retries or refuses when an attempt fails.
 */

import type {EndpointDescription} from '@siskinmux/endpoints';
import type {
  BodyEnd,
  ResponseHead,
  EndpointConnectionPool,
  EndpointProtocol,
  RequestMetadata,
  SendResult,
  SentRequest,
} from '@siskinmux/forwarding';
import {EventStreamSplitter} from '@siskinmux/forwarding';
import type {
  CancelTimer,
  EmitEvent,
  EndpointId,
  Fingerprint,
  Instant,
  Milliseconds,
  ModelName,
  NodeId,
  RefusalError,
  ServiceName,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  Outcome,
  SiskinmuxError,
  after,
  as,
  createNotRunRefusal,
  createUnknownOutcomeRefusal,
  earlier,
  toRefusal,
  until,
} from '@siskinmux/kernel';
import type {Route, RouteConfiguration} from '@siskinmux/routes';
import {
  firstEventTimeoutMilliseconds,
  inactivityTimeoutMilliseconds,
  isRetryable,
  pickTarget,
} from '@siskinmux/routes';
import type {EndpointReach, TrackedSend} from '@siskinmux/reach';
import type {PeerChoice, RelayPeer} from '@siskinmux/relay';
import type {OutlierDetector} from '@siskinmux/routing';
import {fingerprintOf, hash32} from '@siskinmux/routing';
import type {AttemptResult, ResponseSource} from './attempt_result.js';
import type {CallerExchange} from './caller_exchange.js';
import type {
  EndpointRequirements,
  FindEndpoint,
  HasAlternative,
} from './endpoint_choice.js';
import type {EndpointLimits} from './endpoint_limits.js';
import {REQUEST_ENDED, SEND_FAILED} from './gateway_events.js';
import type {LeavingEndpoints} from './leaving_endpoints.js';
import type {InFlightCounts} from './in_flight_counts.js';
import {InactivityTimer} from './inactivity_timer.js';
import {refusalResponse} from './refusal_response.js';
import type {ContainmentDependencies, EndedRun} from '@siskinmux/containment';
import {RequestContainment, traitsOfPrompt} from '@siskinmux/containment';
import type {PlatformView, ViewAge} from './platform_view.js';
import {
  bufferBody,
  discardBody,
  isContinuation,
  isEventStream,
  isSuccess,
  relayEvents,
  withoutLength,
  writeWithBackpressure,
} from './relay_response.js';
import {findBreak} from './response_end.js';
import type {RetryBudgets} from './retry_budgets.js';
import type {StreamContinuity} from '@siskinmux/continuity';
import {
  readRelayOutcome,
  sendToPeer,
  statementOfRefusal,
} from './relayed_send.js';
import type {RelayOutcome} from './relayed_send.js';
import type {RequestProgress, RetryDecision} from './retry_decision.js';
import {allowsAnotherRun, decideRetry} from './retry_decision.js';
import {StreamBinding} from './stream_binding.js';
import {waitForView} from './wait_for_view.js';

/** Endpoints enforce the same deadline; the grace period lets their own response arrive first. */
const TIMEOUT_GRACE_MILLISECONDS: Milliseconds = 30;

/** `Retry-After` of a request that endpoints refused; their queues drain in about this time. */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 400;

/** `Retry-After` while no node reaches the endpoints; links are probed again in about this time. */
const LINKS_RETRY_AFTER_MILLISECONDS: Milliseconds = 500;

/** Bound on an id that a caller sent, in log lines. */
const MAXIMUM_LOGGED_CHARACTERS = 64;

/** Result of a request whose caller got a complete response with a success status. */
export const SERVED = 'served';

/** Dependencies of {@link ProxiedRequest}. */
export interface ProxiedRequestDependencies extends ContainmentDependencies {
  readonly protocol: EndpointProtocol;
  readonly connections: EndpointConnectionPool;
  /** Connections to other nodes, for requests that they serve for this one. */
  readonly peerConnections: EndpointConnectionPool;
  readonly peers: PeerChoice;
  readonly reach: EndpointReach;
  /** The listed endpoint, if there is one under the id. */
  readonly findEndpoint: (id: EndpointId) => EndpointDescription | undefined;
  readonly inFlightCounts: InFlightCounts;
  readonly limits: EndpointLimits;
  readonly leaving: LeavingEndpoints;
  readonly outliers: OutlierDetector;
  readonly retryBudgets: RetryBudgets;
  readonly continuity: StreamContinuity;
  readonly find: FindEndpoint;
  readonly hasAlternative: HasAlternative;
  readonly emit: EmitEvent;
  /** What this node knows of the platform. */
  readonly view: PlatformView;
  /** Whether an endpoint that was chosen earlier may still be sent to. */
  readonly isListed: (endpoint: EndpointDescription) => boolean;
  /** Called when an engine lacks the model or adapter that the node expected it to hold. */
  readonly reportMissingModel: (endpoint: EndpointId, model: ModelName) => void;
  /** Called when a send has failed, with the decision whether to send the request again. */
  readonly onRetryDecision: (
    service: ServiceName,
    decision: RetryDecision,
  ) => void;
  /** Whether a request of the route that begins now ends before this process does. */
  readonly hasTimeFor: (route: Route) => boolean;
  /** Called when a request has ended; `result` is the one logged in `request-ended`. */
  readonly onRequestEnd: (
    route: Route,
    result: string,
    durationMilliseconds: Milliseconds,
  ) => void;
}

/** One request of a caller, from its arrival to the end of its response. */
export class ProxiedRequest {
  private readonly triedEndpoints: Set<EndpointId>;
  private readonly triedPeers = new Set<NodeId>();
  private readonly abortController = new AbortController();
  private readonly events: EventStreamSplitter;
  private readonly service: ServiceName | undefined;
  private readonly containment: RequestContainment;
  private readonly binding: StreamBinding;
  private body: Buffer | undefined;
  private sends: number;
  /** Sends that an endpoint ran or may have run. */
  private runs: number;
  /** Whether an endpoint has been sought. */
  private hasSought = false;
  private isFinished = false;
  private result = '';
  private lastEndpoint: EndpointDescription | undefined;
  private sentAt: Instant | undefined;
  private respondedAt: Instant | undefined;
  /** How old this node's knowledge was at the last send. */
  private viewAge: ViewAge | undefined;
  /** Head of the response that began the stream which the caller gets. */
  private streamHead: ResponseHead | undefined;
  private sentRequest: SentRequest | undefined;
  private trackedSend: TrackedSend | undefined;
  private peer: NodeId | undefined;
  private inactivityTimer: InactivityTimer | undefined;
  private cancelTimeout: CancelTimer | undefined;

  private constructor(
    private readonly dependencies: ProxiedRequestDependencies,
    private readonly exchange: CallerExchange,
    private readonly configuration: RouteConfiguration,
    private readonly route: Route,
    private readonly metadata: RequestMetadata,
    /** The earlier of the route's timeout and the caller's own. */
    private readonly deadline: Instant,
  ) {
    const {relayed} = exchange;
    this.triedEndpoints = new Set(relayed?.tried);
    this.sends = relayed?.sends ?? 0;
    this.runs = relayed?.runs ?? 0;
    this.events = EventStreamSplitter.create({
      passesLongEvents: !route.isResumable,
      memory: exchange.memory,
    });
    // A resumed stream goes to the service that began it.
    const stream = metadata.resumes ?? metadata.id;
    this.service = pickTarget(route, hash32(stream) / 2 ** 32);
    this.binding = StreamBinding.create(
      dependencies.continuity,
      route,
      metadata,
      exchange.receivedAt,
    );
    this.containment = RequestContainment.create(
      dependencies,
      metadata.id,
      () => traitsOfPrompt(this.contentFingerprint(), metadata.sharedParts),
    );
  }

  /** Creates a request for the route that matches the exchange. */
  static create(
    dependencies: ProxiedRequestDependencies,
    exchange: CallerExchange,
    configuration: RouteConfiguration,
    route: Route,
  ): ProxiedRequest {
    const metadata = dependencies.protocol.readRequest(exchange.headers);
    const {receivedAt} = exchange;
    const timeoutAt = after(receivedAt, route.timeoutMilliseconds);
    const {timeoutMilliseconds} = metadata;
    const deadline =
      timeoutMilliseconds === undefined
        ? timeoutAt
        : earlier(timeoutAt, after(receivedAt, timeoutMilliseconds));
    return new ProxiedRequest(
      dependencies,
      exchange,
      configuration,
      route,
      metadata,
      deadline,
    );
  }

  /** Serves or refuses the request; rejects only on unexpected errors. */
  async run(): Promise<void> {
    const {exchange, route} = this;
    const {clock} = this.dependencies;
    exchange.onDisconnect(() => this.finish('caller_gone', () => {}));
    const timeoutAt = after(
      exchange.receivedAt,
      route.timeoutMilliseconds + TIMEOUT_GRACE_MILLISECONDS,
    );
    this.cancelTimeout = clock.schedule(timeoutAt, () => this.handleTimeout());
    try {
      this.body = await exchange.readBody(
        this.configuration.limits.maximumBodyBytes,
        this.dependencies.view.areRoutesCurrent,
      );
      if (this.service !== undefined) {
        const {signal} = this.abortController;
        const deadline = this.currentDeadline();
        await this.binding.requireOrigin(this.service, deadline, signal);
      }
      await this.sendUntilDone();
    } catch (failure) {
      if (this.isFinished) return;
      if (!(failure instanceof SiskinmuxError)) throw failure;
      this.refuse(this.withTrueOutcome(toRefusal(failure, Outcome.NotRun)));
    } finally {
      this.containment.end();
    }
  }

  /** A refusal by this node doesn't undo an earlier send that may have run. */
  private withTrueOutcome(refusal: RefusalError): RefusalError {
    return this.runs > 0 && refusal.outcome === Outcome.NotRun
      ? createUnknownOutcomeRefusal(refusal.message, refusal)
      : refusal;
  }

  /**
   * Ends the request because the process is shutting down. A request that still waits for
   * an endpoint is refused as not run; one that was sent ends with an unknown outcome.
   */
  abandon(): void {
    if (this.isFinished) return;
    const isNotRun = this.runs === 0 && this.sentRequest === undefined;
    this.refuse(
      isNotRun
        ? createNotRunRefusal(
            ErrorCode.ShuttingDown,
            this.route.name,
            this.dependencies.clock.now(),
          )
        : createUnknownOutcomeRefusal('the node stops'),
    );
  }

  private async sendUntilDone(): Promise<void> {
    while (!this.isFinished) {
      const result = await this.sendOnce();
      if (this.isFinished || result.kind === 'delivered') return;
      if (!this.isSentAgain(result)) this.fail(result);
    }
  }

  /** Sends the request to an endpoint, or to a peer while this node has lost its links. */
  private async sendOnce(): Promise<AttemptResult> {
    const {containment} = this;
    this.throwIfStopping();
    const peer = this.choosePeer();
    if (peer !== undefined) return this.relay(peer);
    await containment.throwIfWithheld();
    let endpoint: EndpointDescription;
    do {
      await this.waitForView();
      if (this.isFinished) return {kind: 'delivered'};
      endpoint = await this.dependencies.find(this.requirements());
      if (this.isFinished) return {kind: 'delivered'};
      // The links may have been lost, its traits become suspect, and the endpoint have left,
      // while it waited.
      const laterPeer = this.choosePeer();
      if (laterPeer !== undefined) return this.relay(laterPeer);
      await containment.throwIfWithheld();
      if (this.isFinished) return {kind: 'delivered'};
    } while (!this.maySendTo(endpoint));
    this.throwIfStopping();
    this.peer = undefined;
    const result = await this.send(endpoint);
    this.triedEndpoints.add(endpoint.id);
    return result;
  }

  /** A request that would be cut at the end of this process is refused, as others can serve it. */
  private throwIfStopping(): void {
    const {hasTimeFor, clock} = this.dependencies;
    if (this.runs > 0 || hasTimeFor(this.route)) return;
    throw createNotRunRefusal(
      ErrorCode.ShuttingDown,
      this.route.name,
      clock.now(),
    );
  }

  private maySendTo(endpoint: EndpointDescription): boolean {
    const {view, isListed} = this.dependencies;
    return view.isDecidable && isListed(endpoint);
  }

  private async waitForView(): Promise<void> {
    const {view, clock, emit} = this.dependencies;
    if (view.isDecidable) return;
    const {signal} = this.abortController;
    const deadline = this.currentDeadline();
    const {id} = this.metadata;
    await waitForView(view, {id, deadline, signal}, clock, emit);
  }

  /** Decides whether the request is sent again, and logs the failed send. */
  private isSentAgain(
    result: Exclude<AttemptResult, {kind: 'delivered'}>,
  ): boolean {
    const {service, lastEndpoint, peer} = this;
    if (service === undefined) return false;
    const {retryBudgets, clock, emit, onRetryDecision} = this.dependencies;
    const decision = decideRetry(
      result,
      this.progress,
      retryBudgets.forService(service),
      clock.now(),
    );
    const isSentAgain = decision === 'free' || decision === 'charged';
    onRetryDecision(service, decision);
    const endpoint = peer === undefined ? lastEndpoint : undefined;
    emit(SEND_FAILED, {
      id: this.metadata.id,
      content: this.containment.content,
      endpoint: endpoint?.id,
      life: endpoint?.incarnation,
      softwareVersion: endpoint?.softwareVersion,
      peer,
      end: result.kind,
      cause: result.cause,
      sends: this.sends,
      next: isSentAgain ? 'send again' : 'give up',
      retry: decision,
    });
    return isSentAgain;
  }

  /**
   * The node that serves the request while this one has lost its links to the service. Throws a
   * `RefusalError` if there is none; a request is relayed once at most.
   */
  private choosePeer(): RelayPeer | undefined {
    const {reach, peers, clock} = this.dependencies;
    const {service} = this;
    if (service === undefined || !reach.isCutFrom(service)) return undefined;
    const isRelayable = this.exchange.relayed === undefined;
    const peer = isRelayable
      ? peers.choose(service, this.triedPeers)
      : undefined;
    if (peer !== undefined) return peer;
    throw createNotRunRefusal(
      ErrorCode.LinksLost,
      service,
      after(clock.now(), LINKS_RETRY_AFTER_MILLISECONDS),
    );
  }

  private async relay(peer: RelayPeer): Promise<AttemptResult> {
    const {clock, peers, peerConnections, protocol} = this.dependencies;
    const {exchange, metadata} = this;
    const {lastEventId} = this.events;
    const progress = {
      age: until(exchange.receivedAt, clock.now()),
      sends: this.sends,
      runs: this.runs,
      tried: [...this.triedEndpoints],
    };
    const headers =
      lastEventId === undefined
        ? exchange.headers
        : protocol.resumedHeaders(
            exchange.headers,
            metadata.resumes ?? metadata.id,
            lastEventId,
          );
    this.sends += 1;
    this.peer = peer.node;
    this.triedPeers.add(peer.node);
    this.sentAt = clock.now();
    const release = peers.track(peer);
    const sentRequest = sendToPeer(peerConnections, peer, {
      key: hash32(metadata.id),
      method: exchange.method,
      target: exchange.target,
      headers,
      body: this.body,
      progress,
      isRetryable: isRetryable(this.route),
    });
    this.sentRequest = sentRequest;
    try {
      const outcome = await readRelayOutcome(
        await sentRequest.result,
        sentRequest,
      );
      if (this.isFinished) return {kind: 'delivered'};
      return await this.handleRelayOutcome(peer, outcome);
    } finally {
      this.sentRequest = undefined;
      release();
    }
  }

  private handleRelayOutcome(
    peer: RelayPeer,
    outcome: RelayOutcome,
  ): AttemptResult | Promise<AttemptResult> {
    const {peers, clock} = this.dependencies;
    if (outcome.kind === 'not_run') {
      peers.avoid(peer);
      return {kind: 'not_run', cause: outcome.cause, isSent: false};
    }
    if (outcome.kind === 'unknown') {
      // The other node may have sent the request as often as its route allows.
      this.runs = Math.max(this.runs + 1, this.route.maximumRuns);
      return {kind: 'may_have_run', cause: outcome.cause, isCut: false};
    }
    const {head} = outcome;
    if (outcome.kind === 'refused') return this.passOnRefusal(outcome);
    this.respondedAt = clock.now();
    this.runs = outcome.runs;
    const endpoint = this.dependencies.findEndpoint(outcome.endpoint);
    this.lastEndpoint = endpoint;
    if (endpoint !== undefined)
      this.dependencies.leaving.recordResponse(endpoint, head);
    return this.passOn({endpoint, isRelayed: true}, head, outcome.body);
  }

  private passOnRefusal({
    code,
    head,
    body,
  }: RelayOutcome & {kind: 'refused'}): AttemptResult {
    const {protocol} = this.dependencies;
    if (this.exchange.hasSentHead) {
      const cause = `refused as ${code}`;
      return {kind: 'stream_broken', cause, canResume: false, isCut: false};
    }
    this.finish(code, () => {
      this.exchange.startResponse(
        head.status,
        protocol.responseHeaders(head.headers),
        {kind: 'refusal', code, isUnable: false},
      );
      this.exchange.end(body);
    });
    return {kind: 'delivered'};
  }

  private get progress(): RequestProgress {
    const {route, deadline, sends, runs} = this;
    return {route, deadline, sends, runs};
  }

  private contentFingerprint(): Fingerprint {
    const {method, host, target} = this.exchange;
    const {model, adapter} = this.metadata;
    const head = [method, host, target, model, adapter].join(' ');
    return fingerprintOf(head, this.body);
  }

  /** What the next endpoint has to offer. The first call records the request in the retry budget. */
  private requirements(): EndpointRequirements {
    const {model, adapter} = this.metadata;
    const {service} = this;
    if (service === undefined) {
      throw createNotRunRefusal(ErrorCode.NoEndpoint, this.route.name);
    }
    const isFirstAttempt = this.sends === 0 && !this.hasSought;
    this.hasSought = true;
    if (isFirstAttempt)
      this.dependencies.retryBudgets.forService(service).recordRequest();
    return {
      id: this.metadata.id,
      service,
      model,
      adapter,
      version: this.binding.requirement,
      triedEndpoints: this.triedEndpoints,
      avoidedEndpoints: this.containment.endpointsToAvoid(),
      deadline: this.currentDeadline(),
      priority: this.route.priority,
      isFirstAttempt,
      signal: this.abortController.signal,
    };
  }

  /** Callers abandon a stream that has not started within the first-event timeout. */
  private currentDeadline(): Instant {
    const {route} = this;
    if (route.kind !== 'stream' || this.exchange.hasSentHead) {
      return this.deadline;
    }
    const timeoutMilliseconds = firstEventTimeoutMilliseconds(route);
    return earlier(
      this.deadline,
      after(this.exchange.receivedAt, timeoutMilliseconds),
    );
  }

  private async send(endpoint: EndpointDescription): Promise<AttemptResult> {
    const {clock, connections, inFlightCounts, protocol} = this.dependencies;
    const remainingMilliseconds = until(clock.now(), this.deadline);
    if (remainingMilliseconds <= 0) {
      throw createNotRunRefusal(ErrorCode.DeadlinePassed, this.route.name);
    }
    this.sends += 1;
    this.lastEndpoint = endpoint;
    const sentAt = clock.now();
    this.sentAt = sentAt;
    this.viewAge = this.dependencies.view.age;
    const {model, adapter} = this.metadata;
    const release = inFlightCounts.track({
      endpoint: endpoint.id,
      model,
      adapter,
    });
    const endRun = this.containment.trackRun(endpoint.id);
    const trackedSend = this.dependencies.reach.track(endpoint, () =>
      this.abandonSilentSend(),
    );
    this.trackedSend = trackedSend;
    try {
      const sentRequest = connections.send(
        endpoint,
        {
          key: hash32(this.metadata.id),
          method: this.exchange.method,
          target: this.exchange.target,
          headers: protocol.requestHeaders(this.exchange.headers, {
            endpoint: endpoint.id,
            remainingMilliseconds,
            urgency: model === undefined ? undefined : this.urgency,
            resumeAfter: this.events.lastEventId,
          }),
          body: this.body,
        },
        isRetryable(this.route),
      );
      this.sentRequest = sentRequest;
      this.inactivityTimer = this.startInactivityTimer(endpoint, sentRequest);
      const response = await sentRequest.result;
      if (response.kind === 'answered') {
        trackedSend.recordContact();
        this.containment.recordResponse(endpoint, sentRequest);
      } else if (response.delivery === 'not_sent' && !sentRequest.isAborted) {
        await trackedSend.recordNoConnection();
      }
      const result = await this.handleResult(endpoint, response, sentRequest);
      endRun();
      await this.reportRunEnd(result, {endpoint, sentRequest, sentAt});
      return result;
    } finally {
      this.inactivityTimer?.stop();
      this.sentRequest = undefined;
      this.trackedSend = undefined;
      trackedSend.end();
      endRun();
      release();
    }
  }

  /** A retry waits until it is known whether the endpoint crashed; other requests don't. */
  private async reportRunEnd(
    result: AttemptResult,
    run: Omit<EndedRun, 'hadResponded'>,
  ): Promise<void> {
    if (result.kind === 'delivered') {
      this.containment.recordResponse(run.endpoint, run.sentRequest);
      if (this.result === SERVED) this.containment.recordServed();
      return;
    }
    if (result.kind === 'not_run' || !result.isCut) return;
    const {respondedAt} = this;
    const report = this.containment.recordBroken({
      ...run,
      hadResponded: respondedAt !== undefined && respondedAt >= run.sentAt,
    });
    if (allowsAnotherRun(this.progress)) await report;
  }

  /** A stream that has begun goes before new ones of its route, which have nothing to lose yet. */
  private get urgency(): number {
    const {priority} = this.route;
    const isBegun =
      this.metadata.resumeAfter !== undefined ||
      this.events.lastEventId !== undefined;
    return isBegun ? Math.max(0, priority - 1) : priority;
  }

  /** The links are lost; another node may serve a request that may be repeated. */
  private abandonSilentSend(): void {
    if (isRetryable(this.route) && this.runs + 1 < this.route.maximumRuns)
      this.sentRequest?.abort();
  }

  /** A send is aborted for inactivity only if another endpoint may still run the request. */
  private startInactivityTimer(
    endpoint: EndpointDescription,
    sentRequest: SentRequest,
  ): InactivityTimer | undefined {
    const {route} = this;
    if (!isRetryable(route) || this.runs + 1 >= route.maximumRuns)
      return undefined;
    const {clock} = this.dependencies;
    return InactivityTimer.create(
      clock,
      inactivityTimeoutMilliseconds(route),
      () => {
        if (this.canMoveFrom(endpoint)) sentRequest.abort();
      },
    );
  }

  /** An endpoint that is only slow is better than none: its work would be lost, and no other could begin. */
  private canMoveFrom(endpoint: EndpointDescription): boolean {
    const {retryBudgets, hasAlternative} = this.dependencies;
    return (
      retryBudgets.forService(endpoint.service).canRetry &&
      hasAlternative(this.requirements(), endpoint.id)
    );
  }

  private async handleResult(
    endpoint: EndpointDescription,
    result: SendResult,
    sentRequest: SentRequest,
  ): Promise<AttemptResult> {
    const {outliers, clock, limits, leaving} = this.dependencies;
    if (result.kind === 'failed') {
      outliers.recordFailure(endpoint.id, clock.now());
      const cause = result.failure.message;
      if (result.delivery === 'not_sent') {
        return {kind: 'not_run', cause, isSent: false};
      }
      this.runs += 1;
      return {kind: 'may_have_run', cause, isCut: true};
    }
    const {head, body} = result;
    this.respondedAt = clock.now();
    const {metadata, status} = head;
    if (!this.isOwnResponse(head, sentRequest)) {
      // The response to an earlier request; the one to this request can't be identified.
      sentRequest.abort();
      this.dependencies.connections.avoidReuse(endpoint.id);
      this.runs += 1;
      return {
        kind: 'may_have_run',
        cause: 'answer to another request',
        isCut: false,
      };
    }
    if (!metadata.isMisdirected) {
      limits.recordResponse(endpoint, head);
      leaving.recordResponse(endpoint, head);
    }
    if (metadata.isNotRun) {
      discardBody(body, sentRequest, clock);
      const {model} = this.metadata;
      if (model !== undefined && metadata.isMisdirected) {
        this.dependencies.reportMissingModel(endpoint.id, model);
      }
      return {kind: 'not_run', cause: `status ${status}`, isSent: true};
    }
    this.runs += 1;
    if (isSuccess(head) && !metadata.isSealed) {
      this.sentRequest?.abort();
      outliers.recordFailure(endpoint.id, clock.now());
      return {
        kind: 'may_have_run',
        cause: 'not the endpoint’s answer',
        isCut: false,
      };
    }
    return this.passOn({endpoint, isRelayed: false}, head, body);
  }

  /** A response without an id belongs to the only request that its connection has carried. */
  private isOwnResponse(
    {metadata: {requestId}}: ResponseHead,
    {isOnUsedConnection}: SentRequest,
  ): boolean {
    const {id} = this.metadata;
    return requestId === undefined
      ? id === '' || !isOnUsedConnection
      : requestId === id;
  }

  /** Passes the response of an endpoint on to the caller. */
  private passOn(
    source: ResponseSource,
    head: ResponseHead,
    body: Parameters<typeof relayEvents>[1],
  ): AttemptResult | Promise<AttemptResult> {
    if (
      this.streamHead !== undefined &&
      !isContinuation(this.streamHead, head)
    ) {
      this.sentRequest?.abort();
      const cause = `status ${head.status} instead of the rest of the stream`;
      return {kind: 'stream_broken', cause, canResume: false, isCut: false};
    }
    return this.route.kind === 'stream' &&
      isSuccess(head) &&
      isEventStream(head)
      ? this.relayStream(source, head, body)
      : this.relayResponse(source, head, body);
  }

  private async relayStream(
    source: ResponseSource,
    head: ResponseHead,
    body: Parameters<typeof relayEvents>[1],
  ): Promise<AttemptResult> {
    const {endpoint, isRelayed} = source;
    const {protocol} = this.dependencies;
    const isContinued = this.streamHead !== undefined;
    this.streamHead ??= head;
    // A stream that breaks off before its first event still gets a refusal as its answer.
    const begin = (): void => {
      if (this.exchange.hasSentHead) return;
      const headers = protocol.responseHeaders(head.headers);
      this.startResponse(
        source,
        head,
        this.route.isResumable ? withoutLength(headers) : headers,
      );
    };
    let hasEvents = false;
    const end = await relayEvents(this.exchange, body, this.events, {
      onEvents: () => {
        hasEvents = true;
        begin();
        // Bytes that complete no event don't count: a stalled endpoint may send some.
        this.inactivityTimer?.reset();
        this.trackedSend?.recordContact();
        if (endpoint !== undefined) this.binding.bind(endpoint);
      },
      onFault: () => this.sentRequest?.abort(),
      onPause: () => this.inactivityTimer?.suspend(),
      onResume: () => this.inactivityTimer?.resume(),
    });
    // A close right after the head says nothing; for the rest of a stream, only a last chunk does.
    const isEmpty =
      !hasEvents &&
      (isContinued ? head.framing !== 'chunks' : head.framing === 'close');
    const {fault} = this.events;
    const cause =
      fault ??
      (await this.findBreak(source, head, end)) ??
      (isEmpty ? 'a stream that ended before its first event' : undefined);
    this.recordEnd(source, cause);
    if (cause === undefined) {
      this.finish(SERVED, () => {
        begin();
        this.exchange.end();
      });
      return {kind: 'delivered'};
    }
    const {canContinue} = this.events;
    this.events.beginContinuation();
    // Another node goes on with a stream as long as it can.
    const canResume = this.route.isResumable && canContinue && !isRelayed;
    const isCut = fault === undefined && !isRelayed;
    return {kind: 'stream_broken', cause, canResume, isCut};
  }

  private async relayResponse(
    source: ResponseSource,
    head: ResponseHead,
    body: Parameters<typeof relayEvents>[1],
  ): Promise<AttemptResult> {
    const isCut = !source.isRelayed;
    const buffering = bufferBody(body, this.exchange.memory);
    const result = await buffering.result;
    if (result.kind === 'long') {
      this.startResponse(source, head);
      const relayRest = (): void =>
        buffering.relayRest(writeWithBackpressure(this.exchange, body));
      if (this.exchange.write(result.buffered)) relayRest();
      else this.exchange.onDrain(relayRest);
      const cause = await this.findBreak(source, head, await result.end);
      if (cause !== undefined)
        return {kind: 'stream_broken', cause, canResume: false, isCut};
      this.finish(SERVED, () => this.exchange.end());
      return {kind: 'delivered'};
    }
    const cause = await this.findBreak(source, head, result.end);
    if (cause !== undefined) {
      this.recordEnd(source, cause);
      return {kind: 'may_have_run', cause, isCut};
    }
    if (head.status >= 500 && !source.isRelayed) {
      return {
        kind: 'may_have_run',
        cause: `status ${head.status}`,
        isCut: false,
        response: {source, head, body: result.body},
      };
    }
    this.recordEnd(source, undefined);
    this.sendResponse(source, head, result.body);
    return {kind: 'delivered'};
  }

  private recordEnd(
    {endpoint, isRelayed}: ResponseSource,
    cause: string | undefined,
  ): void {
    const {outliers, clock} = this.dependencies;
    if (isRelayed || endpoint === undefined) return;
    if (cause === undefined) outliers.recordSuccess(endpoint.id);
    else outliers.recordFailure(endpoint.id, clock.now());
  }

  private findBreak(
    {endpoint, isRelayed}: ResponseSource,
    {framing}: ResponseHead,
    end: BodyEnd,
  ): Promise<string | undefined> {
    const {hasPartialEvent} = this.events;
    const {crashDetector} = this.dependencies;
    return findBreak({end, framing, hasPartialEvent}, async () =>
      // A node resets a response that only a close would end.
      isRelayed || endpoint === undefined
        ? isRelayed
        : crashDetector.isRunning(endpoint),
    );
  }

  private sendResponse(
    source: ResponseSource,
    head: ResponseHead,
    body: Buffer,
  ): void {
    const result = isSuccess(head) ? SERVED : `status_${head.status}`;
    this.finish(result, () => {
      this.startResponse(source, head);
      this.exchange.end(body);
    });
  }

  private startResponse(
    {endpoint}: ResponseSource,
    head: ResponseHead,
    headers = this.dependencies.protocol.responseHeaders(head.headers),
  ): void {
    this.exchange.startResponse(head.status, headers, {
      kind: 'endpoint',
      endpoint: endpoint?.id ?? as<EndpointId>(''),
      runs: this.runs,
    });
  }

  /** Ends the request after a failed attempt that isn't retried. */
  private fail(result: AttemptResult): void {
    if (result.kind === 'delivered') return;
    if (this.exchange.hasSentHead) {
      this.finish('broken', () => this.exchange.cut());
      return;
    }
    if (result.kind === 'may_have_run' && result.response !== undefined) {
      const {source, head, body} = result.response;
      this.sendResponse(source, head, body);
      return;
    }
    if (result.kind === 'not_run' && this.runs === 0) {
      const {clock} = this.dependencies;
      this.refuse(
        createNotRunRefusal(
          ErrorCode.EndpointBusy,
          result.cause,
          after(clock.now(), RETRY_AFTER_MILLISECONDS),
        ),
      );
      return;
    }
    this.refuse(createUnknownOutcomeRefusal(result.cause));
  }

  private handleTimeout(): void {
    if (this.isFinished) return;
    if (this.exchange.hasSentHead) {
      this.finish('timed_out', () => this.exchange.cut());
      return;
    }
    const isNotRun = this.runs === 0 && this.sentRequest === undefined;
    this.refuse(
      isNotRun
        ? createNotRunRefusal(ErrorCode.DeadlinePassed, this.route.name)
        : createUnknownOutcomeRefusal(
            `no answer within ${this.route.name}’s time`,
          ),
    );
  }

  private refuse(refusal: RefusalError): void {
    if (this.exchange.hasSentHead) {
      this.finish('broken', () => this.exchange.cut());
      return;
    }
    const {clock} = this.dependencies;
    const response = refusalResponse(refusal, this.metadata.id, clock.now());
    this.finish(refusal.code, () => {
      const statement = statementOfRefusal(refusal);
      this.exchange.startResponse(response.status, response.headers, statement);
      this.exchange.end(response.body);
    });
  }

  /** Ends the request; only the first call has an effect. */
  private finish(result: string, respond: () => void): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.result = result;
    this.cancelTimeout?.();
    this.abortController.abort();
    this.sentRequest?.abort();
    respond();
    this.logEnd();
  }

  private millisecondsSinceReceived(
    at: Instant | undefined,
  ): Milliseconds | undefined {
    return at && Math.round(until(this.exchange.receivedAt, at));
  }

  private logEnd(): void {
    const {clock, emit, view, onRequestEnd} = this.dependencies;
    const viewAge = this.viewAge ?? view.age;
    const durationMilliseconds = until(this.exchange.receivedAt, clock.now());
    onRequestEnd(this.route, this.result, durationMilliseconds);
    emit(REQUEST_ENDED, {
      id: this.metadata.id,
      route: this.route.name,
      version: this.configuration.version,
      model: this.metadata.model,
      adapter: this.metadata.adapter,
      result: this.result,
      endpoint: this.lastEndpoint?.id,
      softwareVersion: this.lastEndpoint?.softwareVersion,
      resumes: this.metadata.resumes?.slice(0, MAXIMUM_LOGGED_CHARACTERS),
      relayedTo: this.peer,
      isRelayed: this.exchange.relayed !== undefined || undefined,
      sends: this.sends,
      runs: this.runs,
      sentAfter: this.millisecondsSinceReceived(this.sentAt),
      endpointsAge: viewAge.endpoints,
      routesAge: viewAge.routes,
      answeredAfter: this.millisecondsSinceReceived(this.respondedAt),
      milliseconds: Math.round(durationMilliseconds),
    });
  }
}
