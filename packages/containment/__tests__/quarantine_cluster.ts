/** Quarantines of several nodes, connected through a lease holder without a network. */

import type {
  EndpointId,
  Instant,
  Milliseconds,
  Random,
  ServiceName,
} from '@siskinmux/kernel';
import {after, as, discardEvents} from '@siskinmux/kernel';
import type {CrashId, Suspect, Trait} from '../src/index.js';
import {
  MemoryStore,
  SharedObjects,
  VirtualClock,
  createEngineDescription,
} from '@siskinmux/testkit';
import {CrashQuarantine} from '../src/crash_quarantine.js';
import {QuarantineArchive} from '../src/quarantine_archive.js';
import {
  decodeSuspects,
  encodeSuspects,
  suspectsSchema,
} from '../src/suspect_messages.js';

/** The endpoint that runs all requests. */
export const ENDPOINT = createEngineDescription(
  as<EndpointId>('e'),
  as<ServiceName>('text'),
  [],
);

/** Nodes and the messages between them; messages arrive at once. */
export class QuarantineCluster {
  readonly clock = VirtualClock.create();
  readonly nodes: CrashQuarantine[] = [];
  crashCount = 0;
  /** Crashes in the order in which nodes learned of them. */
  readonly reportedCrashes: string[] = [];
  /** Nodes without a connection to the lease holder. */
  private readonly cutOff = new Set<CrashQuarantine>();
  private readonly shared = new SharedObjects();
  private holder: CrashQuarantine | undefined;
  private archive: QuarantineArchive | undefined;
  private archiveStore: MemoryStore | undefined;

  /** The first node holds the lease. */
  constructor(nodeCount: number) {
    for (let index = 0; index < nodeCount; index += 1) this.addNode();
    this.connect(0);
  }

  addNode(): CrashQuarantine {
    const node = this.createNode();
    this.nodes.push(node);
    return node;
  }

  /** Connects all nodes that aren't cut off to a lease holder. */
  connect(holderIndex: number): void {
    this.holder = this.nodes[holderIndex];
    for (const node of this.nodes) {
      if (!this.cutOff.has(node)) this.connectNode(node);
    }
    this.archive?.stop();
    if (this.holder !== undefined) this.startArchive(this.holder);
  }

  private startArchive(quarantine: CrashQuarantine): void {
    const {clock} = this;
    this.archiveStore = new MemoryStore(this.shared, clock, () => 0);
    this.archive = QuarantineArchive.create({
      store: this.archiveStore,
      quarantine,
      clock,
      readClocks: () => ({steady: clock.now(), timeOfDay: clock.now()}),
      emit: discardEvents,
      onRestored: suspects => this.broadcast(suspects),
    });
    this.archive.start();
  }

  private broadcast(suspects: readonly Suspect[]): void {
    for (const node of this.nodes) {
      if (!this.cutOff.has(node)) node.merge(this.transmit(suspects));
    }
  }

  /** The store returns from an empty copy; the holder learns of it from another call. */
  async loseStored(): Promise<void> {
    const {shared, clock, archiveStore} = this;
    shared.comeBack({revision: 10, objects: new Map()});
    await Promise.all([archiveStore?.list('any'), clock.advance(100)]);
  }

  /** Ends the lease; no node has a holder until {@link connect}. */
  loseHolder(): void {
    this.holder = undefined;
    this.archive?.stop();
    for (const node of this.nodes) node.setExchange(undefined);
  }

  cut(index: number): void {
    const node = this.nodes[index]!;
    this.cutOff.add(node);
    node.setExchange(undefined);
    if (node === this.holder) this.loseHolder();
  }

  heal(index: number): void {
    const node = this.nodes[index]!;
    if (this.cutOff.delete(node)) this.connectNode(node);
  }

  /** Replaces a node by a new process that knows nothing yet. */
  restart(index: number): void {
    const before = this.nodes[index]!;
    this.cutOff.delete(before);
    if (before === this.holder) this.loseHolder();
    before.setExchange(undefined);
    const node = this.createNode();
    this.nodes[index] = node;
    this.connectNode(node);
  }

  /** An endpoint crashes while it runs a request of a node. */
  crash(
    node: CrashQuarantine,
    traits: Trait | readonly Trait[],
    name?: string,
    hadResponded = false,
  ): void {
    this.crashCount += 1;
    node.recordCrash(
      {
        traits: typeof traits === 'string' ? [traits] : traits,
        endpoint: ENDPOINT,
        sentAt: this.clock.now(),
        hadResponded,
      },
      as<CrashId>(name ?? `e${this.crashCount}`),
      'refused',
    );
  }

  private createNode(): CrashQuarantine {
    return CrashQuarantine.create({
      clock: this.clock,
      emit: discardEvents,
      onCrash: () => {},
      onEndpointCrash: crash => this.reportedCrashes.push(crash),
      onWithheld: () => {},
    });
  }

  private connectNode(node: CrashQuarantine): void {
    const {holder} = this;
    if (holder === undefined) return;
    node.merge(this.transmit(holder.records));
    node.setExchange({
      reportSuspects: suspects => {
        const received = this.transmit(suspects);
        const added = node === holder ? received : holder.merge(received);
        this.broadcast(added);
      },
      requestProbation: traits =>
        Promise.resolve(holder.allowProbation(traits)),
      endProbation: traits => holder.endProbation(traits),
    });
  }

  private transmit(suspects: readonly Suspect[]): Suspect[] {
    const now = this.clock.now();
    return encodeSuspects(suspects, now).flatMap(message =>
      decodeSuspects(
        suspectsSchema.parse(JSON.parse(JSON.stringify(message))),
        now,
      ),
    );
  }
}

/** Random restarts and cuts of the nodes, each followed by a time without a lease holder. */
export class RandomFaults {
  private readonly cutOff = new Set<number>();
  private readonly disturbedUntil = new Map<number, Instant>();
  private holderReturnsAt: Instant | undefined;

  /** A node is in touch again once it was undisturbed for `stableMilliseconds`. */
  constructor(
    private readonly cluster: QuarantineCluster,
    private readonly random: Random,
    private readonly stableMilliseconds: Milliseconds,
  ) {}

  /** Restarts a node, or cuts it off, or heals its cut. */
  cause(index: number): void {
    const {cluster, cutOff, random} = this;
    const now = cluster.clock.now();
    this.disturbedUntil.set(index, after(now, this.stableMilliseconds));
    if (random() < 0.5) {
      cutOff.delete(index);
      cluster.restart(index);
    } else if (cutOff.delete(index)) {
      cluster.heal(index);
    } else {
      cutOff.add(index);
      cluster.cut(index);
    }
    this.holderReturnsAt ??= after(now, random() * 2_000);
  }

  /** Connects the nodes to a new lease holder when it is due. */
  restoreHolder(): void {
    const {cluster, cutOff, holderReturnsAt} = this;
    if (holderReturnsAt === undefined || holderReturnsAt > cluster.clock.now())
      return;
    const connected = cluster.nodes.findIndex((_, index) => !cutOff.has(index));
    if (connected >= 0) cluster.connect(connected);
    this.holderReturnsAt = undefined;
  }

  isInTouch(index: number): boolean {
    const now = this.cluster.clock.now();
    return (
      !this.cutOff.has(index) && (this.disturbedUntil.get(index) ?? now) <= now
    );
  }
}
