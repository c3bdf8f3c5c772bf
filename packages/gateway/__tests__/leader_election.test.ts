import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  Instant,
  Milliseconds,
  NodeId,
  Random,
  StoreEra,
} from '@siskinmux/kernel';
import {as, discardEvents, randomBelow, versionOf} from '@siskinmux/kernel';
import type {HeldLease, LeaseObservation, LeaseRules} from '@siskinmux/leases';
import {
  MemoryStore,
  SharedObjects,
  VirtualClock,
  createSeededRandom,
} from '@siskinmux/testkit';
import type {HolderConnection} from '../src/leader_election.js';
import {LeaderElection} from '../src/leader_election.js';
import {LeaseStore} from '../src/lease_store.js';

const FENCED: LeaseRules = {leaseMilliseconds: 3_000, isFencingEnforced: true};
/** Random histories that CI plays of each kind. */
const SEEDS = 25;

const UNFENCED: LeaseRules = {...FENCED, isFencingEnforced: false};

/** One node with its own connection to the store, and connections that the test may close. */
class TestNode {
  heldLease: HeldLease | undefined;
  isAlive = true;
  isReachable = true;
  readonly store: MemoryStore;
  readonly election: LeaderElection;
  private readonly endConnections = new Set<(reason: string) => void>();

  constructor(
    private readonly cluster: Cluster,
    readonly id: NodeId,
    electionDelayMilliseconds: Milliseconds,
  ) {
    const {clock, random, objects} = cluster;
    this.store = new MemoryStore(objects, clock, random);
    this.election = LeaderElection.create({
      leaseStore: LeaseStore.create({store: this.store, clock}),
      clock,
      readClocks: () => ({steady: clock.now(), timeOfDay: clock.now()}),
      random,
      emit: discardEvents,
      self: id,
      address: id,
      rules: cluster.rules,
      electionDelayMilliseconds,
      connectToHolder: observation => this.connectToHolder(observation),
      startAllocating: heldLease => {
        this.heldLease = heldLease;
        return {
          end: () => {
            this.heldLease = undefined;
            this.closeConnections('resigned');
          },
        };
      },
      canHandOver: () =>
        cluster.nodes.some(node => node.isAlive && !node.store.isUnreachable),
    });
    this.store.onEra = () => this.election.onStoreReturn();
    void this.election.run();
  }

  /** Simulates a killed process: its calls to the store fail and its connections close. */
  kill(): void {
    this.isAlive = false;
    this.store.isUnreachable = true;
    this.heldLease?.markEnded();
    this.election.stop();
    this.closeConnections('closed');
  }

  closeConnections(reason: string): void {
    for (const end of [...this.endConnections]) end(reason);
  }

  canSendOrders(now: Instant): boolean {
    const reading = {steady: now, timeOfDay: now};
    return this.isAlive && this.heldLease?.canSendOrders(reading) === true;
  }

  private async connectToHolder(
    observation: LeaseObservation,
  ): Promise<HolderConnection | 'gone' | 'resigned' | 'silent'> {
    const holder = this.cluster.nodes.find(
      ({id}) => id === (observation.record.address as string),
    );
    if (holder === undefined || !holder.isAlive) return 'gone';
    if (!holder.isReachable || !this.isReachable) return 'silent';
    if (holder.heldLease === undefined) return 'resigned';
    return {
      ended: new Promise(resolve => {
        const end = (reason: string): void => {
          holder.endConnections.delete(end);
          resolve(reason);
        };
        holder.endConnections.add(end);
      }),
    };
  }
}

interface Cluster {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly objects: SharedObjects;
  readonly nodes: TestNode[];
  readonly rules: LeaseRules;
}

function build(count: number, seed = 1, rules = FENCED): Cluster {
  const cluster: Cluster = {
    rules,
    clock: VirtualClock.create(),
    random: createSeededRandom(seed),
    objects: new SharedObjects(),
    nodes: [],
  };
  for (let index = 0; index < count; index += 1) addNode(cluster);
  return cluster;
}

function addNode(
  cluster: Cluster,
  electionDelayMilliseconds: Milliseconds = 0,
): void {
  const id = as<NodeId>(`node-${cluster.nodes.length}`);
  cluster.nodes.push(new TestNode(cluster, id, electionDelayMilliseconds));
}

function holders({nodes, clock}: Cluster): TestNode[] {
  return nodes.filter(node => node.canSendOrders(clock.now()));
}

function stop({nodes}: Cluster): void {
  for (const node of nodes) node.kill();
}

