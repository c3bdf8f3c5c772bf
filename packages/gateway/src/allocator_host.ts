/** Runs the allocators of all engine services, and connects the nodes to them. */

import type {
  Clock,
  EmitEvent,
  EndpointId,
  Milliseconds,
  ModelName,
  NodeId,
  ServiceName,
} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {EndpointDescription, TableChange} from '@siskinmux/endpoints';
import type {
  AdapterNeed,
  AdapterGrant,
  EngineHolding,
  EngineOrders,
  NodeUsage,
  OrderAuthority,
} from '@siskinmux/placement';
import {Allocator, LoadCeiling} from '@siskinmux/placement';
import type {RouteConfiguration} from '@siskinmux/routes';
import type {FollowerProgress} from './change_feed.js';
import {ChangeFeed} from './change_feed.js';
import type {AllocatorLink, AllocatorListener} from './allocator_link.js';
import {Follower} from './follower.js';
import type {EndpointLoad} from './shared_load.js';
import type {PeerLink} from './peer_link.js';
import type {AliveMessage} from './placement_messages.js';
import {
  MESSAGE,
  adapterSchema,
  decodeHello,
  decodeNeed,
  decodeUsage,
  encodeGrant,
  encodeHoldings,
  helloSchema,
  missingSchema,
  usageSchema,
} from './placement_messages.js';

/** Pause between signs of life to the nodes; they wait for three of them. */
export const ALIVE_MILLISECONDS: Milliseconds = 300;

/**
 * Changes of what engines hold gather this long for each node before they go to nodes
 * that don't wait for them: at once for a few nodes, a fifth of a second for ninety.
 */
const HOLDINGS_MILLISECONDS_PER_NODE: Milliseconds = 2;

/** As many nodes are told at once. */
const FEW_NODES = 16;

/** What the host needs from its surroundings. */
export interface AllocatorHostOptions {
  readonly orders: EngineOrders;
  readonly clock: Clock;
  readonly emit: EmitEvent;
  readonly authority: () => OrderAuthority | undefined;
  readonly onFenced: () => void;
  readonly loadWindowMilliseconds: Milliseconds;
  /** Loads that the weight store carries at once, as told by the holder before. */
  readonly knownLoadsAtOnce: number | undefined;
  readonly self: NodeId;
  /** This node's own part of what the allocator tells. */
  readonly listener: AllocatorListener;
  readonly endpoints: () => Iterable<EndpointDescription>;
  readonly reachesStore: () => boolean;
}

/** The allocators while this node holds the lease. */
export class AllocatorHost implements AllocatorLink {
  private readonly allocators = new Map<ServiceName, Allocator>();
  private readonly followers = new Map<NodeId, Follower>();
  private readonly ceiling: LoadCeiling;
  private readonly feed: ChangeFeed;
  /** Engines whose holdings changed since all nodes were told. */
  private readonly untold = new Map<
    ServiceName,
    Map<EndpointId, EngineHolding>
  >();

  private constructor(private readonly options: AllocatorHostOptions) {
    this.ceiling = LoadCeiling.create(
      options.loadWindowMilliseconds,
      options.knownLoadsAtOnce,
    );
    this.feed = ChangeFeed.create(options);
  }

  static create(options: AllocatorHostOptions): AllocatorHost {
    return new AllocatorHost(options);
  }

  /** Nodes of the system that are connected, this one included. */
  get nodeCount(): number {
    return this.followers.size + 1;
  }

  /** Whether any other node says that the store answers it. */
  get anyFollowerReachesStore(): boolean {
    return [...this.followers.values()].some(({reachesStore}) => reachesStore);
  }

  /** Takes over which services have engines, and what these are like. */
  declare({services}: RouteConfiguration): void {
    for (const {name, engine} of services.values()) {
      if (engine === undefined) continue;
      const allocator = this.allocators.get(name) ?? this.open(name);
      allocator.declare(engine);
    }
  }

  /** Takes over changes of the list of endpoints. */
  noteEndpoints(changes: readonly TableChange[]): void {
    for (const {id, before, now} of changes) {
      if (now !== undefined) this.allocators.get(now.service)?.noteEngine(now);
      else if (before !== undefined) {
        this.allocators.get(before.service)?.dropEngine(id);
      }
    }
  }

