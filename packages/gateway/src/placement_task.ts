/** Connects this node to the allocator, wherever it runs, and runs it while it holds the lease. */

import type {Server} from 'node:net';
import {createServer} from 'node:net';
import type {
  Clock,
  EmitEvent,
  EndpointId,
  Milliseconds,
  ModelName,
  Random,
  ServiceName,
} from '@siskinmux/kernel';
import {SiskinmuxError} from '@siskinmux/kernel';
import type {EndpointTable, TableChange} from '@siskinmux/endpoints';
import type {
  ClockReading,
  HolderSign,
  LeaseRules,
  LeaseSighting,
} from '@siskinmux/leases';
import type {Holding} from '@siskinmux/leases';
import {PeerUnreachableError} from '@siskinmux/membership';
import type {EngineOrders} from '@siskinmux/placement';
import type {ObjectStore} from '@siskinmux/ports';
import type {EngineDeclaration} from '@siskinmux/routes';
import type {NodeIdentity} from '@siskinmux/runtime';
import {repeat} from '@siskinmux/runtime';
import {ALIVE_MILLISECONDS, AllocatorHost} from './allocator_host.js';
import type {ChoiceDependencies, FindEndpoint} from './endpoint_choice.js';
import {findPlainEndpoint} from './endpoint_choice.js';
import type {FeedPart, FollowerProgress} from './change_feed.js';
import {LeaseStore} from './lease_store.js';
import type {Following} from './leadership.js';
import {Leadership} from './leadership.js';
import {PeerLink} from './peer_link.js';
import {PlacementClient, REPEAT_MILLISECONDS} from './placement_client.js';
import type {AliveMessage} from './placement_messages.js';
import {MESSAGE, helloSchema} from './placement_messages.js';
import {RemoteAllocator} from './remote_allocator.js';
import type {ActiveRoutes} from './route_state.js';

/** An allocator that says nothing for so long is lost: three signs of life. */
const SILENCE_MILLISECONDS: Milliseconds = 1_000;

/** What placement needs from its surroundings. */
export interface PlacementTaskOptions {
  readonly identity: NodeIdentity;
  /** Where other nodes connect to. */
  readonly listen: {readonly address: string; readonly port: number};
  readonly leaseRules: LeaseRules;
  /** How long this node lets stronger ones take the lease first. */
  readonly hesitation: Milliseconds;
  readonly loadWindowMilliseconds: Milliseconds;
  readonly store: ObjectStore;
  readonly orders: EngineOrders;
  readonly table: EndpointTable;
  readonly routes: ActiveRoutes;
  readonly choice: ChoiceDependencies;
  readonly reachesStore: () => boolean;
  readonly readClocks: () => ClockReading;
  readonly clock: Clock;
  readonly random: Random;
  readonly emit: EmitEvent;
  /** Told how many nodes the system has. */
  readonly onNodes: (nodes: number) => void;
  /** Told what the holder of the lease has read from the store. */
  readonly onFeed: (parts: readonly FeedPart[]) => void;
  readonly onFeedEnd: () => void;
}

/** Placement at one node. */
export class PlacementTask {
  private readonly client: PlacementClient;
  private readonly leadership: Leadership;
  private readonly server: Server;
  private readonly links = new Set<PeerLink>();
  private readonly findPlain: FindEndpoint;
  private host: AllocatorHost | undefined;
  private following: PeerLink | undefined;
  private knownLoadsAtOnce: number | undefined;

  private constructor(private readonly options: PlacementTaskOptions) {
    const {choice, routes, listen, store, clock, identity} = options;
    this.findPlain = findPlainEndpoint(choice);
    this.client = PlacementClient.create({
      ...options,
      load: choice.load,
      isDeclared: (service, model) =>
        this.engineOf(service)?.models.has(model) ?? false,
      engineServices: () => this.engineServices(),
    });
    this.leadership = Leadership.create({
      ...options,
      lease: LeaseStore.create({store, clock}),
      self: identity.id,
      address: `${listen.address}:${listen.port}`,
      rules: options.leaseRules,
      follow: sighting => this.follow(sighting),
      lead: holding => this.lead(holding),
      canHandOver: () => this.host?.anyFollowerReachesStore ?? false,
    });
    this.server = createServer(socket =>
      this.accept(PeerLink.create(socket, options)),
    );
    routes.onChange(({configuration}) => this.host?.declare(configuration));
  }

  static create(options: PlacementTaskOptions): PlacementTask {
    return new PlacementTask(options);
  }

  /** Finds an endpoint for a request to any service. */
  readonly find: FindEndpoint = need =>
    this.engineOf(need.service) !== undefined
      ? this.client.find(need)
      : this.findPlain(need);

