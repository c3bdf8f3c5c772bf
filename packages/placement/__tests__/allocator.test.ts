import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  AdapterName,
  EndpointId,
  FencingNumber,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {after, as, discardEvents, randomBelow} from '@siskinmux/kernel';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {EngineHolding, OrderAuthority} from '../src/index.js';
import {Allocator, LoadCeiling} from '../src/index.js';
import type {OrderTrouble} from './simulated_engines.js';
import {
  SERVICE,
  SimulatedEngine,
  SimulatedOrders,
  createDeclaration,
} from './simulated_engines.js';

const node = as<NodeId>('node-1');

function model(index: number): ModelName {
  return as<ModelName>(`m${index}`);
}

/** Engines with three models each and copies of some more, and one allocator. */
function build(seed: number, trouble?: OrderTrouble) {
  const clock = VirtualClock.create();
  const random = createSeededRandom(seed);
  const declaration = createDeclaration(12, 3);
  const broken: string[] = [];
  const engines = new Map<EndpointId, SimulatedEngine>();
  for (let index = 0; index < 3; index += 1) {
    const id = as<EndpointId>(`engine-${index}`);
    const held = [0, 1, 2].map(offset => model(index * 3 + offset));
    const copies = [9, 10, 3, 6].map(offset => model((offset + index) % 12));
    engines.set(
      id,
      new SimulatedEngine(id, clock, declaration, held, copies, what =>
        broken.push(what),
      ),
    );
  }
  const orders = new SimulatedOrders(engines, clock, random, trouble);
  const held = new Map<EndpointId, readonly ModelName[]>();
  const create = (term: number, isHolder: () => boolean) => {
    const authority = (): OrderAuthority | undefined =>
      isHolder()
        ? {holder: node, fencingNumber: as<FencingNumber>(term)}
        : undefined;
    const allocator = Allocator.create({
      service: SERVICE,
      orders,
      ceiling: LoadCeiling.create(5_000),
      clock,
      emit: discardEvents,
      authority,
      onFenced: () => {},
      onHolding: ({engine, models}: EngineHolding) => held.set(engine, models),
      onForecasts: () => {},
    });
    allocator.updateDeclaration(declaration);
    for (const engine of engines.values()) {
      allocator.noteEngine(engine.description);
    }
    return allocator;
  };
  return {clock, random, engines, orders, broken, held, create};
}

type World = ReturnType<typeof build>;

function waitFor(
  allocator: Allocator,
  {clock}: World,
  wanted: ModelName,
): void {
  allocator.noteUsage(node, {
    waiting: [
      {
        model: wanted,
        count: 1,
        priority: 0,
        uselessAt: after(clock.now(), 8_000),
      },
    ],
    running: [],
    arrived: [{model: wanted, count: 1}],
  });
}

function isHeld({held}: World, wanted: ModelName): boolean {
  return [...held.values()].some(models => models.includes(wanted));
}

/** Usage in which every model runs at every engine that holds it. */
function everythingRuns({engines}: World) {
  return [...engines.values()].flatMap(engine =>
    [...engine.models].map(running => ({
      engine: engine.id,
      model: running,
      count: 1,
    })),
  );
}

