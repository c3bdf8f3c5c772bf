/** Sends a request to an endpoint and acts on what comes back. */

import type {EndedRun, RequestContainment} from '@siskinmux/containment';
import type {EndpointDescription} from '@siskinmux/endpoints';
import type {SendResult, SentRequest} from '@siskinmux/forwarding';
import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {ErrorCode, createNotRunRefusal, until} from '@siskinmux/kernel';
import type {TrackedSend} from '@siskinmux/reach';
import {inactivityTimeoutMilliseconds, isRetryable} from '@siskinmux/routes';
import {hash32} from '@siskinmux/routing';
import type {AttemptChain} from './attempt_chains.js';
import type {AttemptResult} from './attempt_result.js';
import {InactivityTimer} from './inactivity_timer.js';
import type {ProxiedRequestDependencies} from './proxied_request_dependencies.js';
import {discardBody} from './relay_response.js';
import type {RequestEnding} from './request_ending.js';
import type {RequestState} from './request_state.js';
import type {DeliveryObserver, ResponseDelivery} from './response_delivery.js';
import {judgeResponse, unfoundedCause} from './response_judgement.js';
import {allowsAnotherRun} from './retry_decision.js';

/** Why a run is suspected to bring no response. */
export type Suspicion = 'silent' | 'links_lost';

/** Dependencies of {@link EndpointSender}. */
export interface EndpointSenderOptions {
  readonly dependencies: ProxiedRequestDependencies;
  readonly state: RequestState;
  readonly ending: RequestEnding;
  readonly delivery: ResponseDelivery;
  readonly containment: RequestContainment;
  /** Called while a send to the endpoint is open that may bring no response. */
  readonly onSuspicion: (
    chain: AttemptChain,
    endpoint: EndpointDescription,
    suspicion: Suspicion,
    silentFor: Milliseconds,
  ) => 'decided' | 'undecided';
}

/** One send to an endpoint. */
interface EndpointSend {
  readonly chain: AttemptChain;
  readonly endpoint: EndpointDescription;
  readonly sentRequest: SentRequest;
  readonly sentAt: Instant;
}

/** Sends one request to endpoints. */
export class EndpointSender {
  private constructor(private readonly options: EndpointSenderOptions) {}

  static create(options: EndpointSenderOptions): EndpointSender {
    return new EndpointSender(options);
  }

  /** Sends the request; resolves when its response has been passed on or has failed. */
  async send(
    chain: AttemptChain,
    endpoint: EndpointDescription,
  ): Promise<AttemptResult> {
    const {dependencies, state, containment, onSuspicion} = this.options;
    const {clock, connections, inFlightCounts, protocol} = dependencies;
    const remainingMilliseconds = until(clock.now(), state.deadline);
    if (remainingMilliseconds <= 0) {
      throw createNotRunRefusal(ErrorCode.DeadlinePassed, state.route.name);
    }
    const sentAt = clock.now();
    const target = {endpoint, peer: undefined, sentAt};
    state.recordSend(target);
    state.triedEndpoints.add(endpoint.id);
    state.viewAge = dependencies.view.age;
    const {model, adapter} = state.metadata;
    state.assumedLoad =
      model === undefined
        ? undefined
        : dependencies.clusterLoad.assumedAt(endpoint);
    const release = inFlightCounts.track({
      endpoint: endpoint.id,
      model,
      adapter,
    });
    const endRun = containment.trackRun(endpoint.id);
    const trackedSend = dependencies.reach.track(endpoint, () => {
      if (!chain.isSending) return;
      chain.recordSuspicion(false);
      onSuspicion(chain, endpoint, 'links_lost', until(sentAt, clock.now()));
    });
    let inactivityTimer: InactivityTimer | undefined;
    try {
      const sentRequest = connections.send(
        endpoint,
        {
          key: hash32(state.metadata.id),
          method: state.exchange.method,
          target: state.exchange.target,
          headers: protocol.requestHeaders(state.exchange.headers, {
            endpoint: endpoint.id,
            remainingMilliseconds,
            urgency: model === undefined ? undefined : state.urgency,
            resumeAfter: state.events.lastEventId,
            identity:
              state.caller.kind === 'any' ? undefined : {team: state.team},
          }),
          body: state.body,
        },
        isRetryable(state.route),
      );
      chain.beginSend(target, sentRequest);
      inactivityTimer = this.startInactivityTimer(chain, endpoint);
      const response = await sentRequest.result;
      if (response.kind === 'answered') {
        trackedSend.recordContact();
        containment.recordResponse(endpoint, sentRequest);
      } else if (
        response.delivery === 'not_sent' &&
        sentRequest.abortReason === undefined
      ) {
        await trackedSend.recordNoConnection();
      }
      const handled = await this.handleResult(
        {chain, endpoint, sentRequest, sentAt},
        response,
        observeDelivery(trackedSend, inactivityTimer),
      );
      const {wasOnlySlower} = chain;
      // Nothing is suspected of a run that has ended.
      inactivityTimer?.stop();
      trackedSend.end();
      chain.endSend();
      endRun();
      const result = {...handled, aborted: sentRequest.abortReason};
      const hadResponded = response.kind === 'answered';
      if (!wasOnlySlower)
        await this.reportRunEnd(result, {
          endpoint,
          sentRequest,
          sentAt,
          hadResponded,
        });
      return result;
    } catch (failure) {
      chain.abort('request_ended');
      throw failure;
    } finally {
      inactivityTimer?.stop();
      chain.endSend();
      trackedSend.end();
      endRun();
      release();
    }
  }

