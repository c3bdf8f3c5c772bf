/** A gateway process: wires its components together, starts them and stops them gracefully. */

import type {HttpAgent} from '@siskinmux/adapters';
import {
  ADAPTER_EVENTS,
  RESPONSE_DROPPED,
  createAgent,
  readProcessorTime,
} from '@siskinmux/adapters';
import type {EndpointTableChange} from '@siskinmux/endpoints';
import {EndpointTable} from '@siskinmux/endpoints';
import type {ConnectionLimits, ProbeResult} from '@siskinmux/forwarding';
import {
  BufferBudget,
  EndpointConnectionPool,
  IDLE_SWEEP_INTERVAL_MILLISECONDS,
  MAXIMUM_IDLE_CONNECTIONS,
  ReceiveScheduler,
  RequestTurns,
  SocketPacer,
  probeEndpoint,
  probeResponse,
} from '@siskinmux/forwarding';
import type {
  Clock,
  EmitEvent,
  Milliseconds,
  Random,
  RawSettings,
  RequestId,
  ServiceName,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  Kernel,
  RefusalError,
  UNKNOWN_ERA,
  after,
  as,
  createUnknownOutcomeRefusal,
  earlier,
  sleepFor,
  sleepUntil,
  until,
} from '@siskinmux/kernel';
import type {ClockReading} from '@siskinmux/leases';
import {electionDelayMilliseconds} from '@siskinmux/leases';
import {PLACEMENT_EVENTS} from '@siskinmux/placement';
import {
  EXAMINATION_INTERVAL_MILLISECONDS,
  EndpointReach,
  RefusalWitness,
} from '@siskinmux/reach';
import type {RelayPeer} from '@siskinmux/relay';
import {PeerChoice, decodeProgress} from '@siskinmux/relay';
import type {MetadataStore} from '@siskinmux/ports';
import {OutlierDetector} from '@siskinmux/routing';
import type {NodeIdentity, WriteLine} from '@siskinmux/runtime';
import type {CodeCacheState} from '@siskinmux/runtime/code_cache';
import {
  ADD_METRICS_PATH,
  CLOCK,
  EMIT_EVENT,
  METRICS,
  NODE_IDENTITY,
  RANDOM,
  REPORT_METRICS_CLIENTS,
  createEventLoopPlugin,
  createPeriodicJob,
} from '@siskinmux/runtime';
import {ActiveRoutes} from './active_routes.js';
import {callerHeadRules} from './caller_heads.js';
import type {CallerExchange} from './caller_exchange.js';
import {RESET_DELAY_MILLISECONDS} from './caller_exchange.js';
import {CallerListener} from './caller_listener.js';
import {readGatewaySettings} from './check_settings.js';
import {ClientLimitReports, connectionLimits} from './client_limits.js';
import {ClusterLoad} from './cluster_load.js';
import type {CrashId} from '@siskinmux/containment';
import {
  CrashDetector,
  CrashQuarantine,
  incarnationOf,
} from '@siskinmux/containment';
import {StoredOrigins, StreamContinuity} from '@siskinmux/continuity';
import {
  BUFFERS_FREE,
  BUFFERS_FULL,
  CONNECTION_PACED,
  ENDPOINT_CRASHED,
  ENTRY_UNREADABLE,
  GATEWAY_EVENTS,
  GATEWAY_STARTED,
  GATEWAY_STOPPED,
  GATEWAY_STOPPING,
  REQUEST_ENDED,
  STORE_ERA_CHANGED,
  STORE_ERA_UNUSABLE,
  TASK_FAILED,
} from './gateway_events.js';
import {isListed} from './endpoint_choice.js';
import {EndpointLimits} from './endpoint_limits.js';
import {EndpointPauses} from './endpoint_pauses.js';
import type {GatewayPlatform} from './gateway_platform.js';
import {parseSocketAddress, relayAddress} from './gateway_settings.js';
import {createIdleLimit} from './idle_connections.js';
import {EventGapCounts} from './event_gap_counts.js';
import {InFlightCounts} from './in_flight_counts.js';
import {LeavingEndpoints} from './leaving_endpoints.js';
import {NodePlacement} from './node_placement.js';
import {PlatformView} from './platform_view.js';
import type {ProxiedRequestDependencies} from './proxied_request.js';
import {ProxiedRequest, SERVED} from './proxied_request.js';
import {TeamQuotas} from './team_quotas.js';
import {createTeamQuotaMetrics} from './team_quota_metrics.js';
import type {ReadinessListener} from './readiness_listener.js';
import {listenForReadiness} from './readiness_listener.js';
import {refusalResponse} from './refusal_response.js';
import {statementOfRefusal} from './relayed_send.js';
import type {RequestMetrics} from './request_metrics.js';
import {createRequestMetrics} from './request_metrics.js';
import {countStoreReturns} from './store_metrics.js';
import {RetryBudgets} from './retry_budgets.js';
import type {RequestTarget, RouteDecision} from './route_decision.js';
import {createRouteRefusal, decideRoute} from './route_decision.js';
import {StopWindow} from './stop_window.js';
import {viewAgeLimits} from './view_age_limits.js';
import {MAXIMUM_HOLD_MILLISECONDS, waitForView} from './wait_for_view.js';
import {WhereExplainer} from './where_explainer.js';
import {answerWhere} from './where_request.js';

