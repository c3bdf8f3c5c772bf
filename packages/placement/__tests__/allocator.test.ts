import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  AdapterName,
  EndpointId,
  FencingNumber,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {after, as, discardEvents, randomBelow, until} from '@siskinmux/kernel';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {AvailableModels, OrderAuthority} from '../src/index.js';
import {Allocator, LoadLimiter} from '../src/index.js';
import type {OrderFaults} from './simulated_engines.js';
import {
  SERVICE,
  SimulatedEngine,
  SimulatedOrderClient,
  createDeclaration,
} from './simulated_engines.js';

const node = as<NodeId>('node-1');

function model(index: number): ModelName {
  return as<ModelName>(`m${index}`);
}

/** Engines with three loaded models each and copies of others, and a factory for allocators. */
function createSimulation(
  seed: number,
  faults?: OrderFaults,
  loadedOn = (index: number) => [0, 1, 2].map(offset => index * 3 + offset),
  copied: readonly number[] = [9, 10, 3, 6],
) {
  const clock = VirtualClock.create();
  const random = createSeededRandom(seed);
  const declaration = createDeclaration(12, 3);
  const violations: string[] = [];
  const engines = new Map<EndpointId, SimulatedEngine>();
  for (let index = 0; index < 3; index += 1) {
    const id = as<EndpointId>(`engine-${index}`);
    const loaded = loadedOn(index).map(model);
    const copies = copied.map(offset => model((offset + index) % 12));
    engines.set(
      id,
      new SimulatedEngine(id, clock, declaration, loaded, copies, violation =>
        violations.push(violation),
      ),
    );
  }
  const orders = new SimulatedOrderClient(engines, clock, random, faults);
  const available = new Map<EndpointId, readonly ModelName[]>();
  const createAllocator = (term: number, isHolder: () => boolean) => {
    const authority = (): OrderAuthority | undefined =>
      isHolder()
        ? {holder: node, fencingNumber: as<FencingNumber>(term)}
        : undefined;
    const allocator = Allocator.create({
      hasUnusedPermits: () => true,
      service: SERVICE,
      orders,
      loadLimiter: LoadLimiter.create(5_000),
      clock,
      emit: discardEvents,
      authority,
      onFenced: () => {},
      onAvailableModels: ({engine, models}: AvailableModels) =>
        available.set(engine, models),
      onForecasts: () => {},
    });
    allocator.updateDeclaration(declaration);
    for (const engine of engines.values()) {
      allocator.updateEngine(engine.description);
    }
    return allocator;
  };
  return {
    clock,
    random,
    engines,
    orders,
    violations,
    available,
    createAllocator,
  };
}

type Simulation = ReturnType<typeof createSimulation>;

function reportWaitingRequest(
  allocator: Allocator,
  {clock}: Simulation,
  wanted: ModelName,
): void {
  allocator.recordUsage(node, {
    waiting: [
      {
        model: wanted,
        count: 1,
        priority: 0,
        earliestDeadline: after(clock.now(), 8_000),
      },
    ],
    inFlight: [],
    arrived: [{model: wanted, count: 1}],
  });
}

function isAvailable({available}: Simulation, wanted: ModelName): boolean {
  return [...available.values()].some(models => models.includes(wanted));
}

/** Usage with one in-flight request per model on every engine that has it. */
function usageOfAllModels({engines}: Simulation) {
  return [...engines.values()].flatMap(engine =>
    [...engine.models].map(loaded => ({
      engine: engine.id,
      model: loaded,
      count: 1,
    })),
  );
}

