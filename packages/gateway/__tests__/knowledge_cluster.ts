/** The lease holder and its followers, which read one kind of object, in virtual time. */

import type {
  Instant,
  Milliseconds,
  ObjectVersion,
  Random,
  StoreEra,
} from '@siskinmux/kernel';
import {
  after,
  as,
  discardEvents,
  randomBelow,
  sleepFor,
} from '@siskinmux/kernel';
import type {
  MetadataChangeBatch,
  MetadataListing,
  MetadataObject,
  MetadataStore,
  ReadOptions,
} from '@siskinmux/ports';
import {
  ChangesTooLongError,
  HistoryGoneError,
  PlatformUnavailableError,
} from '@siskinmux/ports';
import {
  MemoryStore,
  SharedObjects,
  VirtualClock,
  createSeededRandom,
} from '@siskinmux/testkit';
import {ChangeFeed} from '../src/change_feed.js';
import type {FeedUpdate} from '../src/change_feed.js';
import {KindWatcher} from '../src/kind_watcher.js';
import {viewAgeLimits} from '../src/view_age_limits.js';

export const KIND = 'servers';

/** When a change has to be known, with time left for a send that begins just before. */
export const KNOWN_WITHIN_MILLISECONDS: Milliseconds = 1_600;

const AGE_LIMITS = viewAgeLimits(2_000);

const HEARTBEAT_MILLISECONDS: Milliseconds = 300;
const LINK_MILLISECONDS: Milliseconds = 2;
const RESPONSE_MILLISECONDS: Milliseconds = 4;
const LIST_TIMEOUT_MILLISECONDS: Milliseconds = 1_500;
const WATCH_GRACE_MILLISECONDS: Milliseconds = 700;
/** A node that loses more than one call in this time has lost the store. */
const LOSS_INTERVAL_MILLISECONDS: Milliseconds = 3_000;
const CHECK_INTERVAL_MILLISECONDS: Milliseconds = 20;

/** Watches that have been cut find the history dropped this much later. */
const DROP_DELAY_MILLISECONDS: Milliseconds = 60;

/** The store's side of a period in which watches hear nothing before the history is dropped. */
export class DeafPeriod {
  until: Instant | undefined;

  /** When the history before the period's end is gone. */
  get droppedAt(): Instant | undefined {
    return this.until && after(this.until, DROP_DELAY_MILLISECONDS);
  }
}

/** Part of a response that a link carries at a time. */
const SEGMENT_BYTES = 16_384;

/** A node's link, which carries all its responses in turn. */
export class NodeLink {
  /** Responses that are under way. */
  transfers = 0;
  mostTransfers = 0;
  carriedBytes = 0;
  private freeAt: Instant;

  constructor(
    private readonly clock: VirtualClock,
    private readonly bytesPerMillisecond: number,
  ) {
    this.freeAt = clock.now();
  }

  /** Carries a response; ends early once nobody waits for it any more. */
  async carry(
    bytes: number,
    isWanted: () => boolean,
    onProgress: (receivedBytes: number) => void,
  ): Promise<void> {
    const {clock} = this;
    this.transfers += 1;
    this.mostTransfers = Math.max(this.mostTransfers, this.transfers);
    for (let sent = 0; sent < bytes && isWanted();) {
      const segment = Math.min(SEGMENT_BYTES, bytes - sent);
      const startAt = as<Instant>(Math.max(clock.now(), this.freeAt));
      this.freeAt = after(startAt, segment / this.bytesPerMillisecond);
      await sleepFor(clock, this.freeAt - clock.now());
      sent += segment;
      this.carriedBytes += segment;
      if (isWanted()) onProgress(sent);
    }
    this.transfers -= 1;
  }
}

/** Length of objects in a response; most of a large one is padding. */
function lengthOf(objects: readonly MetadataObject[]): number {
  return objects.reduce((sum, {content}) => {
    const padding = (content as {padding?: string} | null)?.padding ?? '';
    return sum + 200 + padding.length;
  }, 200);
}

/** One node's way to the store, whose calls can be lost. */
class LossyStore implements MetadataStore {
  calls = 0;
  /** Calls that are sent while this is positive get no response, one each. */
  callsToLose = 0;
  /** Responses arrive no earlier than this. */
  responsesHeldUntil: Instant | undefined;
  /** Time until a response begins. */
  headMilliseconds: Milliseconds = 0;
  /** Calls are rejected until then. */
  refusedUntil: Instant | undefined;
  /** Incremented when the open connections fall silent. */
  private connections = 0;
  private readonly store: MemoryStore;