describe('LeaderElection under single faults', () => {
  it('elects one holder within a second when all nodes start together', async () => {
    const cluster = build(7);
    await cluster.clock.advance(1_000);
    expect(holders(cluster).length).toEqual(1);
    stop(cluster);
  });

  it('prefers nodes without an election delay, at the start and after the holder is killed', async () => {
    const cluster = build(0);
    for (const electionDelayMilliseconds of [215, 180, 215, 0, 240, 0]) {
      addNode(cluster, electionDelayMilliseconds);
    }
    const preferred = cluster.nodes.filter((_, index) =>
      [3, 5].includes(index),
    );
    await cluster.clock.advance(2_000);
    const [first] = holders(cluster);
    expect(first !== undefined && preferred.includes(first)).toEqual(true);
    first?.kill();
    await cluster.clock.advance(500);
    const [second] = holders(cluster);
    expect(second !== undefined && preferred.includes(second)).toEqual(true);
    stop(cluster);
  });

  it('elects a new holder within half a second when the holder is killed', async () => {
    const cluster = build(5);
    await cluster.clock.advance(2_000);
    const [first] = holders(cluster);
    first?.kill();
    await cluster.clock.advance(500);
    const [second] = holders(cluster);
    expect(second !== undefined && second !== first).toEqual(true);
    stop(cluster);
  });

  it('elects a new holder within 700 ms when the holder stops', async () => {
    const cluster = build(5);
    await cluster.clock.advance(2_000);
    const [first] = holders(cluster);
    first?.election.stop();
    await cluster.clock.advance(700);
    const [second] = holders(cluster);
    expect(second !== undefined && second !== first).toEqual(true);
    stop(cluster);
  });

  it('hands over within eight seconds from a holder that lost the store to a node that reaches it', async () => {
    const cluster = build(5);
    await cluster.clock.advance(2_000);
    const [first] = holders(cluster);
    if (first) first.store.isUnreachable = true;
    await cluster.clock.advance(8_000);
    const [second] = holders(cluster);
    expect(second !== undefined && second !== first).toEqual(true);
    stop(cluster);
  });

  it('keeps the holder while no node reaches the store', async () => {
    const cluster = build(5);
    await cluster.clock.advance(2_000);
    const [first] = holders(cluster);
    for (const node of cluster.nodes) node.store.isUnreachable = true;
    // A takeover is a write to the store, so no node can take over.
    await cluster.clock.advance(9_000);
    expect(holders(cluster)[0]).toEqual(first);
    stop(cluster);
  });

  it('has one holder while the responses to half of the writes are lost', async () => {
    const cluster = build(5);
    for (const node of cluster.nodes) node.store.lostWriteResponseShare = 0.5;
    await cluster.clock.advance(12_000);
    expect(holders(cluster).length).toEqual(1);
    stop(cluster);
  });
});

describe('LeaderElection under random faults', () => {
  it('never lets two nodes hold the lease in the same term', async () => {
    for (let seed = 1; seed <= 15; seed += 1) {
      const cluster = build(5, seed);
      const {clock, random, nodes} = cluster;
      const holderOf = new Map<number, NodeId>();
      for (let step = 0; step < 300; step += 1) {
        const node = nodes[randomBelow(random, nodes.length)];
        const draw = random();
        if (node === undefined || !node.isAlive) {
          if (draw < 0.05) addNode(cluster);
        } else if (draw < 0.01) node.kill();
        else if (draw < 0.05)
          node.store.isUnreachable = !node.store.isUnreachable;
        else if (draw < 0.07) node.isReachable = !node.isReachable;
        else if (draw < 0.09) node.closeConnections('silent');
        else if (draw < 0.12)
          node.store.lostWriteResponseShare = random() * 0.6;
        await clock.advance(100);
        for (const {id, heldLease} of nodes) {
          if (heldLease === undefined || heldLease.hasEnded) continue;
          const expectedHolder = holderOf.get(heldLease.term) ?? id;
          expect({seed, term: heldLease.term, holder: id}).toEqual({
            seed,
            term: heldLease.term,
            holder: expectedHolder,
          });
          holderOf.set(heldLease.term, expectedHolder);
        }
      }
      stop(cluster);
    }
  });

  it('elects one holder within six seconds after the faults have ended', async () => {
    const cluster = build(4, 7);
    const {clock, random, nodes} = cluster;
    for (let step = 0; step < 100; step += 1) {
      const node = nodes[randomBelow(random, nodes.length)];
      if (node) node.store.isUnreachable = random() < 0.5;
      if (node) node.store.lostWriteResponseShare = random() * 0.5;
      await clock.advance(150);
    }
    for (const node of nodes) {
      node.store.isUnreachable = false;
      node.store.lostWriteResponseShare = 0;
    }
    await clock.advance(6_000);
    expect(holders(cluster).length).toEqual(1);
    stop(cluster);
  });
});

