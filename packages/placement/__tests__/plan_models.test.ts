import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EndpointId, Instant, ModelName, NodeId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {EngineBook, NodeUsage} from '../src/index.js';
import {DemandBook, planModels} from '../src/index.js';
import {bookOf, createDeclaration} from './simulated_engines.js';

const now = as<Instant>(100_000);
const node = as<NodeId>('node-1');
const declaration = createDeclaration(12, 3);

function model(index: number): ModelName {
  return as<ModelName>(`m${index}`);
}

function engine(name: string, held: number[], onDisk: number[]): EngineBook {
  const book = bookOf(name, held.map(model));
  for (const index of [...held, ...onDisk]) book.onDisk.add(model(index));
  return book;
}

function demand(usage: Partial<NodeUsage>): DemandBook {
  const book = DemandBook.create();
  book.note(node, {waiting: [], running: [], arrived: [], ...usage}, now);
  return book;
}

function waiting(index: number, count = 1, priority = 0) {
  return {
    model: model(index),
    count,
    priority,
    uselessAt: as<Instant>(now + 8_000),
  };
}

function plan(engines: EngineBook[], book: DemandBook, storeLoads = 4) {
  return planModels({
    now,
    declaration,
    engines,
    demand: book,
    storeLoads,
    loadsAtOnce: 4,
  });
}

describe('a plan of models', () => {
  it('takes the engine that has a copy on its disk, and the model used least', () => {
    const changes = plan(
      [engine('one', [0, 1, 2], []), engine('two', [3, 4, 5], [9])],
      demand({
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
      },
    ]);
  });

  it('unloads nothing that runs, is waited for, or has just been loaded', () => {
    const busy = engine('one', [0, 1, 2], [9]);
    const place = busy.models.get(model(2));
    if (place) place.since = as<Instant>(now - 100);
    const changes = plan(
      [busy],
      demand({
        waiting: [waiting(9), waiting(1)],
        running: [{engine: busy.id, model: model(0), count: 1}],
      }),
    );
    expect(changes).toEqual([]);
  });

  it('begins one change at an engine', () => {
    const one = engine('one', [0, 1, 2], [9, 10]);
    const changes = plan([one], demand({waiting: [waiting(9), waiting(10)]}));
    expect(changes.length).toEqual(1);
  });

  it('loads the model of most callers first when all copies are lost', () => {
    // A release: an engine came empty, and the others are gone.
    const changes = plan(
      [engine('new', [], [])],
      demand({
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

  it('loads a model of many callers beside the loads that are under way', () => {
    const many = demand({arrived: [{model: model(7), count: 80}]});
    const few = demand({waiting: [waiting(5)]});
    expect(plan([engine('new', [], [])], many, 0).length).toEqual(1);
    expect(plan([engine('new', [], [])], many, -2).length).toEqual(0);
    expect(plan([engine('new', [], [])], few, 0).length).toEqual(0);
  });

  it('fills a free place with a model of many callers that has one replica', () => {
    const busy = demand({arrived: [{model: model(0), count: 80}]});
    const changes = plan(
      [engine('one', [0, 1, 2], []), engine('new', [], [])],
      busy,
      1,
    );
    expect(changes.map(({load}) => load)).toEqual([model(0)]);
  });

  it('waits for a copy at an engine that changes now rather than load from the store', () => {
    const changing = engine('one', [0, 1, 2], [9]);
    changing.incoming = {model: model(3), readyAt: now};
    const changes = plan(
      [changing, engine('two', [3, 4, 5], [])],
      demand({waiting: [waiting(9)]}),
    );
    expect(changes.filter(({load}) => load === model(9))).toEqual([]);
  });

  it('begins no more loads from the store than may begin', () => {
    const changes = plan(
      [engine('one', [], []), engine('two', [], [])],
      demand({waiting: [waiting(5), waiting(6)]}),
      1,
    );
    expect(changes.length).toEqual(1);
  });

  it('gives a busy model another replica, in place of one that is used less', () => {
    const one = engine('one', [0, 1, 2], []);
    const two = engine('two', [3, 4, 5], [0]);
    const changes = plan(
      [one, two],
      demand({
        running: [{engine: one.id, model: model(0), count: 6}],
        arrived: [3, 4, 5].map(index => ({model: model(index), count: 2})),
      }),
      0,
    );
    expect(changes.map(({load, reason}) => [load, reason])).toEqual([
      [model(0), 'busy'],
    ]);
  });

  it('gives a model another replica when its engine is crowded by others', () => {
    const one = engine('one', [0, 1, 2], []);
    const two = engine('two', [3, 4, 5], [0]);
    const running = [
      {engine: one.id, model: model(0), count: 3},
      {engine: one.id, model: model(1), count: 5},
    ];
    expect(plan([one, two], demand({running}), 0).length).toEqual(1);
    expect(plan([one, two], demand({running: running.slice(0, 1)}), 0)).toEqual(
      [],
    );
  });

  it('touches no engine that leaves or whose state is not known', () => {
    const leaving = engine('one', [0, 1, 2], [9]);
    leaving.isDraining = true;
    const unknown = engine('two', [3, 4, 5], [9]);
    unknown.orderCount = undefined;
    expect(plan([leaving, unknown], demand({waiting: [waiting(9)]}))).toEqual(
      [],
    );
  });
});