  constructor(
    private readonly clock: VirtualClock,
    private readonly shared: SharedObjects,
    private readonly deaf: DeafPeriod,
    random: Random,
    private readonly link: NodeLink,
  ) {
    this.store = new MemoryStore(shared, clock, random);
  }

  get era(): StoreEra {
    return this.store.era;
  }

  /** Nothing more arrives on the connections that are open now. */
  silenceOpenConnections(): void {
    this.connections += 1;
  }

  async list(
    kind: string,
    _mayBeStale?: boolean,
    options?: ReadOptions,
  ): Promise<MetadataListing> {
    return this.call(
      after(this.clock.now(), LIST_TIMEOUT_MILLISECONDS),
      async () => {
        const listing = await this.store.list(kind);
        return [listing, lengthOf(listing.objects)];
      },
      options,
    );
  }

  read(kind: string, name: string): ReturnType<MetadataStore['read']> {
    return this.store.read(kind, name);
  }

  async watch(
    kind: string,
    revision: ObjectVersion,
    waitUntil: Instant,
    options?: ReadOptions,
  ): Promise<MetadataChangeBatch> {
    return this.call(
      after(waitUntil, WATCH_GRACE_MILLISECONDS),
      async () => {
        const batch = await this.hear(kind, revision, waitUntil);
        const length = lengthOf(batch.changes.map(({object}) => object));
        const {maximumBytes = Infinity} = options ?? {};
        if (length > maximumBytes)
          throw new ChangesTooLongError(kind, revision, maximumBytes);
        return [batch, length];
      },
      options,
    );
  }

  write(...write: Parameters<MetadataStore['write']>): Promise<ObjectVersion> {
    return this.store.write(...write);
  }

  remove(kind: string, name: string): Promise<void> {
    return this.store.remove(kind, name);
  }

  /** A watch that is open when the history is dropped notices that with the next change only. */
  private async hear(
    kind: string,
    revision: ObjectVersion,
    waitUntil: Instant,
  ): Promise<MetadataChangeBatch> {
    const {clock, deaf, shared} = this;
    const {until, droppedAt} = deaf;
    await sleepFor(clock, RESPONSE_MILLISECONDS);
    if (until === undefined || droppedAt === undefined)
      return this.store.watch(kind, revision, waitUntil);
    if (clock.now() < until) {
      await sleepFor(clock, until - clock.now());
      throw new PlatformUnavailableError('cut');
    }
    const revisionAtDrop = shared.compactedBefore;
    if (clock.now() < droppedAt) {
      const before = shared.revision;
      while (
        shared.revision === before &&
        clock.now() < after(waitUntil, 5_000)
      )
        await sleepFor(clock, CHECK_INTERVAL_MILLISECONDS);
    }
    if (revision < revisionAtDrop) throw new HistoryGoneError(kind, revision);
    return this.store.watch(kind, revision, waitUntil);
  }

  /** A call whose head has to arrive in time, and which ends if nothing arrives for long. */
  private async call<Response>(
    headUntil: Instant,
    respond: () => Promise<readonly [Response, number]>,
    {onProgress, signal}: ReadOptions = {},
  ): Promise<Response> {
    const {clock} = this;
    this.calls += 1;
    const connection = this.connections;
    const isLost = this.callsToLose > 0;
    if (isLost) this.callsToLose -= 1;
    let timeoutAt = headUntil;
    let isOver = false;
    const timeout = (async (): Promise<never> => {
      while (clock.now() < timeoutAt && !signal?.aborted)
        await sleepFor(
          clock,
          Math.min(CHECK_INTERVAL_MILLISECONDS, timeoutAt - clock.now()),
        );
      isOver = true;
      throw new PlatformUnavailableError('timeout');
    })();
    timeout.catch(() => {});
    if (isLost) return timeout;
    const {refusedUntil} = this;
    if (refusedUntil !== undefined && clock.now() < refusedUntil) {
      await sleepFor(clock, RESPONSE_MILLISECONDS);
      throw new PlatformUnavailableError('status 503');
    }
    const response = (async () => {
      await sleepFor(clock, this.headMilliseconds);
      const [received, length] = await respond();
      if (connection !== this.connections) return timeout;
      const {responsesHeldUntil} = this;
      if (responsesHeldUntil !== undefined && responsesHeldUntil > clock.now())
        await sleepFor(clock, responsesHeldUntil - clock.now());
      await this.link.carry(
        length,
        () => !isOver && !signal?.aborted,
        receivedBytes => {
          timeoutAt = after(clock.now(), LIST_TIMEOUT_MILLISECONDS);
          onProgress?.(receivedBytes);
        },
      );
      return received;
    })();
    return Promise.race([response, timeout]);
  }
}

