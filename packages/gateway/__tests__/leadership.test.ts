import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant, Milliseconds, NodeId, Random} from '@siskinmux/kernel';
import {as, discardEvents, randomBelow} from '@siskinmux/kernel';
import type {Holding, LeaseRules, LeaseSighting} from '@siskinmux/leases';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {Following} from '../src/leadership.js';
import {Leadership} from '../src/leadership.js';
import {LeaseStore} from '../src/lease_store.js';
import {MemoryStore, SharedObjects} from './memory_store.js';

const RULES: LeaseRules = {leaseMilliseconds: 3_000, isFencingEnforced: true};

/** One node with its own way to the store, and links that the test may cut. */
class TestNode {
  holding: Holding | undefined;
  isAlive = true;
  isReachable = true;
  readonly store: MemoryStore;
  readonly leadership: Leadership;
  private readonly endings = new Set<(reason: string) => void>();

  constructor(
    private readonly world: World,
    readonly id: NodeId,
    hesitation: Milliseconds,
  ) {
    const {clock, random, shared} = world;
    this.store = new MemoryStore(shared, clock, random);
    this.leadership = Leadership.create({
      leaseStore: LeaseStore.create({store: this.store, clock}),
      clock,
      readClocks: () => ({steady: clock.now(), timeOfDay: clock.now()}),
      random,
      emit: discardEvents,
      self: id,
      address: id,
      rules: RULES,
      hesitation,
      follow: sighting => this.follow(sighting),
      lead: holding => {
        this.holding = holding;
        return {
          end: () => {
            this.holding = undefined;
            this.closeLinks('resigned');
          },
        };
      },
      canHandOver: () =>
        world.nodes.some(node => node.isAlive && !node.store.isAway),
    });
    void this.leadership.run();
  }

  /** Ends as a killed process does: its calls go nowhere, its links close. */
  kill(): void {
    this.isAlive = false;
    this.store.isAway = true;
    this.holding?.noteLost();
    this.leadership.stop();
    this.closeLinks('closed');
  }

  closeLinks(reason: string): void {
    for (const end of [...this.endings]) end(reason);
  }

  mayOrder(now: Instant): boolean {
    const reading = {steady: now, timeOfDay: now};
    return this.isAlive && this.holding?.mayOrder(reading) === true;
  }

  private async follow(
    sighting: LeaseSighting,
  ): Promise<Following | 'gone' | 'resigned' | 'silent'> {
    const holder = this.world.nodes.find(
      ({id}) => id === (sighting.record.address as string),
    );
    if (holder === undefined || !holder.isAlive) return 'gone';
    if (!holder.isReachable || !this.isReachable) return 'silent';
    if (holder.holding === undefined) return 'resigned';
    return {
      ended: new Promise(resolve => {
        const end = (reason: string): void => {
          holder.endings.delete(end);
          resolve(reason);
        };
        holder.endings.add(end);
      }),
    };
  }
}

interface World {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly shared: SharedObjects;
  readonly nodes: TestNode[];
}

function build(count: number, seed = 1): World {
  const world: World = {
    clock: VirtualClock.create(),
    random: createSeededRandom(seed),
    shared: new SharedObjects(),
    nodes: [],
  };
  for (let index = 0; index < count; index += 1) addNode(world);
  return world;
}

function addNode(world: World, hesitation: Milliseconds = 0): void {
  const id = as<NodeId>(`node-${world.nodes.length}`);
  world.nodes.push(new TestNode(world, id, hesitation));
}

function holders({nodes, clock}: World): TestNode[] {
  return nodes.filter(node => node.mayOrder(clock.now()));
}

function stop({nodes}: World): void {
  for (const node of nodes) node.kill();
}

