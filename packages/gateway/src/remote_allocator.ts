/** Client of an allocator that runs at another node. */

import type {
  Clock,
  EndpointId,
  Milliseconds,
  ModelName,
  NodeId,
  ServiceName,
} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import {PeerUnreachableError} from '@siskinmux/membership';
import type {
  AdapterGrant,
  AdapterRequest,
  NodeUsage,
} from '@siskinmux/placement';
import type {AllocatorApi, AllocatorListener} from './allocator_api.js';
import type {PeerConnection} from './peer_connection.js';
import type {HeartbeatMessage} from './placement_messages.js';
import {
  PEER_METHODS,
  heartbeatSchema,
  decodeForecasts,
  decodeGrant,
  decodeAvailableModels,
  encodeAdapterRequest,
  encodeUsage,
  forecastsSchema,
  helloResponseSchema,
  availableModelsSchema,
} from './placement_messages.js';

/** Timeout of a request for a grant, which takes a round trip and an order to an engine. */
const GRANT_TIMEOUT_MILLISECONDS: Milliseconds = 600;

const HANDSHAKE_TIMEOUT_MILLISECONDS: Milliseconds = 400;

/** Dependencies of {@link RemoteAllocator}. */
export interface RemoteAllocatorOptions {
  readonly peerConnection: PeerConnection;
  readonly clock: Clock;
  readonly listener: AllocatorListener;
  readonly reachesStore: () => boolean;
  /** Called with each heartbeat of the allocator's node, several times a second. */
  readonly onHeartbeat: (heartbeat: HeartbeatMessage) => void;
}

/** Calls the allocator over a connection and passes its notifications to a listener. */
export class RemoteAllocator implements AllocatorApi {
  private constructor(private readonly options: RemoteAllocatorOptions) {
    const {peerConnection, clock, listener, onHeartbeat} = options;
    peerConnection.handle(
      PEER_METHODS.holdings,
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
    peerConnection.handle(PEER_METHODS.allocatorHeartbeat, heartbeatSchema, onHeartbeat);
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
      await peerConnection.request(PEER_METHODS.hello, {node}, deadline),
    );
    if (!response.success)
      throw new PeerUnreachableError('unreadable response');
    return {...response.data, node: as<NodeId>(response.data.node)};
  }

  reportUsage(service: ServiceName, usage: NodeUsage): void {
    const {peerConnection, clock, reachesStore} = this.options;
    peerConnection.notify(
      PEER_METHODS.usage,
      encodeUsage(service, usage, reachesStore(), clock.now()),
    );
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
