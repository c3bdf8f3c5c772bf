import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {FailureDomain, HostId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {PlatformUnavailableError} from '@siskinmux/ports';
import {
  HostListStandIn,
  ObjectServiceStandIn,
  WeightStoreStandIn,
  serveObjectService,
  serveWeightStore,
} from '@siskinmux/standins';
import {VirtualClock} from '@siskinmux/testkit';
import {
  HttpHostList,
  HttpWeightStore,
  createAgent,
  systemClock,
} from '../src/index.js';

const LAG_MILLISECONDS = 500;
const host = {
  id: as<HostId>('h1'),
  state: 'live',
  failureDomain: as<FailureDomain>('a'),
} as const;

describe('host list', () => {
  it('shows changes late', async () => {
    const clock = VirtualClock.create();
    const hosts = HostListStandIn.create({
      clock,
      lagMilliseconds: LAG_MILLISECONDS,
    });
    hosts.set(host);
    expect(await hosts.hosts()).toEqual([]);
    await clock.advance(LAG_MILLISECONDS);
    expect(await hosts.hosts()).toEqual([host]);
    hosts.set({...host, state: 'leaving'});
    hosts.remove(host.id);
    await clock.advance(LAG_MILLISECONDS);
    expect(await hosts.hosts()).toEqual([]);
  });

  it('is the same over HTTP, and unavailable when it is away', async () => {
    const hosts = HostListStandIn.create({
      clock: systemClock,
      lagMilliseconds: 0,
    });
    const objects = ObjectServiceStandIn.create({
      clock: systemClock,
      random: () => 0.5,
    });
    hosts.set(host);
    const server = await serveObjectService({objects, hosts, port: 0});
    const {port} = server.server.address() as {port: number};
    const list = HttpHostList.create({
      url: `http://127.0.0.1:${port}`,
      agent: createAgent(),
    });
    expect(await list.hosts()).toEqual([host]);
    hosts.isDown = true;
    await expect(list.hosts()).toBeRejectedWith(PlatformUnavailableError);
    await server.close();
  });
});

describe('weight store', () => {
  it('slows down beyond its full-speed loads', async () => {
    const clock = VirtualClock.create();
    const store = WeightStoreStandIn.create({clock});
    const begin = clock.now();
    const ends = await clock.runUntilSettled(
      Promise.all(
        Array.from({length: 8}, async () => {
          await store.load(1_000);
          return clock.now() - begin;
        }),
      ),
    );
    expect(ends.slice(0, 4)).toEqual([1_000, 1_000, 1_000, 1_000]);
    expect(ends[7]).toEqual(2_000);
  });

  it('reports over HTTP', async () => {
    const weightStore = WeightStoreStandIn.create({clock: systemClock});
    const server = await serveWeightStore({weightStore, port: 0});
    const {port} = server.server.address() as {port: number};
    const store = HttpWeightStore.create({
      url: `http://127.0.0.1:${port}`,
      agent: createAgent(),
    });
    const report = await store.report(new AbortController().signal);
    expect(report).toEqual({loadsInTransit: 0, fullSpeedLoads: 4, rate: 1});
    await server.close();
  });
});
