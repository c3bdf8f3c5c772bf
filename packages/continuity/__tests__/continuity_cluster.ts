/** Nodes that continue streams, in virtual time, with a store and a list of endpoints that lags. */

import type {
  EndpointDescription,
  EndpointTableChange,
  Incarnation,
  SoftwareVersion,
} from '@siskinmux/endpoints';
import type {
  EndpointId,
  Instant,
  RequestId,
  ServiceName,
} from '@siskinmux/kernel';
import {after, as, sleepFor} from '@siskinmux/kernel';
import {
  MemoryStore,
  SharedObjects,
  VirtualClock,
  createEngineDescription,
  createSeededRandom,
} from '@siskinmux/testkit';
import type {OriginExchange, StreamOrigin} from '../src/index.js';
import {OriginWriter, StoredOrigins, StreamContinuity} from '../src/index.js';

export const SERVICE = as<ServiceName>('engines');

/** Delay until the lease holder, and then the others, read a change of the list. */
const HOLDER_LAG_MILLISECONDS = 300;
const FOLLOWER_LAG_MILLISECONDS = 300;

/** An engine starts without models; its first load takes at least this long. */
const LOAD_MILLISECONDS = 600;
const RESPONSE_MILLISECONDS = 4;
const TAKEOVER_MILLISECONDS = 500;
const STREAM_MILLISECONDS = 12_000;

interface Engine {
  readonly description: EndpointDescription;
  /** When its first model is loaded; undefined until the lease holder knows the engine. */
  usableAt: Instant | undefined;
}

/** One process. */
class Node {
  readonly store: MemoryStore;
  readonly continuity: StreamContinuity;
  readonly listed = new Map<EndpointId, EndpointDescription>();
  writer: OriginWriter | undefined;
  isCut = false;
  /** Since when the list has been read without a gap; undefined during one. */
  currentSince: Instant | undefined;

  constructor(
    readonly cluster: ContinuityCluster,
    readonly host: number,
  ) {
    const {clock, random, shared} = cluster;
    this.store = new MemoryStore(shared, clock, random);
    this.continuity = StreamContinuity.create({
      stored: StoredOrigins.create({
        store: this.store,
        clock,
        readClocks: () => cluster.readClocks(),
        emit: () => {},
        nodeCount: () => 7,
      }),
      clock,
      emit: () => {},
      listCurrentSince: () => this.currentSince,
      refreshList: async () => {
        await sleepFor(clock, RESPONSE_MILLISECONDS);
        if (this.store.isUnreachable) return false;
        this.apply(cluster.descriptions);
        return true;
      },
    });
    this.store.onEra = () => this.continuity.recordEra(this.store.era);
    this.store.isUnreachable = cluster.isStoreLost;
    if (!this.store.isUnreachable) this.apply(cluster.descriptions);
  }

  apply(listed: readonly EndpointDescription[]): void {
    if (!this.isCut) this.currentSince ??= this.cluster.clock.now();
    const changes: EndpointTableChange[] = [];
    for (const [id, before] of this.listed) {
      if (listed.some(endpoint => endpoint.id === id)) continue;
      this.listed.delete(id);
      changes.push({id, before, now: undefined});
    }
    for (const endpoint of listed) {
      const before = this.listed.get(endpoint.id);
      if (before === endpoint) continue;
      this.listed.set(endpoint.id, endpoint);
      changes.push({id: endpoint.id, before, now: endpoint});
    }
    this.continuity.applyEndpointChanges(changes);
  }
}

/** Nodes, engines and the store. */
export class ContinuityCluster {
  readonly clock = VirtualClock.create();
  readonly shared = new SharedObjects();
  readonly random: () => number;
  readonly engines = new Map<EndpointId, Engine>();
  isStoreLost = false;
  private nodes: (Node | undefined)[] = [];
  private holder: Node | undefined;
  private engineCount = 0;
  private streamCount = 0;

  constructor(seed: number, nodeCount: number) {
    this.random = createSeededRandom(seed);
    this.addEngine('v1');
    this.addEngine('v1');
    for (const engine of this.engines.values())
      engine.usableAt = this.clock.now();
    this.nodes = Array.from(
      {length: nodeCount},
      (_, host) => new Node(this, host),
    );
    this.electHolder();
  }

  get hostCount(): number {
    return this.nodes.length;
  }

  /** The list of endpoints as the store holds it. */
  get descriptions(): EndpointDescription[] {
    return [...this.engines.values()].map(({description}) => description);
  }

  /** Sets whether all nodes, or one, reach the store; those that do read the list again. */
  setReachable(isReachable: boolean, host?: number): void {
    if (host === undefined) this.isStoreLost = !isReachable;
    for (const node of this.nodes) {
      if (node === undefined || (host !== undefined && node.host !== host))
        continue;
      node.store.isUnreachable = !isReachable || this.isStoreLost;
      if (node.store.isUnreachable) node.currentSince = undefined;
      if (!node.store.isUnreachable)
        this.publish(node, this.random() * FOLLOWER_LAG_MILLISECONDS);
    }
  }

  /** Lets a share of all writes take effect without a response. */
  loseWriteResponses(share: number): void {
    for (const node of this.nodes)
      if (node !== undefined) node.store.lostWriteResponseShare = share;
  }

