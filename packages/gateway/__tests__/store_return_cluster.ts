/**
 * Nodes that follow a store which returns from older copies of itself. The operator and the
 * endpoints write again what it has lost; the nodes must not go back meanwhile.
 */

import type {EndpointDescription, Incarnation} from '@siskinmux/endpoints';
import {EndpointTable} from '@siskinmux/endpoints';
import type {
  EndpointId,
  FailureDomain,
  Instant,
  Milliseconds,
  Random,
  ServiceName,
} from '@siskinmux/kernel';
import {after, as, discardEvents, randomBelow} from '@siskinmux/kernel';
import type {RouteConfiguration, RouteVersion} from '@siskinmux/routes';
import type {StoreCopy} from '@siskinmux/testkit';
import {
  MemoryStore,
  SharedObjects,
  VirtualClock,
  createSeededRandom,
} from '@siskinmux/testkit';
import {z} from 'zod';
import {ActiveRoutes} from '../src/active_routes.js';
import {
  ChangeFeed,
  encodeFeedUpdate,
  feedUpdateSchema,
} from '../src/change_feed.js';
import type {GatewayPlatform} from '../src/gateway_platform.js';
import {KNOWN_WITHIN_MILLISECONDS} from './knowledge_cluster.js';
import {PlatformView} from '../src/platform_view.js';
import {viewAgeLimits} from '../src/view_age_limits.js';

const SERVICE = as<ServiceName>('till');
const CONFIGURATIONS = 'config';
const ENDPOINTS = 'servers';

const EFFECT_MILLISECONDS: Milliseconds = 2_000;
const HEARTBEAT_MILLISECONDS: Milliseconds = 1_200;
const EXPIRY_MILLISECONDS: Milliseconds = 3 * HEARTBEAT_MILLISECONDS;
const EXPIRY_CHECK_MILLISECONDS: Milliseconds = 250;
const FEED_MILLISECONDS: Milliseconds = 300;
const CHECK_MILLISECONDS: Milliseconds = 20;
const COPY_MILLISECONDS: Milliseconds = 500;
const OLDEST_COPY_MILLISECONDS: Milliseconds = 6_000;

/** The disturbances of a node and of the store have to be over for so long. */
const STABLE_MILLISECONDS: Milliseconds = 3_000;

const entrySchema = z.object({born: z.number(), isDraining: z.boolean()});

/** Decodes only what this test stores. */
const PLATFORM = {
  configuration: {
    kind: CONFIGURATIONS,
    name: 'main',
    decode: (content: unknown): RouteConfiguration => ({
      version: as<RouteVersion>(z.number().parse(content)),
      routes: [],
      services: new Map(),
      limits: {
        maximumHeaderBytes: 1,
        maximumBodyBytes: 1,
        headerTimeoutMilliseconds: 1,
        idleTimeoutMilliseconds: 1,
      },
    }),
  },
  endpoints: {
    kind: ENDPOINTS,
    decode: ({name, content}): EndpointDescription => {
      const {born, isDraining} = entrySchema.parse(content);
      return {
        id: as<EndpointId>(name),
        incarnation: as<Incarnation>(`${name}@${born}`),
        service: SERVICE,
        softwareVersion: undefined,
        address: '127.0.0.1:1',
        failureDomain: as<FailureDomain>('a'),
        slots: 4,
        isDraining,
        orderCount: 0,
        models: [],
        copies: {inMemory: [], onDisk: []},
      };
    },
  },
} satisfies Pick<GatewayPlatform, 'configuration' | 'endpoints'>;

/** An endpoint, which writes its entry again if the store lacks it. */
class Endpoint {
  readonly born: number;
  isDraining = false;
  /** When the store first acknowledged that it leaves. */
  leftAt: Instant | undefined;
  /** Whether all undisturbed nodes know that it leaves, whatever the store loses afterwards. */
  isKnownToLeave = false;
  /** When its process has ended; its entry expires later. */
  endedAt: Instant | undefined;