describe('the allocator', () => {
  it('makes a model ready from a local disk within 900 ms', async () => {
    const simulation = createSimulation(1);
    const allocator = simulation.createAllocator(1, () => true);
    await simulation.clock.advance(1_000);
    reportWaitingRequest(allocator, simulation, model(9));
    await simulation.clock.advance(900);
    expect(isAvailable(simulation, model(9))).toEqual(true);
    expect(simulation.violations).toEqual([]);
    allocator.stop();
  });

  for (const pause of [700, 1_000, 1_200, 1_500])
    it(`loads a model once, and evicts none elsewhere, while its engine pauses for ${pause} ms`, async () => {
      const simulation = createSimulation(1);
      const {clock, engines, orders, available} = simulation;
      const allocator = simulation.createAllocator(1, () => true);
      await clock.advance(1_000);
      for (const engine of engines.values())
        orders.pausedUntil.set(engine.id, after(clock.now(), pause));
      const startedAt = clock.now();
      let lost = 0;
      let readyAt = startedAt;
      while (clock.now() < after(startedAt, 4_000)) {
        reportWaitingRequest(allocator, simulation, model(9));
        await clock.advance(20);
        if (!isAvailable(simulation, model(9))) readyAt = clock.now();
        const models = new Set([...available.values()].flat());
        lost = Math.max(lost, 9 - models.size);
      }
      const operations = new Set(
        orders.sent.map(
          ({engine, change}) =>
            `${engine.id} ${change.operation} ${change.model}`,
        ),
      );
      expect([...operations]).toEqual([
        'engine-0 unload m0',
        'engine-0 load m9',
      ]);
      expect(lost).toEqual(1);
      expect(until(startedAt, readyAt)).toBeLessThanOrEqual(pause + 1_300);
      expect(simulation.violations).toEqual([]);
      allocator.stop();
    });

  describe('while a node whose requests are in flight for all models is away', () => {
    const busy = as<NodeId>('node-2');

    /** A request waits for a model that needs an eviction; the node may be back within a second. */
    async function createWithNodeAway() {
      const simulation = createSimulation(1);
      const {clock} = simulation;
      const allocator = simulation.createAllocator(1, () => true);
      const usage = {
        waiting: [],
        inFlight: usageOfAllModels(simulation),
        arrived: [],
      };
      allocator.recordUsage(busy, usage);
      reportWaitingRequest(allocator, simulation, model(9));
      await clock.advance(1_000);
      allocator.removeNode(busy, after(clock.now(), 1_000));
      return {simulation, allocator, usage};
    }

    for (const awayFor of [50, 300, 900])
      it(`evicts none of them if it is back after ${awayFor} ms`, async () => {
        const {simulation, allocator, usage} = await createWithNodeAway();
        await simulation.clock.advance(awayFor);
        allocator.recordUsage(busy, usage);
        await simulation.clock.advance(2_000);
        expect(simulation.orders.sent).toEqual([]);
        allocator.stop();
      });

    it('evicts one of them after a second', async () => {
      const {simulation, allocator} = await createWithNodeAway();
      await simulation.clock.advance(950);
      expect(simulation.orders.sent).toEqual([]);
      await simulation.clock.advance(1_000);
      expect(isAvailable(simulation, model(9))).toEqual(true);
      allocator.stop();
    });
  });

  it('loads a model on only one engine while requests for it keep arriving', async () => {
    const simulation = createSimulation(1);
    const allocator = simulation.createAllocator(1, () => true);
    await simulation.clock.advance(1_000);
    // Two engines have a copy of it.
    for (let elapsed = 0; elapsed < 600; elapsed += 20) {
      reportWaitingRequest(allocator, simulation, model(10));
      await simulation.clock.advance(20);
    }
    const loads = simulation.orders.sent.filter(
      ({change}) => change.operation === 'load' && change.model === model(10),
    );
    expect(new Set(loads.map(({engine}) => engine.id)).size).toEqual(1);
    allocator.stop();
  });

  it('plans no more loads from the weight store than the limit on concurrent loads allows', async () => {
    const simulation = createSimulation(1);
    // No engine has a copy of these models, and loading them requires evictions.
    const missing = [9, 10, 11];
    for (const {onDisk} of simulation.engines.values()) {
      for (const index of missing) onDisk.delete(model(index));
    }
    const allocator = simulation.createAllocator(1, () => true);
    const reportUsage = (isInUse: boolean): void =>
      allocator.recordUsage(node, {
        waiting: missing.map(index => ({
          model: model(index),
          count: 1,
          priority: 0,
          earliestDeadline: after(simulation.clock.now(), 60_000),
        })),
        inFlight: isInUse ? usageOfAllModels(simulation) : [],
        arrived: [],
      });
    reportUsage(true);
    await simulation.clock.advance(1_000);
    for (let elapsed = 0; elapsed < 2_000; elapsed += 10) {
      reportUsage(false);
      await simulation.clock.advance(10);
    }
    const loads = simulation.orders.sent.filter(
      ({change}) => change.operation === 'load',
    );
    expect(loads.length).toEqual(1);
    allocator.stop();
  });

  // Engines that send without end were read ten times a second each, to the cost of all requests.
  // After a takeover, loads that the previous lease holder had started were slowed by further ones.
  it('counts a load of the previous lease holder until it ends', async () => {
    const simulation = createSimulation(1, undefined, undefined, [3, 6]);
    const {clock, orders} = simulation;
    const storeLoads = () =>
      orders.sent.filter(({change}) => change.operation === 'load').length;
    const first = simulation.createAllocator(1, () => true);
    await clock.advance(1_000);
    expect(storeLoads()).toEqual(1);
    first.stop();
    const second = simulation.createAllocator(2, () => true);
    await clock.advance(1_000);
    reportWaitingRequest(second, simulation, model(10));
    await clock.advance(3_000);
    expect(storeLoads()).toEqual(1);
    await clock.advance(2_500);
    expect(storeLoads()).toEqual(2);
    second.stop();
  });

  // An engine that could not be read any more kept all loads from the weight store waiting.
  it('counts no load at an engine that no longer answers', async () => {
    const simulation = createSimulation(1, undefined, undefined, [3, 6]);
    const {clock, orders} = simulation;
    const first = simulation.createAllocator(1, () => true);
    await clock.advance(1_000);
    first.stop();
    const [load] = orders.sent.filter(
      ({change}) => change.operation === 'load',
    );
    const second = simulation.createAllocator(2, () => true);
    await clock.advance(300);
    if (load !== undefined)
      orders.pausedUntil.set(load.engine.id, after(clock.now(), 60_000));
    await clock.advance(3_000);
    const loads = orders.sent.filter(({change}) => change.operation === 'load');
    expect(loads.length).toEqual(2);
    second.stop();
  });

  it('reads an engine whose report is too long once in two seconds, until it is sound', async () => {
    const simulation = createSimulation(1);
    const {clock, orders, engines} = simulation;
    orders.reportFailure = 'too_long';
    const allocator = simulation.createAllocator(1, () => true);
    await clock.advance(10_000);
    expect(orders.readCount).toBeLessThan(engines.size * 6);
    orders.reportFailure = undefined;
    await clock.advance(3_000);
    expect(isAvailable(simulation, model(0))).toEqual(true);
    allocator.stop();
  });

  it('sends no orders without the lease', async () => {
    const simulation = createSimulation(1);
    const allocator = simulation.createAllocator(1, () => false);
    reportWaitingRequest(allocator, simulation, model(9));
    await simulation.clock.advance(3_000);
    expect(simulation.orders.sent).toEqual([]);
    allocator.stop();
  });

  it('unloads no model that has in-flight requests', async () => {
    const simulation = createSimulation(1);
    const allocator = simulation.createAllocator(1, () => true);
    await simulation.clock.advance(1_000);
    allocator.recordUsage(node, {
      waiting: [
        {
          model: model(9),
          count: 1,
          priority: 0,
          earliestDeadline: after(simulation.clock.now(), 8_000),
        },
      ],
      inFlight: usageOfAllModels(simulation),
      arrived: [],
    });
    const before = simulation.orders.sent.length;
    await simulation.clock.advance(2_000);
    expect(simulation.orders.sent.length).toEqual(before);
    allocator.stop();
  });

  describe('evicting a replica in use', () => {
    /** An engine whose models are all in use; other engines have model 0, too. */
    async function startEviction() {
      const loadedOn = (index: number) => [0, index * 3 + 1, index * 3 + 2];
      const simulation = createSimulation(1, undefined, loadedOn);
      const {clock, available, orders} = simulation;
      const allocator = simulation.createAllocator(1, () => true);
      await clock.advance(1_000);
      const inFlight = usageOfAllModels(simulation);
      const waitFor = (...models: ModelName[]) =>
        models.map(wanted => ({
          model: wanted,
          count: 1,
          priority: 0,
          earliestDeadline: after(clock.now(), 8_000),
        }));
      const waiting = waitFor(model(9));
      allocator.recordUsage(node, {waiting, inFlight, arrived: []});
      const before = orders.sent.length;
      await clock.advance(1_000);
      expect(orders.sent.length).toEqual(before);
      const hasModel = (engine: string) =>
        available.get(as<EndpointId>(engine))?.includes(model(0));
      expect(['engine-0', 'engine-1'].map(hasModel)).toEqual([false, true]);
      return {simulation, allocator, inFlight, waitFor, hasModel};
    }

    it('lets its requests end, and gives it no more', async () => {
      const {simulation, allocator, inFlight, waitFor} = await startEviction();
      const rest = inFlight.filter(
        ({engine, model: used}) => engine !== 'engine-0' || used !== model(0),
      );
      const waiting = waitFor(model(9));
      allocator.recordUsage(node, {waiting, inFlight: rest, arrived: []});
      await simulation.clock.advance(1_000);
      expect(isAvailable(simulation, model(9))).toEqual(true);
      allocator.stop();
    });

    // Requests waited for a model that was about to be unloaded, after its other engines were lost.
    it('is given up when requests wait for the model', async () => {
      const {simulation, allocator, inFlight, waitFor, hasModel} =
        await startEviction();
      const waiting = waitFor(model(9), model(0));
      allocator.recordUsage(node, {waiting, inFlight, arrived: []});
      await simulation.clock.advance(200);
      expect(hasModel('engine-0')).toEqual(true);
      allocator.stop();
    });
  });

  it('loads and grants a missing adapter, evicting the one whose grant expired first', async () => {
    const simulation = createSimulation(1);
    const allocator = simulation.createAllocator(1, () => true);
    await simulation.clock.advance(1_000);
    for (let index = 1; index <= 4; index += 1) {
      const grant = await simulation.clock.runUntilSettled(
        allocator.requestAdapter({
          model: model(0),
          adapter: as<AdapterName>(`a${index}`),
          excluded: new Set(),
        }),
      );
      expect(grant?.engine).toEqual(as<EndpointId>('engine-0'));
      await simulation.clock.advance(2_000);
    }
    const engine = simulation.engines.get(as<EndpointId>('engine-0'));
    expect([...(engine?.adapters ?? [])]).toEqual(['m0/a3', 'm0/a4']);
    expect(simulation.violations).toEqual([]);
    allocator.stop();
  });

  it('keeps the adapter limit when concurrent requests compete for the room of one evicted adapter', async () => {
    const names = ['a5', 'a6', 'a5', 'a7', 'a6', 'a8', 'a5', 'a9', 'a7'];
    for (let seed = 1; seed <= 10; seed += 1) {
      const simulation = createSimulation(seed);
      const allocator = simulation.createAllocator(1, () => true);
      await simulation.clock.advance(1_000);
      const requestAdapter = (adapter: string): void =>
        void allocator.requestAdapter({
          model: model(0),
          adapter: as<AdapterName>(adapter),
          excluded: new Set(),
        });
      requestAdapter('a1');
      requestAdapter('a2');
      for (let round = 0; round < 5; round += 1) {
        await simulation.clock.advance(2_000);
        const first = randomBelow(simulation.random, names.length);
        for (const name of [...names.slice(first), ...names.slice(0, first)]) {
          requestAdapter(`${name}${round}`);
          if (simulation.random() < 0.3) await simulation.clock.advance(1);
        }
      }
      await simulation.clock.advance(2_000);
      expect({seed, violations: simulation.violations}).toEqual({
        seed,
        violations: [],
      });
      allocator.stop();
    }
  });

  it('refuses an adapter rather than evict one whose grant has not expired', async () => {
    const simulation = createSimulation(1);
    const allocator = simulation.createAllocator(1, () => true);
    await simulation.clock.advance(1_000);
    const grants = [];
    for (const name of ['a1', 'a2', 'a3']) {
      grants.push(
        await simulation.clock.runUntilSettled(
          allocator.requestAdapter({
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

  it('reads the state of an engine again after it restarted under the same id', async () => {
    const simulation = createSimulation(1);
    const allocator = simulation.createAllocator(1, () => true);
    await simulation.clock.advance(1_000);
    const engine = simulation.engines.get(as<EndpointId>('engine-0'));
    engine?.restart();
    if (engine !== undefined) allocator.updateEngine(engine.description);
    await simulation.clock.advance(1_000);
    reportWaitingRequest(allocator, simulation, model(9));
    await simulation.clock.advance(900);
    expect(isAvailable(simulation, model(9))).toEqual(true);
    allocator.stop();
  });
});

const ORDER_FAULTS: Readonly<Record<string, OrderFaults>> = {
  'no faults': {lostResponses: 0, lateOrders: 0, lostOrders: 0},
  'lost responses': {lostResponses: 0.3, lateOrders: 0, lostOrders: 0},
  'late orders': {lostResponses: 0, lateOrders: 0.35, lostOrders: 0},
  'all faults': {lostResponses: 0.1, lateOrders: 0.2, lostOrders: 0.1},
};

/** Runs for 40 s with changing demand, engine restarts and lease takeovers. */
async function runWithFaults(
  seed: number,
  faults: OrderFaults,
): Promise<Simulation> {
  const simulation = createSimulation(seed, faults);
  const {clock, random} = simulation;
  let term = 1;
  let isHolder = {value: true};
  let allocator = simulation.createAllocator(term, () => true);
  for (let step = 0; step < 80; step += 1) {
    const chance = random();
    if (chance < 0.05) {
      // The previous holder continues for a short time, as if it were partitioned from the
      // store.
      const former = isHolder;
      const formerAllocator = allocator;
      void clock.schedule(after(clock.now(), random() * 1_500), () => {
        former.value = false;
        formerAllocator.stop();
      });
      term += 1;
      const current = {value: true};
      isHolder = current;
      allocator = simulation.createAllocator(term, () => current.value);
    } else if (chance < 0.1) {
      const ids = [...simulation.engines.keys()];
      const id = ids[randomBelow(random, ids.length)];
      const engine = id && simulation.engines.get(id);
      engine?.restart();
      if (engine) allocator.updateEngine(engine.description);
    } else if (chance < 0.5) {
      // Requests of several nodes, some of which report a missing model.
      for (let count = 0; count < 4; count += 1) {
        const wanted = model(randomBelow(random, 9));
        if (random() < 0.3) {
          for (const id of simulation.engines.keys()) {
            allocator.reportMissingModel(id, wanted);
          }
        }
        void allocator.requestAdapter({
          model: wanted,
          adapter: as<AdapterName>(`a${randomBelow(random, 5)}`),
          excluded: new Set(),
        });
        await clock.advance(random() * 300);
      }
    } else {
      reportWaitingRequest(
        allocator,
        simulation,
        model(randomBelow(random, 12)),
      );
    }
    await clock.advance(500);
  }
  allocator.stop();
  await clock.advance(15_000);
  return simulation;
}

describe('faults in the transmission of orders', () => {
  for (const [name, faults] of Object.entries(ORDER_FAULTS)) {
    it(`never make an engine exceed its memory or adapter limit: ${name}`, async () => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const {violations} = await runWithFaults(seed, faults);
        expect({seed, violations}).toEqual({seed, violations: []});
      }
    });
  }

  it('do not prevent the allocator from making models ready', async () => {
    const simulation = createSimulation(3, ORDER_FAULTS['all faults']);
    const allocator = simulation.createAllocator(1, () => true);
    await simulation.clock.advance(2_000);
    for (const index of [9, 10, 11]) {
      reportWaitingRequest(allocator, simulation, model(index));
      await simulation.clock.advance(20_000);
      expect(isAvailable(simulation, model(index))).toEqual(true);
    }
    allocator.stop();
  });
});