/** The terms that nodes have held, and how many nodes may send orders. */
class HolderRecord {
  private readonly holderOf = new Map<number, NodeId>();
  private latestTerm = 0;
  readonly violations: string[] = [];

  observe(cluster: Cluster): void {
    for (const {id, heldLease} of cluster.nodes) {
      if (heldLease === undefined || heldLease.hasEnded) continue;
      const {term} = heldLease;
      const known = this.holderOf.get(term) ?? id;
      this.holderOf.set(term, known);
      if (known !== id) this.violations.push(`term ${term}: ${known}, ${id}`);
    }
    if (!cluster.rules.isFencingEnforced) this.observeSenders(cluster);
  }

  /** Engines that don't check terms execute whatever they get. */
  private observeSenders(cluster: Cluster): void {
    const senders = holders(cluster);
    if (senders.length > 1)
      this.violations.push(`orders of ${senders.map(({id}) => id).join()}`);
    for (const {id, heldLease} of senders) {
      const term = heldLease?.term ?? 0;
      if (term < this.latestTerm)
        this.violations.push(`${id} after term ${this.latestTerm}: ${term}`);
      this.latestTerm = Math.max(this.latestTerm, term);
    }
  }

  get terms(): number[] {
    return [...this.holderOf.keys()];
  }
}

async function observeFor(
  cluster: Cluster,
  record: HolderRecord,
  milliseconds: Milliseconds,
): Promise<void> {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
    await cluster.clock.advance(50);
    record.observe(cluster);
  }
}

