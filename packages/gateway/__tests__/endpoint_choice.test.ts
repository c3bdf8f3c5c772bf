import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  EndpointId,
  FailureDomain,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {EndpointTable} from '@siskinmux/endpoints';
import {OutlierDetector} from '@siskinmux/routing';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {ChoiceDependencies} from '../src/endpoint_choice.js';
import {chooseEngine} from '../src/endpoint_choice.js';
import {LoadBook} from '../src/load_book.js';
import {ClusterLoad} from '../src/shared_load.js';
import {SLOTS, describedEngine} from './described_engine.js';

const ENGINES = 20;
const NODES = 90;

/** Time between two tellings of the loads, and how long a request runs. */
const TELL_MILLISECONDS = 300;
const RUN_MILLISECONDS = 900;

/** A rate at which the engines are half full. */
const PER_SECOND = (ENGINES * SLOTS * 0.5 * 1_000) / RUN_MILLISECONDS;

/** The share of requests that came to an engine whose slots were all taken. */
async function shareAtFullEngines(isTold: boolean): Promise<number> {
  const clock = VirtualClock.create();
  const random = createSeededRandom(1);
  const engines = Array.from({length: ENGINES}, (_, at) =>
    describedEngine(`engine-${at}`, as<ServiceName>('text')),
  );
  const nodes = Array.from({length: NODES}, (): ChoiceDependencies => {
    const load = LoadBook.create();
    return {
      table: EndpointTable.create(),
      load,
      clusterLoad: ClusterLoad.create({clock, load}),
      outliers: OutlierDetector.create(),
      clock,
      random,
      failureDomain: as<FailureDomain>('a'),
    };
  });
  const running = new Map<EndpointId, number>();
  const count = Math.round(PER_SECOND * 10);
  let full = 0;
  let toldAt = clock.now();
  for (let sent = 0; sent < count; sent += 1) {
    if (isTold && clock.now() >= toldAt + TELL_MILLISECONDS) {
      toldAt = clock.now();
      for (const {clusterLoad: shared} of nodes) shared.update([...running]);
    }
    const node = nodes[Math.floor(random() * NODES)] as ChoiceDependencies;
    const id = chooseEngine(engines, node)?.id as EndpointId;
    const before = running.get(id) ?? 0;
    if (before >= SLOTS) full += 1;
    running.set(id, before + 1);
    const model = as<ModelName>('m0');
    const leave = node.load.enter({endpoint: id, model, adapter: undefined});
    clock.schedule(
      as(clock.now() + RUN_MILLISECONDS * (0.5 + random())),
      () => {
        leave();
        running.set(id, (running.get(id) ?? 0) - 1);
      },
    );
    await clock.advance(1_000 / PER_SECOND);
  }
  return full / count;
}

describe('the choice of an engine by many nodes', () => {
  it('sends next to nothing to full engines while half of the slots are free', async () => {
    expect((await shareAtFullEngines(true)) < 0.002).toEqual(true);
  });

  it('is worse where each node goes by its own requests only', async () => {
    const alone = await shareAtFullEngines(false);
    expect(alone > (await shareAtFullEngines(true)) * 2).toEqual(true);
  });

  it('goes by its own requests again when the figures are old', async () => {
    const clock = VirtualClock.create();
    const load = LoadBook.create();
    const shared = ClusterLoad.create({clock, load});
    expect(shared.isKnown).toEqual(false);
    shared.update([['engine-1', 4]]);
    expect(shared.isKnown).toEqual(true);
    expect(shared.at(as<EndpointId>('engine-1'))).toEqual(4);
    const leave = load.enter({
      endpoint: as<EndpointId>('engine-1'),
      model: as<ModelName>('m0'),
      adapter: undefined,
    });
    expect(shared.at(as<EndpointId>('engine-1'))).toEqual(5);
    leave();
    await clock.advance(1_000);
    expect(shared.isKnown).toEqual(false);
  });
});
