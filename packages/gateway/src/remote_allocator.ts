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
import type {AllocatorLink, AllocatorListener} from './allocator_link.js';
import type {PeerLink} from './peer_link.js';
import type {AliveMessage} from './placement_messages.js';
import {
  MESSAGE,
  aliveSchema,
  decodeForecasts,
  decodeGrant,
  decodeHoldings,
  encodeNeed,
  encodeUsage,
  forecastsSchema,
  helloAnswerSchema,
  holdingsSchema,
} from './placement_messages.js';

/** Longest wait for a grant; it takes two trips and an order. */
const GRANT_ANSWER_MILLISECONDS: Milliseconds = 600;

/** Longest wait for the answer to an introduction. */
const HELLO_MILLISECONDS: Milliseconds = 400;

/** What the remote allocator needs. */
export interface RemoteAllocatorOptions {
  readonly peerConnection: PeerLink;
  readonly clock: Clock;
  readonly listener: AllocatorListener;
  readonly reachesStore: () => boolean;
  /** Told what the allocator's node knows of the system, several times a second. */
  readonly onAlive: (sign: AliveMessage) => void;
}

/** A connection to the allocator. */
export class RemoteAllocator implements AllocatorLink {
  private constructor(private readonly options: RemoteAllocatorOptions) {
    const {peerConnection: link, clock, listener, onAlive} = options;
    link.handle(MESSAGE.holdings, holdingsSchema, message =>
      listener.onHoldings(
        as<ServiceName>(message.service),
        decodeHoldings(message),
      ),
    );
    link.handle(MESSAGE.forecasts, forecastsSchema, message =>
      listener.onForecasts(
        as<ServiceName>(message.service),
        decodeForecasts(message, clock.now()),
      ),
    );
    link.handle(MESSAGE.alive, aliveSchema, onAlive);
  }

  static create(options: RemoteAllocatorOptions): RemoteAllocator {
    return new RemoteAllocator(options);
  }

  /** Introduces this node; says who is there. Throws `PeerUnreachableError`. */
  async hello(node: NodeId): Promise<{node: NodeId; isHolder: boolean}> {
    const {peerConnection: link, clock} = this.options;
    const until = after(clock.now(), HELLO_MILLISECONDS);
    const answer = helloAnswerSchema.safeParse(
      await link.request(MESSAGE.hello, {node}, until),
    );
    if (!answer.success) throw new PeerUnreachableError('unreadable answer');
    return {...answer.data, node: as<NodeId>(answer.data.node)};
  }

  noteUsage(service: ServiceName, usage: NodeUsage): void {
    const {peerConnection: link, clock, reachesStore} = this.options;
    link.notify(
      MESSAGE.usage,
      encodeUsage(service, usage, reachesStore(), clock.now()),
    );
  }

  noteMissing(
    service: ServiceName,
    engine: EndpointId,
    model: ModelName,
  ): void {
    this.options.peerConnection.notify(MESSAGE.missing, {service, engine, model});
  }

  async wantAdapter(
    service: ServiceName,
    need: AdapterNeed,
  ): Promise<AdapterGrant | undefined> {
    const {peerConnection: link, clock} = this.options;
    const askedAt = clock.now();
    try {
      const answer = await link.request(
        MESSAGE.adapter,
        encodeNeed(service, need),
        after(askedAt, GRANT_ANSWER_MILLISECONDS),
      );
      return decodeGrant(answer, askedAt, clock.now());
    } catch (failure) {
      if (!(failure instanceof PeerUnreachableError)) throw failure;
      return undefined;
    }
  }
}