  /** Starts to listen; {@link run} does the rest. */
  async start(): Promise<void> {
    const {listen, clock} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(listen.port, listen.address, resolve);
    });
    repeat(clock, ALIVE_MILLISECONDS, () => this.tick()).start();
    repeat(clock, REPEAT_MILLISECONDS, () => this.client.sendHeartbeat()).start();
  }

  /** Takes part until {@link stop}; rejects only for defects. */
  run(): Promise<void> {
    return this.leadership.run();
  }

  /** Gives the lease back, if this node holds it. */
  stop(): void {
    this.leadership.stop();
  }

  /** Notes that a request has begun or ended at an endpoint. */
  noteLoad(): void {
    this.client.noteLoad();
  }

  /** Notes that an engine does not have what it was believed to have. */
  noteMissing(endpoint: EndpointId, model: ModelName): void {
    this.client.noteMissing(endpoint, model);
  }

  /** Whether other nodes rely on what this one reads from the store. */
  get isFeeding(): boolean {
    return this.host !== undefined && this.host.nodeCount > 1;
  }

  /** Passes on what this node has read from the store, if it holds the lease. */
  noteProgress(progress: FollowerProgress): void {
    this.host?.noteProgress(progress);
  }

  /** Takes over changes of the list of endpoints. */
  noteEndpoints(changes: readonly TableChange[]): void {
    this.host?.noteEndpoints(changes);
  }

  /** What the operators declare of a service's engines; undefined for plain services. */
  private engineOf(service: ServiceName): EngineDeclaration | undefined {
    const {services} = this.options.routes.current?.configuration ?? {};
    return services?.get(service)?.engine;
  }

  private engineServices(): readonly ServiceName[] {
    const {services} = this.options.routes.current?.configuration ?? {};
    return [...(services?.values() ?? [])].flatMap(({name, engine}) =>
      engine === undefined ? [] : [name],
    );
  }

  private accept(link: PeerLink): void {
    this.links.add(link);
    link.onClosed(() => this.links.delete(link));
    if (this.host !== undefined) {
      this.host.accept(link);
      return;
    }
    const {id} = this.options.identity;
    link.handle(MESSAGE.hello, helloSchema, () => ({
      node: id,
      isHolder: false,
    }));
  }

  private async follow(
    sighting: LeaseSighting,
  ): Promise<Following | HolderSign> {
    const {identity} = this.options;
    const {address, holder} = sighting.record;
    let link: PeerLink;
    try {
      link = await PeerLink.connect(address, this.options);
    } catch (failure) {
      if (!(failure instanceof PeerUnreachableError)) throw failure;
      return isRefusal(failure.cause) ? 'gone' : 'silent';
    }
    const allocator = RemoteAllocator.create({
      ...this.options,
      peerConnection: link,
      listener: this.client,
      onAlive: sign => {
        this.noteSign(sign);
        this.knownLoadsAtOnce = sign.loadsAtOnce;
        this.options.onFeed(sign.feed);
      },
    });
    try {
      const {node, isHolder} = await allocator.hello(identity.id);
      if (isHolder && node === holder) {
        return {ended: this.stayConnected(link, allocator)};
      }
      link.close();
      return node === holder ? 'resigned' : 'gone';
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      link.close();
      return 'silent';
    }
  }

  private stayConnected(
    link: PeerLink,
    allocator: RemoteAllocator,
  ): Promise<string> {
    const {clock} = this.options;
    this.following = link;
    this.client.setAllocator(allocator);
    return new Promise(resolve => {
      const end = (reason: string): void => {
        if (this.following === link) {
          this.options.onFeedEnd();
          this.following = undefined;
          this.client.setAllocator(undefined);
        }
        resolve(reason);
        link.close();
      };
      link.handle(MESSAGE.resign, helloSchema.partial(), () => end('resigned'));
      link.onClosed(() => {
        const isSilent = link.silentFor(clock.now()) > SILENCE_MILLISECONDS;
        end(isSilent ? 'silent' : 'closed');
      });
    });
  }

  private lead(holding: Holding): {end: () => void} {
    const {identity, routes, table, readClocks, emit} = this.options;
    const host = AllocatorHost.create({
      ...this.options,
      authority: () =>
        holding.mayOrder(readClocks())
          ? {holder: identity.id, fencingNumber: holding.term}
          : undefined,
      onFenced: () => this.leadership.noteFenced(),
      knownLoadsAtOnce: this.knownLoadsAtOnce,
      self: identity.id,
      listener: this.client,
      endpoints: () => table.all,
      emit,
    });
    this.host = host;
    if (routes.current !== undefined)
      host.declare(routes.current.configuration);
    this.client.setAllocator(host);
    return {
      end: () => {
        this.host = undefined;
        this.client.setAllocator(undefined);
        host.stop();
      },
    };
  }

  /** Takes over what a sign of life says of the system, this node's own as well. */
  private noteSign({nodes, loads}: AliveMessage): void {
    if (loads.length > 0) this.options.choice.clusterLoad.update(loads);
    this.client.noteNodes(nodes);
    this.options.onNodes(nodes);
  }

  private tick(): void {
    const {clock} = this.options;
    if (this.host !== undefined) this.noteSign(this.host.tick());
    if (this.following === undefined) return;
    if (this.following.silentFor(clock.now()) > SILENCE_MILLISECONDS) {
      this.following.close();
    }
  }
}

/** Whether nothing listens at an address: the process that did has ended. */
function isRefusal(cause: unknown): boolean {
  return (
    cause instanceof Error && 'code' in cause && cause.code === 'ECONNREFUSED'
  );
}
