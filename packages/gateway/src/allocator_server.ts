/** Runs the allocators of all engine services on the lease holder, and serves the other nodes. */

import type {
  PermitDecision,
  PermitRequest,
  QuotaDecision,
} from '@siskinmux/admission';
import {SharedRates} from '@siskinmux/admission';
import type {
  EndpointDescription,
  EndpointTableChange,
  Incarnation,
} from '@siskinmux/endpoints';
import type {
  CancelTimer,
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
  NodeId,
  Random,
  ServiceName,
} from '@siskinmux/kernel';
import {after, as, randomBelow, until} from '@siskinmux/kernel';
import type {ProbeResult} from '@siskinmux/forwarding';
import type {
  AdapterGrant,
  AdapterRequest,
  AvailableModels,
  EngineOrderClient,
  NodeUsage,
  OrderAuthority,
} from '@siskinmux/placement';
import {Allocator, LoadLimiter} from '@siskinmux/placement';
import type {RouteConfiguration} from '@siskinmux/routes';
import type {CrashQuarantine, Suspect, Trait} from '@siskinmux/containment';
import type {StreamOrigin} from '@siskinmux/continuity';
import {decodeOrigins, originsSchema} from '@siskinmux/continuity';
import type {AllocatorApi, AllocatorListener} from './allocator_api.js';
import type {KindRead} from './change_feed.js';
import {ChangeFeed, encodeFeedUpdate} from './change_feed.js';
import type {EndpointLoad, EngineSlowness} from './cluster_load.js';
import type {EndpointLimit, EndpointLimits} from './endpoint_limits.js';
import {Follower} from './follower.js';
import type {LeavingEndpoints, LeavingStatement} from './leaving_endpoints.js';
import {
  LEAVING_REPORT_MILLISECONDS,
  decodeLeaving,
  encodeLeaving,
  leavingSchema,
} from './leaving_endpoints.js';
import {
  decodeLimit,
  decodePermitRequest,
  encodeLimit,
  encodePermitDecision,
  limitsSchema,
  permitRequestSchema,
} from './limit_messages.js';
import type {PeerConnection} from './peer_connection.js';
import type {HeartbeatMessage} from './placement_messages.js';
import {ReportBatch} from './report_batch.js';
import {
  PEER_METHODS,
  adapterRequestSchema,
  decodeAdapterRequest,
  decodeHello,
  decodeUsage,
  encodeAvailableModels,
  encodeGrant,
  helloSchema,
  missingModelSchema,
  pulseSchema,
  usageSchema,
} from './placement_messages.js';
import {
  decodeSuspects,
  encodeSuspects,
  suspectsSchema,
} from '@siskinmux/containment';
import type {RelayPeer} from '@siskinmux/relay';
import {
  PeerRegistry,
  areSamePeers,
  decodeOffer,
  encodePeers,
  relayOfferSchema,
} from '@siskinmux/relay';
import {handleProbation} from './probation_messages.js';
import type {TeamQuotaHolder} from './team_quota_holder.js';
import type {
  TeamPermitRequest,
  TeamUsageMessage,
} from './team_quota_messages.js';
import {
  askServiceWitness,
  askWitness,
  handleServiceWitness,
  handleWitness,
} from './witness_messages.js';

/** Interval between heartbeats to the followers, whose timeout covers three of them. */
export const HEARTBEAT_MILLISECONDS: Milliseconds = 300;

/**
 * Batching delay for each connected node, after which changes of the available models are
 * sent to nodes that don't wait for them; 0.2 s with 90 nodes. With up to
 * {@link SMALL_CLUSTER_NODES} nodes, changes are sent at once.
 */
const BATCH_MILLISECONDS_PER_NODE: Milliseconds = 2;

/** Up to this many nodes, every change is sent to all nodes at once. */
const SMALL_CLUSTER_NODES = 16;

/** Time in which a node that has closed its connection may be back; its requests go on meanwhile. */
const RETURN_MILLISECONDS: Milliseconds = 1_000;

/** Interval between updates of the nodes' peers in a large cluster. */
const PEER_UPDATE_MILLISECONDS: Milliseconds = 300;

/** Heartbeats from one report of the pace of engines to the next. */
const HEARTBEATS_PER_PACE_REPORT = 10;

