/**
 * Proxies one caller request: chooses an endpoint, forwards the request, relays the
 * response, and retries or refuses when an attempt fails.
 */

import {RequestContainment, traitsOfPrompt} from '@siskinmux/containment';
import type {EndpointDescription} from '@siskinmux/endpoints';
import type {Milliseconds} from '@siskinmux/kernel';
import {
  ErrorCode,
  Outcome,
  RefusalError,
  SiskinmuxError,
  after,
  createNotRunRefusal,
  createUnknownOutcomeRefusal,
  toRefusal,
} from '@siskinmux/kernel';
import type {Route, RouteConfiguration} from '@siskinmux/routes';
import type {AttemptChain, SendTarget} from './attempt_chains.js';
import type {AttemptResult} from './attempt_result.js';
import type {CallerExchange} from './caller_exchange.js';
import type {CallerIdentity} from './caller_identity.js';
import type {EndpointRequirements} from './endpoint_choice.js';
import type {Suspicion} from './endpoint_sender.js';
import {EndpointSender} from './endpoint_sender.js';
import {
  RETRY_REFUSED,
  RUN_SUPERSEDED,
  RUN_SUSPECTED,
  SEND_FAILED,
} from './gateway_events.js';
import {PeerSender} from './peer_sender.js';
import type {ProxiedRequestDependencies} from './proxied_request_dependencies.js';
import {RequestEnding} from './request_ending.js';
import {RequestState} from './request_state.js';
import {quotaWaitUntil} from './request_terms.js';
import {ResponseDelivery} from './response_delivery.js';
import type {SecondRunDecision} from './second_run.js';
import {decideSecondRun} from './second_run.js';
import type {RetryDecision} from './retry_decision.js';
import {decideRetry} from './retry_decision.js';
import {StreamBinding} from './stream_binding.js';
import {requestCost} from './team_quotas.js';
import {waitForView} from './wait_for_view.js';

export type {ProxiedRequestDependencies} from './proxied_request_dependencies.js';
export {SERVED} from './request_ending.js';

/** `Retry-After` of a request that endpoints refused; their queues drain in about this time. */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 400;

type FailedResult = Exclude<AttemptResult, {kind: 'delivered'}>;

/** One request of a caller, from its arrival to the end of its response. */
export class ProxiedRequest {
  private readonly containment: RequestContainment;
  private readonly binding: StreamBinding;
  private readonly ending: RequestEnding;
  private readonly delivery: ResponseDelivery;
  private readonly endpointSender: EndpointSender;
  private readonly peerSender: PeerSender;
  /** Whether an endpoint has been sought. */
  private hasSought = false;
  /** Sends whose silence has been logged as undecided. */
  private readonly undecidedSends = new Set<SendTarget | undefined>();
  private readonly openChains = new Set<Promise<void>>();
  private readonly failedResults: FailedResult[] = [];
  /** What ended chains otherwise than by a failed send. */
  private readonly failures: unknown[] = [];

  private constructor(
    private readonly dependencies: ProxiedRequestDependencies,
    private readonly state: RequestState,
  ) {
    const {route, metadata, exchange} = state;
    this.binding = StreamBinding.create(
      dependencies.continuity,
      route,
      metadata,
      exchange.receivedAt,
    );
    this.containment = RequestContainment.create(
      dependencies,
      metadata.id,
      () => traitsOfPrompt(state.contentFingerprint(), metadata.sharedParts),
    );
    const {binding, containment} = this;
    const ending = RequestEnding.create(dependencies, state);
    const delivery = ResponseDelivery.create(
      dependencies,
      state,
      ending,
      binding,
    );
    this.ending = ending;
    this.delivery = delivery;
    this.endpointSender = EndpointSender.create({
      dependencies,
      state,
      ending,
      delivery,
      containment,
      onSuspicion: (chain, endpoint, suspicion, silentFor) =>
        this.considerSecondRun(chain, endpoint, suspicion, silentFor),
    });
    state.chains.onSuperseded((winner, losers) =>
      this.logSuperseded(winner, losers),
    );
    this.peerSender = PeerSender.create(dependencies, state, ending, delivery);
  }

