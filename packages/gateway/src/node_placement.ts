/** Connects this node to the lease holder's allocators, or runs them while it holds the lease. */

import type {Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import type {
  EndpointDescription,
  EndpointTable,
  EndpointTableChange,
} from '@siskinmux/endpoints';
import {meetsVersion} from '@siskinmux/endpoints';
import type {
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
  Random,
  ServiceName,
} from '@siskinmux/kernel';
import {SiskinmuxError, after, earlier} from '@siskinmux/kernel';
import type {
  ClockReading,
  HolderStatus,
  LeaseObservation,
  LeaseRules,
} from '@siskinmux/leases';
import type {HeldLease} from '@siskinmux/leases';
import {PeerUnreachableError} from '@siskinmux/membership';
import type {EngineOrderClient} from '@siskinmux/placement';
import type {MetadataStore} from '@siskinmux/ports';
import type {RelayPeer} from '@siskinmux/relay';
import type {EngineDeclaration} from '@siskinmux/routes';
import type {NodeIdentity} from '@siskinmux/runtime';
import {createPeriodicJob} from '@siskinmux/runtime';
import type {ActiveRoutes} from './active_routes.js';
import type {AllocatorApi} from './allocator_api.js';
import {AllocatorServer, HEARTBEAT_MILLISECONDS} from './allocator_server.js';
import type {CapacityOutcome} from './capacity_holds.js';
import type {FeedUpdate, KindRead} from './change_feed.js';
import type {CrashQuarantine} from '@siskinmux/containment';
import type {
  ConnectionLimits,
  OnClientLimited,
  ProbeResult,
} from '@siskinmux/forwarding';
import {BoundedConnections, RequestTurns} from '@siskinmux/forwarding';
import type {StreamContinuity} from '@siskinmux/continuity';
import {OriginWriter} from '@siskinmux/continuity';
import type {
  ChoiceDependencies,
  EndpointRequirements,
  FindEndpoint,
  HasAlternative,
} from './endpoint_choice.js';
import {
  createPlainEndpointFinder,
  hasFreeAlternative,
  previewPlainEndpoint,
} from './endpoint_choice.js';
import type {PlacementPreview} from './limited_choice_preview.js';
import type {EventGapCounts} from './event_gap_counts.js';
import type {EndpointLimits} from './endpoint_limits.js';
import type {EndpointPauses} from './endpoint_pauses.js';
import type {HolderConnection} from './leader_election.js';
import {LeaderElection} from './leader_election.js';
import type {LeavingEndpoints} from './leaving_endpoints.js';
import {LeaseStore} from './lease_store.js';
import {limitShareOf} from './limit_share.js';
import type {LimitOutcome} from './limited_choice.js';
import type {PeerConnectionOptions} from './peer_connection.js';
import {PeerConnection} from './peer_connection.js';
import {PeerMemory} from './peer_memory.js';
import {
  PlacementClient,
  USAGE_HEARTBEAT_MILLISECONDS,
} from './placement_client.js';
import type {HeartbeatMessage} from './placement_messages.js';
import {PEER_METHODS, helloSchema} from './placement_messages.js';
import {QuarantineArchive} from '@siskinmux/containment';
import {RemoteAllocator} from './remote_allocator.js';
import {SendPermits} from './send_permits.js';
import {TeamQuotaHolder} from './team_quota_holder.js';
import type {TeamQuotas} from './team_quotas.js';

/**
 * An allocator that sent nothing for this long at two exchanges of heartbeats in a row is considered
 * lost. At the first exchange after a pause of this process, it may not have had its turn yet.
 */
const HEARTBEAT_TIMEOUT_MILLISECONDS: Milliseconds = 700;

/** Dependencies of {@link NodePlacement}. */
export interface NodePlacementOptions {
  readonly identity: NodeIdentity;
  /** Address that other nodes connect to. */
  readonly listen: {readonly address: string; readonly port: number};
  /** Bounds on the connections of other nodes. */
  readonly peerLimits: ConnectionLimits;
  /** Memory of messages between nodes that have not arrived whole, or are not read. */
  readonly peerMemoryBytes: number;
  /** Called when a bound on a connection of another node has taken effect. */
  readonly onPeerLimited: OnClientLimited;
  readonly leaseRules: LeaseRules;
  /** Delay before this node competes for the lease; 0 for the most capable nodes. */
  readonly electionDelayMilliseconds: Milliseconds;
  readonly loadWindowMilliseconds: Milliseconds;
  readonly store: MetadataStore;
  readonly orders: EngineOrderClient;
  readonly table: EndpointTable;
  readonly routes: ActiveRoutes;
  readonly choice: ChoiceDependencies;
  readonly eventGaps: EventGapCounts;
  readonly quarantine: CrashQuarantine;
  readonly continuity: StreamContinuity;
  readonly limits: EndpointLimits;
  readonly pauses: EndpointPauses;
  readonly leaving: LeavingEndpoints;
  /** Called for each request that an endpoint's limit concerned. */
  readonly onLimited: (outcome: LimitOutcome) => void;
  /** Called for each permit that is used under an endpoint's limit. */
  readonly onPermitUsed: (endpoint: EndpointDescription) => void;
  /** This node's requests under the quotas of teams; undefined if there are none. */
  readonly teamQuotas?: TeamQuotas | undefined;
  /** Called for each request that engines had no room for. */
  readonly onCapacityWait?: ((outcome: CapacityOutcome) => void) | undefined;
  readonly reachesStore: () => boolean;
  /** Where this node takes relayed requests, and what it can't serve. */
  readonly relayOffer: () => RelayPeer;
  /** Called with the nodes that this one may relay requests to. */
  readonly onRelayPeers: (peers: readonly RelayPeer[]) => void;
  /** What this node sees of an endpoint, for other nodes. */
  readonly testify: (endpoint: EndpointId) => Promise<ProbeResult>;
  /** Whether endpoints of a service respond to this node, for other nodes. */
  readonly testifyService: (service: ServiceName) => Promise<boolean>;
  readonly readClocks: () => ClockReading;
  readonly clock: Clock;
  readonly random: Random;
  readonly emit: EmitEvent;
  /** Called with the number of nodes. */
  readonly onNodeCount: (nodeCount: number) => void;
  readonly pulseMilliseconds: Milliseconds;
  /**
   * Called with what the lease holder has read from the store, and with an instant before which
   * it was not written; undefined if none is known.
   */
  readonly onFeed: (
    updates: readonly FeedUpdate[],
    writtenAfter: Instant | undefined,
  ) => void;
  /** Called when the connection to the lease holder ends. */
  readonly onFeedEnd: () => void;
}

/** Finds endpoints for one node's requests, and takes part in the leader election. */
export class NodePlacement {
  private readonly client: PlacementClient;
  private readonly election: LeaderElection;
  private readonly peerServer: Server;
  private readonly connections = new Set<PeerConnection>();
  private readonly connectionsBySocket = new WeakMap<Socket, PeerConnection>();
  private readonly bounds: BoundedConnections;
  private readonly peerOptions: PeerConnectionOptions;
  private readonly findPlain: FindEndpoint;
  private readonly permits: SendPermits;
  private allocatorServer: AllocatorServer | undefined;
  /** Decides on the quotas of teams while this node holds the lease. */
  private teamQuotaHolder: TeamQuotaHolder | undefined;
  private holderConnection: PeerConnection | undefined;
  /** The connection to the holder, and its last data, if it was silent at the last exchange. */
  private silence:
    {readonly connection: PeerConnection; readonly since: Instant} | undefined;
  /** The allocator that this node uses; undefined while it has no lease holder. */
  private allocator: AllocatorApi | undefined;
  /** Limit on concurrent loads from the weight store in the last heartbeat of a lease holder. */
  private lastConcurrencyLimit: number | undefined;
  /** Loads from the weight store that this holder started last. */
  private lastLoadStarts: readonly Instant[] = [];

  private constructor(private readonly options: NodePlacementOptions) {
    const {choice, routes, listen, store, clock, identity} = options;
    this.permits = SendPermits.create(options);
    const limitDependencies = {...options, permits: this.permits};
    this.findPlain = createPlainEndpointFinder(choice, limitDependencies);
    this.client = PlacementClient.create({
      ...options,
      limitDependencies,
      inFlightCounts: choice.inFlightCounts,
      isDeclared: (service, model) =>
        this.engineDeclaration(service)?.models.has(model) ?? false,
      engineServices: () => this.engineServices(),
      hasTeams: () => routes.current?.configuration.teams !== undefined,
      onCapacityWait: options.onCapacityWait ?? (() => {}),
    });
    this.election = LeaderElection.create({
      ...options,
      leaseStore: LeaseStore.create({store, clock}),
      self: identity.id,
      address: `${listen.address}:${listen.port}`,
      rules: options.leaseRules,
      connectToHolder: observation => this.connectToHolder(observation),
      startAllocating: heldLease => this.startAllocating(heldLease),
      canHandOver: () =>
        this.allocatorServer?.hasFollowerReachingStore ?? false,
    });
    const {onPeerLimited: onLimited} = options;
    this.peerOptions = {
      clock,
      emit: options.emit,
      turns: RequestTurns.create(setImmediate),
      memory: PeerMemory.create(options.peerMemoryBytes),
      onOutOfMemory: socket => onLimited('peer_messages', socket),
    };
    this.bounds = BoundedConnections.create({
      limits: options.peerLimits,
      // One that has sent no message may be of no node.
      useOf: socket =>
        this.connectionsBySocket.get(socket)?.hasPeer ? 'serving' : 'idle',
      onLimited,
    });
    this.peerServer = createServer(socket => this.acceptSocket(socket));
    routes.onChange(({configuration}) => {
      this.allocatorServer?.applyConfiguration(configuration);
      const {teamQuotas} = options;
      if (teamQuotas === undefined) return;
      teamQuotas.applyConfiguration(configuration);
      this.teamQuotaHolder?.setQuotas(teamQuotas.quotas);
    });
  }

  static create(options: NodePlacementOptions): NodePlacement {
    return new NodePlacement(options);
  }

  /** Finds an endpoint for a request to any service. */
  readonly find: FindEndpoint = requirements =>
    this.engineDeclaration(requirements.service) !== undefined
      ? this.client.find(requirements)
      : this.findPlain(requirements);

  /** What {@link find} would decide now on a request that has not been sent yet. */
  preview(requirements: EndpointRequirements): PlacementPreview {
    return this.engineDeclaration(requirements.service) !== undefined
      ? this.client.preview(requirements)
      : previewPlainEndpoint(requirements, this.options.choice, {
          ...this.options,
          permits: this.permits,
        });
  }

  /** Whether another endpoint of any service could serve a request now. */
  readonly hasAlternative: HasAlternative = (requirements, current) => {
    const {choice, table} = this.options;
    if (this.engineDeclaration(requirements.service) !== undefined)
      return this.client.hasAlternative(requirements, current);
    const endpoints = table
      .availableFor(requirements.service)
      .filter(endpoint => meetsVersion(endpoint, requirements.version));
    return hasFreeAlternative(endpoints, requirements, current, choice);
  };

  /** Starts listening and the heartbeats; {@link run} joins the leader election. */
  async start(): Promise<void> {
    const {listen, clock} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.peerServer.once('error', reject);
      this.peerServer.listen(listen.port, listen.address, resolve);
    });
    createPeriodicJob(clock, HEARTBEAT_MILLISECONDS, () =>
      this.exchangeHeartbeats(),
    ).start();
    createPeriodicJob(clock, USAGE_HEARTBEAT_MILLISECONDS, () =>
      this.client.sendHeartbeat(),
    ).start();
  }

  /** Runs the leader election until {@link stop}; rejects only on programming errors. */
  run(): Promise<void> {
    return this.election.run();
  }

  /** Releases the lease if this node holds it. */
  stop(): void {
    this.election.stop();
  }

  /** Called when the store has returned from an older copy, which may lack the lease. */
  onStoreReturn(): void {
    this.election.onStoreReturn();
  }

  /** Called when a request starts or ends at an endpoint. */
  onInFlightChange(): void {
    this.client.onInFlightChange();
  }

  /** Tells the lease holder of a change of this node's relay offer. */
  offerRelay(): void {
    this.allocator?.offerRelay(this.options.relayOffer());
  }

  /** What another node sees of an endpoint; `unknown` if none can tell. */
  async askWitness(endpoint: EndpointId): Promise<ProbeResult> {
    return (await this.allocator?.requestWitness(endpoint)) ?? 'unknown';
  }

  /** Whether endpoints of a service respond to another node; false if none can tell. */
  async askServiceWitness(service: ServiceName): Promise<boolean> {
    return (await this.allocator?.requestServiceWitness(service)) ?? false;
  }

  /** Reports that an engine lacks a model, or an adapter of it, that it was expected to have. */
  reportMissingModel(endpoint: EndpointId, model: ModelName): void {
    this.client.reportMissingModel(endpoint, model);
  }

  /** Whether other nodes rely on this node's reads of the store. */
  get isFeedSource(): boolean {
    return (
      this.allocatorServer !== undefined && this.allocatorServer.nodeCount > 1
    );
  }

  /** Forwards what this node has read from the store, if it holds the lease. */
  recordRead(read: KindRead): void {
    this.allocatorServer?.recordRead(read);
  }

  /** Applies changes of the endpoint table. */
  applyEndpointChanges(changes: readonly EndpointTableChange[]): void {
    const {table, choice} = this.options;
    this.permits.applyEndpointChanges(changes);
    this.client.onEndpointChanges(changes);
    choice.clusterLoad.applyEndpointChanges(changes);
    this.allocatorServer?.applyEndpointChanges(
      changes.map(change =>
        table.hasCrashed(change.id) ? {...change, now: undefined} : change,
      ),
    );
  }

  /** The operators' declaration of a service's engines; undefined for plain services. */
  private engineDeclaration(
    service: ServiceName,
  ): EngineDeclaration | undefined {
    const {services} = this.options.routes.current?.configuration ?? {};
    return services?.get(service)?.engine;
  }

  private engineServices(): readonly ServiceName[] {
    const {services} = this.options.routes.current?.configuration ?? {};
    return [...(services?.values() ?? [])].flatMap(({name, engine}) =>
      engine === undefined ? [] : [name],
    );
  }

  private acceptSocket(socket: Socket): void {
    if (!this.bounds.accept(socket)) return;
    const connection = PeerConnection.create(socket, this.peerOptions);
    this.connectionsBySocket.set(socket, connection);
    this.accept(connection);
  }

  private accept(connection: PeerConnection): void {
    this.connections.add(connection);
    connection.onClosed(() => this.connections.delete(connection));
    if (this.allocatorServer !== undefined) {
      this.allocatorServer.accept(connection);
      return;
    }
    const {id} = this.options.identity;
    connection.handle(PEER_METHODS.hello, helloSchema, () => ({
      node: id,
      isHolder: false,
    }));
  }

  private async connectToHolder(
    observation: LeaseObservation,
  ): Promise<HolderConnection | HolderStatus> {
    const {identity} = this.options;
    const {address, holder} = observation.record;
    let connection: PeerConnection;
    try {
      connection = await PeerConnection.connect(address, this.peerOptions);
    } catch (failure) {
      if (!(failure instanceof PeerUnreachableError)) throw failure;
      return isConnectionRefused(failure.cause) ? 'gone' : 'silent';
    }
    const allocator = RemoteAllocator.create({
      ...this.options,
      peerConnection: connection,
      listener: this.client,
      onUsageReport: (service, usage) =>
        this.options.choice.clusterLoad.recordUsageReport(service, usage),
      onSuspects: suspects => {
        this.options.quarantine.merge(suspects);
      },
      onLimits: limits => {
        this.options.limits.merge(limits);
      },
      onLeaving: statements => {
        this.options.leaving.merge(statements);
      },
      onHeartbeat: (heartbeat, writtenAfter) => {
        this.applyHeartbeat(heartbeat, this.writtenAt(writtenAfter));
        this.options.onFeed(heartbeat.feed, writtenAfter);
      },
    });
    try {
      const {node, isHolder} = await allocator.handshake(identity.id);
      if (isHolder && node === holder) {
        return {ended: this.followHolder(connection, allocator)};
      }
      this.leave(connection);
      return node === holder ? 'resigned' : 'gone';
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      this.leave(connection);
      return 'silent';
    }
  }

  /** Closes a connection to a node that isn't followed, which may have sent available models. */
  private leave(connection: PeerConnection): void {
    connection.close();
    this.client.setAllocator(undefined);
  }

  private followHolder(
    connection: PeerConnection,
    allocator: RemoteAllocator,
  ): Promise<string> {
    this.holderConnection = connection;
    this.setAllocator(allocator);
    return new Promise(resolve => {
      const end = (reason: string): void => {
        if (this.holderConnection === connection) {
          this.options.onFeedEnd();
          this.holderConnection = undefined;
          this.setAllocator(undefined);
        }
        resolve(reason);
        connection.close();
      };
      connection.handle(PEER_METHODS.resign, helloSchema.partial(), () =>
        end('resigned'),
      );
      connection.onClosed(() => {
        end(this.isSilent(connection) ? 'silent' : 'closed');
      });
    });
  }

  private startAllocating(heldLease: HeldLease): {end: () => void} {
    const {identity, routes, table, readClocks, clock, emit} = this.options;
    const {continuity} = this.options;
    const originWriter = OriginWriter.create({
      ...this.options,
      stored: continuity.stored,
      versions: continuity.versions,
      recentOrigins: () => continuity.recentOrigins(),
      knowsAllVersions: () => continuity.knowsAllVersions,
    });
    this.teamQuotaHolder = this.createTeamQuotaHolder(heldLease);
    const allocatorServer = AllocatorServer.create({
      ...this.options,
      teamQuotas: this.teamQuotaHolder,
      authority: () =>
        heldLease.canSendOrders(readClocks())
          ? {holder: identity.id, fencingNumber: heldLease.term}
          : undefined,
      onFenced: () => this.election.onFenced(),
      initialConcurrencyLimit: this.lastConcurrencyLimit,
      earlierLoadStarts: this.lastLoadStarts,
      onOrigins: origins => {
        continuity.merge(origins);
        originWriter.add(origins);
      },
      limitShare: () => limitShareOf(heldLease, clock.now()),
      self: identity.id,
      onUsageReport: (service, usage) =>
        this.options.choice.clusterLoad.recordUsageReport(service, usage),
      listener: this.client,
      endpoints: () => table.running,
      emit,
    });
    this.allocatorServer = allocatorServer;
    if (routes.current !== undefined)
      allocatorServer.applyConfiguration(routes.current.configuration);
    this.setAllocator(allocatorServer);
    const archive = QuarantineArchive.create({
      ...this.options,
      onRestored: suspects => allocatorServer.reportSuspects(suspects),
    });
    archive.start();
    originWriter.start();
    return {
      end: () => {
        archive.stop();
        void originWriter.stop();
        this.allocatorServer = undefined;
        this.teamQuotaHolder = undefined;
        this.setAllocator(undefined);
        allocatorServer.stop();
      },
    };
  }

  private createTeamQuotaHolder(
    heldLease: HeldLease,
  ): TeamQuotaHolder | undefined {
    const {teamQuotas, pulseMilliseconds} = this.options;
    if (teamQuotas === undefined) return undefined;
    const holder = TeamQuotaHolder.create({
      ...this.options,
      rules: teamQuotas.rules,
      isExclusive: now => heldLease.isExclusive(now),
      earlierNodeCount: teamQuotas.knownNodeCount,
      silenceMilliseconds: Math.max(
        HEARTBEAT_TIMEOUT_MILLISECONDS,
        pulseMilliseconds + 2 * HEARTBEAT_MILLISECONDS,
      ),
    });
    holder.setQuotas(teamQuotas.quotas);
    return holder;
  }

  private setAllocator(allocator: AllocatorApi | undefined): void {
    this.allocator = allocator;
    this.options.choice.clusterLoad.onHolderChange();
    this.client.setAllocator(allocator);
    this.options.quarantine.setExchange(allocator);
    this.options.continuity.setExchange(allocator);
    this.permits.setExchange(allocator);
    this.options.teamQuotas?.setExchange(allocator);
    this.options.leaving.setExchange(allocator);
    this.offerRelay();
  }

  /** Applies a heartbeat, whether received or sent. */
  private applyHeartbeat(
    heartbeat: HeartbeatMessage,
    writtenAt: Instant,
  ): void {
    const {nodes, loads, loadsAtOnce, loadAges} = heartbeat;
    const {choice, clock, onNodeCount} = this.options;
    if (loads.length > 0) choice.clusterLoad.update(loads, writtenAt);
    if (heartbeat.slow !== undefined)
      choice.clusterLoad.updateSlowness(heartbeat.slow);
    this.options.teamQuotas?.applyHeartbeat(heartbeat);
    this.client.setNodeCount(nodes);
    this.client.onLoadReport();
    onNodeCount(nodes);
    const now = clock.now();
    this.lastConcurrencyLimit = loadsAtOnce;
    this.lastLoadStarts = loadAges.map(age => after(now, -age));
  }

  /**
   * When a heartbeat was written, at the latest. Pulses are sent with heartbeats, so the last one
   * that the holder repeats is up to this old although nothing is late.
   */
  private writtenAt(writtenAfter: Instant | undefined): Instant {
    const {clock, pulseMilliseconds} = this.options;
    const now = clock.now();
    if (writtenAfter === undefined) return now;
    const heartbeats = Math.ceil(pulseMilliseconds / HEARTBEAT_MILLISECONDS);
    const echoAge = heartbeats * HEARTBEAT_MILLISECONDS;
    return earlier(now, after(writtenAfter, echoAge));
  }

  /** Sends a heartbeat as the lease holder; as a follower, closes the connection to a silent holder. */
  private exchangeHeartbeats(): void {
    if (this.allocatorServer !== undefined)
      this.applyHeartbeat(
        this.allocatorServer.sendHeartbeat(),
        this.options.clock.now(),
      );
    const connection = this.holderConnection;
    const earlier = this.silence;
    this.silence = undefined;
    if (connection === undefined || !this.isSilent(connection)) return;
    const since = connection.lastReceivedAt;
    if (earlier?.connection === connection && earlier.since === since)
      connection.close();
    else this.silence = {connection, since};
  }

  private isSilent(connection: PeerConnection): boolean {
    const now = this.options.clock.now();
    return (
      connection.millisecondsSinceReceived(now) > HEARTBEAT_TIMEOUT_MILLISECONDS
    );
  }
}

/** Whether nothing listens at the address, so the holder's process has ended. */
function isConnectionRefused(cause: unknown): boolean {
  return (
    cause instanceof Error && 'code' in cause && cause.code === 'ECONNREFUSED'
  );
}