/**
 * Delay between failing the readiness probes and refusing requests: the load balancer
 * stops sending requests after two failed probes, one per second.
 */
const DEREGISTRATION_DELAY_MILLISECONDS: Milliseconds = 2_600;

/** Part of the stop time that is reserved for the process to exit by itself. */
const EXIT_MARGIN_MILLISECONDS: Milliseconds = 500;

/** Interval of the check for endpoints that failed to register again in time. */
const EXPIRY_CHECK_MILLISECONDS: Milliseconds = 250;

/** Interval at which a stopping node checks for open requests. */
const DRAIN_CHECK_MILLISECONDS: Milliseconds = 20;

/** Time for the last responses to reach their callers, those that end with a reset included. */
const ABANDON_MILLISECONDS: Milliseconds = 2 * RESET_DELAY_MILLISECONDS;

/** Longer than other nodes keep their connections to this one. */
const RELAY_IDLE_MILLISECONDS: Milliseconds = 10_000;

/** Bound on texts of other systems in log lines. */
const MAXIMUM_LOGGED_CHARACTERS = 64;

/** Result of a request whose caller disconnected while it was held. */
const CALLER_GONE = 'caller_gone';

/** Share of the memory of the process that its bodies and incomplete events may take. */
const BUFFERS_SHARE = 0.15;

/** Shares of it that the responses of the store, and reports of engines, may take. */
const STORE_RESPONSES_SHARE = 0.1;
const ENGINE_RESPONSES_SHARE = 0.05;

/** Share of it that messages between nodes may take that have not arrived whole, or are not read. */
const PEER_MESSAGES_SHARE = 0.1;

const BYTES_PER_MEGABYTE = 1_048_576;

/** Options of {@link GatewayNode}. */
export interface GatewayOptions {
  readonly settings: RawSettings;
  readonly platform: GatewayPlatform;
  readonly clock: Clock;
  readonly readClocks: () => ClockReading;
  readonly random: Random;
  readonly writeLog: WriteLine;
  readonly codeCache?: CodeCacheState;
}