  /** Creates a request for the route that matches the exchange. */
  static create(
    dependencies: ProxiedRequestDependencies,
    exchange: CallerExchange,
    configuration: RouteConfiguration,
    route: Route,
    caller: CallerIdentity,
  ): ProxiedRequest {
    const {protocol} = dependencies;
    return new ProxiedRequest(
      dependencies,
      RequestState.create(protocol, exchange, configuration, route, caller),
    );
  }

  /** Serves or refuses the request; rejects only on unexpected errors. */
  async run(): Promise<void> {
    const {state, ending, binding} = this;
    const {exchange, configuration, service} = state;
    ending.watch();
    try {
      state.body = await exchange.readBody(
        configuration.limits.maximumBodyBytes,
        this.dependencies.view.areRoutesCurrent,
      );
      await this.acquireQuota();
      if (service !== undefined) {
        const {currentDeadline} = state;
        await binding.requireOrigin(service, currentDeadline, ending.signal);
      }
      // It may have ended while it waited: its caller has left, or it was refused as not run.
      if (ending.isFinished) return;
      await this.sendUntilDone();
    } catch (failure) {
      if (failure instanceof SiskinmuxError) {
        ending.refuse(this.withTrueOutcome(toRefusal(failure, Outcome.NotRun)));
        return;
      }
      ending.refuseAfterError(
        this.withTrueOutcome(
          createNotRunRefusal(ErrorCode.InvariantViolated, ''),
        ),
      );
      throw failure;
    } finally {
      this.containment.end();
    }
  }

  /** Takes the cost of the request from its team's quota; the first node does for a relayed one. */
  private async acquireQuota(): Promise<void> {
    const {caller, exchange, metadata, route} = this.state;
    const {currentDeadline: deadline} = this.state;
    if (caller.kind !== 'team' || exchange.relayed !== undefined) return;
    const {name: team, quota} = caller.team;
    if (quota === undefined) return;
    const amount = requestCost(quota, metadata);
    const {signal} = this.ending;
    await this.dependencies.teamQuotas.acquire({
      team,
      amount,
      deadline,
      waitUntil: quotaWaitUntil(route, exchange.receivedAt),
      signal,
    });
  }

  /** Ends the request because the process is shutting down; see {@link RequestEnding.abandon}. */
  abandon(): void {
    this.ending.abandon();
  }

  /** A refusal by this node doesn't undo an earlier send that may have run. */
  private withTrueOutcome(refusal: RefusalError): RefusalError {
    return !this.state.isNotRun && refusal.outcome === Outcome.NotRun
      ? createUnknownOutcomeRefusal(refusal.message, refusal)
      : refusal;
  }

  /** Resolves when no send of the request is open or to come. */
  private async sendUntilDone(): Promise<void> {
    this.startChain();
    while (this.openChains.size > 0) await Promise.race(this.openChains);
    this.conclude();
  }

  private startChain(): void {
    const chain = this.state.chains.open();
    const run = this.runChain(chain).finally(() => {
      this.state.chains.close(chain);
      this.openChains.delete(run);
    });
    this.openChains.add(run);
  }

  /** Sends the request to one endpoint after the other, until it is served or can't be. */
  private async runChain(chain: AttemptChain): Promise<void> {
    try {
      while (!chain.isOver) {
        const result = await this.sendOnce(chain);
        if (result.kind === 'delivered' || this.ending.isFinished) return;
        if (this.isSentAgain(chain, result)) continue;
        // From here on, another chain can't rely on this one.
        this.state.chains.close(chain);
        if (!chain.isOver) this.failedResults.push(result);
        return;
      }
    } catch (failure) {
      const isRefused = failure instanceof RefusalError;
      if (isRefused && chain.isOver) return;
      if (isRefused && this.state.chains.hasOther(chain))
        this.logRetryRefused(failure);
      this.failures.push(failure);
    }
  }

  /** Ends the request if no chain has served it. */
  private conclude(): void {
    const {failures, ending} = this;
    const unexpected = failures.find(
      failure => !(failure instanceof SiskinmuxError),
    );
    if (ending.isFinished && unexpected === undefined) return;
    const failure = unexpected ?? failures[0];
    const result =
      this.failedResults.find(
        failed => failed.kind === 'may_have_run' && failed.response,
      ) ??
      this.failedResults.find(({kind}) => kind !== 'not_run') ??
      (failure === undefined ? this.failedResults[0] : undefined);
    if (result !== undefined) this.fail(result);
    if (unexpected !== undefined || result === undefined) throw failure;
  }

