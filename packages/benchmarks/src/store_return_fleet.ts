/** Counts the calls that nodes make for their view of the platform, in virtual time. */

import type {EndpointDescription, Incarnation} from '@siskinmux/endpoints';
import {EndpointTable} from '@siskinmux/endpoints';
import type {GatewayPlatform} from '@siskinmux/gateway';
import {
  ActiveRoutes,
  ChangeFeed,
  PlatformView,
  encodeFeedUpdate,
  feedUpdateSchema,
  viewAgeLimits,
} from '@siskinmux/gateway';
import type {
  EndpointId,
  FailureDomain,
  Instant,
  Milliseconds,
  ObjectVersion,
  ServiceName,
  StoreEra,
} from '@siskinmux/kernel';
import {after, as, discardEvents} from '@siskinmux/kernel';
import type {MetadataChangeBatch, MetadataListing} from '@siskinmux/ports';
import type {RouteConfiguration, RouteVersion} from '@siskinmux/routes';
import {
  MemoryStore,
  SharedObjects,
  VirtualClock,
  createSeededRandom,
  mostInWindow,
} from '@siskinmux/testkit';

const EFFECT_MILLISECONDS: Milliseconds = 2_000;
const HEARTBEAT_MILLISECONDS: Milliseconds = 1_200;
const FEED_MILLISECONDS: Milliseconds = 300;
export const OUTAGE_MILLISECONDS: Milliseconds = 1_000;
export const PEAK_MILLISECONDS: Milliseconds = 100;
/** Time over which the store limits the read calls of all nodes. */
export const RATE_MILLISECONDS: Milliseconds = 1_000;
/** Objects in one response to a list, about; each page is a call. */
const PAGE_OBJECTS = 500;

/** What all nodes have asked of the store. */
export class StoreUse {
  lists = 0;
  watches = 0;
  /** Objects in the responses to lists. */
  listedObjects = 0;
  private readonly listTimes: Instant[] = [];
  private readonly callTimes: Instant[] = [];

  recordList(at: Instant): void {
    this.lists += 1;
    this.listTimes.push(at);
    this.callTimes.push(at);
  }

  recordObjects(count: number, at: Instant): void {
    this.listedObjects += count;
    for (let listed = PAGE_OBJECTS; listed < count; listed += PAGE_OBJECTS)
      this.callTimes.push(at);
  }

  recordWatch(at: Instant): void {
    this.watches += 1;
    this.callTimes.push(at);
  }

  /** Most lists within {@link PEAK_MILLISECONDS}. */
  get peakLists(): number {
    return mostInWindow(this.listTimes, PEAK_MILLISECONDS);
  }

  /** Most calls within {@link RATE_MILLISECONDS}. */
  get peakCalls(): number {
    return mostInWindow(this.callTimes, RATE_MILLISECONDS);
  }
}

/** Records the calls of one node. */
class CountedStore extends MemoryStore {
  constructor(
    shared: SharedObjects,
    private readonly time: VirtualClock,
    seed: number,
    private readonly use: () => StoreUse,
  ) {
    super(shared, time, createSeededRandom(seed));
  }

  override async list(kind: string): Promise<MetadataListing> {
    this.use().recordList(this.time.now());
    const listing = await super.list(kind);
    this.use().recordObjects(listing.objects.length, this.time.now());
    return listing;
  }

  override watch(
    kind: string,
    revision: ObjectVersion,
    waitUntil: Instant,
  ): Promise<MetadataChangeBatch> {
    const {calls} = this;
    const watched = super.watch(kind, revision, waitUntil);
    // A watch from a revision of an earlier era isn't sent.
    if (this.calls > calls) this.use().recordWatch(this.time.now());
    return watched;
  }
}

const PLATFORM = {
  configuration: {
    kind: 'configurations',
    name: 'main',
    decode: (content: unknown): RouteConfiguration => ({
      version: as<RouteVersion>(Number(content)),
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
    kind: 'endpoints',
    decode: ({name}): EndpointDescription => ({
      id: as<EndpointId>(name),
      incarnation: as<Incarnation>(name),
      service: as<ServiceName>('service'),
      softwareVersion: undefined,
      address: '127.0.0.1:1',
      failureDomain: as<FailureDomain>('a'),
      slots: 4,
      isDraining: false,
      orderCount: 0,
      models: [],
      copies: {inMemory: [], onDisk: []},
    }),
  },
} satisfies Pick<GatewayPlatform, 'configuration' | 'endpoints'>;

/** Nodes that follow the first one, the lease holder. */
export class ReturnFleet {
  private readonly clock = VirtualClock.create();
  private readonly shared = new SharedObjects();
  private readonly views: PlatformView[] = [];
  private readonly feed: ChangeFeed;
  private use = new StoreUse();

  constructor(
    private readonly nodes: number,
    endpoints: number,
  ) {
    const {clock, shared} = this;
    shared.era = as<StoreEra>(1);
    shared.put(PLATFORM.configuration.kind, 'main', 1);
    for (let index = 0; index < endpoints; index += 1)
      shared.put(PLATFORM.endpoints.kind, `endpoint-${index}`, {});
    this.feed = ChangeFeed.create({clock});
    for (let index = 0; index < nodes; index += 1)
      this.views.push(this.createView(index));
    this.scheduleFeed();
  }

  async advance(milliseconds: Milliseconds): Promise<StoreUse> {
    this.use = new StoreUse();
    await this.clock.advance(milliseconds);
    return this.use;
  }

  async comeBack(): Promise<void> {
    const {shared} = this;
    const copy = shared.copy();
    shared.put(PLATFORM.endpoints.kind, 'endpoint-0', {isLost: true});
    shared.isAway = true;
    await this.advance(OUTAGE_MILLISECONDS);
    shared.comeBack(copy);
  }

  stop(): void {
    for (const view of this.views) view.stop();
  }

  private createView(index: number): PlatformView {
    const {clock, shared} = this;
    const view = PlatformView.create({
      // The view reads nothing else of a platform.
      platform: PLATFORM as unknown as GatewayPlatform,
      store: new CountedStore(shared, clock, index + 1, () => this.use),
      routes: ActiveRoutes.create(discardEvents),
      table: EndpointTable.create(),
      clock,
      random: createSeededRandom(1_000 + index),
      emit: discardEvents,
      ageLimits: viewAgeLimits(EFFECT_MILLISECONDS),
      endpointHeartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
      onEndpointChanges: () => {},
      isFeedSource: () => index === 0,
      nodeCount: () => this.nodes,
      onRead: read => {
        if (index === 0) this.feed.record(read);
      },
    });
    void view.run();
    return view;
  }

  private scheduleFeed(): void {
    const {clock} = this;
    clock.schedule(after(clock.now(), FEED_MILLISECONDS), () => {
      const updates = this.feed
        .takeUpdates()
        .map(update => feedUpdateSchema.parse(encodeFeedUpdate(update)));
      for (const view of this.views.slice(1))
        view.applyFeed(updates, clock.now());
      this.scheduleFeed();
    });
  }
}