/** One gateway process. */
export class GatewayNode {
  private readonly kernel: Kernel;
  private readonly emit: EmitEvent;
  private readonly clock: Clock;
  private readonly listen;
  private readonly rules;
  private readonly store: MetadataStore;
  private readonly routes: ActiveRoutes;
  private readonly table = EndpointTable.create();
  private readonly platformView: PlatformView;
  private readonly pacer: SocketPacer;
  private readonly budget: BufferBudget;
  private readonly connections: EndpointConnectionPool;
  private readonly requestDependencies: ProxiedRequestDependencies;
  private readonly onRefused: RequestMetrics['onRefused'];
  private readonly placement: NodePlacement;
  private readonly crashDetector: CrashDetector;
  private readonly continuity: StreamContinuity;
  private readonly limits: EndpointLimits;
  private readonly pauses: EndpointPauses;
  private readonly leaving: LeavingEndpoints;
  private readonly peerConnections: EndpointConnectionPool;
  private readonly peers: PeerChoice;
  private readonly reach: EndpointReach;
  private callerListener: CallerListener | undefined;
  /** Takes the requests that other nodes relay. */
  private relayListener: CallerListener | undefined;
  private readinessListener: ReadinessListener | undefined;
  private readonly clientLimitReports: ClientLimitReports;
  private readonly connectionLimits: ConnectionLimits;
  /** Shared by callers and relayed requests. */
  private readonly turns = RequestTurns.create(setImmediate);
  private readonly openRequests = new Set<ProxiedRequest>();
  private openExchangeCount = 0;
  private nodeCount = 1;
  private isStopping = false;
  private isAcceptingRequests = true;
  private readonly stopWindow: StopWindow;