  /** Cuts a node off from the other nodes; it watches the store by itself meanwhile. */
  setCut(host: number, isCut: boolean): void {
    const node = this.nodes[host];
    if (node === undefined) return;
    node.isCut = isCut;
    if (isCut) node.currentSince = undefined;
    if (node === this.holder && isCut) this.endHolder();
    node.continuity.setExchange(isCut ? undefined : this.exchangeOf());
    if (!isCut) this.publish(node, this.random() * FOLLOWER_LAG_MILLISECONDS);
  }

  kill(host: number): void {
    const node = this.nodes[host];
    if (node === undefined) return;
    if (node === this.holder) this.endHolder();
    this.nodes[host] = undefined;
    this.clock.schedule(after(this.clock.now(), 300), () => {
      const started = new Node(this, host);
      this.nodes[host] = started;
      started.continuity.setExchange(this.exchangeOf());
    });
  }

  addEngine(version: string): void {
    this.engineCount += 1;
    const id = `engine-${this.engineCount}`;
    const description = {
      ...createEngineDescription(id, SERVICE),
      incarnation: as<Incarnation>(`${id}@1`),
      softwareVersion: as<SoftwareVersion>(version),
    };
    this.engines.set(description.id, {description, usableAt: undefined});
    this.publishToAll();
  }

  /** Removes the oldest engine of a version. */
  removeEngine(version: string): void {
    const found = [...this.engines.values()].find(
      ({description}) => description.softwareVersion === as(version),
    );
    if (found === undefined || this.engines.size < 2) return;
    this.engines.delete(found.description.id);
    this.publishToAll();
  }

  /** Begins a stream at an engine that a node may use; undefined if there is none. */
  begin(
    host: number,
  ): {stream: RequestId; version: SoftwareVersion} | undefined {
    const node = this.nodes[host];
    const usable = [...(node?.listed.values() ?? [])].filter(({id}) => {
      const engine = this.engines.get(id);
      return (
        engine?.usableAt !== undefined && engine.usableAt <= this.clock.now()
      );
    });
    const engine = usable[Math.floor(this.random() * usable.length)];
    if (node === undefined || engine?.softwareVersion === undefined)
      return undefined;
    this.streamCount += 1;
    const stream = as<RequestId>(`stream-${this.streamCount}`);
    const expiresAt = after(this.clock.now(), STREAM_MILLISECONDS);
    node.continuity.recordStart(stream, engine, expiresAt);
    return {stream, version: engine.softwareVersion};
  }

  /** The version at which a stream may continue at a node; undefined if it is refused. */
  async resume(
    host: number,
    stream: RequestId,
  ): Promise<SoftwareVersion | undefined> {
    const node = this.nodes[host];
    if (node === undefined) return undefined;
    const deadline = after(this.clock.now(), STREAM_MILLISECONDS);
    try {
      const requirement = await node.continuity.requirementOf(
        {id: stream, stream, service: SERVICE, deadline},
        new AbortController().signal,
      );
      return requirement.kind === 'only' ? requirement.version : undefined;
    } catch {
      return undefined;
    }
  }

  readClocks(): {steady: Instant; timeOfDay: Instant; boot: Instant} {
    const now = this.clock.now();
    return {steady: now, timeOfDay: now, boot: now};
  }

  private electHolder(): void {
    const node = this.nodes.find(
      candidate =>
        candidate && !candidate.isCut && !candidate.store.isUnreachable,
    );
    if (node === undefined) {
      this.electLater();
      return;
    }
    this.holder = node;
    node.writer = OriginWriter.create({
      store: node.store,
      clock: this.clock,
      readClocks: () => this.readClocks(),
      emit: () => {},
      stored: node.continuity.stored,
      versions: node.continuity.versions,
      recentOrigins: () => node.continuity.recentOrigins(),
      knowsAllVersions: () => node.continuity.knowsAllVersions,
    });
    node.writer.start();
    this.loadModels(node);
    for (const other of this.nodes) {
      if (other !== undefined && !other.isCut)
        other.continuity.setExchange(this.exchangeOf());
    }
  }

  private endHolder(): void {
    void this.holder?.writer?.stop();
    this.holder = undefined;
    for (const node of this.nodes) node?.continuity.setExchange(undefined);
    this.electLater();
  }

  private loadModels(holder: Node): void {
    for (const id of holder.listed.keys()) {
      const engine = this.engines.get(id);
      if (engine !== undefined)
        engine.usableAt ??= after(this.clock.now(), LOAD_MILLISECONDS);
    }
  }

  private electLater(): void {
    this.clock.schedule(after(this.clock.now(), TAKEOVER_MILLISECONDS), () => {
      if (this.holder === undefined) this.electHolder();
    });
  }

  private exchangeOf(): OriginExchange | undefined {
    const {holder} = this;
    if (holder === undefined) return undefined;
    return {
      reportOrigins: (origins: readonly StreamOrigin[]) => {
        if (this.holder !== holder) return;
        holder.continuity.merge(origins);
        holder.writer?.add(origins);
      },
    };
  }

  private publishToAll(): void {
    const holderLag = this.random() * HOLDER_LAG_MILLISECONDS;
    for (const node of this.nodes) {
      if (node === undefined) continue;
      const lag =
        node === this.holder ? 0 : this.random() * FOLLOWER_LAG_MILLISECONDS;
      this.publish(node, holderLag + lag);
    }
  }

  private publish(node: Node, delay: number): void {
    this.clock.schedule(after(this.clock.now(), delay), () => {
      if (node.store.isUnreachable) return;
      node.apply(this.descriptions);
      if (node === this.holder) this.loadModels(node);
    });
  }
}