/** Dependencies of {@link AllocatorServer}. */
export interface AllocatorServerOptions {
  readonly orders: EngineOrderClient;
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /** Called with each usage report of this node. */
  readonly onUsageReport?: (service: ServiceName, usage: NodeUsage) => void;
  /** Undefined while this node may not send orders. */
  readonly authority: () => OrderAuthority | undefined;
  /** Called when an engine has seen a later term. */
  readonly onFenced: () => void;
  /** Window in which model loads from the weight store count towards their rate limit. */
  readonly loadWindowMilliseconds: Milliseconds;
  /** Limit on concurrent loads from the weight store that the previous holder had reached. */
  readonly initialConcurrencyLimit: number | undefined;
  /** Loads from the weight store that the previous holder started last. */
  readonly earlierLoadStarts: readonly Instant[];
  readonly self: NodeId;
  /** This node's records of requests that crashed endpoints. */
  readonly quarantine: CrashQuarantine;
  /** Limits that endpoints have named, as far as this node knows. */
  readonly limits: EndpointLimits;
  /** What endpoints have said about their end, as far as this node knows. */
  readonly leaving: LeavingEndpoints;
  /** Called with the origins of streams that any node reports. */
  readonly onOrigins: (origins: readonly StreamOrigin[]) => void;
  /** Part of each limit that this node may give out as permits. */
  readonly limitShare: () => number;
  /** Decides on the quotas of teams; undefined if this node knows none. */
  readonly teamQuotas?: TeamQuotaHolder | undefined;
  /** Receives the allocators' notifications for this node itself. */
  readonly listener: AllocatorListener;
  readonly endpoints: () => Iterable<EndpointDescription>;
  /** Whether this node reaches the metadata store. */
  readonly reachesStore: () => boolean;
  /** Called with the nodes that this one may relay requests to. */
  readonly onRelayPeers: (peers: readonly RelayPeer[]) => void;
  /** What this node sees of an endpoint. */
  readonly testify: (endpoint: EndpointId) => Promise<ProbeResult>;
  /** Whether endpoints of a service respond to this node. */
  readonly testifyService: (service: ServiceName) => Promise<boolean>;
  readonly random: Random;
}

/** Allocates for all nodes while this node holds the lease. */
export class AllocatorServer implements AllocatorApi {
  private readonly allocators = new Map<ServiceName, Allocator>();
  private readonly followers = new Map<NodeId, Follower>();
  private readonly loadLimiter: LoadLimiter;
  private readonly feed: ChangeFeed;
  private readonly rates: SharedRates<Incarnation>;
  private readonly leavingReports: ReportBatch<LeavingStatement>;
  private readonly relayPeers = PeerRegistry.create();
  /** The peers that each node was told last. */
  private readonly toldPeers = new Map<NodeId, readonly RelayPeer[]>();
  private cancelPeerUpdate: CancelTimer | undefined;
  private heartbeatCount = 0;
  /** Engines whose available models changed since the last broadcast. */
  private readonly unsentChanges = new Map<
    ServiceName,
    Map<EndpointId, AvailableModels>
  >();

  private constructor(private readonly options: AllocatorServerOptions) {
    this.loadLimiter = LoadLimiter.create(
      options.loadWindowMilliseconds,
      options.initialConcurrencyLimit,
      options.earlierLoadStarts,
    );
    this.feed = ChangeFeed.create(options);
    this.rates = SharedRates.create({
      clock: options.clock,
      share: options.limitShare,
    });
    this.leavingReports = ReportBatch.create({
      clock: options.clock,
      intervalMilliseconds: LEAVING_REPORT_MILLISECONDS,
      send: statements => {
        const message = encodeLeaving(statements, options.clock.now());
        this.broadcast(PEER_METHODS.newLeaving, message);
      },
    });
    this.applyLimits(options.limits.all);
  }

  static create(options: AllocatorServerOptions): AllocatorServer {
    return new AllocatorServer(options);
  }

  /** Number of connected nodes, this one included. */
  get nodeCount(): number {
    return this.followers.size + 1;
  }

  /** Whether any follower reports that it reaches the metadata store. */
  get hasFollowerReachingStore(): boolean {
    return [...this.followers.values()].some(({reachesStore}) => reachesStore);
  }