  private constructor(private readonly options: GatewayOptions) {
    const {platform, clock, random} = options;
    this.kernel = Kernel.create({settings: options.settings});
    const {kernel} = this;
    kernel.provide(CLOCK, clock);
    kernel.provide(RANDOM, random);
    const settings = readGatewaySettings(kernel, options.writeLog);
    kernel.use(createEventLoopPlugin({clock, readProcessorTime}));
    kernel.addEvents(GATEWAY_EVENTS);
    kernel.addEvents(PLACEMENT_EVENTS);
    kernel.addEvents(ADAPTER_EVENTS);
    this.clock = clock;
    this.emit = countStoreReturns(
      kernel.inject(METRICS),
      () => this.store.era,
      kernel.inject(EMIT_EVENT),
    );
    this.listen = settings.listen;
    this.clientLimitReports = ClientLimitReports.create(
      kernel.inject(METRICS),
      clock,
      this.emit,
    );
    const reportMetricsClients = kernel.inject(REPORT_METRICS_CLIENTS);
    reportMetricsClients(this.clientLimitReports.of('metrics'));
    this.connectionLimits = connectionLimits(
      settings.listen,
      settings.capacity.memory_megabytes,
    );
    this.rules = settings.rules;
    const {address} = settings.store;
    const {capacity} = settings;
    const {emit} = this;
    const memoryBytes = capacity.memory_megabytes * BYTES_PER_MEGABYTE;
    const createOwnAgent = (share: number): HttpAgent =>
      createAgent({
        memoryBytes: memoryBytes * share,
        onResponseDropped: ({origin, reason, isRepeated}) => {
          metrics.onResponseDropped(reason);
          if (!isRepeated) emit(RESPONSE_DROPPED, {origin, reason});
        },
      });
    this.store = platform.openStore({
      address,
      agent: createOwnAgent(STORE_RESPONSES_SHARE),
      clock,
      onUnreadable: (kind, name) => emit(ENTRY_UNREADABLE, {kind, name}),
      eraObserver: {
        onEra: (era, before) => {
          emit(STORE_ERA_CHANGED, {era, before});
          this.continuity.recordEra(era);
          if (before !== UNKNOWN_ERA) this.placement.onStoreReturn();
        },
        onUnusableEra: (text, known) =>
          emit(STORE_ERA_UNUSABLE, {
            text: text?.slice(0, MAXIMUM_LOGGED_CHARACTERS),
            known,
          }),
      },
    });
    this.routes = ActiveRoutes.create(emit);
    this.pacer = SocketPacer.create(
      ReceiveScheduler.create({
        clock,
        onNextTurn: setImmediate,
        processorShare: capacity.processor_share,
      }),
      (address, reason) => {
        if (reason === 'bytes') {
          this.clientLimitReports.record('all', 'read_rate', address);
          return;
        }
        metrics.onPaced();
        emit(CONNECTION_PACED, {address});
      },
    );
    this.budget = BufferBudget.create({
      limitBytes: memoryBytes * BUFFERS_SHARE,
      onDenied: () => metrics.onMemoryDenied(),
      onChange: (isUsedUp, use) =>
        emit(isUsedUp ? BUFFERS_FULL : BUFFERS_FREE, {...use}),
    });
    this.connections = EndpointConnectionPool.create({
      clock,
      protocol: platform.protocol,
      pacer: this.pacer,
      idleLimit: createIdleLimit(this.table, this.routes, () => this.nodeCount),
    });
    this.peerConnections = EndpointConnectionPool.create({
      clock,
      protocol: platform.protocol,
      pacer: this.pacer,
      idleLimit: () => MAXIMUM_IDLE_CONNECTIONS,
    });
    const ageLimits = viewAgeLimits(
      Math.min(
        this.rules.drain_milliseconds,
        this.rules.configuration_milliseconds,
      ),
    );
    this.platformView = PlatformView.create({
      ageLimits,
      endpointHeartbeatMilliseconds: this.rules.endpoint_heartbeat_milliseconds,
      platform,
      store: this.store,
      routes: this.routes,
      table: this.table,
      clock,
      random,
      emit,
      onEndpointChanges: changes => this.applyEndpointChanges(changes),
      isFeedSource: () => this.placement.isFeedSource,
      nodeCount: () => this.nodeCount,
      onRead: read => this.placement.recordRead(read),
    });
    const inFlightCounts = InFlightCounts.create(() =>
      this.placement.onInFlightChange(),
    );
    const clusterLoad = ClusterLoad.create({clock, inFlightCounts});
    const outliers = OutlierDetector.create();
    const eventGaps = EventGapCounts.create();
    const retryBudgets = RetryBudgets.create({
      limits: {
        share: this.rules.repeat_share,
        allowance: this.rules.repeat_allowance,
        windowMilliseconds: this.rules.repeat_window_seconds * 1_000,
      },
      clock,
      emit,
    });
    this.stopWindow = StopWindow.create({clock});
    this.limits = EndpointLimits.create({clock, emit});
    this.pauses = EndpointPauses.create({clock, emit});
    this.leaving = LeavingEndpoints.create({
      table: this.table,
      clock,
      emit,
      onChanges: changes => this.applyEndpointChanges(changes),
    });
    const metrics = createRequestMetrics(
      kernel.inject(METRICS),
      this.limits,
      this.budget,
    );
    this.onRefused = metrics.onRefused;
    const teamQuotas = TeamQuotas.create({
      rules: {
        windowMilliseconds: this.rules.quota_window_seconds * 1_000,
        overage: this.rules.quota_overage,
        tolerance: this.rules.quota_tolerance,
      },
      clock,
      random,
      emit,
      ...createTeamQuotaMetrics(
        kernel.inject(METRICS),
        () => teamQuotas.meteredTeams,
      ),
    });
    const quarantine = CrashQuarantine.create({
      clock,
      emit,
      ...metrics,
      onEndpointCrash: crash => this.recordEndpointCrash(crash),
    });
    const probe = (address: string): Promise<ProbeResult> =>
      probeEndpoint(address, clock);
    const refusalWitness = RefusalWitness.create({
      table: this.table,
      probe,
      askPeer: endpoint => this.placement.askWitness(endpoint),
      random,
      emit,
    });
    this.crashDetector = CrashDetector.create({
      table: this.table,
      clock,
      probe,
      hasEnded: endpoint => refusalWitness.hasEnded(endpoint),
      onCrash: quarantine.recordCrash,
    });
    this.continuity = StreamContinuity.create({
      stored: StoredOrigins.create({
        store: this.store,
        clock,
        readClocks: options.readClocks,
        emit,
        nodeCount: () => this.nodeCount,
      }),
      clock,
      emit,
      listCurrentSince: () => this.platformView.endpointListCurrentSince,
      refreshList: deadline => this.platformView.refreshEndpoints(deadline),
    });
    const identity = kernel.inject(NODE_IDENTITY);
    const {failureDomain} = identity;
    this.peers = PeerChoice.create({clock, random, failureDomain});
    this.reach = EndpointReach.create({
      table: this.table,
      clock,
      random,
      emit,
      probe: ({address, service}) =>
        probeResponse(address, this.probePathOf(service), clock),
      askPeer: service => this.placement.askServiceWitness(service),
      onChange: () => this.placement.offerRelay(),
    });
    this.placement = NodePlacement.create({
      identity,
      listen: this.listen.peers,
      peerLimits: this.connectionLimits,
      peerMemoryBytes: memoryBytes * PEER_MESSAGES_SHARE,
      onPeerLimited: this.clientLimitReports.of('peers'),
      leaseRules: {
        leaseMilliseconds: this.rules.lease_milliseconds,
        isFencingEnforced: this.rules.engines_check_fencing,
      },
      electionDelayMilliseconds: electionDelayMilliseconds({
        processorShare: capacity.processor_share,
        linkMegabits: capacity.link_megabits,
      }),
      loadWindowMilliseconds: this.rules.load_window_seconds * 1_000,
      store: this.store,
      orders: platform.openOrders({
        agent: createOwnAgent(ENGINE_RESPONSES_SHARE),
        clock,
      }),
      table: this.table,
      routes: this.routes,
      choice: {
        table: this.table,
        inFlightCounts,
        clusterLoad,
        outliers,
        clock,
        random,
        failureDomain,
      },
      eventGaps,
      teamQuotas,
      quarantine,
      continuity: this.continuity,
      limits: this.limits,
      pauses: this.pauses,
      leaving: this.leaving,
      onLimited: metrics.onLimited,
      onCapacityWait: metrics.onCapacityWait,
      onPermitUsed: metrics.onPermitUsed,
      reachesStore: () => this.platformView.reachesStore,
      testify: endpoint => refusalWitness.testify(endpoint),
      testifyService: service => this.reach.testify(service),
      relayOffer: () => this.relayOffer(identity),
      onRelayPeers: peers => this.peers.setPeers(peers),
      readClocks: options.readClocks,
      clock,
      random,
      emit,
      onNodeCount: nodeCount => {
        this.nodeCount = nodeCount;
        retryBudgets.setNodeCount(nodeCount);
      },
      pulseMilliseconds: ageLimits.pulse,
      onFeed: (updates, writtenAfter) =>
        this.platformView.applyFeed(updates, writtenAfter),
      onFeedEnd: () => this.platformView.endFeed(),
    });
    this.requestDependencies = {
      protocol: platform.protocol,
      connections: this.connections,
      peerConnections: this.peerConnections,
      peers: this.peers,
      reach: this.reach,
      findEndpoint: id => this.table.get(id),
      view: this.platformView,
      isListed: endpoint => isListed(this.table, endpoint),
      inFlightCounts,
      eventGaps,
      teamQuotas,
      clusterLoad,
      limits: this.limits,
      pauses: this.pauses,
      leaving: this.leaving,
      outliers,
      retryBudgets,
      quarantine,
      crashDetector: this.crashDetector,
      continuity: this.continuity,
      reportMissingModel: (endpoint, model) =>
        this.placement.reportMissingModel(endpoint, model),
      find: this.placement.find,
      hasAlternative: this.placement.hasAlternative,
      clock,
      emit,
      ...metrics,
      hasTimeFor: route => this.stopWindow.hasTimeFor(route),
      onRequestEnd: (route, result, milliseconds) => {
        metrics.onRequestEnd(route, result, milliseconds);
        if (result === SERVED)
          this.stopWindow.recordServed(route.name, milliseconds);
      },
    };
    const explainer = WhereExplainer.create({
      ...this.requestDependencies,
      node: identity.id,
      decideRoute: (request, isDecidable) =>
        this.decideRouteOf(request, isDecidable),
      teams: () => this.routes.current?.teams,
      placement: this.placement,
      table: this.table,
    });
    kernel.inject(ADD_METRICS_PATH)('/where', query =>
      answerWhere(explainer, query, failure =>
        this.logUnexpectedFailure('where', failure),
      ),
    );
    this.routes.onChange(({configuration}) => {
      const {idleTimeoutMilliseconds, headerTimeoutMilliseconds} =
        configuration.limits;
      this.callerListener?.setIdleTimeout(idleTimeoutMilliseconds);
      this.callerListener?.setHeadTimeout(headerTimeoutMilliseconds);
    });
  }

