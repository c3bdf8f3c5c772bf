import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant, Milliseconds, NodeId, Random} from '@siskinmux/kernel';
import {as, discardEvents, randomBelow} from '@siskinmux/kernel';
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

const RULES: LeaseRules = {leaseMilliseconds: 3_000, isFencingEnforced: true};

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
      rules: RULES,
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
}

function build(count: number, seed = 1): Cluster {
  const cluster: Cluster = {
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