describe('the allocator', () => {
  it('wakes a model from a disk within its load, an unload and a report', async () => {
    const world = build(1);
    const allocator = world.create(1, () => true);
    await world.clock.advance(1_000);
    waitFor(allocator, world, model(9));
    await world.clock.advance(900);
    expect(isHeld(world, model(9))).toEqual(true);
    expect(world.broken).toEqual([]);
    allocator.stop();
  });

  it('loads a model at one engine while others ask for it meanwhile', async () => {
    const world = build(1);
    const allocator = world.create(1, () => true);
    await world.clock.advance(1_000);
    // Two engines have a copy of it.
    for (let elapsed = 0; elapsed < 600; elapsed += 20) {
      waitFor(allocator, world, model(10));
      await world.clock.advance(20);
    }
    const loads = world.orders.sent.filter(
      ({change}) => change.operation === 'load' && change.model === model(10),
    );
    expect(new Set(loads.map(({engine}) => engine.id)).size).toEqual(1);
    allocator.stop();
  });

  it('plans no more loads from the weight store than it is known to carry', async () => {
    const world = build(1);
    // No engine has a copy of these, and others have to give way to them.
    const missing = [9, 10, 11];
    for (const {onDisk} of world.engines.values()) {
      for (const index of missing) onDisk.delete(model(index));
    }
    const allocator = world.create(1, () => true);
    const say = (isInUse: boolean): void =>
      allocator.noteUsage(node, {
        waiting: missing.map(index => ({
          model: model(index),
          count: 1,
          priority: 0,
          uselessAt: after(world.clock.now(), 60_000),
        })),
        running: isInUse ? everythingRuns(world) : [],
        arrived: [],
      });
    say(true);
    await world.clock.advance(1_000);
    for (let elapsed = 0; elapsed < 2_000; elapsed += 10) {
      say(false);
      await world.clock.advance(10);
    }
    const loads = world.orders.sent.filter(
      ({change}) => change.operation === 'load',
    );
    expect(loads.length).toEqual(1);
    allocator.stop();
  });

  it('orders nothing without the lease', async () => {
    const world = build(1);
    const allocator = world.create(1, () => false);
    waitFor(allocator, world, model(9));
    await world.clock.advance(3_000);
    expect(world.orders.sent).toEqual([]);
    allocator.stop();
  });

  it('unloads nothing that runs', async () => {
    const world = build(1);
    const allocator = world.create(1, () => true);
    await world.clock.advance(1_000);
    allocator.noteUsage(node, {
      waiting: [
        {
          model: model(9),
          count: 1,
          priority: 0,
          uselessAt: after(world.clock.now(), 8_000),
        },
      ],
      running: everythingRuns(world),
      arrived: [],
    });
    const before = world.orders.sent.length;
    await world.clock.advance(2_000);
    expect(world.orders.sent.length).toEqual(before);
    allocator.stop();
  });

  it('grants an adapter that is missing, and lets the one granted longest ago give way', async () => {
    const world = build(1);
    const allocator = world.create(1, () => true);
    await world.clock.advance(1_000);
    for (let index = 1; index <= 4; index += 1) {
      const grant = await world.clock.runUntilSettled(
        allocator.wantAdapter({
          model: model(0),
          adapter: as<AdapterName>(`a${index}`),
          excluded: new Set(),
        }),
      );
      expect(grant?.engine).toEqual(as<EndpointId>('engine-0'));
      await world.clock.advance(2_000);
    }
    const engine = world.engines.get(as<EndpointId>('engine-0'));
    expect([...(engine?.adapters ?? [])]).toEqual(['m0/a3', 'm0/a4']);
    expect(world.broken).toEqual([]);
    allocator.stop();
  });

  it('gives a place that becomes free to one of many that want it at once', async () => {
    const names = ['a5', 'a6', 'a5', 'a7', 'a6', 'a8', 'a5', 'a9', 'a7'];
    for (let seed = 1; seed <= 10; seed += 1) {
      const world = build(seed);
      const allocator = world.create(1, () => true);
      await world.clock.advance(1_000);
      const want = (adapter: string): void =>
        void allocator.wantAdapter({
          model: model(0),
          adapter: as<AdapterName>(adapter),
          excluded: new Set(),
        });
      want('a1');
      want('a2');
      for (let round = 0; round < 5; round += 1) {
        await world.clock.advance(2_000);
        const first = randomBelow(world.random, names.length);
        for (const name of [...names.slice(first), ...names.slice(0, first)]) {
          want(`${name}${round}`);
          if (world.random() < 0.3) await world.clock.advance(1);
        }
      }
      await world.clock.advance(2_000);
      expect({seed, broken: world.broken}).toEqual({seed, broken: []});
      allocator.stop();
    }
  });

  it('refuses an adapter rather than take one away that nodes may still use', async () => {
    const world = build(1);
    const allocator = world.create(1, () => true);
    await world.clock.advance(1_000);
    const grants = [];
    for (const name of ['a1', 'a2', 'a3']) {
      grants.push(
        await world.clock.runUntilSettled(
          allocator.wantAdapter({
            model: model(0),
            adapter: as<AdapterName>(name),
            excluded: new Set(),
          }),
        ),
      );
    }
    expect(grants.map(grant => grant === undefined)).toEqual([
      false,
      false,
      true,
    ]);
    allocator.stop();
  });

  it('finds out when an engine has begun a new life under its id', async () => {
    const world = build(1);
    const allocator = world.create(1, () => true);
    await world.clock.advance(1_000);
    const engine = world.engines.get(as<EndpointId>('engine-0'));
    engine?.restart();
    if (engine !== undefined) allocator.noteEngine(engine.description);
    await world.clock.advance(1_000);
    waitFor(allocator, world, model(9));
    await world.clock.advance(900);
    expect(isHeld(world, model(9))).toEqual(true);
    allocator.stop();
  });
});

