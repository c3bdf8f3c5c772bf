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
  RefusalError,
  ServiceName,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  Outcome,
  SiskinmuxError,
  after,
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
import type {OutlierDetector} from '@siskinmux/routing';
import {fingerprintOf, hash32} from '@siskinmux/routing';
import type {AttemptResult} from './attempt_result.js';
import type {CallerExchange} from './caller_exchange.js';
import type {EndpointRequirements, FindEndpoint} from './endpoint_choice.js';
import type {EndpointLimits} from './endpoint_limits.js';
import {REQUEST_ENDED, SEND_FAILED} from './gateway_events.js';
import type {InFlightCounts} from './in_flight_counts.js';
import {InactivityTimer} from './inactivity_timer.js';
import {refusalResponse} from './refusal_response.js';
import type {ContainmentDependencies, EndedRun} from '@siskinmux/containment';
import {RequestContainment, traitsOfPrompt} from '@siskinmux/containment';
import {
  bufferBody,
  discardBody,
  isEventStream,
  isSuccess,
  relayEvents,
  withoutLength,
  writeWithBackpressure,
} from './relay_response.js';
import {findBreak} from './response_end.js';
import type {RetryBudgets} from './retry_budgets.js';
import type {StreamContinuity} from '@siskinmux/continuity';
import type {RequestProgress, RetryDecision} from './retry_decision.js';
import {allowsAnotherRun, decideRetry} from './retry_decision.js';
import {StreamBinding} from './stream_binding.js';

/** Endpoints enforce the same deadline; the grace period lets their own response arrive first. */
const TIMEOUT_GRACE_MILLISECONDS: Milliseconds = 30;

/** `Retry-After` of a request that endpoints refused; their queues drain in about this time. */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 400;

/** Bound on an id that a caller sent, in log lines. */
const MAXIMUM_LOGGED_CHARACTERS = 64;

/** Result of a request whose caller got a complete response with a success status. */
const SERVED = 'served';

/** Dependencies of {@link ProxiedRequest}. */
export interface ProxiedRequestDependencies extends ContainmentDependencies {
  readonly protocol: EndpointProtocol;
  readonly connections: EndpointConnectionPool;
  readonly inFlightCounts: InFlightCounts;
  readonly limits: EndpointLimits;
  readonly outliers: OutlierDetector;
  readonly retryBudgets: RetryBudgets;
  readonly continuity: StreamContinuity;
  readonly find: FindEndpoint;
  readonly emit: EmitEvent;
  /** Called when an engine lacks the model or adapter that the node expected it to hold. */
  readonly reportMissingModel: (endpoint: EndpointId, model: ModelName) => void;
  /** Called when a send has failed, with the decision whether to send the request again. */
  readonly onRetryDecision: (
    service: ServiceName,
    decision: RetryDecision,
  ) => void;
  /** Called when a request has ended; `result` is the one logged in `request-ended`. */
  readonly onRequestEnd: (
    route: Route,
    result: string,
    durationMilliseconds: Milliseconds,
  ) => void;
}

