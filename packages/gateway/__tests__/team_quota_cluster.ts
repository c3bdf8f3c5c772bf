/** A lease holder and followers with quotas of teams, over real connections in virtual time. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';
import type {TestContext} from 'node:test';
import {CrashQuarantine} from '@siskinmux/containment';
import {EndpointTable} from '@siskinmux/endpoints';
import type {
  FencingNumber,
  Instant,
  NodeId,
  RefusalError,
  ServiceName,
  TeamName,
} from '@siskinmux/kernel';
import {after, as, discardEvents} from '@siskinmux/kernel';
import type {RouteConfiguration, TeamQuota} from '@siskinmux/routes';
import {VirtualClock} from '@siskinmux/testkit';
import {AllocatorServer} from '../src/allocator_server.js';
import {EndpointLimits} from '../src/endpoint_limits.js';
import {LeavingEndpoints} from '../src/leaving_endpoints.js';
import {PeerConnection} from '../src/peer_connection.js';
import {RemoteAllocator} from '../src/remote_allocator.js';
import {TeamQuotaHolder} from '../src/team_quota_holder.js';
import type {QuotaOutcome} from '../src/team_quotas.js';
import {TeamQuotas} from '../src/team_quotas.js';

export const TEAM = as<TeamName>('fizi430');

export const QUOTA: TeamQuota = {
  unit: 'tokens',
  perSecond: 10_000,
  burst: 10_000,
  plainTokens: 200,
};

const RULES = {windowMilliseconds: 8_000, overage: 0.1, tolerance: 7_400};
const HEARTBEAT_MILLISECONDS = 300;

/** Interval of the usage reports, without which a holder closes a connection. */
const USAGE_MILLISECONDS = 500;
const NO_USAGE = {waiting: [], inFlight: [], arrived: []};

/** Virtual milliseconds after which an awaited condition counts as failed. */
const MAXIMUM_WAIT = 20_000;

const ignore = (): void => {};

/** One node's quotas, and what happened to its requests. */
export interface QuotaNode {
  readonly id: NodeId;
  readonly quotas: TeamQuotas;
  readonly outcomes: QuotaOutcome[];
  /** Names of its log events. */
  readonly events: string[];
}

/** A lease holder that takes connections. */
export interface QuotaHolder {
  readonly node: QuotaNode;
  readonly server: AllocatorServer;
  readonly port: number;
  /** Ends the holder as a crash would. */
  readonly kill: () => void;
}

/** A request that may be decided later. */
export interface PendingRequest {
  isAdmitted: boolean;
  refusal: RefusalError | undefined;
  readonly abort: () => void;
}

/** Nodes of one test. */
export class QuotaTestCluster {
  readonly clock = VirtualClock.create();
  private lastId = 0;

  private constructor(private readonly context: TestContext) {}

  static create(context: TestContext): QuotaTestCluster {
    return new QuotaTestCluster(context);
  }

  createNode(quota: TeamQuota = QUOTA): QuotaNode {
    this.lastId += 1;
    const outcomes: QuotaOutcome[] = [];
    const events: string[] = [];
    const quotas = TeamQuotas.create({
      rules: RULES,
      clock: this.clock,
      random: () => 0.99,
      emit: ({name}) => events.push(name),
      onOutcome: (_team, outcome) => outcomes.push(outcome),
    });
    quotas.applyConfiguration(configurationOf(quota));
    return {id: as<NodeId>(`n${this.lastId}`), quotas, outcomes, events};
  }

