/** State of one caller request, shared by the modules that serve it. */

import type {EndpointProtocol, RequestMetadata} from '@siskinmux/forwarding';
import {EventStreamSplitter} from '@siskinmux/forwarding';
import type {
  EndpointId,
  Fingerprint,
  Instant,
  Milliseconds,
  NodeId,
  ServiceName,
  TeamName,
} from '@siskinmux/kernel';
import type {Route, RouteConfiguration} from '@siskinmux/routes';
import {pickTarget} from '@siskinmux/routes';
import {fingerprintOf, hash32} from '@siskinmux/routing';
import type {AttemptChain, SendTarget} from './attempt_chains.js';
import {AttemptChains} from './attempt_chains.js';
import type {CallerIdentity} from './caller_identity.js';
import {firstRankOf, rankOf} from './caller_identity.js';
import type {RequestOrdering} from './endpoint_choice.js';
import type {CallerExchange} from './caller_exchange.js';
import type {AssumedLoad} from './cluster_load.js';
import type {ViewAge} from './platform_view.js';
import {
  deadlineOf,
  firstDeadlineOf,
  orderingOf,
  teamOf,
} from './request_terms.js';
import type {RequestProgress} from './retry_decision.js';

/** What a request asks for, and what its sends have come to so far. */
export class RequestState {
  readonly triedEndpoints: Set<EndpointId>;
  /** Endpoints among them to which no connection could be opened. */
  readonly unreachedEndpoints = new Set<EndpointId>();
  readonly triedPeers = new Set<NodeId>();
  readonly events: EventStreamSplitter;
  readonly service: ServiceName | undefined;
  body: Buffer | undefined;
  sends: number;
  /** Sends that an endpoint ran or may have run. */
  runs: number;
  private latestTarget: SendTarget | undefined;
  respondedAt: Instant | undefined;
  /** How old this node's knowledge was at the last send. */
  viewAge: ViewAge | undefined;
  /** What this node assumed at the last send about the load of its engine. */
  assumedLoad: AssumedLoad | undefined;
  /** Longest time between two parts of the stream that had events. */
  longestGap: Milliseconds | undefined;
  readonly chains = AttemptChains.create();

  private constructor(
    readonly exchange: CallerExchange,
    readonly configuration: RouteConfiguration,
    readonly route: Route,
    readonly metadata: RequestMetadata,
    /** The earlier of the route's timeout and the caller's own. */
    readonly deadline: Instant,
    readonly caller: CallerIdentity,
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
  }

  /** Reads what the exchange asks for on the route that matches it. */
  static create(
    protocol: EndpointProtocol,
    exchange: CallerExchange,
    configuration: RouteConfiguration,
    route: Route,
    caller: CallerIdentity = {kind: 'any'},
  ): RequestState {
    const metadata = protocol.readRequest(exchange.headers);
    const {receivedAt} = exchange;
    const {timeoutMilliseconds} = metadata;
    const deadline = deadlineOf(route, receivedAt, timeoutMilliseconds);
    return new RequestState(
      exchange,
      configuration,
      route,
      metadata,
      deadline,
      caller,
    );
  }

  get progress(): RequestProgress {
    const {route, deadline, sends, runs, chains} = this;
    return {route, deadline, sends, runs: runs + chains.uncountedRuns};
  }

  /** Target of the send whose response the caller gets, or of the latest one. */
  get target(): SendTarget | undefined {
    return this.chains.leader?.target ?? this.latestTarget;
  }

  /** Records that the request is about to be sent. */
  recordSend(target: SendTarget): void {
    this.sends += 1;
    this.latestTarget = target;
  }

  /** Counts the open send of a chain as a run. */
  countRun(chain: AttemptChain): void {
    this.runs += 1;
    chain.recordCounted();
  }

  /** Whether no endpoint has run the request or may run it now. */
  get isNotRun(): boolean {
    return this.runs === 0 && !this.chains.hasOpenSend;
  }

  /** Callers abandon a stream that has not started within the first-event timeout. */
  get currentDeadline(): Instant {
    const {route, exchange, deadline} = this;
    if (exchange.hasSentHead) return deadline;
    return firstDeadlineOf(route, exchange.receivedAt, deadline);
  }

  /** Order among the requests that wait, 0 is served first. */
  get rank(): number {
    return rankOf(this.caller, this.route);
  }

  /** Name of the caller's team, if callers are identified and the route isn't public. */
  get team(): TeamName | undefined {
    return teamOf(this.caller);
  }

  /** By what it is ordered among requests that wait; undefined without teams. */
  get ordering(): RequestOrdering | undefined {
    const {caller, route, exchange, metadata} = this;
    return orderingOf(caller, route, exchange.receivedAt, metadata);
  }

  /** A stream that has begun goes before new ones of its route, which have nothing to lose yet. */
  get urgency(): number {
    const {rank, caller} = this;
    const isBegun =
      this.metadata.resumeAfter !== undefined ||
      this.events.lastEventId !== undefined;
    return isBegun ? Math.max(firstRankOf(caller), rank - 1) : rank;
  }

  /** Equal for requests that an endpoint can't tell apart, apart from ids and deadlines. */
  contentFingerprint(): Fingerprint {
    const {method, host, target} = this.exchange;
    const {model, adapter} = this.metadata;
    const head = [method, host, target, model, adapter].join(' ');
    return fingerprintOf(head, this.body);
  }
}