  /** Applies the engine declarations of a new configuration. */
  applyConfiguration({services, routes}: RouteConfiguration): void {
    for (const {name, engine} of services.values()) {
      if (engine === undefined) continue;
      const allocator = this.allocators.get(name) ?? this.createAllocator(name);
      allocator.updateDeclaration(engine, gapObjectiveOf(name, routes));
    }
  }

  /** Applies changes of the endpoint table. */
  applyEndpointChanges(changes: readonly EndpointTableChange[]): void {
    for (const {id, before, now} of changes) {
      if (now !== undefined) {
        this.allocators.get(now.service)?.updateEngine(now);
        const limit = this.options.limits.get(now.incarnation);
        if (limit !== undefined) this.applyLimits([limit]);
      } else if (before !== undefined) {
        this.allocators.get(before.service)?.removeEngine(id);
      }
      if (before !== undefined && before.incarnation !== now?.incarnation)
        this.rates.setLimit(before.incarnation, undefined);
    }
  }

  /** Registers the handlers for a connection that another node opened. */
  accept(connection: PeerConnection): void {
    const {clock} = this.options;
    let node: NodeId | undefined;
    connection.handle(PEER_METHODS.hello, helloSchema, message => {
      node = decodeHello(message);
      this.followers.set(node, Follower.create(connection, clock.now()));
      this.toldPeers.delete(node);
      // A follower has the suspects before it sends requests to engines.
      this.sendState(connection);
      return {node: this.options.self, isHolder: true};
    });
    connection.handle(PEER_METHODS.usage, usageSchema, message => {
      const follower = node && this.followers.get(node);
      if (!node || !follower) return;
      const now = clock.now();
      const service = as<ServiceName>(message.service);
      const usage = decodeUsage(message, now);
      follower.recordUsage(service, usage, message.reachesStore, now);
      this.allocators.get(service)?.recordUsage(node, usage);
    });
    connection.handle(
      PEER_METHODS.adapter,
      adapterRequestSchema,
      async message => {
        const grant = await this.requestAdapter(
          as<ServiceName>(message.service),
          decodeAdapterRequest(message),
        );
        return encodeGrant(grant, clock.now());
      },
    );
    connection.handle(
      PEER_METHODS.missingModel,
      missingModelSchema,
      ({service, engine, model}) =>
        this.reportMissingModel(
          as<ServiceName>(service),
          as<EndpointId>(engine),
          as<ModelName>(model),
        ),
    );
    connection.handle(PEER_METHODS.suspects, suspectsSchema, message =>
      this.mergeSuspects(decodeSuspects(message, clock.now())),
    );
    handleProbation(connection, this, clock);
    connection.handle(PEER_METHODS.limits, limitsSchema, ({limits}) => {
      const now = clock.now();
      this.mergeLimits(limits.map(limit => decodeLimit(limit, now)));
    });
    connection.handle(PEER_METHODS.leaving, leavingSchema, message => {
      const {leaving} = this.options;
      const added = leaving.merge(decodeLeaving(message, clock.now()));
      this.reportLeaving(added);
    });
    connection.handle(
      PEER_METHODS.permit,
      permitRequestSchema,
      async message => {
        const now = clock.now();
        const decision = await this.requestPermit(
          decodeLimit(message.limit, now),
          decodePermitRequest(message, now),
        );
        return encodePermitDecision(decision, clock.now());
      },
    );
    this.options.teamQuotas?.accept(connection, () => node);
    connection.handle(PEER_METHODS.pulse, pulseSchema, ({at}) => {
      const follower = node && this.followers.get(node);
      if (follower) follower.pulse = at;
    });
    handleWitness(connection, PEER_METHODS.witness, this.options.testify);
    handleServiceWitness(
      connection,
      PEER_METHODS.serviceWitness,
      async service =>
        (await this.options.testifyService(service)) ||
        (await this.askFollower(service, connection)),
    );
    connection.handle(PEER_METHODS.relayOffer, relayOfferSchema, message => {
      if (node !== undefined) this.offerRelay(decodeOffer(node, message));
    });
    connection.handle(PEER_METHODS.origins, originsSchema, message =>
      this.reportOrigins(decodeOrigins(message, clock.now())),
    );
    connection.onClosed(() => {
      if (node && this.followers.get(node)?.connection === connection)
        this.removeFollower(node, after(clock.now(), RETURN_MILLISECONDS));
    });
  }