describe('the lease', () => {
  it('has one holder soon after all nodes start together', async () => {
    const world = build(7);
    await world.clock.advance(1_000);
    expect(holders(world).length).toEqual(1);
    stop(world);
  });

  it('goes to a node with ample means, at the start and when its holder is killed', async () => {
    const world = build(0);
    for (const hesitation of [215, 180, 215, 0, 240, 0]) {
      addNode(world, hesitation);
    }
    const strong = world.nodes.filter((_, index) => [3, 5].includes(index));
    await world.clock.advance(2_000);
    const [first] = holders(world);
    expect(first !== undefined && strong.includes(first)).toEqual(true);
    first?.kill();
    await world.clock.advance(500);
    const [second] = holders(world);
    expect(second !== undefined && strong.includes(second)).toEqual(true);
    stop(world);
  });

  it('moves within half a second when its holder is killed', async () => {
    const world = build(5);
    await world.clock.advance(2_000);
    const [first] = holders(world);
    first?.kill();
    await world.clock.advance(500);
    const [second] = holders(world);
    expect(second !== undefined && second !== first).toEqual(true);
    stop(world);
  });

  it('moves at once when its holder stops', async () => {
    const world = build(5);
    await world.clock.advance(2_000);
    const [first] = holders(world);
    first?.leadership.stop();
    await world.clock.advance(700);
    const [second] = holders(world);
    expect(second !== undefined && second !== first).toEqual(true);
    stop(world);
  });

  it('moves from a holder that lost the store to a node that has it', async () => {
    const world = build(5);
    await world.clock.advance(2_000);
    const [first] = holders(world);
    if (first) first.store.isAway = true;
    await world.clock.advance(8_000);
    const [second] = holders(world);
    expect(second !== undefined && second !== first).toEqual(true);
    stop(world);
  });

  it('stays while the store is away from all', async () => {
    const world = build(5);
    await world.clock.advance(2_000);
    const [first] = holders(world);
    for (const node of world.nodes) node.store.isAway = true;
    // Nobody reaches the store, so nobody can take over.
    await world.clock.advance(9_000);
    expect(holders(world)[0]).toEqual(first);
    stop(world);
  });

  it('is held once, with its answers lost', async () => {
    const world = build(5);
    for (const node of world.nodes) node.store.lostAnswers = 0.5;
    await world.clock.advance(12_000);
    expect(holders(world).length).toEqual(1);
    stop(world);
  });
});

describe('terms of the lease', () => {
  it('are never shared by two holders, whatever happens', async () => {
    for (let seed = 1; seed <= 15; seed += 1) {
      const world = build(5, seed);
      const {clock, random, nodes} = world;
      const holderOf = new Map<number, NodeId>();
      for (let step = 0; step < 300; step += 1) {
        const node = nodes[randomBelow(random, nodes.length)];
        const chance = random();
        if (node === undefined || !node.isAlive) {
          if (chance < 0.05) addNode(world);
        } else if (chance < 0.01) node.kill();
        else if (chance < 0.05) node.store.isAway = !node.store.isAway;
        else if (chance < 0.07) node.isReachable = !node.isReachable;
        else if (chance < 0.09) node.closeLinks('silent');
        else if (chance < 0.12) node.store.lostAnswers = random() * 0.6;
        await clock.advance(100);
        for (const {id, holding} of nodes) {
          if (holding === undefined || holding.hasEnded) continue;
          const known = holderOf.get(holding.term) ?? id;
          expect({seed, term: holding.term, holder: id}).toEqual({
            seed,
            term: holding.term,
            holder: known,
          });
          holderOf.set(holding.term, known);
        }
      }
      stop(world);
    }
  });

  it('find a holder again once the trouble has ended', async () => {
    const world = build(4, 7);
    const {clock, random, nodes} = world;
    for (let step = 0; step < 100; step += 1) {
      const node = nodes[randomBelow(random, nodes.length)];
      if (node) node.store.isAway = random() < 0.5;
      if (node) node.store.lostAnswers = random() * 0.5;
      await clock.advance(150);
    }
    for (const node of nodes) {
      node.store.isAway = false;
      node.store.lostAnswers = 0;
    }
    await clock.advance(6_000);
    expect(holders(world).length).toEqual(1);
    stop(world);
  });
});
