/** Client of an allocator that runs on another node. */

import type {
  PermitDecision,
  PermitRequest,
  QuotaDecision,
} from '@siskinmux/admission';
import type {
  Clock,
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
  NodeId,
  ServiceName,
} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {ProbeResult} from '@siskinmux/forwarding';
import {PeerUnreachableError} from '@siskinmux/membership';
import type {
  AdapterGrant,
  AdapterRequest,
  NodeUsage,
} from '@siskinmux/placement';
import type {Suspect, Trait} from '@siskinmux/containment';
import type {StreamOrigin} from '@siskinmux/continuity';
import {encodeOrigins} from '@siskinmux/continuity';
import type {RelayPeer} from '@siskinmux/relay';
import {decodePeers, encodeOffer, relayPeersSchema} from '@siskinmux/relay';
import type {AllocatorApi, AllocatorListener} from './allocator_api.js';
import type {EndpointLimit} from './endpoint_limits.js';
import type {LeavingStatement} from './leaving_endpoints.js';
import {
  decodeLeaving,
  encodeLeaving,
  leavingSchema,
} from './leaving_endpoints.js';
import {
  decodeLimit,
  decodePermitDecision,
  encodeLimit,
  encodePermitRequest,
  limitsSchema,
} from './limit_messages.js';
import type {PeerConnection} from './peer_connection.js';
import type {HeartbeatMessage} from './placement_messages.js';
import {askProbation, notifyProbationEnd} from './probation_messages.js';
import type {
  TeamPermitRequest,
  TeamUsageMessage,
} from './team_quota_messages.js';
import {
  decodeTeamPermitDecision,
  encodeTeamPermitRequest,
} from './team_quota_messages.js';
import {
  askServiceWitness,
  askWitness,
  handleServiceWitness,
  handleWitness,
} from './witness_messages.js';
import {
  PEER_METHODS,
  availableModelsSchema,
  decodeAvailableModels,
  decodeForecasts,
  decodeGrant,
  encodeAdapterRequest,
  encodeUsage,
  forecastsSchema,
  heartbeatSchema,
  helloResponseSchema,
} from './placement_messages.js';
import {
  decodeSuspects,
  encodeSuspects,
  suspectsSchema,
} from '@siskinmux/containment';

/** Timeout of a request for a grant, which takes a round trip and an order to an engine. */
const GRANT_TIMEOUT_MILLISECONDS: Milliseconds = 600;

const HANDSHAKE_TIMEOUT_MILLISECONDS: Milliseconds = 400;

/** Timeout of a request for a permit, in addition to the time that the request can wait. */
const PERMIT_TIMEOUT_MILLISECONDS: Milliseconds = 400;

/**
 * The same for a permit under the quota of a team. A grant that comes after its request has ended,
 * but within this time, is given back.
 */
const TEAM_PERMIT_TIMEOUT_MILLISECONDS: Milliseconds = 3_000;

/** Dependencies of {@link RemoteAllocator}. */
export interface RemoteAllocatorOptions {
  readonly peerConnection: PeerConnection;
  readonly clock: Clock;
  readonly listener: AllocatorListener;
  readonly reachesStore: () => boolean;
  /** Called with records of requests that crashed endpoints. */
  readonly onSuspects: (suspects: readonly Suspect[]) => void;
  /** Called with limits that endpoints have named to other nodes. */
  readonly onLimits: (limits: readonly EndpointLimit[]) => void;
  /** Called with what endpoints have said to other nodes about their end. */
  readonly onLeaving: (statements: readonly LeavingStatement[]) => void;
  /** Called with the nodes that this one may relay requests to. */
  readonly onRelayPeers: (peers: readonly RelayPeer[]) => void;
  /** What this node sees of an endpoint. */
  readonly testify: (endpoint: EndpointId) => Promise<ProbeResult>;
  /** Whether endpoints of a service respond to this node. */
  readonly testifyService: (service: ServiceName) => Promise<boolean>;
  /** Called with each usage report that is sent. */
  readonly onUsageReport?: (service: ServiceName, usage: NodeUsage) => void;
  /** Least interval between pulses. */
  readonly pulseMilliseconds: Milliseconds;
  /**
   * Called with each heartbeat of the allocator's node, several times a second, and with an
   * instant before which it was not written; undefined if none is known.
   */
  readonly onHeartbeat: (
    heartbeat: HeartbeatMessage,
    writtenAfter: Instant | undefined,
  ) => void;
}