  /** Creates a gateway; throws `SettingsError` if the settings are invalid. */
  static create(options: GatewayOptions): GatewayNode {
    return new GatewayNode(options);
  }

  /** Opens the listeners and starts to watch the store. */
  async start(): Promise<void> {
    const {clock} = this;
    await this.kernel.start();
    this.readinessListener = await listenForReadiness({
      ...parseSocketAddress(this.listen.readiness),
      isReady: () => !this.isStopping && this.platformView.isLoaded,
      onLimited: this.clientLimitReports.of('readiness'),
    });
    this.callerListener = await CallerListener.create({
      ...parseSocketAddress(this.listen.callers),
      clock,
      handle: exchange => this.handle(exchange),
      readRelayed: () => undefined,
      pacer: this.pacer,
      budget: this.budget,
      turns: this.turns,
      limits: this.connectionLimits,
      onLimited: this.clientLimitReports.of('callers'),
      heads: callerHeadRules({
        clock,
        limits: () => this.routes.current?.configuration.limits,
        areLimitsCurrent: () => this.platformView.areRoutesCurrent,
      }),
    });
    const relays = relayAddress(this.listen);
    this.relayListener = await CallerListener.create({
      host: relays.address,
      port: relays.port,
      clock,
      handle: exchange => this.handleRelayed(exchange),
      readRelayed: decodeProgress,
      pacer: this.pacer,
      budget: this.budget,
      turns: this.turns,
      limits: this.connectionLimits,
      onLimited: this.clientLimitReports.of('relays'),
    });
    this.relayListener.setIdleTimeout(RELAY_IDLE_MILLISECONDS);
    await this.placement.start();
    this.runTask('platform view', this.platformView.run());
    this.runTask('placement', this.placement.run());
    createPeriodicJob(clock, IDLE_SWEEP_INTERVAL_MILLISECONDS, () =>
      this.closeExpiredConnections(),
    ).start();
    createPeriodicJob(clock, EXAMINATION_INTERVAL_MILLISECONDS, () =>
      this.reach.examineSends(),
    ).start();
    createPeriodicJob(clock, EXPIRY_CHECK_MILLISECONDS, () =>
      this.applyEndpointChanges(
        this.table.expire(clock.now(), this.platformView.endpointsKnownUntil),
      ),
    ).start();
    this.emit(GATEWAY_STARTED, {
      ...this.listen,
      peers: undefined,
      relays: undefined,
      connections: undefined,
      connections_per_address: undefined,
      codeCache: this.options.codeCache,
    });
  }

