import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {SoftwareVersion} from '@siskinmux/endpoints';
import type {EndpointId, Instant, ModelName, NodeId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {EngineView, NodeUsage} from '../src/index.js';
import {ServiceDemand, planModels} from '../src/index.js';
import {createDeclaration, createEngineView} from './simulated_engines.js';

const now = as<Instant>(100_000);
const node = as<NodeId>('node-1');
const declaration = createDeclaration(12, 3);

function model(index: number): ModelName {
  return as<ModelName>(`m${index}`);
}

function engine(name: string, loaded: number[], onDisk: number[]): EngineView {
  const view = createEngineView(name, loaded.map(model));
  for (const index of [...loaded, ...onDisk]) view.onDisk.add(model(index));
  return view;
}

function demandOf(usage: Partial<NodeUsage>): ServiceDemand {
  const demand = ServiceDemand.create();
  demand.recordUsage(
    node,
    {waiting: [], inFlight: [], arrived: [], ...usage},
    now,
  );
  return demand;
}

function waiting(index: number, count = 1, priority = 0) {
  return {
    model: model(index),
    count,
    priority,
    earliestDeadline: as<Instant>(now + 8_000),
  };
}

function plan(
  engines: EngineView[],
  demand: ServiceDemand,
  availableStoreLoads = 4,
) {
  return planModels({
    now,
    declaration,
    engines,
    demand,
    availableStoreLoads,
    storeLoadLimit: 4,
  });
}

describe('planning of model changes', () => {
  const v1 = as<SoftwareVersion>('v1');
  const v2 = as<SoftwareVersion>('v2');

  function engineOf(
    version: SoftwareVersion,
    name: string,
    loaded: number[],
    onDisk: number[],
  ): EngineView {
    const view = createEngineView(name, loaded.map(model), version);
    for (const index of [...loaded, ...onDisk]) view.onDisk.add(model(index));
    return view;
  }

  function enginesToLoad(
    wanted: ModelName,
    engines: EngineView[],
    demand: ServiceDemand,
  ): string[] {
    return plan(engines, demand)
      .filter(({load}) => load === wanted)
      .map(({engine: id}) => id);
  }

  it('loads a model at the version that began a stream, once, though another version has the model', () => {
    const engines = [
      engineOf(v2, 'one', [9], []),
      engineOf(v2, 'two', [], [9]),
      engineOf(v1, 'three', [3, 4, 5], [9]),
    ];
    const bound = {...waiting(9), boundTo: v1};
    const demand = demandOf({waiting: [bound]});
    expect(enginesToLoad(model(9), engines, demand)).toEqual(['three']);
    expect(demand.waitingByModel.size).toEqual(0);
  });

  it('loads nothing for a stream at a version that has the model, or can not have it in time', () => {
    const bound = {...waiting(9), boundTo: v1};
    const ready = [engineOf(v1, 'one', [9], []), engineOf(v1, 'two', [], [9])];
    expect(
      enginesToLoad(model(9), ready, demandOf({waiting: [bound]})),
    ).toEqual([]);
    const late = {...bound, earliestDeadline: as<Instant>(now + 100)};
    const empty = [engineOf(v1, 'one', [], []), engineOf(v2, 'two', [9], [])];
    expect(enginesToLoad(model(9), empty, demandOf({waiting: [late]}))).toEqual(
      [],
    );
  });

  it('does not evict a model that a stream of any version waits for', () => {
    const engines = [engineOf(v1, 'one', [3, 4, 5], [9])];
    const demand = demandOf({
      waiting: [
        waiting(9),
        ...[3, 4, 5].map(index => ({...waiting(index), boundTo: v2})),
      ],
    });
    expect(plan(engines, demand)).toEqual([]);
  });

  it('does not load models on an engine that limits its requests, or evict its models, while another can take them', () => {
    const limited = engine('one', [0], [9]);
    limited.requestLimit = 2.6;
    const other = engine('two', [3, 4, 5], []);
    for (const index of [9, 3, 4, 5]) other.onDisk.add(model(index));
    const changes = plan([limited, other], demandOf({waiting: [waiting(9)]}));
    expect(changes.map(({engine: id, load}) => [id, load])).toEqual([
      [other.id, model(9)],
    ]);
  });

  it('loads a model on another engine, once, if requests wait for it at engines that limit their requests', () => {
    const limited = engine('one', [9], []);
    limited.requestLimit = 2.6;
    const other = engine('two', [3, 4, 5], [9]);
    const third = engine('three', [6, 7, 8], [9]);
    const demand = demandOf({
      waiting: [waiting(9, 3)],
      arrived: [3, 4, 5, 6, 7, 8, 9].map(index => ({
        model: model(index),
        count: 4,
      })),
    });
    const changes = plan([limited, other, third], demand);
    expect(changes.map(({load, reason}) => [load, reason])).toEqual([
      [model(9), 'waiting'],
    ]);
    other.requestLimit = 2.6;
    third.requestLimit = 2.6;
    expect(plan([limited, other, third], demand)).toEqual([]);
    third.hasUnusedPermits = true;
    expect(
      plan([limited, other, third], demand).map(({engine: id}) => id),
    ).toEqual([third.id]);
    other.requestLimit = undefined;
    other.pendingLoad = {model: model(9), readyAt: now};
    expect(plan([limited, other, third], demand)).toEqual([]);
  });

  it('loads a model that requests wait for although all engines limit their requests', () => {
    const limited = engine('one', [0], [9]);
    limited.requestLimit = 2.6;
    const changes = plan([limited], demandOf({waiting: [waiting(9)]}));
    expect(changes.map(({engine: id, load}) => [id, load])).toEqual([
      [limited.id, model(9)],
    ]);
  });

  it('adds a replica of a model whose only engine limits its requests to fewer than arrive for its models, in place of an unused one', () => {
    const limited = engine('one', [0, 1], []);
    const other = engine('two', [3, 4, 5], [0]);
    const arrived = [
      {model: model(0), count: 6},
      {model: model(1), count: 6},
      {model: model(4), count: 5},
      {model: model(5), count: 5},
    ];
    expect(plan([limited, other], demandOf({arrived}), 0)).toEqual([]);
    limited.requestLimit = 10;
    expect(plan([limited, other], demandOf({arrived}), 0)).toEqual([]);
    limited.requestLimit = 2.6;
    expect(plan([limited, other], demandOf({arrived}), 0)).toEqual([
      {
        engine: other.id,
        load: model(0),
        unload: [model(3)],
        tier: 'disk',
        reason: 'busy',
        isDraining: false,
      },
    ]);
  });

  it('selects the engine with a copy on its disk, and evicts its least used model', () => {
    const changes = plan(
      [engine('one', [0, 1, 2], []), engine('two', [3, 4, 5], [9])],
      demandOf({
        waiting: [waiting(9)],
        arrived: [
          {model: model(3), count: 5},
          {model: model(5), count: 5},
        ],
      }),
      0,
    );
    expect(changes).toEqual([
      {
        engine: as<EndpointId>('two'),
        load: model(9),
        unload: [model(4)],
        tier: 'disk',
        reason: 'waiting',
        isDraining: false,
      },
    ]);
  });

  it('evicts no model that has in-flight or waiting requests or has just been loaded', () => {
    const busy = engine('one', [0, 1, 2], [9]);
    const placed = busy.models.get(model(2));
    if (placed) placed.since = as<Instant>(now - 100);
    const changes = plan(
      [busy],
      demandOf({
        waiting: [waiting(9), waiting(1)],
        inFlight: [{engine: busy.id, model: model(0), count: 1}],
      }),
    );
    expect(changes).toEqual([]);
  });

  // A model whose copies are all on engines in use waited until one of their models was idle.
  it('evicts a replica in use for a model that waits, if the others can take its requests', () => {
    const one = engine('one', [0, 1, 2], [9]);
    const two = engine('two', [0, 3, 4], []);
    const planWith = (atOther: number, engines = [one, two]) =>
      plan(
        engines,
        demandOf({
          waiting: [waiting(9)],
          inFlight: [
            {engine: one.id, model: model(0), count: 2},
            {engine: one.id, model: model(1), count: 1},
            {engine: one.id, model: model(2), count: 1},
            {engine: two.id, model: model(0), count: atOther},
          ],
        }),
        0,
      );
    expect(planWith(2)).toEqual([
      {
        engine: one.id,
        load: model(9),
        unload: [model(0)],
        tier: 'disk',
        reason: 'waiting',
        isDraining: true,
      },
    ]);
    expect(planWith(6)).toEqual([]);
    expect(planWith(0, [one])).toEqual([]);
    two.isDraining = true;
    expect(planWith(2)).toEqual([]);
  });

  // In a trial, a model lost its replicas between two bursts and was overloaded in the next.
  it('keeps a replica in use that a recent peak of requests needed', () => {
    const one = engine('one', [0, 1, 2], [9]);
    const two = engine('two', [0, 3, 4], []);
    const inFlight = (atOne: number, atTwo: number) => [
      {engine: one.id, model: model(0), count: atOne},
      {engine: one.id, model: model(1), count: 1},
      {engine: one.id, model: model(2), count: 1},
      {engine: two.id, model: model(0), count: atTwo},
    ];
    const demand = demandOf({inFlight: inFlight(6, 6)});
    demand.recordPeaks(now);
    const usage = {
      waiting: [waiting(9)],
      inFlight: inFlight(1, 1),
      arrived: [],
    };
    demand.recordUsage(node, usage, now);
    expect(plan([one, two], demand, 0)).toEqual([]);
    demand.recordPeaks(as<Instant>(now + 10_000));
    expect(plan([one, two], demand, 0).map(({unload}) => unload)).toEqual([
      [model(0)],
    ]);
  });

  it('evicts an idle model rather than a replica in use', () => {
    const changes = plan(
      [engine('one', [0, 1, 2], [9]), engine('two', [0, 3, 4], [])],
      demandOf({
        waiting: [waiting(9)],
        inFlight: [{engine: as<EndpointId>('one'), model: model(0), count: 1}],
        arrived: [
          {model: model(1), count: 5},
          {model: model(2), count: 4},
        ],
      }),
      0,
    );
    expect(changes.map(({unload}) => unload)).toEqual([[model(2)]]);
  });

  it('plans only one change per engine', () => {
    const one = engine('one', [0, 1, 2], [9, 10]);
    const changes = plan([one], demandOf({waiting: [waiting(9), waiting(10)]}));
    expect(changes.length).toEqual(1);
  });

  it('loads the model with the most callers first when the copies of all models are lost', () => {
    // A rolling update: a new engine has no models, and the old ones have left.
    const changes = plan(
      [engine('new', [], [])],
      demandOf({
        waiting: [waiting(5, 1, 0), waiting(6, 1, 0)],
        arrived: [
          {model: model(5), count: 1},
          {model: model(6), count: 1},
          {model: model(7), count: 80},
        ],
      }),
      1,
    );
    expect(changes.map(({load}) => load)).toEqual([model(7)]);
  });

  it('loads a model with many callers although the limit on concurrent loads is reached', () => {
    const many = demandOf({arrived: [{model: model(7), count: 80}]});
    const few = demandOf({waiting: [waiting(5)]});
    expect(plan([engine('new', [], [])], many, 0).length).toEqual(1);
    expect(plan([engine('new', [], [])], many, -2).length).toEqual(0);
    expect(plan([engine('new', [], [])], few, 0).length).toEqual(0);
  });

  it('uses free memory for a second replica of a model with many callers', () => {
    const busy = demandOf({arrived: [{model: model(0), count: 80}]});
    const changes = plan(
      [engine('one', [0, 1, 2], []), engine('new', [], [])],
      busy,
      1,
    );
    expect(changes.map(({load}) => load)).toEqual([model(0)]);
  });

  it('waits for an engine that is changing its models and has a copy, instead of loading from the weight store', () => {
    const changing = engine('one', [0, 1, 2], [9]);
    changing.pendingLoad = {model: model(3), readyAt: now};
    const changes = plan(
      [changing, engine('two', [3, 4, 5], [])],
      demandOf({waiting: [waiting(9)]}),
    );
    expect(changes.filter(({load}) => load === model(9))).toEqual([]);
  });

  it('plans at most availableStoreLoads loads from the weight store for models with few waiting requests', () => {
    const changes = plan(
      [engine('one', [], []), engine('two', [], [])],
      demandOf({waiting: [waiting(5), waiting(6)]}),
      1,
    );
    expect(changes.length).toEqual(1);
  });

  it('copies models ahead of requests if the store can copy all of them soon', () => {
    const engines = [engine('e1', [0], []), engine('e2', [1], [])];
    const input = {
      now,
      declaration,
      engines,
      demand: demandOf({}),
      availableStoreLoads: 2,
      storeLoadLimit: 2,
    };
    expect(planModels(input).map(({reason}) => reason)).toEqual([
      'spread',
      'spread',
    ]);
  });

  it('keeps loads from the store for requested models while the store could not copy all others soon', () => {
    const input = {
      now,
      declaration: createDeclaration(100, 3),
      engines: [engine('e1', [0], []), engine('e2', [1], [])],
      demand: demandOf({}),
      availableStoreLoads: 2,
      storeLoadLimit: 2,
    };
    expect(planModels(input)).toEqual([]);
    const demand = demandOf({waiting: [waiting(50)]});
    expect(planModels({...input, demand}).map(({load}) => load)).toEqual([
      model(50),
    ]);
  });

  // The weight store stood idle until the first requests came, and these were refused for want of a copy.
  it('copies models while nothing is requested, without evicting the last replica of any', () => {
    const input = {
      now,
      declaration: createDeclaration(100, 3),
      engines: [engine('e1', [0, 1, 2], []), engine('e2', [0, 3, 4], [])],
      demand: demandOf({}),
      availableStoreLoads: 1,
      storeLoadLimit: 1,
      isIdle: true,
    };
    const changes = planModels(input);
    expect(changes.map(({unload, reason}) => [unload, reason])).toEqual([
      [[model(0)], 'spread'],
    ]);
    const engines = [engine('e1', [0, 1, 2], []), engine('e2', [3, 4, 5], [])];
    expect(planModels({...input, engines})).toEqual([]);
  });

  it('evicts a spare replica for a load from the store, not an idle model without another copy', () => {
    const changes = plan(
      [engine('e1', [0, 1, 2], []), engine('e2', [0, 3, 4], [])],
      demandOf({
        waiting: [waiting(5)],
        arrived: [{model: model(0), count: 8}],
      }),
    );
    const [load] = changes.filter(change => change.load === model(5));
    expect(load?.unload).toEqual([model(0)]);
  });

  it('loads from the store on an engine whose copies other engines have, too', () => {
    const changes = plan(
      [
        engine('e1', [0], [6, 7]),
        engine('e2', [0], [8, 9, 10, 11]),
        engine('e3', [0], [8, 9, 10, 11]),
      ],
      demandOf({waiting: [waiting(5)]}),
    );
    const [load] = changes.filter(change => change.load === model(5));
    expect(load?.engine).toEqual(as<EndpointId>('e2'));
  });

  it('adds a replica of a model that uses at least 35 % of its slots and evicts a less used model for it', () => {
    const one = engine('one', [0, 1, 2], []);
    const two = engine('two', [3, 4, 5], [0]);
    const changes = plan(
      [one, two],
      demandOf({
        inFlight: [{engine: one.id, model: model(0), count: 6}],
        arrived: [3, 4, 5].map(index => ({model: model(index), count: 2})),
      }),
      0,
    );
    expect(changes.map(({load, reason}) => [load, reason])).toEqual([
      [model(0), 'busy'],
    ]);
  });

  // Three engines loaded one model at once, which took each of them three times as long.
  it('loads a model from the weight store once, though its requests at a lost engine are in flight', () => {
    const loading = engine('one', [], []);
    loading.pendingLoad = {model: model(0), readyAt: as<Instant>(now + 6_000)};
    const inFlight = [
      {engine: as<EndpointId>('lost'), model: model(0), count: 12},
    ];
    const engines = [loading, engine('two', [3, 4, 5], [])];
    const changes = plan(engines, demandOf({inFlight}));
    expect(changes.filter(({load}) => load === model(0))).toEqual([]);
  });

  it('adds a replica of a model whose engine has half of its slots in use, mostly by other models', () => {
    const one = engine('one', [0, 1, 2], []);
    const two = engine('two', [3, 4, 5], [0]);
    const inFlight = [
      {engine: one.id, model: model(0), count: 3},
      {engine: one.id, model: model(1), count: 5},
    ];
    expect(plan([one, two], demandOf({inFlight}), 0).length).toEqual(1);
    expect(
      plan([one, two], demandOf({inFlight: inFlight.slice(0, 1)}), 0),
    ).toEqual([]);
  });

  it('plans no change on an engine that is draining or whose state is unknown', () => {
    const draining = engine('one', [0, 1, 2], [9]);
    draining.isDraining = true;
    const unknown = engine('two', [3, 4, 5], [9]);
    unknown.orderCount = undefined;
    expect(
      plan([draining, unknown], demandOf({waiting: [waiting(9)]})),
    ).toEqual([]);
  });
});