  /** Sends the request to an endpoint, or to a peer while this node has lost its links. */
  private async sendOnce(chain: AttemptChain): Promise<AttemptResult> {
    const {containment, peerSender} = this;
    this.throwIfStopping();
    const peer = peerSender.choosePeer();
    if (peer !== undefined) return peerSender.send(chain, peer);
    await containment.throwIfWithheld();
    let endpoint: EndpointDescription;
    do {
      await this.waitForView(chain);
      if (chain.isOver) return {kind: 'delivered'};
      endpoint = await this.dependencies.find(this.requirements(chain));
      if (chain.isOver) return {kind: 'delivered'};
      this.throwIfConcurrent(chain, endpoint);
      // The links may have been lost, its traits become suspect, and the endpoint have left,
      // while it waited.
      const laterPeer = peerSender.choosePeer();
      if (laterPeer !== undefined) return peerSender.send(chain, laterPeer);
      await containment.throwIfWithheld();
      if (chain.isOver) return {kind: 'delivered'};
      this.throwIfConcurrent(chain, endpoint);
    } while (!this.maySendTo(endpoint));
    this.throwIfStopping();
    return this.endpointSender.send(chain, endpoint);
  }

  /** A request that would be cut at the end of this process is refused, as others can serve it. */
  private throwIfStopping(): void {
    const {hasTimeFor, clock} = this.dependencies;
    const {isNotRun, route} = this.state;
    if (!isNotRun || hasTimeFor(route)) return;
    throw createNotRunRefusal(ErrorCode.ShuttingDown, route.name, clock.now());
  }

  /** A request runs once at a time at each endpoint, and at one only if it may crash them. */
  private throwIfConcurrent(
    chain: AttemptChain,
    {id}: EndpointDescription,
  ): void {
    const {containment, state} = this;
    const {chains, route} = state;
    if (chains.isSentTo(id, chain))
      throw createNotRunRefusal(ErrorCode.NoEndpoint, route.name);
    if (containment.isOnProbation && chains.hasOther(chain))
      throw createNotRunRefusal(ErrorCode.RequestQuarantined, route.name);
  }

  private maySendTo(endpoint: EndpointDescription): boolean {
    const {view, isListed} = this.dependencies;
    return view.isDecidable && isListed(endpoint);
  }

  private async waitForView({signal}: AttemptChain): Promise<void> {
    const {view, clock, emit} = this.dependencies;
    if (view.isDecidable) return;
    const {currentDeadline: deadline, metadata} = this.state;
    const {id} = metadata;
    await waitForView(view, {id, deadline, signal}, clock, emit);
  }

  /** What the next endpoint has to offer. The first call records the request in the retry budget. */
  private requirements({signal}: AttemptChain): EndpointRequirements {
    const {service, route, metadata, triedEndpoints, sends} = this.state;
    const {id, model, adapter} = metadata;
    if (service === undefined) {
      throw createNotRunRefusal(ErrorCode.NoEndpoint, route.name);
    }
    const isFirstAttempt = sends === 0 && !this.hasSought;
    this.hasSought = true;
    if (isFirstAttempt)
      this.dependencies.retryBudgets.forService(service).recordRequest();
    return {
      id,
      service,
      model,
      adapter,
      version: this.binding.requirement,
      triedEndpoints,
      avoidedEndpoints: this.containment.endpointsToAvoid(),
      deadline: this.state.currentDeadline,
      priority: this.state.rank,
      ordering: this.state.ordering,
      isFirstAttempt,
      signal,
    };
  }

  /**
   * Has another endpoint serve the request beside one that may bring no response. A run that has
   * begun is ended only when another has something to pass on. Undecided while no other endpoint
   * has a free slot.
   */
  private considerSecondRun(
    chain: AttemptChain,
    endpoint: EndpointDescription,
    suspicion: Suspicion,
    silentFor: Milliseconds,
  ): 'decided' | 'undecided' {
    const {emit, view, onRetryDecision} = this.dependencies;
    const {id} = this.state.metadata;
    const decision = this.decideSecondRun(chain, endpoint, suspicion);
    const isUndecided = decision === 'no_alternative';
    if (!isUndecided || !this.undecidedSends.has(chain.target))
      emit(RUN_SUSPECTED, {
        id,
        endpoint: endpoint.id,
        life: endpoint.incarnation,
        suspicion,
        silentFor: Math.round(silentFor),
        endpointsAge: view.age.endpoints,
        decision,
      });
    if (isUndecided) {
      this.undecidedSends.add(chain.target);
      return 'undecided';
    }
    if (decision === 'send') {
      onRetryDecision(endpoint.service, 'charged');
      this.startChain();
    }
    return 'decided';
  }