  /** Fails readiness probes, then refuses new requests, drains open ones and stops. */
  async stop(): Promise<void> {
    const {clock, emit} = this;
    const drainDeadline = after(
      clock.now(),
      this.rules.stop_seconds * 1_000 - EXIT_MARGIN_MILLISECONDS,
    );
    this.isStopping = true;
    this.stopWindow.close(drainDeadline);
    emit(GATEWAY_STOPPING, {open: this.openExchangeCount});
    this.placement.stop();
    await sleepUntil(
      clock,
      earlier(
        after(clock.now(), DEREGISTRATION_DELAY_MILLISECONDS),
        drainDeadline,
      ),
    );
    this.isAcceptingRequests = false;
    this.callerListener?.closeIdle();
    this.relayListener?.closeIdle();
    while (this.openExchangeCount > 0 && clock.now() < drainDeadline) {
      await sleepFor(clock, DRAIN_CHECK_MILLISECONDS);
    }
    const open = this.openExchangeCount;
    for (const request of this.openRequests) request.abandon();
    await sleepFor(clock, ABANDON_MILLISECONDS);
    this.platformView.stop();
    emit(GATEWAY_STOPPED, {open});
  }

  private async handle(exchange: CallerExchange): Promise<void> {
    this.openExchangeCount += 1;
    try {
      if (this.isStopping) exchange.disableKeepAlive();
      await this.route(exchange);
    } catch (failure) {
      this.logUnexpectedFailure('request', failure);
      this.endAfterError(exchange);
    } finally {
      this.openExchangeCount -= 1;
    }
  }