/** One request of a caller, from its arrival to the end of its response. */
export class ProxiedRequest {
  private readonly triedEndpoints = new Set<EndpointId>();
  private readonly abortController = new AbortController();
  private readonly events = EventStreamSplitter.create();
  private readonly service: ServiceName | undefined;
  private readonly containment: RequestContainment;
  private readonly binding: StreamBinding;
  private body: Buffer | undefined;
  private sends = 0;
  /** Sends that an endpoint ran or may have run. */
  private runs = 0;
  private isFinished = false;
  private result = '';
  private lastEndpoint: EndpointDescription | undefined;
  private sentAt: Instant | undefined;
  private respondedAt: Instant | undefined;
  private sentRequest: SentRequest | undefined;
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
    const {containment} = this;
    while (!this.isFinished) {
      await containment.throwIfWithheld();
      const endpoint = await this.dependencies.find(this.requirements());
      if (this.isFinished) return;
      // Its traits may have become suspect while it waited.
      await containment.throwIfWithheld();
      if (this.isFinished) return;
      const result = await this.send(endpoint);
      if (this.isFinished || result.kind === 'delivered') return;
      this.triedEndpoints.add(endpoint.id);
      const decision = decideRetry(
        result,
        this.progress,
        this.dependencies.retryBudgets.forService(endpoint.service),
        this.dependencies.clock.now(),
      );
      const isSentAgain = decision === 'free' || decision === 'charged';
      this.dependencies.onRetryDecision(endpoint.service, decision);
      this.dependencies.emit(SEND_FAILED, {
        id: this.metadata.id,
        content: containment.content,
        endpoint: endpoint.id,
        life: endpoint.incarnation,
        softwareVersion: endpoint.softwareVersion,
        end: result.kind,
        cause: result.cause,
        sends: this.sends,
        next: isSentAgain ? 'send again' : 'give up',
        retry: decision,
      });
      if (!isSentAgain) this.fail(result);
    }
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
    if (this.sends === 0)
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
      isFirstAttempt: this.sends === 0,
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
    const {model, adapter} = this.metadata;
    const release = inFlightCounts.track({
      endpoint: endpoint.id,
      model,
      adapter,
    });
    const endRun = this.containment.trackRun(endpoint.id);
    try {
      const sentRequest = connections.send(
        endpoint,
        {
          method: this.exchange.method,
          target: this.exchange.target,
          headers: protocol.requestHeaders(this.exchange.headers, {
            endpoint: endpoint.id,
            remainingMilliseconds,
            urgency: model === undefined ? undefined : this.route.priority,
            resumeAfter: this.events.lastEventId,
          }),
          body: this.body,
        },
        isRetryable(this.route),
      );
      this.sentRequest = sentRequest;
      this.inactivityTimer = this.startInactivityTimer(sentRequest);
      const response = await sentRequest.result;
      if (response.kind === 'answered')
        this.containment.recordResponse(endpoint, sentRequest);
      const result = await this.handleResult(endpoint, response, sentRequest);
      endRun();
      await this.reportRunEnd(result, {endpoint, sentRequest, sentAt});
      return result;
    } finally {
      this.inactivityTimer?.stop();
      this.sentRequest = undefined;
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

  /** A send is aborted for inactivity only if another endpoint may still run the request. */
  private startInactivityTimer(
    sentRequest: SentRequest,
  ): InactivityTimer | undefined {
    const {route} = this;
    if (!isRetryable(route) || this.runs + 1 >= route.maximumRuns)
      return undefined;
    const {clock} = this.dependencies;
    return InactivityTimer.create(
      clock,
      inactivityTimeoutMilliseconds(route),
      () => sentRequest.abort(),
    );
  }

  private async handleResult(
    endpoint: EndpointDescription,
    result: SendResult,
    sentRequest: SentRequest,
  ): Promise<AttemptResult> {
    const {outliers, clock, limits} = this.dependencies;
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
    if (
      metadata.requestId !== undefined &&
      metadata.requestId !== this.metadata.id
    ) {
      // The response to an earlier request; the one to this request can't be identified.
      this.sentRequest?.abort();
      this.runs += 1;
      return {
        kind: 'may_have_run',
        cause: 'answer to another request',
        isCut: false,
      };
    }
    if (!metadata.isMisdirected) limits.recordResponse(endpoint, head);
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
    if (
      this.route.kind === 'stream' &&
      isSuccess(head) &&
      isEventStream(head)
    ) {
      return this.relayStream(endpoint, head, body);
    }
    if (this.exchange.hasSentHead) {
      this.sentRequest?.abort();
      const cause = `status ${status} instead of the rest of the stream`;
      return {kind: 'stream_broken', cause, canResume: false, isCut: false};
    }
    return this.relayResponse(endpoint, head, body);
  }

  private async relayStream(
    endpoint: EndpointDescription,
    head: ResponseHead,
    body: Parameters<typeof relayEvents>[1],
  ): Promise<AttemptResult> {
    const {outliers, clock, protocol} = this.dependencies;
    if (!this.exchange.hasSentHead) {
      const headers = protocol.responseHeaders(head.headers);
      this.exchange.startResponse(
        head.status,
        this.route.isResumable ? withoutLength(headers) : headers,
      );
    }
    const end = await relayEvents(this.exchange, body, this.events, {
      onEvents: () => {
        // Bytes that complete no event don't count: a stalled endpoint may send some.
        this.inactivityTimer?.reset();
        this.binding.bind(endpoint);
      },
      onPause: () => this.inactivityTimer?.suspend(),
      onResume: () => this.inactivityTimer?.resume(),
    });
    const cause = await this.findBreak(endpoint, head, end);
    if (cause === undefined) {
      outliers.recordSuccess(endpoint.id);
      this.finish(SERVED, () => this.exchange.end());
      return {kind: 'delivered'};
    }
    this.events.discardPartialEvent();
    outliers.recordFailure(endpoint.id, clock.now());
    return {
      kind: 'stream_broken',
      cause,
      canResume: this.route.isResumable,
      isCut: true,
    };
  }

  private async relayResponse(
    endpoint: EndpointDescription,
    head: ResponseHead,
    body: Parameters<typeof relayEvents>[1],
  ): Promise<AttemptResult> {
    const {outliers, clock} = this.dependencies;
    const buffering = bufferBody(body);
    const result = await buffering.result;
    if (result.kind === 'long') {
      this.startResponse(head);
      this.exchange.write(result.buffered);
      buffering.relayRest(writeWithBackpressure(this.exchange, body));
      const cause = await this.findBreak(endpoint, head, await result.end);
      if (cause !== undefined)
        return {kind: 'stream_broken', cause, canResume: false, isCut: true};
      this.finish(SERVED, () => this.exchange.end());
      return {kind: 'delivered'};
    }
    const cause = await this.findBreak(endpoint, head, result.end);
    if (cause !== undefined) {
      outliers.recordFailure(endpoint.id, clock.now());
      return {kind: 'may_have_run', cause, isCut: true};
    }
    if (head.status >= 500) {
      return {
        kind: 'may_have_run',
        cause: `status ${head.status}`,
        isCut: false,
        response: {head, body: result.body},
      };
    }
    outliers.recordSuccess(endpoint.id);
    this.sendResponse(head, result.body);
    return {kind: 'delivered'};
  }

  private findBreak(
    endpoint: EndpointDescription,
    {framing}: ResponseHead,
    end: BodyEnd,
  ): Promise<string | undefined> {
    const {hasPartialEvent} = this.events;
    return findBreak({end, framing, hasPartialEvent}, () =>
      this.dependencies.crashDetector.isRunning(endpoint),
    );
  }

  private sendResponse(head: ResponseHead, body: Buffer): void {
    const result = isSuccess(head) ? SERVED : `status_${head.status}`;
    this.finish(result, () => {
      this.startResponse(head);
      this.exchange.end(body);
    });
  }

  private startResponse(head: ResponseHead): void {
    const {protocol} = this.dependencies;
    this.exchange.startResponse(
      head.status,
      protocol.responseHeaders(head.headers),
    );
  }

  /** Ends the request after a failed attempt that isn't retried. */
  private fail(result: AttemptResult): void {
    if (result.kind === 'delivered') return;
    if (this.exchange.hasSentHead) {
      this.finish('broken', () => this.exchange.cut());
      return;
    }
    if (result.kind === 'may_have_run' && result.response !== undefined) {
      this.sendResponse(result.response.head, result.response.body);
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
      this.exchange.startResponse(response.status, response.headers);
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
    const {clock, emit, onRequestEnd} = this.dependencies;
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
      sends: this.sends,
      runs: this.runs,
      sentAfter: this.millisecondsSinceReceived(this.sentAt),
      answeredAfter: this.millisecondsSinceReceived(this.respondedAt),
      milliseconds: Math.round(durationMilliseconds),
    });
  }
}
