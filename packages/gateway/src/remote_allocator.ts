/** The allocator at another node. */

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
import type {AdapterGrant, AdapterNeed, NodeUsage} from '@siskinmux/placement';
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

/** Longest wait for a grant; it takes two trips and an order. */
const GRANT_ANSWER_MILLISECONDS: Milliseconds = 600;

/** Longest wait for the answer to an introduction. */
const HELLO_MILLISECONDS: Milliseconds = 400;

/** What the remote allocator needs. */
export interface RemoteAllocatorOptions {
  readonly peerConnection: PeerConnection;
  readonly clock: Clock;
  readonly listener: AllocatorListener;
  readonly reachesStore: () => boolean;
  /** Told what the allocator's node knows of the system, several times a second. */
  readonly onHeartbeat: (sign: HeartbeatMessage) => void;
}

/** A connection to the allocator. */
export class RemoteAllocator implements AllocatorApi {
  private constructor(private readonly options: RemoteAllocatorOptions) {
    const {
      peerConnection: link,
      clock,
      listener,
      onHeartbeat: onAlive,
    } = options;
    link.handle(PEER_METHODS.holdings, availableModelsSchema, message =>
      listener.onAvailableModels(
        as<ServiceName>(message.service),
        decodeAvailableModels(message),
      ),
    );
    link.handle(PEER_METHODS.forecasts, forecastsSchema, message =>
      listener.onForecasts(
        as<ServiceName>(message.service),
        decodeForecasts(message, clock.now()),
      ),
    );
    link.handle(PEER_METHODS.alive, heartbeatSchema, onAlive);
  }

  static create(options: RemoteAllocatorOptions): RemoteAllocator {
    return new RemoteAllocator(options);
  }

  /** Introduces this node; says who is there. Throws `PeerUnreachableError`. */
  async handshake(node: NodeId): Promise<{node: NodeId; isHolder: boolean}> {
    const {peerConnection: link, clock} = this.options;
    const until = after(clock.now(), HELLO_MILLISECONDS);
    const answer = helloResponseSchema.safeParse(
      await link.request(PEER_METHODS.hello, {node}, until),
    );
    if (!answer.success) throw new PeerUnreachableError('unreadable answer');
    return {...answer.data, node: as<NodeId>(answer.data.node)};
  }

  reportUsage(service: ServiceName, usage: NodeUsage): void {
    const {peerConnection: link, clock, reachesStore} = this.options;
    link.notify(
      PEER_METHODS.usage,
      encodeUsage(service, usage, reachesStore(), clock.now()),
    );
  }

  reportMissingModel(
    service: ServiceName,
    engine: EndpointId,
    model: ModelName,
  ): void {
    this.options.peerConnection.notify(PEER_METHODS.missing, {
      service,
      engine,
      model,
    });
  }

  async requestAdapter(
    service: ServiceName,
    need: AdapterNeed,
  ): Promise<AdapterGrant | undefined> {
    const {peerConnection: link, clock} = this.options;
    const askedAt = clock.now();
    try {
      const answer = await link.request(
        PEER_METHODS.adapter,
        encodeAdapterRequest(service, need),
        after(askedAt, GRANT_ANSWER_MILLISECONDS),
      );
      return decodeGrant(answer, askedAt, clock.now());
    } catch (failure) {
      if (!(failure instanceof PeerUnreachableError)) throw failure;
      return undefined;
    }
  }
}