  /** Answers a request whose handling has failed, unless its response has begun. */
  private endAfterError(exchange: CallerExchange): void {
    if (exchange.isOver) return;
    if (exchange.hasSentHead) {
      exchange.cut();
      return;
    }
    const refusal = createUnknownOutcomeRefusal('an unexpected error');
    const {status, headers, body} = refusalResponse(
      refusal,
      as<RequestId>(''),
      this.clock.now(),
    );
    try {
      exchange.startResponse(status, headers, statementOfRefusal(refusal));
      exchange.end(body);
    } catch (failure) {
      // An error that left here would be answered by the framework, with a success.
      this.logUnexpectedFailure('refusal', failure);
      exchange.cut();
    }
  }

  private async handleRelayed(exchange: CallerExchange): Promise<void> {
    if (exchange.relayed !== undefined) return this.handle(exchange);
    // Only nodes connect here, so that this one is of an unknown version.
    this.logUnexpectedFailure('relay', 'unreadable relay header');
    exchange.cut();
  }

  /** The endpoints of a removed service are asked at the root, where they respond as well. */
  private probePathOf(service: ServiceName): string {
    const {services} = this.routes.current?.configuration ?? {};
    return services?.get(service)?.probePath ?? '/';
  }

  private relayOffer({id, failureDomain}: NodeIdentity): RelayPeer {
    const {address, port} = relayAddress(this.listen);
    return {
      node: id,
      address: `${address}:${port}`,
      failureDomain,
      cutFrom: this.reach.cutServices,
    };
  }

  private closeExpiredConnections(): void {
    this.connections.closeExpired();
    this.peerConnections.closeExpired();
    this.callerListener?.closeUnread();
    this.relayListener?.closeUnread();
    this.readinessListener?.bounds.closeUnread();
  }

  private async route(exchange: CallerExchange): Promise<void> {
    let decision = this.decideRoute(exchange, this.platformView.isDecidable);
    if (decision.kind === 'undecided') {
      if (!(await this.holdForView(exchange))) return;
      // Should the view have become too old again, the request is held before it is sent.
      decision = this.decideRoute(exchange, true);
    }
    if (decision.kind !== 'found') {
      const code =
        decision.kind === 'refused'
          ? decision.code
          : ErrorCode.ConfigurationUnavailable;
      this.refuse(exchange, code);
      return;
    }
    const {route, configuration, caller} = decision;
    const request = ProxiedRequest.create(
      this.requestDependencies,
      exchange,
      configuration,
      route,
      caller,
    );
    this.openRequests.add(request);
    try {
      await request.run();
    } finally {
      this.openRequests.delete(request);
    }
  }

  private decideRoute(
    exchange: CallerExchange,
    isDecidable: boolean,
  ): RouteDecision {
    const {host, target, relayed} = exchange;
    const {protocol} = this.options.platform;
    return this.decideRouteOf(
      {
        host,
        target,
        relayedTeam: relayed?.team,
        readApiKey: () => protocol.readApiKey(exchange.headers),
      },
      isDecidable,
    );
  }