/** Calls the allocator over a connection and passes its notifications to a listener. */
export class RemoteAllocator implements AllocatorApi {
  private pulseSentAt: Instant | undefined;

  private constructor(private readonly options: RemoteAllocatorOptions) {
    const {peerConnection, clock, listener, onSuspects, onLimits} = options;
    handleWitness(peerConnection, PEER_METHODS.testify, options.testify);
    handleServiceWitness(
      peerConnection,
      PEER_METHODS.testifyService,
      options.testifyService,
    );
    peerConnection.handle(PEER_METHODS.relayPeers, relayPeersSchema, message =>
      options.onRelayPeers(decodePeers(message)),
    );
    peerConnection.handle(
      PEER_METHODS.availableModels,
      availableModelsSchema,
      message =>
        listener.onAvailableModels(
          as<ServiceName>(message.service),
          decodeAvailableModels(message),
        ),
    );
    peerConnection.handle(PEER_METHODS.forecasts, forecastsSchema, message =>
      listener.onForecasts(
        as<ServiceName>(message.service),
        decodeForecasts(message, clock.now()),
      ),
    );
    peerConnection.handle(PEER_METHODS.newSuspects, suspectsSchema, message =>
      onSuspects(decodeSuspects(message, clock.now())),
    );
    peerConnection.handle(PEER_METHODS.newLimits, limitsSchema, ({limits}) => {
      const now = clock.now();
      onLimits(limits.map(limit => decodeLimit(limit, now)));
    });
    peerConnection.handle(PEER_METHODS.newLeaving, leavingSchema, message =>
      options.onLeaving(decodeLeaving(message, clock.now())),
    );
    peerConnection.handle(
      PEER_METHODS.allocatorHeartbeat,
      heartbeatSchema,
      heartbeat => this.receiveHeartbeat(heartbeat),
    );
  }

  static create(options: RemoteAllocatorOptions): RemoteAllocator {
    return new RemoteAllocator(options);
  }

  /**
   * Introduces this node; returns which node responded and whether it holds the lease.
   * Throws `PeerUnreachableError`.
   */
  async handshake(node: NodeId): Promise<{node: NodeId; isHolder: boolean}> {
    const {peerConnection, clock} = this.options;
    const deadline = after(clock.now(), HANDSHAKE_TIMEOUT_MILLISECONDS);
    const response = helloResponseSchema.safeParse(
      // A holder of an earlier build sends its state before the response.
      await peerConnection.requestWhileReceiving(
        PEER_METHODS.hello,
        {node},
        deadline,
      ),
    );
    if (!response.success)
      throw new PeerUnreachableError('unreadable response');
    this.sendPulse(clock.now());
    return {...response.data, node: as<NodeId>(response.data.node)};
  }

  private receiveHeartbeat(heartbeat: HeartbeatMessage): void {
    const {clock, pulseMilliseconds, onHeartbeat} = this.options;
    const {pulseSentAt} = this;
    const {echo} = heartbeat;
    const isOwn =
      echo !== undefined && pulseSentAt !== undefined && echo <= pulseSentAt;
    onHeartbeat(heartbeat, isOwn ? as<Instant>(echo) : undefined);
    const now = clock.now();
    if (
      pulseSentAt === undefined ||
      now >= after(pulseSentAt, pulseMilliseconds)
    )
      this.sendPulse(now);
  }

  private sendPulse(now: Instant): void {
    this.pulseSentAt = now;
    this.options.peerConnection.notify(PEER_METHODS.pulse, {at: now});
  }

  reportUsage(service: ServiceName, usage: NodeUsage): void {
    const {peerConnection, clock, reachesStore} = this.options;
    peerConnection.notify(
      PEER_METHODS.usage,
      encodeUsage(service, usage, reachesStore(), clock.now()),
    );
    this.options.onUsageReport?.(service, usage);
  }

  reportMissingModel(
    service: ServiceName,
    engine: EndpointId,
    model: ModelName,
  ): void {
    this.options.peerConnection.notify(PEER_METHODS.missingModel, {
      service,
      engine,
      model,
    });
  }