  /** Serves a node over its connection. */
  accept(link: PeerLink): void {
    const {clock} = this.options;
    let node: NodeId | undefined;
    link.handle(MESSAGE.hello, helloSchema, message => {
      node = decodeHello(message);
      this.followers.set(node, Follower.create(link, clock.now()));
      for (const [service, allocator] of this.allocators) {
        link.notify(
          MESSAGE.holdings,
          encodeHoldings(service, allocator.holdings()),
        );
      }
      return {node: this.options.self, isHolder: true};
    });
    link.handle(MESSAGE.usage, usageSchema, message => {
      const follower = node && this.followers.get(node);
      if (!node || !follower) return;
      const now = clock.now();
      const service = as<ServiceName>(message.service);
      const usage = decodeUsage(message, now);
      follower.noteUsage(service, usage, message.reachesStore, now);
      this.allocators.get(service)?.noteUsage(node, usage);
    });
    link.handle(MESSAGE.adapter, adapterSchema, async message => {
      const grant = await this.wantAdapter(
        as<ServiceName>(message.service),
        decodeNeed(message),
      );
      return encodeGrant(grant, clock.now());
    });
    link.handle(MESSAGE.missing, missingSchema, ({service, engine, model}) =>
      this.noteMissing(
        as<ServiceName>(service),
        as<EndpointId>(engine),
        as<ModelName>(model),
      ),
    );
    link.onClosed(() => {
      if (node && this.followers.get(node)?.connection === link) this.drop(node);
    });
  }

  noteUsage(service: ServiceName, usage: NodeUsage): void {
    this.allocators.get(service)?.noteUsage(this.options.self, usage);
  }

  noteMissing(
    service: ServiceName,
    engine: EndpointId,
    model: ModelName,
  ): void {
    this.allocators.get(service)?.noteMissing(engine, model);
  }

  async wantAdapter(
    service: ServiceName,
    need: AdapterNeed,
  ): Promise<AdapterGrant | undefined> {
    return this.allocators.get(service)?.wantAdapter(need);
  }

  /** Notes what this node has read from the store; the next tick passes it on. */
  noteProgress(progress: FollowerProgress): void {
    this.feed.note(progress);
  }

  /**
   * Forgets the nodes that are silent, and tells the others that this one lives and what
   * it has read. Returns what it told, for this node's own use.
   */
  tick(): AliveMessage {
    const {clock, reachesStore} = this.options;
    const now = clock.now();
    for (const [node, follower] of this.followers) {
      if (!follower.isGone(now)) continue;
      follower.connection.close();
      this.drop(node);
    }
    const sign = {
      nodes: this.nodeCount,
      reachesStore: reachesStore(),
      loadsAtOnce: this.ceiling.knownAtOnce,
      feed: this.feed.drain(),
      loads: this.loads(),
    };
    this.tell(MESSAGE.alive, sign);
    return sign;
  }

  /** Requests by engine, as told where many nodes share the engines. */
  private loads(): EndpointLoad[] {
    if (this.nodeCount <= FEW_NODES) return [];
    return [...this.allocators.values()].flatMap(({loads}) => [...loads]);
  }

  /** Ends all allocators and connections. */
  stop(): void {
    for (const allocator of this.allocators.values()) allocator.stop();
    for (const {connection: link} of this.followers.values()) {
      link.notify(MESSAGE.resign, {});
      link.close();
    }
    this.followers.clear();
  }

  private drop(node: NodeId): void {
    this.followers.delete(node);
    for (const allocator of this.allocators.values()) allocator.dropNode(node);
  }

  private open(service: ServiceName): Allocator {
    const {listener, clock, endpoints} = this.options;
    const allocator = Allocator.create({
      ...this.options,
      service,
      ceiling: this.ceiling,
      onHolding: holding => {
        listener.onHoldings(service, [holding]);
        this.tellHolding(service, holding);
      },
      onForecasts: forecasts => {
        if (forecasts.length === 0) return;
        listener.onForecasts(service, forecasts);
        for (const follower of this.followers.values()) {
          follower.tellForecasts(service, forecasts, clock.now());
        }
      },
    });
    this.allocators.set(service, allocator);
    for (const endpoint of endpoints()) {
      if (endpoint.service === service) allocator.noteEngine(endpoint);
    }
    return allocator;
  }

  /** Nodes whose requests wait for one of the models hear of it at once. */
  private tellHolding(service: ServiceName, holding: EngineHolding): void {
    const message = encodeHoldings(service, [holding]);
    const isFew = this.nodeCount <= FEW_NODES;
    for (const follower of this.followers.values()) {
      if (isFew || follower.waitsFor(service, holding.models)) {
        follower.connection.notify(MESSAGE.holdings, message);
      }
    }
    if (!isFew) this.tellLater(service, holding);
  }

  private tellLater(service: ServiceName, holding: EngineHolding): void {
    const engines = this.untold.get(service) ?? new Map();
    engines.set(holding.engine, holding);
    this.untold.set(service, engines);
    if (engines.size > 1) return;
    const {clock} = this.options;
    const wait = this.nodeCount * HOLDINGS_MILLISECONDS_PER_NODE;
    clock.schedule(after(clock.now(), wait), () => this.tellGathered(service));
  }

  private tellGathered(service: ServiceName): void {
    const holdings = [...(this.untold.get(service)?.values() ?? [])];
    this.untold.delete(service);
    this.tell(MESSAGE.holdings, encodeHoldings(service, holdings));
  }

  private tell(method: string, message: object): void {
    for (const {connection: link} of this.followers.values()) link.notify(method, message);
  }
}