/** One node. */
export class KnowledgeNode {
  readonly known = new Set<string>();
  readonly feed: ChangeFeed;
  readonly store: LossyStore;
  readonly watcher: KindWatcher;
  readonly link: NodeLink;
  /** Delay of what the holder sends to this node, beyond that of the link. */
  feedDelay: Milliseconds = 0;
  private deliveredAt: Instant;
  /** The last pulse of this node that has reached the holder. */
  private pulse: Instant | undefined;
  private nextPulseAt: Instant | undefined;
  private nextLossAt: Instant | undefined;

  constructor(
    private readonly clock: VirtualClock,
    shared: SharedObjects,
    deaf: DeafPeriod,
    seed: number,
    isHolder: boolean,
    bytesPerMillisecond: number,
  ) {
    this.deliveredAt = clock.now();
    const random = createSeededRandom(seed);
    this.link = new NodeLink(clock, bytesPerMillisecond);
    this.store = new LossyStore(clock, shared, deaf, random, this.link);
    this.feed = ChangeFeed.create({clock});
    this.watcher = KindWatcher.create({
      store: this.store,
      kind: KIND,
      clock,
      random,
      emit: discardEvents,
      ageLimits: AGE_LIMITS,
      batchMilliseconds: () =>
        isHolder ? AGE_LIMITS.feedSourceBatch : AGE_LIMITS.batch,
      outageMilliseconds: 2_400,
      isFeedSource: () => isHolder,
      nodeCount: () => 1,
      onRead: read => this.feed.record(read),
      reregistrationGraceMilliseconds: 2_200,
      handler: {
        onList: ({objects}) => {
          for (const object of objects) this.learn(object);
        },
        onChanges: changes => {
          for (const {object} of changes) this.learn(object);
          return changes;
        },
      },
    });
    void this.watcher.run();
  }

  /** A large object lists the changes that it holds. */
  private learn({name, content}: MetadataObject): void {
    const {holds = [name]} = content as {holds?: readonly string[]};
    for (const change of holds) this.known.add(change);
  }

  /** Whether the node chooses by what it knows now. */
  get isChoosing(): boolean {
    return this.known.size > 0 && this.watcher.isDecidable;
  }

  private sendPulse(): void {
    const {clock} = this;
    const now = clock.now();
    if (this.nextPulseAt !== undefined && now < this.nextPulseAt) return;
    this.nextPulseAt = after(now, AGE_LIMITS.pulse);
    clock.schedule(after(now, LINK_MILLISECONDS), () => {
      this.pulse = now;
    });
  }

  /** Loses something on the way to the store, unless that has happened lately. */
  loseOnce(lose: () => void): void {
    const now = this.clock.now();
    if (this.nextLossAt !== undefined && now < this.nextLossAt) return;
    this.nextLossAt = after(now, LOSS_INTERVAL_MILLISECONDS);
    lose();
  }

  /** Sends updates to this node over a link that keeps their order. */
  deliver(updates: readonly FeedUpdate[]): void {
    const {clock, pulse} = this;
    const arrivesAt = after(clock.now(), LINK_MILLISECONDS + this.feedDelay);
    this.deliveredAt = as<Instant>(Math.max(arrivesAt, this.deliveredAt));
    clock.schedule(this.deliveredAt, () => {
      for (const update of updates) this.watcher.applyFeed(update, pulse);
      this.sendPulse();
    });
  }
}

/** A change and when the store acknowledged it. */
interface Acknowledged {
  readonly name: string;
  readonly at: Instant;
}

/** What differs from small objects and a fast link. */
export interface KnowledgeClusterOptions {
  readonly nodeCount?: number;
  /** Each change is a version of one object that is this long; undefined for small objects. */
  readonly objectBytes?: number;
  readonly bytesPerMillisecond?: number;
}