  reportSuspects(suspects: readonly Suspect[]): void {
    const {peerConnection, clock} = this.options;
    for (const message of encodeSuspects(suspects, clock.now()))
      peerConnection.notify(PEER_METHODS.suspects, message);
  }

  reportLimits(limits: readonly EndpointLimit[]): void {
    const {peerConnection, clock} = this.options;
    const now = clock.now();
    peerConnection.notify(PEER_METHODS.limits, {
      limits: limits.map(limit => encodeLimit(limit, now)),
    });
  }

  reportLeaving(statements: readonly LeavingStatement[]): void {
    const {peerConnection, clock} = this.options;
    const message = encodeLeaving(statements, clock.now());
    peerConnection.notify(PEER_METHODS.leaving, message);
  }

  reportOrigins(origins: readonly StreamOrigin[]): void {
    const {peerConnection, clock} = this.options;
    for (const message of encodeOrigins(origins, clock.now()))
      peerConnection.notify(PEER_METHODS.origins, message);
  }

  async requestPermit(
    limit: EndpointLimit,
    request: PermitRequest,
  ): Promise<PermitDecision> {
    const {peerConnection, clock} = this.options;
    const now = clock.now();
    const deadline = after(
      request.waitUntil ?? now,
      PERMIT_TIMEOUT_MILLISECONDS,
    );
    try {
      const decision = decodePermitDecision(
        await peerConnection.request(
          PEER_METHODS.permit,
          encodePermitRequest(limit, request, now),
          deadline,
        ),
        clock.now(),
      );
      if (decision !== undefined) return decision;
    } catch (failure) {
      if (!(failure instanceof PeerUnreachableError)) throw failure;
      // The request is diverted, waits for another holder or is refused; that is logged.
    }
    return {
      kind: 'unowned',
      retryAt: after(clock.now(), PERMIT_TIMEOUT_MILLISECONDS),
    };
  }

  reportTeamUsage(usage: TeamUsageMessage): void {
    this.options.peerConnection.notify(PEER_METHODS.teamUsage, usage);
  }

  async requestTeamPermit(request: TeamPermitRequest): Promise<QuotaDecision> {
    const {peerConnection, clock} = this.options;
    try {
      const response = await peerConnection.request(
        PEER_METHODS.teamPermit,
        encodeTeamPermitRequest(request, clock.now()),
        after(request.waitUntil, TEAM_PERMIT_TIMEOUT_MILLISECONDS),
      );
      const decision = decodeTeamPermitDecision(response, clock.now());
      if (decision !== undefined) return decision;
    } catch (failure) {
      if (!(failure instanceof PeerUnreachableError)) throw failure;
      // The node decides by itself; that it has lost the holder is logged.
    }
    return {kind: 'unowned', retryAt: clock.now()};
  }

  requestProbation(traits: readonly Trait[]): Promise<boolean> {
    const {peerConnection, clock} = this.options;
    return askProbation(peerConnection, traits, clock);
  }

  endProbation(traits: readonly Trait[]): void {
    notifyProbationEnd(this.options.peerConnection, traits);
  }

  offerRelay(offer: RelayPeer): void {
    this.options.peerConnection.notify(
      PEER_METHODS.relayOffer,
      encodeOffer(offer),
    );
  }

  requestWitness(endpoint: EndpointId): Promise<ProbeResult> {
    const {peerConnection, clock} = this.options;
    return askWitness(peerConnection, PEER_METHODS.witness, endpoint, clock);
  }

  requestServiceWitness(service: ServiceName): Promise<boolean> {
    const {peerConnection, clock} = this.options;
    const method = PEER_METHODS.serviceWitness;
    return askServiceWitness(peerConnection, method, service, clock);
  }

  async requestAdapter(
    service: ServiceName,
    request: AdapterRequest,
  ): Promise<AdapterGrant | undefined> {
    const {peerConnection, clock} = this.options;
    const requestedAt = clock.now();
    try {
      const response = await peerConnection.request(
        PEER_METHODS.adapter,
        encodeAdapterRequest(service, request),
        after(requestedAt, GRANT_TIMEOUT_MILLISECONDS),
      );
      return decodeGrant(response, requestedAt, clock.now());
    } catch (failure) {
      if (!(failure instanceof PeerUnreachableError)) throw failure;
      return undefined;
    }
  }
}