  /** Sends all that a node which has just connected lacks. */
  private sendState(connection: PeerConnection): void {
    for (const [service, allocator] of this.allocators) {
      connection.notify(
        PEER_METHODS.availableModels,
        encodeAvailableModels(service, allocator.availableModels()),
      );
    }
    const {quarantine, limits, leaving, clock} = this.options;
    this.sendSuspects(quarantine.records, connection);
    this.sendLimits(limits.all, connection);
    if (leaving.all.length > 0)
      connection.notify(
        PEER_METHODS.newLeaving,
        encodeLeaving(leaving.all, clock.now()),
      );
  }

  reportUsage(service: ServiceName, usage: NodeUsage): void {
    const {self, onUsageReport} = this.options;
    this.allocators.get(service)?.recordUsage(self, usage);
    onUsageReport?.(service, usage);
  }

  reportMissingModel(
    service: ServiceName,
    engine: EndpointId,
    model: ModelName,
  ): void {
    this.allocators.get(service)?.reportMissingModel(engine, model);
  }

  async requestAdapter(
    service: ServiceName,
    request: AdapterRequest,
  ): Promise<AdapterGrant | undefined> {
    return this.allocators.get(service)?.requestAdapter(request);
  }

  /** Forwards this node's own records to all others. */
  reportSuspects(suspects: readonly Suspect[]): void {
    for (const {connection} of this.followers.values())
      this.sendSuspects(suspects, connection);
  }

  async requestProbation(traits: readonly Trait[]): Promise<boolean> {
    return this.options.quarantine.allowProbation(traits);
  }

  endProbation(traits: readonly Trait[]): void {
    this.options.quarantine.endProbation(traits);
  }

  /** Applies limits that this node has read, and forwards them to all others. */
  reportLimits(limits: readonly EndpointLimit[]): void {
    this.applyLimits(limits);
    for (const {connection} of this.followers.values())
      this.sendLimits(limits, connection);
  }

  /** Forwards statements to all other nodes. */
  reportLeaving(statements: readonly LeavingStatement[]): void {
    this.leavingReports.add(statements);
  }

  /** Records where a node takes relayed requests, and tells those that may use it. */
  offerRelay(offer: RelayPeer): void {
    this.relayPeers.record(offer);
    this.sendRelayPeers();
  }

  /** Asks a random follower. */
  async requestWitness(endpoint: EndpointId): Promise<ProbeResult> {
    const {random, clock} = this.options;
    const followers = [...this.followers.values()];
    const follower = followers[randomBelow(random, followers.length)];
    if (follower === undefined) return 'unknown';
    const {connection} = follower;
    return askWitness(connection, PEER_METHODS.testify, endpoint, clock);
  }

  requestServiceWitness(service: ServiceName): Promise<boolean> {
    return this.askFollower(service, undefined);
  }

  /** Asks a random follower, other than the one that asks. */
  private async askFollower(
    service: ServiceName,
    asking: PeerConnection | undefined,
  ): Promise<boolean> {
    const {random, clock} = this.options;
    const others = [...this.followers.values()].filter(
      ({connection}) => connection !== asking,
    );
    const follower = others[randomBelow(random, others.length)];
    if (follower === undefined) return false;
    const {connection} = follower;
    const method = PEER_METHODS.testifyService;
    return askServiceWitness(connection, method, service, clock);
  }

  reportOrigins(origins: readonly StreamOrigin[]): void {
    this.options.onOrigins(origins);
  }

  async requestPermit(
    limit: EndpointLimit,
    request: PermitRequest,
  ): Promise<PermitDecision> {
    this.mergeLimits([limit]);
    return this.rates.request(limit.incarnation, request);
  }

  reportTeamUsage(usage: TeamUsageMessage): void {
    this.options.teamQuotas?.recordUsage(this.options.self, usage);
  }

  async requestTeamPermit(request: TeamPermitRequest): Promise<QuotaDecision> {
    const {teamQuotas, self} = this.options;
    if (teamQuotas === undefined) return {kind: 'granted'};
    return teamQuotas.requestPermit(self, request);
  }