  async startHolder(node: QuotaNode): Promise<QuotaHolder> {
    const {clock} = this;
    const options = {clock, emit: discardEvents};
    const table = EndpointTable.create();
    const teamQuotas = TeamQuotaHolder.create({
      ...options,
      rules: RULES,
      isExclusive: () => true,
      earlierNodeCount: node.quotas.knownNodeCount,
      silenceMilliseconds: 1_000,
    });
    teamQuotas.setQuotas(node.quotas.quotas);
    const server = AllocatorServer.create({
      ...options,
      teamQuotas,
      orders: {
        send: () => assert.fail('no engines'),
        report: () => assert.fail('no engines'),
      },
      authority: () => ({
        holder: node.id,
        fencingNumber: as<FencingNumber>(1),
      }),
      onFenced: ignore,
      loadWindowMilliseconds: 10_000,
      initialConcurrencyLimit: undefined,
      earlierLoadStarts: [],
      self: node.id,
      quarantine: CrashQuarantine.create({
        ...options,
        onCrash: ignore,
        onEndpointCrash: ignore,
        onWithheld: ignore,
      }),
      limits: EndpointLimits.create(options),
      leaving: LeavingEndpoints.create({...options, table, onChanges: ignore}),
      onOrigins: ignore,
      limitShare: () => 1,
      listener: {onAvailableModels: ignore, onForecasts: ignore},
      endpoints: () => table.running,
      reachesStore: () => true,
      onRelayPeers: ignore,
      testify: async () => 'unknown',
      testifyService: async () => false,
      random: () => 0,
    });
    const connections = new Set<PeerConnection>();
    const listener = createServer(socket => {
      const connection = PeerConnection.create(socket, options);
      connections.add(connection);
      server.accept(connection);
    }).listen(0, '127.0.0.1');
    await once(listener, 'listening');
    const {port} = listener.address() as AddressInfo;
    let isAlive = true;
    const kill = (): void => {
      isAlive = false;
      listener.close();
      for (const connection of connections) connection.close();
    };
    this.context.after(kill);
    node.quotas.setExchange(server);
    const beat = (): void => {
      if (!isAlive) return;
      node.quotas.applyHeartbeat(server.sendHeartbeat());
      clock.schedule(after(clock.now(), HEARTBEAT_MILLISECONDS), beat);
    };
    beat();
    return {node, server, port, kill};
  }

  /** Connects a node to a holder; returns its end of the connection. */
  async follow(node: QuotaNode, {port}: QuotaHolder): Promise<PeerConnection> {
    const {clock} = this;
    const connection = await PeerConnection.connect(`127.0.0.1:${port}`, {
      clock,
      emit: discardEvents,
    });
    const allocator = RemoteAllocator.create({
      peerConnection: connection,
      clock,
      listener: {onAvailableModels: ignore, onForecasts: ignore},
      reachesStore: () => true,
      onSuspects: ignore,
      onLimits: ignore,
      onLeaving: ignore,
      onRelayPeers: ignore,
      testify: async () => 'unknown',
      testifyService: async () => false,
      pulseMilliseconds: 300,
      onHeartbeat: heartbeat => node.quotas.applyHeartbeat(heartbeat),
    });
    await allocator.handshake(node.id);
    node.quotas.setExchange(allocator);
    connection.onClosed(() => node.quotas.setExchange(undefined));
    const reportUsage = (): void => {
      allocator.reportUsage(as<ServiceName>('text'), NO_USAGE);
      clock.schedule(after(clock.now(), USAGE_MILLISECONDS), reportUsage);
    };
    reportUsage();
    this.context.after(() => connection.close());
    // The first heartbeat answers the node's statement.
    await this.advance(2 * HEARTBEAT_MILLISECONDS);
    return connection;
  }

  /** Requests an amount; the result is updated once it is decided. */
  request(
    {quotas}: QuotaNode,
    amount: number,
    timeoutMilliseconds = 10_000,
    waitMilliseconds?: number,
  ): PendingRequest {
    const controller = new AbortController();
    const pending: PendingRequest = {
      isAdmitted: false,
      refusal: undefined,
      abort: () => controller.abort(),
    };
    const deadline = after(this.clock.now(), timeoutMilliseconds);
    quotas
      .acquire({
        team: TEAM,
        amount,
        deadline,
        waitUntil:
          waitMilliseconds === undefined
            ? undefined
            : after(this.clock.now(), waitMilliseconds),
        signal: controller.signal,
      })
      .then(
        () => {
          pending.isAdmitted = !controller.signal.aborted;
        },
        (failure: RefusalError) => {
          pending.refusal = failure;
        },
      );
    return pending;
  }

  /** Advances in steps of a millisecond, between which messages arrive. */
  async advance(milliseconds: number): Promise<void> {
    for (let step = 0; step < milliseconds; step += 1)
      await this.clock.advance(1);
  }

  /** Advances until a condition holds. */
  async advanceUntil(isMet: () => boolean): Promise<Instant> {
    for (let step = 0; step < MAXIMUM_WAIT && !isMet(); step += 1)
      await this.clock.advance(1);
    assert.ok(isMet(), 'the condition was not met');
    return this.clock.now();
  }
}

export function isDecided({isAdmitted, refusal}: PendingRequest): boolean {
  return isAdmitted || refusal !== undefined;
}

/** A configuration with one team. */
export function configurationOf(quota: TeamQuota): RouteConfiguration {
  const team = {name: TEAM, priority: 0, keyDigests: [], quota};
  return {
    version: 1,
    routes: [],
    services: new Map(),
    limits: {},
    teams: {teams: new Map([[TEAM, team]]), unusable: []},
  } as unknown as RouteConfiguration;
}