  constructor(
    readonly id: string,
    readonly startedAt: Instant,
  ) {
    this.born = startedAt;
  }

  get incarnation(): Incarnation {
    return as<Incarnation>(`${this.id}@${this.born}`);
  }

  get entry(): z.infer<typeof entrySchema> {
    return {born: this.born, isDraining: this.isDraining};
  }
}

/** One node. */
class ReturnNode {
  readonly table = EndpointTable.create();
  readonly routes = ActiveRoutes.create(discardEvents);
  readonly store: MemoryStore;
  readonly view: PlatformView;
  readonly feed: ChangeFeed;
  disturbedUntil: Instant;
  /** The greatest version that it has routed by. */
  version = 0;

  constructor(
    clock: VirtualClock,
    shared: SharedObjects,
    seed: number,
    isHolder: () => boolean,
    nodeCount: number,
  ) {
    this.disturbedUntil = after(clock.now(), 1_000);
    const random = createSeededRandom(seed);
    this.store = new MemoryStore(shared, clock, random);
    this.feed = ChangeFeed.create({clock});
    this.view = PlatformView.create({
      platform: PLATFORM as unknown as GatewayPlatform,
      store: this.store,
      routes: this.routes,
      table: this.table,
      clock,
      random,
      emit: discardEvents,
      ageLimits: viewAgeLimits(EFFECT_MILLISECONDS),
      endpointHeartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
      onEndpointChanges: () => {},
      isFeedSource: isHolder,
      nodeCount: () => nodeCount,
      onRead: read => this.feed.record(read),
    });
    void this.view.run();
  }

  isUsing(endpoint: Endpoint): boolean {
    return this.table
      .availableFor(SERVICE)
      .some(({incarnation}) => incarnation === endpoint.incarnation);
  }
}

/** The store, its writers and the nodes. */
export class ReturnCluster {
  readonly clock = VirtualClock.create();
  readonly shared = new SharedObjects();
  readonly violations: string[] = [];
  private readonly random: Random;
  private readonly nodes: ReturnNode[] = [];
  private endpoints: Endpoint[] = [];
  private readonly gone: Endpoint[] = [];
  private copies: {readonly at: Instant; readonly copy: StoreCopy}[] = [];
  private version = 1;
  private acknowledgedAt: Instant;
  private unstableUntil: Instant;
  private isStopped = false;
  private nextId = 1;

  constructor(seed: number, nodeCount = 3) {
    const {clock, shared} = this;
    this.random = createSeededRandom(seed);
    this.acknowledgedAt = clock.now();
    this.unstableUntil = clock.now();
    shared.era = as<typeof shared.era>(1);
    this.applyConfiguration();
    for (let index = 0; index < 5; index += 1) this.startEndpoint();
    for (let index = 0; index < nodeCount; index += 1)
      this.nodes.push(
        new ReturnNode(
          clock,
          shared,
          seed * 100 + index,
          () => index === 0 && nodeCount > 1,
          nodeCount,
        ),
      );
    this.repeat(FEED_MILLISECONDS, () => this.sendFeed());
    this.repeat(CHECK_MILLISECONDS, () => this.check());
    this.repeat(COPY_MILLISECONDS, () => this.keepCopy());
    this.repeat(HEARTBEAT_MILLISECONDS, () => this.writeAgain());
    this.repeat(EXPIRY_CHECK_MILLISECONDS, () => {
      this.expire();
      for (const {table, view} of this.nodes)
        table.expire(clock.now(), view.endpointsKnownUntil);
    });
  }