describe('LeaderElection when the store returns from an older copy', () => {
  // Two nodes gave orders with one token after each had taken the lease once.
  it('uses no term a second time for a takeover that the store has lost', async () => {
    const cluster = build(3);
    const record = new HolderRecord();
    await observeFor(cluster, record, 1_000);
    const copy = cluster.objects.copy();
    for (let takeover = 0; takeover < 2; takeover += 1) {
      holders(cluster)[0]?.kill();
      addNode(cluster);
      await observeFor(cluster, record, 1_500);
    }
    cluster.objects.isAway = true;
    await observeFor(cluster, record, 500);
    for (const node of [...holders(cluster)]) node.kill();
    cluster.objects.comeBack(copy);
    addNode(cluster);
    await observeFor(cluster, record, 3_000);
    expect(record.violations).toEqual([]);
    expect(record.terms.length).toBeGreaterThanOrEqual(4);
    expect(record.terms).toEqual(
      [...record.terms].sort((left, right) => left - right),
    );
    stop(cluster);
  });

  it('leaves the lease, with its term, to a holder that lives', async () => {
    const cluster = build(3);
    await cluster.clock.advance(500);
    const copy = cluster.objects.copy();
    holders(cluster)[0]?.kill();
    await cluster.clock.advance(1_500);
    const [holder] = holders(cluster);
    const term = holder?.heldLease?.term;
    cluster.objects.isAway = true;
    await cluster.clock.advance(1_000);
    cluster.objects.comeBack(copy);
    await cluster.clock.advance(1_500);
    expect(holders(cluster)[0]).toEqual(holder);
    expect(holder?.heldLease?.term).toEqual(term);
    stop(cluster);
  });

  it('restores a lease of which the copy has no record', async () => {
    const cluster = build(0);
    const copy = cluster.objects.copy();
    for (let count = 0; count < 3; count += 1) addNode(cluster);
    await cluster.clock.advance(1_000);
    const [holder] = holders(cluster);
    cluster.objects.comeBack(copy);
    await cluster.clock.advance(1_500);
    expect(holders(cluster)).toEqual([holder!]);
    stop(cluster);
  });

  for (const [name, rules] of [
    ['checked', FENCED],
    ['not checked', UNFENCED],
  ] as const) {
    for (const [distance, writeShare] of [
      ['far apart', 0.3],
      ['near each other, so that revisions meet', 0],
    ] as const) {
      it(`has one holder a term where terms are ${name} and branches are ${distance}`, async () => {
        for (let seed = 1; seed <= SEEDS; seed += 1) {
          const violations = await playBranches(seed, rules, writeShare);
          expect({seed, violations}).toEqual({seed, violations: []});
        }
      });
    }
  }

  /** Just before the node's next write, the store returns and gives the lease to another node. */
  function returnBeforeWrite({objects}: Cluster, {store}: TestNode): number {
    const copy = objects.copy();
    const term = versionOf(as<StoreEra>(objects.era + 1), 1);
    store.beforeNextWrite = () => {
      const {revision} = objects;
      objects.comeBack({...copy, revision: revision - 1});
      const lease = {holder: 'other', address: 'other', term};
      objects.put('siskinmux-leases', 'allocator', lease);
    };
    return term;
  }

  // A write conditional on a revision of before replaced the lease that another node had taken since.
  it('does not hold a lease by a renewal that has replaced another write', async () => {
    const cluster = build(1, 1, UNFENCED);
    await cluster.clock.advance(5_000);
    const [node] = holders(cluster);
    const term = returnBeforeWrite(cluster, node!);
    for (let elapsed = 0; elapsed < 9_000; elapsed += 50) {
      await cluster.clock.advance(50);
      const isBefore = node!.store.beforeNextWrite !== undefined;
      for (const {heldLease} of isBefore ? [] : holders(cluster))
        expect(Number(heldLease?.term)).toBeGreaterThan(term);
    }
    expect(holders(cluster).length).toEqual(1);
    stop(cluster);
  });

  it('does not hold a lease by a takeover that has replaced another write', async () => {
    const cluster = build(1);
    await cluster.clock.advance(1_000);
    cluster.nodes[0]!.kill();
    addNode(cluster);
    const [, node] = cluster.nodes;
    const term = returnBeforeWrite(cluster, node!);
    for (let elapsed = 0; elapsed < 3_000; elapsed += 10) {
      await cluster.clock.advance(10);
      for (const {heldLease} of holders(cluster))
        expect(Number(heldLease?.term)).toBeGreaterThan(term);
    }
    expect(holders(cluster).length).toEqual(1);
    stop(cluster);
  });

  it('does not restore a lease that another node has taken over since', async () => {
    const cluster = build(0, 1, UNFENCED);
    const record = new HolderRecord();
    const copy = cluster.objects.copy();
    for (let count = 0; count < 2; count += 1) addNode(cluster);
    await observeFor(cluster, record, 5_000);
    const [first] = holders(cluster);
    first!.store.isUnreachable = true;
    first!.isReachable = false;
    first!.closeConnections('silent');
    cluster.objects.comeBack(copy);
    await observeFor(cluster, record, 1_000);
    first!.store.isUnreachable = false;
    await observeFor(cluster, record, 6_000);
    expect(record.violations).toEqual([]);
    expect(holders(cluster).length).toEqual(1);
    expect(holders(cluster)[0]).not.toEqual(first);
    stop(cluster);
  });
});

/** Random faults of nodes and calls, and returns of the store; returns the rules that were broken. */
async function playBranches(
  seed: number,
  rules: LeaseRules,
  writeShare: number,
): Promise<readonly string[]> {
  const cluster = build(4, seed, rules);
  const {random, nodes, objects} = cluster;
  const record = new HolderRecord();
  let copies = [objects.copy()];
  for (let step = 0; step < 250; step += 1) {
    if (random() < writeShare) objects.put('servers', `s${step % 5}`, {step});
    if (random() < 0.3) copies = [...copies.slice(-3), objects.copy()];
    if (objects.isAway && random() < 0.3) {
      objects.comeBack(copies[randomBelow(random, copies.length)]!);
      // A copy of the lost branch is none of this one.
      copies = [objects.copy()];
    } else if (random() < 0.03) objects.isAway = true;
    disturb(cluster, nodes[randomBelow(random, nodes.length)], random);
    await observeFor(cluster, record, 100);
  }
  stop(cluster);
  return record.violations;
}

function disturb(
  cluster: Cluster,
  node: TestNode | undefined,
  random: Random,
): void {
  const draw = random();
  if (node === undefined || !node.isAlive) {
    if (draw < 0.2) addNode(cluster);
  } else if (draw < 0.01) node.kill();
  else if (draw < 0.05) node.store.isUnreachable = !node.store.isUnreachable;
  else if (draw < 0.07) node.isReachable = !node.isReachable;
  else if (draw < 0.09) node.closeConnections('silent');
  else if (draw < 0.12) node.store.lostWriteResponseShare = random() * 0.6;
  else if (draw < 0.15) node.store.lateWriteShare = random() * 0.5;
}