  private recordServed({endpoint, sentAt}: EndedRun): void {
    const {dependencies, state, containment} = this.options;
    const {model} = state.metadata;
    containment.recordServed();
    if (model !== undefined)
      dependencies.clusterLoad.recordServed(endpoint, model, sentAt);
  }

  /** A retry waits until it is known whether the endpoint crashed; other requests don't. */
  private async reportRunEnd(
    result: AttemptResult,
    run: EndedRun,
  ): Promise<void> {
    const {state, ending, containment} = this.options;
    if (result.kind === 'delivered') {
      containment.recordResponse(run.endpoint, run.sentRequest);
      if (ending.isServed) this.recordServed(run);
      return;
    }
    if (result.kind === 'not_run' || !result.isCut) return;
    const report = containment.recordBroken(run);
    if (allowsAnotherRun(state.progress)) await report;
  }

  private startInactivityTimer(
    chain: AttemptChain,
    endpoint: EndpointDescription,
  ): InactivityTimer | undefined {
    const {dependencies, state, onSuspicion} = this.options;
    const {route} = state;
    if (!isRetryable(route)) return undefined;
    return InactivityTimer.create(
      dependencies.clock,
      inactivityTimeoutMilliseconds(route),
      silentFor => {
        chain.recordSuspicion(true);
        return onSuspicion(chain, endpoint, 'silent', silentFor);
      },
    );
  }

  private async handleResult(
    {chain, endpoint, sentRequest, sentAt}: EndpointSend,
    result: SendResult,
    observer: DeliveryObserver,
  ): Promise<AttemptResult> {
    const {dependencies, state, delivery} = this.options;
    const {outliers, clock} = dependencies;
    if (result.kind === 'failed') {
      if (!chain.wasOnlySlower)
        outliers.recordFailure(endpoint.id, clock.now(), sentAt);
      const cause = result.failure.message;
      if (result.delivery === 'not_sent') {
        state.unreachedEndpoints.add(endpoint.id);
        return {kind: 'not_run', cause, isSent: false};
      }
      state.countRun(chain);
      return {kind: 'may_have_run', cause, isCut: true};
    }
    const {head, body} = result;
    state.respondedAt = clock.now();
    const judgement = judgeResponse(head, state.metadata.id, sentRequest);
    if (judgement === 'foreign') {
      // The response to an earlier request; the one to this request can't be identified.
      sentRequest.abort('invalid_response');
      dependencies.connections.avoidReuse(endpoint.id);
      state.countRun(chain);
      return {
        kind: 'may_have_run',
        cause: 'answer to another request',
        isCut: false,
      };
    }
    if (!head.metadata.isMisdirected) {
      dependencies.limits.recordResponse(endpoint, head);
      dependencies.pauses.recordResponse(endpoint, head);
      dependencies.leaving.recordResponse(endpoint, head);
    }
    if (judgement === 'not_run')
      return this.handleRejection(endpoint, result, sentRequest);
    state.countRun(chain);
    if (judgement === 'unfounded') {
      discardBody(body, sentRequest, clock);
      const cause = unfoundedCause(head);
      return {kind: 'may_have_run', cause, isCut: false};
    }
    if (judgement === 'unsealed') {
      sentRequest.abort('invalid_response');
      outliers.recordFailure(endpoint.id, clock.now(), sentAt);
      return {
        kind: 'may_have_run',
        cause: 'not the endpoint’s answer',
        isCut: false,
      };
    }
    const source = {endpoint, sentAt, isRelayed: false};
    return delivery.passOn(chain, source, head, body, observer);
  }

  private handleRejection(
    endpoint: EndpointDescription,
    {head, body}: SendResult & {kind: 'answered'},
    sentRequest: SentRequest,
  ): AttemptResult {
    const {dependencies, state} = this.options;
    discardBody(body, sentRequest, dependencies.clock);
    const {model} = state.metadata;
    if (model !== undefined && head.metadata.isMisdirected) {
      dependencies.reportMissingModel(endpoint.id, model);
    } else if (model !== undefined) {
      dependencies.clusterLoad.recordRejection(endpoint);
    }
    return {kind: 'not_run', cause: `status ${head.status}`, isSent: true};
  }
}

function observeDelivery(
  trackedSend: TrackedSend,
  inactivityTimer: InactivityTimer | undefined,
): DeliveryObserver {
  return {
    onEvents: () => {
      // Bytes that complete no event don't count: a stalled endpoint may send some.
      inactivityTimer?.reset();
      trackedSend.recordContact();
    },
    onPause: () => inactivityTimer?.suspend(),
    onResume: () => inactivityTimer?.resume(),
  };
}