  /** One random change or disturbance. */
  act(): void {
    const {random, shared, clock} = this;
    const node = this.nodes[randomBelow(random, this.nodes.length)]!;
    const endpoint = this.endpoints[randomBelow(random, this.endpoints.length)];
    const draw = random();
    if (draw < 0.12) this.returnSoon();
    else if (draw < 0.2) {
      node.store.isUnreachable = true;
      const end = after(clock.now(), randomBelow(random, 4_000));
      node.disturbedUntil = after(end, STABLE_MILLISECONDS);
      clock.schedule(end, () => {
        node.store.isUnreachable = false;
      });
    } else if (shared.isAway) return;
    else if (draw < 0.5) this.applyConfiguration();
    else if (draw < 0.65) this.startEndpoint();
    else if (endpoint !== undefined && this.endpoints.length > 2)
      this.removeEndpoint(endpoint, draw < 0.85);
  }

  stop(): void {
    this.isStopped = true;
    for (const {view} of this.nodes) view.stop();
  }

  private returnSoon(): void {
    const {clock, shared, random} = this;
    if (shared.isAway) return;
    const copy = this.copies[randomBelow(random, this.copies.length)];
    if (copy === undefined) return;
    const back = after(clock.now(), 200 + randomBelow(random, 1_300));
    shared.isAway = true;
    this.unstableUntil = after(back, STABLE_MILLISECONDS);
    clock.schedule(back, () => {
      shared.comeBack(copy.copy);
      // Copies of the branch that is lost are none of this one.
      this.copies = [{at: back, copy: shared.copy()}];
      clock.schedule(after(back, randomBelow(random, 800)), () => {
        if (!shared.isAway) this.writeConfiguration();
      });
    });
  }

  private applyConfiguration(): void {
    this.version += 1 + randomBelow(this.random, 3);
    this.acknowledgedAt = this.clock.now();
    this.writeConfiguration();
  }

  private writeConfiguration(): void {
    this.put(CONFIGURATIONS, 'main', this.version);
  }

  private startEndpoint(): void {
    const endpoint = new Endpoint(`s${this.nextId}`, this.clock.now());
    this.nextId += 1;
    this.endpoints.push(endpoint);
    this.put(ENDPOINTS, endpoint.id, endpoint.entry);
  }

  /** It drains first, or its entry goes at once; a draining one stays listed for some time. */
  private removeEndpoint(endpoint: Endpoint, drains: boolean): void {
    const {clock, shared, random} = this;
    this.recordLeft(endpoint);
    if (drains) {
      endpoint.isDraining = true;
      this.put(ENDPOINTS, endpoint.id, endpoint.entry);
      const end = after(clock.now(), 2_000 + randomBelow(random, 3_000));
      clock.schedule(end, () => this.end(endpoint));
    } else {
      if (!shared.isAway) shared.remove(ENDPOINTS, endpoint.id);
      this.end(endpoint);
    }
  }

  /** What is acknowledged while the store is unstable may be lost before any node has read it. */
  private recordLeft(endpoint: Endpoint): void {
    const {clock, unstableUntil} = this;
    if (endpoint.leftAt !== undefined) return;
    const leftAt = clock.now();
    endpoint.leftAt = leftAt;
    if (leftAt < unstableUntil) return;
    clock.schedule(after(leftAt, KNOWN_WITHIN_MILLISECONDS), () => {
      endpoint.isKnownToLeave = this.unstableUntil === unstableUntil;
    });
  }

  private end(endpoint: Endpoint): void {
    const {clock, shared} = this;
    endpoint.endedAt ??= clock.now();
    if (!shared.isAway) shared.remove(ENDPOINTS, endpoint.id);
    this.endpoints = this.endpoints.filter(other => other !== endpoint);
    if (!this.gone.includes(endpoint)) this.gone.push(endpoint);
  }

  /** A write that changes nothing has no effect. */
  private put(kind: string, name: string, content: unknown): void {
    const stored = this.shared.objects.get(`${kind}/${name}`);
    if (JSON.stringify(stored?.content) !== JSON.stringify(content))
      this.shared.put(kind, name, content);
  }

  private writeAgain(): void {
    if (this.shared.isAway) return;
    for (const endpoint of this.endpoints)
      this.put(ENDPOINTS, endpoint.id, endpoint.entry);
  }

