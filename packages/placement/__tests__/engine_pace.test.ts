import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EndpointId, Instant, ModelName, NodeId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {EngineView, ModelChange} from '../src/index.js';
import {EnginePace, ServiceDemand, planModels} from '../src/index.js';
import {createDeclaration, createEngineView} from './simulated_engines.js';

const start = as<Instant>(100_000);
const engineId = as<EndpointId>('one');
const later = (milliseconds: number): Instant =>
  as<Instant>(start + milliseconds);

describe('EnginePace', () => {
  it('is unknown until enough gaps are measured, and again once they are old', () => {
    const pace = EnginePace.create();
    pace.record({engine: engineId, count: 5, milliseconds: 500}, start);
    expect(pace.gapOf(engineId, start)).toEqual(undefined);
    pace.record({engine: engineId, count: 45, milliseconds: 2_000}, start);
    expect(pace.gapOf(engineId, start)).toEqual(50);
    expect(pace.gapOf(engineId, later(60_000))).toEqual(undefined);
  });

  it('follows an engine that turns slow within some seconds', () => {
    const pace = EnginePace.create();
    const record = (milliseconds: number, at: Instant): void =>
      pace.record({engine: engineId, count: 20, milliseconds}, at);
    for (let second = 0; second < 10; second += 1)
      record(600, later(second * 1_000));
    for (let second = 10; second < 18; second += 1)
      record(2_400, later(second * 1_000));
    expect(pace.gapOf(engineId, later(18_000)) ?? 0).toBeGreaterThan(90);
  });

  it('forgets an engine that has left', () => {
    const pace = EnginePace.create();
    pace.record({engine: engineId, count: 50, milliseconds: 2_500}, start);
    pace.remove(engineId);
    expect(pace.gaps(start).size).toEqual(0);
  });
});

describe('planning by the pace of engines', () => {
  const declaration = createDeclaration(12, 3);
  const model = (index: number): ModelName => as<ModelName>(`m${index}`);

  function engine(
    name: string,
    loaded: number[],
    gap: number | undefined,
  ): EngineView {
    const view = createEngineView(name, loaded.map(model));
    for (let index = 0; index < 12; index += 1) view.onDisk.add(model(index));
    view.eventGapMilliseconds = gap;
    return view;
  }

  /** Each model's requests a second. */
  function demandOf(rates: ReadonlyMap<number, number>): ServiceDemand {
    const demand = ServiceDemand.create();
    const arrived = [...rates].map(([index, rate]) => ({
      model: model(index),
      count: rate * 8,
    }));
    const usage = {waiting: [], inFlight: [], arrived};
    demand.recordUsage(as<NodeId>('node-1'), usage, start);
    return demand;
  }

  function plan(
    engines: EngineView[],
    demand: ServiceDemand,
    gapObjective?: number,
  ): ModelChange[] {
    return planModels({
      now: start,
      declaration,
      engines,
      demand,
      availableStoreLoads: 0,
      storeLoadLimit: 1,
      gapObjective,
    });
  }

  const slowChanges = (changes: ModelChange[]): string[] =>
    changes
      .filter(({reason}) => reason === 'slow')
      .map(({engine: id, load}) => `${load} on ${id}`);

  it('moves a model in use from a slow engine to a faster one, before its streams are late', () => {
    const demand = demandOf(
      new Map([
        [0, 4],
        [3, 0.1],
      ]),
    );
    const engines = [
      engine('slow', [0, 1, 2], 90),
      engine('fast', [3, 4, 5], 25),
    ];
    expect(slowChanges(plan(engines, demand, 200))).toEqual(['m0 on fast']);
  });

  it('does not exchange models of equal demand, nor move any without need', () => {
    const equal = demandOf(
      new Map([0, 1, 2, 3, 4, 5].map(index => [index, 1])),
    );
    const engines = [
      engine('slow', [0, 1, 2], 90),
      engine('fast', [3, 4, 5], 25),
    ];
    expect(slowChanges(plan(engines, equal, 200))).toEqual([]);
    const busy = demandOf(new Map([[0, 4]]));
    expect(slowChanges(plan(engines, busy))).toEqual([]);
    expect(slowChanges(plan(engines, busy, 2_000))).toEqual([]);
  });

  it('does not move models while the pace of their engines is unknown', () => {
    const demand = demandOf(new Map([[0, 4]]));
    const unknown = [
      engine('one', [0, 1, 2], undefined),
      engine('two', [3, 4, 5], 25),
    ];
    expect(slowChanges(plan(unknown, demand, 200))).toEqual([]);
  });

  it('loads a model that requests wait for on the fast engine rather than on the slow one', () => {
    const demand = demandOf(
      new Map([
        [1, 0.5],
        [4, 0.5],
        [9, 4],
      ]),
    );
    const earliestDeadline = later(8_000);
    const waiting = [
      {model: model(9), count: 3, priority: 0, earliestDeadline},
    ];
    const usage = {waiting, inFlight: [], arrived: []};
    demand.recordUsage(as<NodeId>('node-2'), usage, start);
    const engines = [
      engine('slow', [0, 1, 2], 90),
      engine('fast', [3, 4, 5], 25),
    ];
    const changes = plan(engines, demand, 200);
    expect(changes.map(({engine: id, load}) => `${load} on ${id}`)).toEqual([
      'm9 on fast',
    ]);
  });

  it('evicts the model with fewest requests for one that waits, not one from the slow engine', () => {
    const demand = demandOf(
      new Map([
        [0, 1],
        [1, 1],
        [2, 1],
        [3, 0.05],
        [4, 1],
        [5, 1],
        [9, 0.1],
      ]),
    );
    const earliestDeadline = later(8_000);
    const waiting = [
      {model: model(9), count: 1, priority: 0, earliestDeadline},
    ];
    const usage = {waiting, inFlight: [], arrived: []};
    demand.recordUsage(as<NodeId>('node-2'), usage, start);
    const engines = [
      engine('slow', [0, 1, 2], 90),
      engine('fast', [3, 4, 5], 25),
    ];
    const [change] = plan(engines, demand, 200);
    expect(change?.unload).toEqual([model(3)]);
  });
});
