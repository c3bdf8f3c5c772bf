import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  AdapterName,
  FencingNumber,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {as, discardEvents} from '@siskinmux/kernel';
import {VirtualClock} from '@siskinmux/testkit';
import {AdapterCache} from '../src/adapter_cache.js';
import {EngineReportReader} from '../src/engine_report_reader.js';
import type {EngineOrderOutcome} from '../src/index.js';
import {ServiceDemand} from '../src/index.js';
import {OrderQueue} from '../src/order_queue.js';
import {createEngineView} from './simulated_engines.js';

const MAXIMUM_ADAPTERS = 2;
const model = as<ModelName>('m0');
const adapter = (name: string): AdapterName => as<AdapterName>(name);

/** An engine with two adapters that may be evicted, and the outcome of each order. */
function build(outcomeOf: (order: string) => EngineOrderOutcome) {
  const clock = VirtualClock.create();
  const view = createEngineView('engine-1', [model]);
  const loaded = new Set<string>();
  for (const name of ['a1', 'a2']) {
    view.addAdapter(model, adapter(name), 'ready', clock.now());
    loaded.add(name);
  }
  const sent: string[] = [];
  const orders = {
    send: ({change}: {change: {operation: string; adapter?: AdapterName}}) => {
      const {operation, adapter: name = ''} = change;
      sent.push(`${operation} ${name}`);
      const outcome = outcomeOf(`${operation} ${name}`);
      if (outcome === 'accepted') loaded.add(name);
      if (outcome === 'done' && operation === 'unload') loaded.delete(name);
      return Promise.resolve(outcome);
    },
    report: () => Promise.resolve('unanswered'),
  } as unknown as Parameters<typeof OrderQueue.create>[0]['orders'];
  const orderQueue = OrderQueue.create({
    engine: view,
    orders,
    clock,
    emit: discardEvents,
    authority: () => ({
      holder: as<NodeId>('node-1'),
      fencingNumber: as<FencingNumber>(1),
    }),
    onFenced: () => {},
  });
  const cache = AdapterCache.create({
    clock,
    emit: discardEvents,
    demand: ServiceDemand.create(),
    reports: EngineReportReader.create({orders, emit: discardEvents}),
    engines: () => new Map([[view.id, {view, orderQueue}]]),
    maximumAdapters: () => MAXIMUM_ADAPTERS,
    resynchronize: () => Promise.resolve(),
  });
  const request = (name: string) =>
    cache.requestGrant({model, adapter: adapter(name), excluded: new Set()});
  return {clock, view, loaded, sent, request};
}

describe(AdapterCache.name, () => {
  it('does not load an adapter twice at once after a load that several requests waited for has failed', async () => {
    const counts = new Map<string, number>();
    const {clock, loaded, sent, view, request} = build(order => {
      const count = (counts.get(order) ?? 0) + 1;
      counts.set(order, count);
      if (order === 'unload a1' && count === 1) return 'refused';
      if (order !== 'load a3') return 'done';
      // A change of models has begun, so that the engine refuses a further load.
      view.pendingLoad = {model, readyAt: clock.now()};
      return count === 1 ? 'accepted' : 'refused';
    });
    const grants = [1, 2, 3].map(() => request('a3'));
    await clock.advance(1_000);
    await Promise.all(grants);
    expect(sent.filter(order => order === 'load a3').length).toEqual(1);
    const counted = [...view.adapters.values()].map(placed => placed.adapter);
    for (const name of loaded)
      expect(counted.includes(adapter(name))).toEqual(true);
  });
});