const TROUBLES: Readonly<Record<string, OrderTrouble>> = {
  'nothing on the way': {answerLost: 0, late: 0, lost: 0},
  'lost answers': {answerLost: 0.3, late: 0, lost: 0},
  'orders that arrive late': {answerLost: 0, late: 0.35, lost: 0},
  'all of it': {answerLost: 0.1, late: 0.2, lost: 0.1},
};

/** Runs 40 s with changing demand, restarts of engines and changes of the holder. */
async function runTrouble(seed: number, trouble: OrderTrouble): Promise<World> {
  const world = build(seed, trouble);
  const {clock, random} = world;
  let term = 1;
  let isHolder = {value: true};
  let allocator = world.create(term, () => true);
  for (let step = 0; step < 80; step += 1) {
    const chance = random();
    if (chance < 0.05) {
      // The holder before goes on for a moment, as one that is cut off does.
      const former = isHolder;
      const formerAllocator = allocator;
      void clock.schedule(after(clock.now(), random() * 1_500), () => {
        former.value = false;
        formerAllocator.stop();
      });
      term += 1;
      const current = {value: true};
      isHolder = current;
      allocator = world.create(term, () => current.value);
    } else if (chance < 0.1) {
      const ids = [...world.engines.keys()];
      const id = ids[randomBelow(random, ids.length)];
      const engine = id && world.engines.get(id);
      engine?.restart();
      if (engine) allocator.noteEngine(engine.description);
    } else if (chance < 0.5) {
      // Several nodes at once, some of which met an engine without what it should have.
      for (let count = 0; count < 4; count += 1) {
        const wanted = model(randomBelow(random, 9));
        if (random() < 0.3) {
          for (const id of world.engines.keys()) {
            allocator.noteMissing(id, wanted);
          }
        }
        void allocator.wantAdapter({
          model: wanted,
          adapter: as<AdapterName>(`a${randomBelow(random, 5)}`),
          excluded: new Set(),
        });
        await clock.advance(random() * 300);
      }
    } else {
      waitFor(allocator, world, model(randomBelow(random, 12)));
    }
    await clock.advance(500);
  }
  allocator.stop();
  await clock.advance(15_000);
  return world;
}

describe('orders that go wrong', () => {
  for (const [name, trouble] of Object.entries(TROUBLES)) {
    it(`never fill an engine beyond its room: ${name}`, async () => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const {broken} = await runTrouble(seed, trouble);
        expect({seed, broken}).toEqual({seed, broken: []});
      }
    });
  }

  it('leave an allocator that still wakes models', async () => {
    const world = build(3, TROUBLES['all of it']);
    const allocator = world.create(1, () => true);
    await world.clock.advance(2_000);
    for (const index of [9, 10, 11]) {
      waitFor(allocator, world, model(index));
      await world.clock.advance(20_000);
      expect(isHeld(world, model(index))).toEqual(true);
    }
    allocator.stop();
  });
});