/** 1,000 Mbit/s. */
const FAST_LINK_BYTES_PER_MILLISECOND = 125_000;

/** The store, the lease holder and its followers. */
export class KnowledgeCluster {
  readonly clock = VirtualClock.create();
  readonly shared = new SharedObjects();
  readonly deaf = new DeafPeriod();
  readonly nodes: readonly KnowledgeNode[];
  /** The longest time for which a node chose without knowing a change. */
  longestIgnorance: Milliseconds = 0;
  isHolderSending = true;
  private readonly acknowledged: Acknowledged[] = [];
  private readonly padding: string | undefined;
  private isStopped = false;

  constructor(
    seed: number,
    {
      nodeCount = 4,
      objectBytes,
      bytesPerMillisecond = FAST_LINK_BYTES_PER_MILLISECOND,
    }: KnowledgeClusterOptions = {},
  ) {
    this.padding =
      objectBytes === undefined ? undefined : 'x'.repeat(objectBytes);
    this.shared.put(KIND, 'first', {padding: this.padding});
    this.nodes = Array.from(
      {length: nodeCount},
      (_, index) =>
        new KnowledgeNode(
          this.clock,
          this.shared,
          this.deaf,
          seed * 100 + index,
          index === 0,
          bytesPerMillisecond,
        ),
    );
    this.sendFeed();
    this.check();
  }

  get holder(): KnowledgeNode {
    return this.nodes[0]!;
  }

  get followers(): readonly KnowledgeNode[] {
    return this.nodes.slice(1);
  }

  /** The store acknowledges a change. */
  acknowledge(name: string): void {
    this.acknowledged.push({name, at: this.clock.now()});
    const {padding} = this;
    if (padding === undefined) this.shared.put(KIND, name, {});
    else {
      const holds = this.acknowledged.map(change => change.name);
      this.shared.put(KIND, 'first', {padding, holds});
    }
  }

  /** Watches hear nothing for a time, then are cut, and the history is dropped. */
  dropHistoryAfter(milliseconds: Milliseconds): void {
    const {clock, deaf, shared} = this;
    deaf.until = after(clock.now(), milliseconds);
    clock.schedule(deaf.until, () => {
      shared.compactedBefore = shared.revision;
    });
    clock.schedule(after(deaf.until, 5_000), () => {
      deaf.until = undefined;
    });
  }

  stop(): void {
    this.isStopped = true;
    for (const {watcher} of this.nodes) watcher.stop();
  }

  private sendFeed(): void {
    if (this.isStopped) return;
    if (this.isHolderSending) {
      const updates = this.holder.feed.takeUpdates();
      for (const follower of this.followers) follower.deliver(updates);
    }
    this.clock.schedule(after(this.clock.now(), HEARTBEAT_MILLISECONDS), () =>
      this.sendFeed(),
    );
  }

  private check(): void {
    if (this.isStopped) return;
    const now = this.clock.now();
    for (const {name, at} of this.acknowledged) {
      const isIgnored = this.nodes.some(
        node => node.isChoosing && !node.known.has(name),
      );
      if (isIgnored)
        this.longestIgnorance = Math.max(this.longestIgnorance, now - at);
    }
    this.clock.schedule(after(now, CHECK_INTERVAL_MILLISECONDS), () =>
      this.check(),
    );
  }
}

/** Plays random changes and disturbances; resolves to the longest time a change was ignored. */
export async function playHistory(
  seed: number,
  disturbances: readonly ((
    cluster: KnowledgeCluster,
    node: KnowledgeNode,
    random: Random,
  ) => void)[],
  options?: KnowledgeClusterOptions,
): Promise<Milliseconds> {
  const cluster = new KnowledgeCluster(seed, options);
  const random = createSeededRandom(seed);
  await cluster.clock.advance(2_000);
  for (let step = 0; step < 40; step += 1) {
    await cluster.clock.advance(randomBelow(random, 500));
    if (randomBelow(random, 3) === 0) {
      const disturb = disturbances[randomBelow(random, disturbances.length)];
      const node = cluster.nodes[randomBelow(random, cluster.nodes.length)];
      if (disturb !== undefined && node !== undefined)
        disturb(cluster, node, random);
    } else {
      cluster.acknowledge(`change-${step}`);
    }
  }
  await cluster.clock.advance(4_000);
  cluster.stop();
  return cluster.longestIgnorance;
}
