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

const PROPAGATION_DELAY_MILLISECONDS = 500;
const host = {
  id: as<HostId>('h1'),
  state: 'live',
  failureDomain: as<FailureDomain>('a'),
} as const;

describe('host list', () => {
  it('returns a change only after its propagation delay', async () => {
    const clock = VirtualClock.create();
    const hosts = HostListStandIn.create({
      clock,
      lagMilliseconds: PROPAGATION_DELAY_MILLISECONDS,
    });
    hosts.set(host);
    expect(await hosts.hosts()).toEqual([]);
    await clock.advance(PROPAGATION_DELAY_MILLISECONDS);
    expect(await hosts.hosts()).toEqual([host]);
    hosts.set({...host, state: 'leaving'});
    hosts.remove(host.id);
    await clock.advance(PROPAGATION_DELAY_MILLISECONDS);
    expect(await hosts.hosts()).toEqual([]);
  });

  it('returns the hosts over HTTP, and fails as unavailable while it is down', async () => {
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
  it('slows loads down beyond the number that it serves at full speed', async () => {
    const clock = VirtualClock.create();
    const store = WeightStoreStandIn.create({clock});
    const startedAt = clock.now();
    const durations = await clock.runUntilSettled(
      Promise.all(
        Array.from({length: 8}, async () => {
          await store.load(1_000);
          return clock.now() - startedAt;
        }),
      ),
    );
    expect(durations.slice(0, 4)).toEqual([1_000, 1_000, 1_000, 1_000]);
    expect(durations[7]).toEqual(2_000);
  });

  it('reports its loads in transit, full-speed loads and rate over HTTP', async () => {
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