  private decideSecondRun(
    chain: AttemptChain,
    endpoint: EndpointDescription,
    suspicion: Suspicion,
  ): SecondRunDecision {
    const {state, containment, dependencies, delivery} = this;
    const {retryBudgets, clock, hasAlternative} = dependencies;
    const {progress, currentDeadline, chains} = state;
    return decideSecondRun({
      progress: {...progress, deadline: currentDeadline},
      now: clock.now(),
      isContinuable: delivery.isContinuable,
      isOnProbation: containment.isOnProbation,
      hasOtherRun: chains.hasPromisingOther(chain),
      hasAlternative: () =>
        suspicion === 'links_lost' ||
        hasAlternative(this.requirements(chain), endpoint.id),
      budget: retryBudgets.forService(endpoint.service),
    });
  }

  private logSuperseded(
    winner: AttemptChain,
    losers: readonly AttemptChain[],
  ): void {
    const nameOf = ({target}: AttemptChain): string | undefined =>
      target?.peer ?? target?.endpoint?.id;
    this.dependencies.emit(RUN_SUPERSEDED, {
      id: this.state.metadata.id,
      by: nameOf(winner),
      ended: losers.map(nameOf).join(' '),
      lastEvent: this.state.events.lastEventId,
    });
  }

  private logRetryRefused({code, detail}: RefusalError): void {
    const {id} = this.state.metadata;
    this.dependencies.emit(RETRY_REFUSED, {id, code, detail});
  }

  /** Decides whether the request is sent again, and logs the failed send. */
  private isSentAgain(chain: AttemptChain, result: FailedResult): boolean {
    const {service, progress, metadata, sends, chains} = this.state;
    if (service === undefined) return false;
    const {retryBudgets, clock, emit, onRetryDecision, hasAlternative} =
      this.dependencies;
    const {endpoint, peer} = chain.target ?? {};
    const isLeftToOther =
      chains.hasPromisingOther(chain) ||
      (chains.hasOther(chain) &&
        endpoint !== undefined &&
        peer === undefined &&
        !hasAlternative(this.requirements(chain), endpoint.id));
    const decision: RetryDecision =
      chain.isOver || isLeftToOther
        ? 'other_run'
        : decideRetry(
            result,
            progress,
            retryBudgets.forService(service),
            clock.now(),
          );
    const isSentAgain = decision === 'free' || decision === 'charged';
    onRetryDecision(service, decision);
    emit(SEND_FAILED, {
      id: metadata.id,
      content: this.containment.content,
      endpoint: endpoint?.id,
      life: endpoint?.incarnation,
      softwareVersion: endpoint?.softwareVersion,
      peer,
      end: result.kind,
      cause: result.cause,
      aborted: result.aborted,
      sends,
      next: isSentAgain ? 'send again' : 'give up',
      retry: decision,
    });
    return isSentAgain;
  }

  /** Ends the request after a failed attempt that isn't retried. */
  private fail(result: FailedResult): void {
    const {ending} = this;
    const {exchange, runs} = this.state;
    if (exchange.hasSentHead) {
      ending.finish('broken', () => exchange.cut());
      return;
    }
    if (result.kind === 'may_have_run' && result.response !== undefined) {
      const {source, head, body} = result.response;
      this.delivery.sendResponse(source, head, body);
      return;
    }
    if (result.kind === 'not_run' && runs === 0) {
      const {clock} = this.dependencies;
      ending.refuse(
        createNotRunRefusal(
          ErrorCode.EndpointBusy,
          result.cause,
          after(clock.now(), RETRY_AFTER_MILLISECONDS),
        ),
      );
      return;
    }
    ending.refuse(createUnknownOutcomeRefusal(result.cause));
  }
}
