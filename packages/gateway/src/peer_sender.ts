/** Has another node serve a request while this one has lost its links to the service. */

import type {
  Instant,
  Milliseconds,
  RefusalError,
  ServiceName,
} from '@siskinmux/kernel';
import {ErrorCode, after, createNotRunRefusal, until} from '@siskinmux/kernel';
import type {RelayPeer} from '@siskinmux/relay';
import {isRetryable} from '@siskinmux/routes';
import {hash32} from '@siskinmux/routing';
import type {AttemptChain} from './attempt_chains.js';
import type {AttemptResult} from './attempt_result.js';
import type {ProxiedRequestDependencies} from './proxied_request_dependencies.js';
import {readRelayOutcome, sendToPeer} from './relayed_send.js';
import type {RelayOutcome} from './relayed_send.js';
import type {RequestEnding} from './request_ending.js';
import type {RequestState} from './request_state.js';
import type {ResponseDelivery} from './response_delivery.js';

/** `Retry-After` while no node reaches the endpoints; links are probed again in about this time. */
const LINKS_RETRY_AFTER_MILLISECONDS: Milliseconds = 500;

/** Refuses a request to a service that neither this node nor another one reaches. */
export function createLinksLostRefusal(
  service: ServiceName,
  now: Instant,
): RefusalError {
  const retryAt = after(now, LINKS_RETRY_AFTER_MILLISECONDS);
  return createNotRunRefusal(ErrorCode.LinksLost, service, retryAt);
}

/** What the outcome of a relayed send is judged by. */
interface RelayedSend {
  readonly sentAt: Instant;
  /** Runs of the request before and beside it. */
  readonly earlierRuns: number;
}

/** Sends one request to peers, one after the other. */
export class PeerSender {
  private constructor(
    private readonly dependencies: ProxiedRequestDependencies,
    private readonly state: RequestState,
    private readonly ending: RequestEnding,
    private readonly delivery: ResponseDelivery,
  ) {}

  static create(
    dependencies: ProxiedRequestDependencies,
    state: RequestState,
    ending: RequestEnding,
    delivery: ResponseDelivery,
  ): PeerSender {
    return new PeerSender(dependencies, state, ending, delivery);
  }

  /**
   * The node that serves the request while this one has lost its links to the service. Throws a
   * `RefusalError` if there is none; a request is relayed once at most.
   */
  choosePeer(): RelayPeer | undefined {
    const {reach, peers, clock} = this.dependencies;
    const {service, exchange, triedPeers} = this.state;
    if (service === undefined || !reach.isCutFrom(service)) return undefined;
    const isRelayable = exchange.relayed === undefined;
    const peer = isRelayable ? peers.choose(service, triedPeers) : undefined;
    if (peer !== undefined) return peer;
    throw createLinksLostRefusal(service, clock.now());
  }

  /** Sends the request; resolves when its response has been passed on or has failed. */
  async send(chain: AttemptChain, peer: RelayPeer): Promise<AttemptResult> {
    const {clock, peers, peerConnections, protocol} = this.dependencies;
    const {state} = this;
    const {exchange, metadata} = state;
    const {lastEventId} = state.events;
    const progress = {
      age: until(exchange.receivedAt, clock.now()),
      sends: state.sends,
      runs: state.progress.runs,
      tried: [...state.triedEndpoints].filter(
        id => !state.unreachedEndpoints.has(id),
      ),
      team: state.team,
    };
    const received =
      state.caller.kind === 'any'
        ? exchange.headers
        : protocol.identifiedHeaders(exchange.headers, state.team);
    const headers =
      lastEventId === undefined
        ? received
        : protocol.resumedHeaders(
            received,
            metadata.resumes ?? metadata.id,
            lastEventId,
          );
    const sentAt = clock.now();
    const target = {endpoint: undefined, peer: peer.node, sentAt};
    state.recordSend(target);
    state.triedPeers.add(peer.node);
    const release = peers.track(peer);
    const sentRequest = sendToPeer(peerConnections, peer, {
      key: hash32(metadata.id),
      method: exchange.method,
      target: exchange.target,
      headers,
      body: state.body,
      progress,
      isRetryable: isRetryable(state.route),
    });
    chain.beginSend(target, sentRequest);
    try {
      const outcome = await readRelayOutcome(
        await sentRequest.result,
        sentRequest,
      );
      if (this.ending.isFinished) return {kind: 'delivered'};
      if (chain.isSuperseded) return this.endSuperseded(chain);
      return await this.handleOutcome(chain, peer, outcome, {
        earlierRuns: progress.runs,
        sentAt,
      });
    } catch (failure) {
      chain.abort('request_ended');
      throw failure;
    } finally {
      chain.endSend();
      release();
    }
  }

  private handleOutcome(
    chain: AttemptChain,
    peer: RelayPeer,
    outcome: RelayOutcome,
    {earlierRuns, sentAt}: RelayedSend,
  ): AttemptResult | Promise<AttemptResult> {
    const {peers, clock, findEndpoint, leaving} = this.dependencies;
    const {state} = this;
    if (outcome.kind === 'not_run') {
      peers.avoid(peer);
      return {kind: 'not_run', cause: outcome.cause, isSent: false};
    }
    if (outcome.kind === 'unknown') {
      this.countUnknownRuns(chain);
      return {kind: 'may_have_run', cause: outcome.cause, isCut: false};
    }
    const {head} = outcome;
    if (outcome.kind === 'refused') return this.passOnRefusal(chain, outcome);
    state.respondedAt = clock.now();
    state.runs += outcome.runs - earlierRuns;
    chain.recordCounted();
    const endpoint = findEndpoint(outcome.endpoint);
    chain.recordEndpoint(endpoint);
    if (endpoint !== undefined) leaving.recordResponse(endpoint, head);
    const source = {endpoint, sentAt, isRelayed: true};
    return this.delivery.passOn(chain, source, head, outcome.body);
  }

  /** The other node may have sent the request as often as its route allows. */
  private countUnknownRuns(chain: AttemptChain): void {
    const {state} = this;
    state.runs = Math.max(state.runs + 1, state.route.maximumRuns);
    chain.recordCounted();
  }

  private endSuperseded(chain: AttemptChain): AttemptResult {
    this.state.countRun(chain);
    const cause = 'another endpoint went on first';
    return {kind: 'may_have_run', cause, isCut: false};
  }

  private passOnRefusal(
    chain: AttemptChain,
    {code, head, body}: RelayOutcome & {kind: 'refused'},
  ): AttemptResult {
    const {protocol} = this.dependencies;
    const {exchange, chains} = this.state;
    if (chains.hasOther(chain)) {
      this.countUnknownRuns(chain);
      return {kind: 'may_have_run', cause: `refused as ${code}`, isCut: false};
    }
    if (exchange.hasSentHead) {
      const cause = `refused as ${code}`;
      return {kind: 'stream_broken', cause, canResume: false, isCut: false};
    }
    this.ending.finish(code, () => {
      exchange.startResponse(
        head.status,
        protocol.responseHeaders(head.headers),
        {kind: 'refusal', code, isUnable: false},
      );
      exchange.end(body);
    });
    return {kind: 'delivered'};
  }
}