  private decideRouteOf(
    request: RequestTarget,
    isDecidable: boolean,
  ): RouteDecision {
    const {routes, platformView} = this;
    if (!this.isAcceptingRequests && routes.current !== undefined)
      return {kind: 'refused', code: ErrorCode.ShuttingDown};
    const {areRoutesCurrent: isCurrent} = platformView;
    return decideRoute(
      {routes: routes.current, isCurrent, isDecidable},
      request,
    );
  }

  /** Holds a request that might be routed by outdated routes; false if it has ended. */
  private async holdForView(exchange: CallerExchange): Promise<boolean> {
    const {clock, platform} = this.options;
    const {id, timeoutMilliseconds} = platform.protocol.readRequest(
      exchange.headers,
    );
    const left = new AbortController();
    exchange.onDisconnect(() => left.abort());
    const deadline = after(
      exchange.receivedAt,
      timeoutMilliseconds ?? MAXIMUM_HOLD_MILLISECONDS,
    );
    try {
      await waitForView(
        this.platformView,
        {id, deadline, signal: left.signal},
        clock,
        this.emit,
      );
    } catch (failure) {
      if (!(failure instanceof RefusalError)) throw failure;
      this.refuse(exchange, failure.code);
      return false;
    }
    if (left.signal.aborted) this.logUnroutedEnd(exchange, id, CALLER_GONE);
    return !left.signal.aborted;
  }

  private refuse(exchange: CallerExchange, code: ErrorCode): void {
    const now = this.clock.now();
    const {id} = this.options.platform.protocol.readRequest(exchange.headers);
    const refusal = createRouteRefusal(code, now);
    const response = refusalResponse(refusal, id, now);
    const statement = statementOfRefusal(refusal);
    exchange.startResponse(response.status, response.headers, statement);
    exchange.end(response.body);
    this.onRefused(code);
    this.logUnroutedEnd(exchange, id, code);
  }

  /** Logs the end of a request for which no route was found. */
  private logUnroutedEnd(
    {relayed, receivedAt}: CallerExchange,
    id: RequestId,
    result: string,
  ): void {
    const {platformView, clock} = this;
    const {age, routesVersion} = platformView;
    this.emit(REQUEST_ENDED, {
      id: id.slice(0, MAXIMUM_LOGGED_CHARACTERS),
      version: routesVersion,
      result,
      isRelayed: relayed !== undefined || undefined,
      sends: relayed?.sends ?? 0,
      runs: relayed?.runs ?? 0,
      endpointsAge: age.endpoints,
      routesAge: age.routes,
      milliseconds: Math.round(until(receivedAt, clock.now())),
    });
  }

  private applyEndpointChanges(changes: readonly EndpointTableChange[]): void {
    for (const {id, now} of changes) {
      if (now === undefined) this.connections.closeIdle(id);
    }
    this.continuity.applyEndpointChanges(changes);
    this.crashDetector.applyEndpointChanges(changes);
    this.limits.applyEndpointChanges(changes);
    this.pauses.applyEndpointChanges(changes);
    this.placement.applyEndpointChanges(changes);
  }

  /** Doesn't wait for the platform's list, which shows a crash seconds later. */
  private recordEndpointCrash(crash: CrashId): void {
    const {table, clock} = this;
    const endpoint = table.recordCrash(incarnationOf(crash), clock.now());
    if (endpoint === undefined) return;
    const {id, service, incarnation} = endpoint;
    this.emit(ENDPOINT_CRASHED, {endpoint: id, service, life: incarnation});
    this.connections.closeIdle(id);
    this.placement.applyEndpointChanges([
      {id, before: endpoint, now: undefined},
    ]);
  }

  private runTask(task: string, work: Promise<void>): void {
    work.catch((failure: unknown) => this.logUnexpectedFailure(task, failure));
  }

  /**
   * Logs an error that a task did not handle. The process keeps running, since exiting would
   * fail its other requests.
   */
  logUnexpectedFailure(task: string, failure: unknown): void {
    const text =
      failure instanceof Error
        ? (failure.stack ?? failure.message)
        : String(failure);
    this.emit(TASK_FAILED, {task, failure: text});
  }
}
