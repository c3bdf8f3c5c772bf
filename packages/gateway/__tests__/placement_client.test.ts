import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  AdapterName,
  EndpointId,
  FailureDomain,
  Instant,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';
import {ErrorCode, after, as} from '@siskinmux/kernel';
import {EndpointTable} from '@siskinmux/endpoints';
import type {NodeUsage} from '@siskinmux/placement';
import {OutlierDetector} from '@siskinmux/routing';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {AllocatorLink} from '../src/allocator_link.js';
import type {EndpointNeed} from '../src/endpoint_choice.js';
import {LoadBook} from '../src/load_book.js';
import {ClusterLoad} from '../src/shared_load.js';
import {describedEngine} from './described_engine.js';
import {PlacementClient} from '../src/placement_client.js';

const service = as<ServiceName>('text');
const engine = as<EndpointId>('engine-1');
const model = (name: string): ModelName => as<ModelName>(name);

/** An allocator that grants every adapter at the one engine, and notes what it hears. */
class TestLink implements AllocatorLink {
  readonly usages: NodeUsage[] = [];

  constructor(private readonly clock: VirtualClock) {}

  noteUsage(_service: ServiceName, usage: NodeUsage): void {
    this.usages.push(usage);
  }

  noteMissing(): void {}

  wantAdapter() {
    const now = this.clock.now();
    return Promise.resolve({
      engine,
      usableAt: now,
      validUntil: after(now, 1_000),
    });
  }
}

function build() {
  const clock = VirtualClock.create();
  const random = createSeededRandom(1);
  const table = EndpointTable.create();
  table.replaceAll(
    [describedEngine(engine, service, [model('m0')])],
    undefined,
  );
  const load = LoadBook.create();
  const client = PlacementClient.create({
    table,
    load,
    choice: {
      table,
      load,
      clusterLoad: ClusterLoad.create({clock, load}),
      outliers: OutlierDetector.create(),
      clock,
      random,
      failureDomain: as<FailureDomain>('a'),
    },
    clock,
    random,
    isDeclared: () => true,
    engineServices: () => [service],
  });
  const find = (
    name: string,
    adapter?: string,
    patience = 8_000,
  ): {ended: string | undefined; endedAt: Instant | undefined} => {
    const need: EndpointNeed = {
      service,
      model: model(name),
      adapter: adapter === undefined ? undefined : as<AdapterName>(adapter),
      excluded: new Set(),
      uselessAt: after(clock.now(), patience),
      priority: 0,
      isFirst: true,
      cancelled: new AbortController().signal,
    };
    const search: {ended: string | undefined; endedAt: Instant | undefined} = {
      ended: undefined,
      endedAt: undefined,
    };
    client.find(need).then(
      ({id}) => {
        search.ended = id;
        search.endedAt = clock.now();
      },
      (failure: {code: string}) => {
        search.ended = failure.code;
        search.endedAt = clock.now();
      },
    );
    return search;
  };
  return {clock, client, load, find, link: new TestLink(clock)};
}

describe('a request while the allocator changes', () => {
  it('waits for the next one, which takes half a second', async () => {
    const {clock, client, find, link} = build();
    const adapted = find('m0', 'a1');
    const sleeping = find('m9');
    await clock.advance(500);
    expect(adapted.ended).toEqual(undefined);
    client.setAllocator(link);
    await clock.advance(50);
    expect(adapted.ended).toEqual(engine);
    expect(sleeping.ended).toEqual(undefined);
    client.onHoldings(service, [{engine, models: [model('m0'), model('m9')]}]);
    await clock.advance(50);
    expect(sleeping.ended).toEqual(engine);
  });

  it('is refused when none comes within a second, or its time ends before', async () => {
    const {clock, find} = build();
    const begunAt = clock.now();
    const adapted = find('m0', 'a1');
    const hurried = find('m9', undefined, 300);
    await clock.advance(3_000);
    expect(adapted.ended).toEqual(ErrorCode.NoEndpoint);
    expect((adapted.endedAt ?? 0) - begunAt <= 1_050).toEqual(true);
    expect(hurried.ended).toEqual(ErrorCode.NoEndpoint);
    expect((hurried.endedAt ?? 0) - begunAt <= 350).toEqual(true);
  });

  it('is refused at once when the allocator has been away for longer', async () => {
    const {clock, client, find, link} = build();
    client.setAllocator(link);
    client.setAllocator(undefined);
    await clock.advance(2_000);
    const search = find('m9');
    await clock.advance(1);
    expect(search.ended).toEqual(ErrorCode.NoEndpoint);
  });

  it('without an adapter goes on to an engine that the list names', async () => {
    const {clock, find} = build();
    const search = find('m0');
    await clock.advance(1);
    expect(search.ended).toEqual(engine);
  });
});

describe('what a node tells the allocator', () => {
  it('gathers for longer with many nodes, but for what begins to wait', async () => {
    const {clock, client, load, find, link} = build();
    client.setAllocator(link);
    client.noteNodes(50);
    const before = link.usages.length;
    const occupation = {endpoint: engine, model: model('m0')};
    load.enter({...occupation, adapter: undefined});
    client.noteLoad();
    await clock.advance(150);
    expect(link.usages.length).toEqual(before);
    await clock.advance(60);
    expect(link.usages.length).toEqual(before + 1);
    find('m9');
    await clock.advance(1);
    expect(link.usages.at(-1)?.waiting.length).toEqual(1);
  });

  it('includes at once what runs on a model that is about to give way', async () => {
    const {clock, client, load, link} = build();
    client.setAllocator(link);
    client.noteNodes(50);
    load.enter({endpoint: engine, model: model('m0'), adapter: undefined});
    const before = link.usages.length;
    client.onHoldings(service, [{engine, models: []}]);
    await clock.advance(1);
    expect(link.usages.length).toEqual(before + 1);
    expect(link.usages.at(-1)?.running).toEqual([
      {engine, model: model('m0'), count: 1},
    ]);
  });
});