  /** Entries of processes that have ended, which a copy has brought back. */
  private expire(): void {
    const {clock, shared} = this;
    if (shared.isAway) return;
    const returnedAt = after(this.unstableUntil, -STABLE_MILLISECONDS);
    for (const {id, endedAt} of this.gone) {
      if (endedAt === undefined) continue;
      const silentSince = Math.max(endedAt, returnedAt) as Instant;
      if (clock.now() >= after(silentSince, EXPIRY_MILLISECONDS))
        shared.remove(ENDPOINTS, id);
    }
  }

  private keepCopy(): void {
    const {clock, shared} = this;
    if (shared.isAway) return;
    const oldest = after(clock.now(), -OLDEST_COPY_MILLISECONDS);
    this.copies = [
      ...this.copies.filter(({at}) => at >= oldest),
      {at: clock.now(), copy: shared.copy()},
    ];
  }

  private sendFeed(): void {
    const [holder, ...followers] = this.nodes;
    const now = this.clock.now();
    const messages = JSON.parse(
      JSON.stringify(holder!.feed.takeUpdates().map(encodeFeedUpdate)),
    );
    const updates = z.array(feedUpdateSchema).parse(messages);
    for (const {view} of followers) view.applyFeed(updates, now);
  }

  private check(): void {
    const now = this.clock.now();
    for (const [index, node] of this.nodes.entries()) {
      const version = node.routes.current?.configuration.version ?? 0;
      if (version < node.version)
        this.violate(`node ${index} went back from ${node.version}`);
      node.version = Math.max(node.version, version);
      if (now < node.disturbedUntil) continue;
      this.checkLeft(index, node, now);
      if (now < this.unstableUntil || this.shared.isAway) continue;
      this.checkStable(index, node, now);
    }
  }

  private checkStable(index: number, node: ReturnNode, now: Instant): void {
    const isVersionDue =
      now >= after(this.acknowledgedAt, EFFECT_MILLISECONDS) &&
      node.version !== this.version;
    if (isVersionDue)
      this.violate(`node ${index} has ${node.version}, not ${this.version}`);
    for (const endpoint of this.endpoints) {
      const isDue = now >= after(endpoint.startedAt, EFFECT_MILLISECONDS);
      if (isDue && endpoint.leftAt === undefined && !node.isUsing(endpoint))
        this.violate(`node ${index} doesn't use ${endpoint.id}`);
    }
  }

  /** What a node could know before the store returned, it has to heed after that, too. */
  private checkLeft(index: number, node: ReturnNode, now: Instant): void {
    for (const endpoint of [...this.endpoints, ...this.gone]) {
      const {leftAt, isKnownToLeave} = endpoint;
      if (leftAt === undefined || !isKnownToLeave) continue;
      const isLate = now >= after(leftAt, EFFECT_MILLISECONDS);
      const isDisturbed = leftAt < node.disturbedUntil;
      if (isLate && !isDisturbed && node.isUsing(endpoint))
        this.violate(`node ${index} uses ${endpoint.id}, which has left`);
    }
  }

  private violate(what: string): void {
    if (this.violations.some(text => text.endsWith(what))) return;
    this.violations.push(`${Math.round(this.clock.now())}: ${what}`);
  }

  private repeat(interval: Milliseconds, work: () => void): void {
    const {clock} = this;
    clock.schedule(after(clock.now(), interval), () => {
      if (this.isStopped) return;
      work();
      this.repeat(interval, work);
    });
  }
}

/** Plays random changes, disturbances and returns; resolves to what went wrong. */
export async function playReturns(
  seed: number,
  nodeCount = 3,
): Promise<readonly string[]> {
  const cluster = new ReturnCluster(seed, nodeCount);
  const random = createSeededRandom(seed + 1_000);
  await cluster.clock.advance(3_000);
  for (let step = 0; step < 60; step += 1) {
    cluster.act();
    await cluster.clock.advance(randomBelow(random, 900));
  }
  await cluster.clock.advance(6_000);
  cluster.stop();
  return cluster.violations;
}