  previewTeamPermit(request: TeamPermitRequest): QuotaDecision | undefined {
    const {teamQuotas, self} = this.options;
    if (teamQuotas === undefined) return {kind: 'granted'};
    return teamQuotas.previewPermit(self, request);
  }

  /** Records what this node has read from the metadata store, to be sent with the next heartbeat. */
  recordRead(read: KindRead): void {
    this.feed.record(read);
  }

  /**
   * Removes followers that have timed out, and sends this node's heartbeat to the others.
   * Returns that message, since this node uses its contents as well.
   */
  sendHeartbeat(): HeartbeatMessage {
    const {clock, reachesStore, teamQuotas, self} = this.options;
    const now = clock.now();
    for (const [node, follower] of this.followers) {
      if (!follower.isExpired(now)) continue;
      this.removeFollower(node, now);
      follower.connection.close();
    }
    const heartbeat = {
      nodes: this.nodeCount,
      reachesStore: reachesStore(),
      loadsAtOnce: this.loadLimiter.concurrencyLimit,
      loadAges: this.loadLimiter.recentStarts.map(at => until(at, now)),
      feed: this.feed.takeUpdates(),
      loads: this.endpointLoads(),
      ...this.takePaceReport(),
    };
    const feed = heartbeat.feed.map(encodeFeedUpdate);
    teamQuotas?.beginHeartbeat();
    for (const [node, {connection, pulse}] of this.followers) {
      connection.notify(PEER_METHODS.allocatorHeartbeat, {
        ...heartbeat,
        feed,
        echo: pulse,
        teams: teamQuotas?.stateFor(node),
      });
    }
    return {...heartbeat, teams: teamQuotas?.stateFor(self)};
  }

  /** The slow engines with every tenth heartbeat, as they change slowly. */
  private takePaceReport(): {slow?: EngineSlowness[]} {
    this.heartbeatCount += 1;
    if (this.heartbeatCount % HEARTBEATS_PER_PACE_REPORT !== 0) return {};
    const slow = [...this.allocators.values()].flatMap(({slowEngines}) =>
      [...slowEngines].map(([engine, slowness]): EngineSlowness => [
        engine,
        Number(slowness.toFixed(2)),
      ]),
    );
    return {slow};
  }

  /** Requests in flight by engine; empty in a small cluster, where each node's own counts suffice. */
  private endpointLoads(): EndpointLoad[] {
    if (this.nodeCount <= SMALL_CLUSTER_NODES) return [];
    return [...this.allocators.values()].flatMap(({inFlightByEngine}) => [
      ...inFlightByEngine,
    ]);
  }

  /** Tells all nodes of changed peers, those of a large cluster in batches. */
  private sendRelayPeers(): void {
    const {clock} = this.options;
    if (this.cancelPeerUpdate !== undefined) return;
    const delay =
      this.nodeCount <= SMALL_CLUSTER_NODES ? 0 : PEER_UPDATE_MILLISECONDS;
    this.cancelPeerUpdate = clock.schedule(after(clock.now(), delay), () => {
      this.cancelPeerUpdate = undefined;
      this.tellRelayPeers();
    });
  }

  private tellRelayPeers(): void {
    const {self, onRelayPeers} = this.options;
    for (const node of [self, ...this.followers.keys()]) {
      const peers = this.relayPeers.peersOf(node);
      const told = this.toldPeers.get(node);
      if (told !== undefined && areSamePeers(told, peers)) continue;
      this.toldPeers.set(node, peers);
      if (node === self) onRelayPeers(peers);
      else
        this.followers
          .get(node)
          ?.connection.notify(PEER_METHODS.relayPeers, encodePeers(peers));
    }
  }

  /** Stops all allocators, and closes the connections after a notice of resignation. */
  stop(): void {
    for (const allocator of this.allocators.values()) allocator.stop();
    this.rates.stop();
    this.options.teamQuotas?.stop();
    this.leavingReports.stop();
    this.cancelPeerUpdate?.();
    for (const {connection} of this.followers.values()) {
      connection.notify(PEER_METHODS.resign, {});
      connection.close();
    }
    this.followers.clear();
  }

  private mergeSuspects(received: readonly Suspect[]): void {
    const added = this.options.quarantine.merge(received);
    if (added.length > 0) this.reportSuspects(added);
  }

  private mergeLimits(received: readonly EndpointLimit[]): void {
    const added = this.options.limits.merge(received);
    if (added.length > 0) this.reportLimits(added);
  }

