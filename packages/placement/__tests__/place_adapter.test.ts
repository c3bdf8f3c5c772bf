import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  AdapterName,
  EndpointId,
  Instant,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {EngineView} from '../src/index.js';
import {ServiceDemand, placeAdapter} from '../src/index.js';
import {createEngineView} from './simulated_engines.js';

const now = as<Instant>(100_000);
const model = as<ModelName>('m0');
const MAXIMUM_ADAPTERS = 3;

function engine(
  name: string,
  adapters: readonly string[],
  leaving: readonly string[] = [],
): EngineView {
  const view = createEngineView(name, [model]);
  for (const adapter of [...adapters, ...leaving]) {
    const placed = view.addAdapter(
      model,
      as<AdapterName>(adapter),
      'ready',
      now,
    );
    if (leaving.includes(adapter)) placed.state = 'leaving';
  }
  return view;
}

function placementOf(
  adapter: string,
  engines: EngineView[],
  inFlight: readonly number[] = [],
) {
  const demand = ServiceDemand.create();
  const usage = engines.map(({id}, index) => ({
    engine: id,
    model,
    count: inFlight[index] ?? 0,
  }));
  demand.recordUsage(
    as<NodeId>('node'),
    {waiting: [], inFlight: usage, arrived: []},
    now,
  );
  const request = {
    model,
    adapter: as<AdapterName>(adapter),
    excluded: new Set<EndpointId>(),
  };
  const later = as<Instant>(now + 60_000);
  return placeAdapter(request, engines, demand, MAXIMUM_ADAPTERS, later);
}

describe('adapter on an engine that limits its requests', () => {
  it('is loaded on another engine that has the model', () => {
    const limited = engine('one', ['a1']);
    const other = engine('two', []);
    limited.requestLimit = 2.6;
    const placement = placementOf('a1', [limited, other]);
    expect([placement?.kind, placement?.engine.id]).toEqual(['load', other.id]);
  });

  it('is used there if no other engine has the model', () => {
    const limited = engine('one', ['a1']);
    limited.requestLimit = 2.6;
    expect(placementOf('a1', [limited])?.engine.id).toEqual(limited.id);
  });
});

describe('placement of an adapter', () => {
  it('uses an engine that already has the adapter, without a load', () => {
    const found = placementOf('a1', [
      engine('one', ['a2']),
      engine('two', ['a1']),
    ]);
    expect([found?.kind, found?.engine.id]).toEqual([
      'held',
      as<EndpointId>('two'),
    ]);
  });

  it('never uses an engine that is unloading the adapter', () => {
    // The end of the unload removes the entry of that adapter from the view of the engine.
    expect(placementOf('a1', [engine('one', ['a2'], ['a1'])])).toEqual(
      undefined,
    );
    const found = placementOf('a1', [
      engine('one', [], ['a1']),
      engine('two', []),
    ]);
    expect(found?.engine.id).toEqual(as<EndpointId>('two'));
  });

  it('loads the adapter on an idle engine if the engine that has it uses at least 37.5 % of its slots, but uses a loaded engine if all have it', () => {
    const loaded = engine('one', ['a1', 'a2', 'a3']);
    const idle = engine('two', ['a4', 'a5', 'a6']);
    const spread = placementOf('a1', [loaded, idle], [7, 0]);
    expect([spread?.kind, spread?.engine.id]).toEqual(['load', idle.id]);
    const other = engine('three', ['a1', 'a2', 'a3']);
    const held = placementOf('a1', [loaded, other], [9, 8]);
    expect(held?.kind).toEqual('held');
  });
});