  private applyLimits(limits: readonly EndpointLimit[]): void {
    for (const {incarnation, requestsPerSecond} of limits) {
      this.rates.setLimit(incarnation, requestsPerSecond);
      for (const allocator of this.allocators.values())
        allocator.updateRequestLimit(incarnation, requestsPerSecond);
    }
  }

  private sendLimits(
    limits: readonly EndpointLimit[],
    connection: PeerConnection,
  ): void {
    if (limits.length === 0) return;
    const now = this.options.clock.now();
    connection.notify(PEER_METHODS.newLimits, {
      limits: limits.map(limit => encodeLimit(limit, now)),
    });
  }

  private sendSuspects(
    suspects: readonly Suspect[],
    connection: PeerConnection,
  ): void {
    const {clock} = this.options;
    for (const message of encodeSuspects(suspects, clock.now()))
      connection.notify(PEER_METHODS.newSuspects, message);
  }

  private removeFollower(node: NodeId, demandEndsAt: Instant): void {
    this.followers.delete(node);
    this.relayPeers.remove(node);
    this.toldPeers.delete(node);
    this.sendRelayPeers();
    for (const allocator of this.allocators.values())
      allocator.removeNode(node, demandEndsAt);
  }

  private createAllocator(service: ServiceName): Allocator {
    const {listener, clock, endpoints} = this.options;
    const allocator = Allocator.create({
      ...this.options,
      service,
      loadLimiter: this.loadLimiter,
      hasUnusedPermits: incarnation => this.rates.hasUnused(incarnation),
      onAvailableModels: change => {
        listener.onAvailableModels(service, [change]);
        this.sendAvailableModels(service, change);
      },
      onForecasts: forecasts => {
        if (forecasts.length === 0) return;
        listener.onForecasts(service, forecasts);
        for (const follower of this.followers.values()) {
          follower.sendForecasts(service, forecasts, clock.now());
        }
      },
    });
    this.allocators.set(service, allocator);
    for (const endpoint of endpoints()) {
      if (endpoint.service === service) allocator.updateEngine(endpoint);
    }
    this.applyLimits(this.options.limits.all);
    return allocator;
  }

  /**
   * Sends a change at once to nodes whose requests wait for one of the models, and in the
   * next batch to all nodes. In a small cluster, sends it at once to all.
   */
  private sendAvailableModels(
    service: ServiceName,
    change: AvailableModels,
  ): void {
    const message = encodeAvailableModels(service, [change]);
    const isSmallCluster = this.nodeCount <= SMALL_CLUSTER_NODES;
    for (const follower of this.followers.values()) {
      if (isSmallCluster || follower.isWaitingFor(service, change.models)) {
        follower.connection.notify(PEER_METHODS.availableModels, message);
      }
    }
    if (!isSmallCluster) this.addToBatch(service, change);
  }

  private addToBatch(service: ServiceName, change: AvailableModels): void {
    const changes = this.unsentChanges.get(service) ?? new Map();
    changes.set(change.engine, change);
    this.unsentChanges.set(service, changes);
    if (changes.size > 1) return;
    const {clock} = this.options;
    const delay = this.nodeCount * BATCH_MILLISECONDS_PER_NODE;
    clock.schedule(after(clock.now(), delay), () => this.sendBatch(service));
  }

  private sendBatch(service: ServiceName): void {
    const changes = [...(this.unsentChanges.get(service)?.values() ?? [])];
    this.unsentChanges.delete(service);
    this.broadcast(
      PEER_METHODS.availableModels,
      encodeAvailableModels(service, changes),
    );
  }

  private broadcast(method: string, message: object): void {
    for (const {connection} of this.followers.values())
      connection.notify(method, message);
  }
}

/** The shortest objective for the gap between two events, over the stream routes to a service. */
function gapObjectiveOf(
  service: ServiceName,
  routes: RouteConfiguration['routes'],
): Milliseconds | undefined {
  const gaps = routes
    .filter(
      ({kind, targets}) =>
        kind === 'stream' && targets.some(target => target.service === service),
    )
    .map(({maximumEventGapMilliseconds}) => maximumEventGapMilliseconds);
  return gaps.length === 0 ? undefined : Math.min(...gaps);
}
