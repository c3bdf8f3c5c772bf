import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EndpointDescription, Incarnation} from '@siskinmux/endpoints';
import type {EndpointId, ModelName, ServiceName} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {NodeUsage} from '@siskinmux/placement';
import {EngineSpeeds} from '@siskinmux/routing';
import {
  ENGINE_SLOTS,
  VirtualClock,
  createEngineDescription,
} from '@siskinmux/testkit';
import {ClusterLoad} from '../src/cluster_load.js';
import {InFlightCounts} from '../src/in_flight_counts.js';
import {heartbeatSchema} from '../src/placement_messages.js';

const service = as<ServiceName>('text');
const model = as<ModelName>('m0');
const engine = createEngineDescription('engine-1', service, [model]);

function usageOf(count: number): NodeUsage {
  return {
    waiting: [],
    arrived: [],
    inFlight: count === 0 ? [] : [{engine: engine.id, model, count}],
  };
}

function build(): {
  clock: VirtualClock;
  clusterLoad: ClusterLoad;
  send: () => () => void;
} {
  const clock = VirtualClock.create();
  const inFlightCounts = InFlightCounts.create();
  return {
    clock,
    clusterLoad: ClusterLoad.create({clock, inFlightCounts}),
    send: () =>
      inFlightCounts.track({endpoint: engine.id, model, adapter: undefined}),
  };
}

describe('speeds of engines', () => {
  it('are dropped for engines that ended before their last request', () => {
    // Requests that completed later left an entry for good.
    const speeds = EngineSpeeds.create();
    const clock = VirtualClock.create();
    for (let index = 0; index < 100; index += 1)
      speeds.recordCompleted(as<EndpointId>(`${index}`), 'm', 9, clock.now());
    const later = after(clock.now(), 200_000);
    speeds.recordCompleted(engine.id, 'm', 9, later);
    expect(speeds.size).toEqual(1);
  });
});

describe('estimate of the load of an engine', () => {
  it('counts requests that were sent after this node’s usage report, though before the heartbeat', async () => {
    const {clock, clusterLoad, send} = build();
    send();
    clusterLoad.recordUsageReport(service, usageOf(1));
    await clock.advance(100);
    send();
    send();
    clusterLoad.update([['engine-1', 5]]);
    // 4 of other nodes and 3 of this one.
    expect(clusterLoad.estimate(engine).knownRequests).toEqual(7);
  });

  it('leaves out a usage report that the lease holder had not got when it wrote the heartbeat', async () => {
    const {clock, clusterLoad, send} = build();
    clusterLoad.recordUsageReport(service, usageOf(0));
    await clock.advance(100);
    send();
    const writtenAt = clock.now();
    await clock.advance(1);
    clusterLoad.recordUsageReport(service, usageOf(1));
    clusterLoad.update([['engine-1', 5]], writtenAt);
    const {knownRequests} = clusterLoad.estimate(engine);
    expect(knownRequests > 5.5).toEqual(true);
  });

  it('counts none of this node’s requests among those of a new lease holder', async () => {
    const {clock, clusterLoad, send} = build();
    send();
    clusterLoad.recordUsageReport(service, usageOf(1));
    clusterLoad.onHolderChange();
    clusterLoad.recordUsageReport(service, usageOf(1));
    const writtenAt = clock.now();
    clusterLoad.update([['engine-1', 5]], writtenAt);
    expect(clusterLoad.estimate(engine).knownRequests).toEqual(6);
  });

  it('is old if the heartbeat was written long before it arrived', async () => {
    const {clock, clusterLoad} = build();
    const writtenAt = clock.now();
    await clock.advance(500);
    clusterLoad.update([['engine-1', 8]], writtenAt);
    expect(clusterLoad.assumedAt(engine).age).toEqual(500);
    expect(clusterLoad.estimate(engine).knownRequests < 8).toEqual(true);
  });

  it('adds half of the interval between usage reports to the age', async () => {
    const {clock, clusterLoad} = build();
    clusterLoad.recordUsageReport(service, usageOf(0));
    await clock.advance(400);
    clusterLoad.recordUsageReport(service, usageOf(0));
    await clock.advance(10);
    clusterLoad.update([['engine-1', 8]]);
    expect(clusterLoad.assumedAt(engine).age).toEqual(200);
  });

  it('takes an engine that rejected a request for busy no longer than two seconds', async () => {
    // With requests of 20 s and no reports, one rejection took an engine out for 57 s.
    const {clock, clusterLoad} = build();
    const sentAt = clock.now();
    await clock.advance(20_000);
    clusterLoad.recordServed(engine, model, sentAt);
    clusterLoad.recordRejection(engine);
    await clock.advance(1_000);
    expect(clusterLoad.estimate(engine).knownRequests).toBeGreaterThan(
      ENGINE_SLOTS,
    );
    await clock.advance(1_000);
    expect(clusterLoad.estimate(engine).knownRequests).toEqual(0);
  });

  it('takes an engine that rejected a request for busy, and a restarted one for empty', () => {
    const {clusterLoad} = build();
    clusterLoad.recordRejection(engine);
    const rejecting = clusterLoad.estimate(engine).knownRequests;
    expect(rejecting >= ENGINE_SLOTS).toEqual(true);
    const restarted: EndpointDescription = {
      ...engine,
      incarnation: as<Incarnation>('engine-1@2'),
    };
    clusterLoad.applyEndpointChanges([
      {id: engine.id, before: engine, now: restarted},
    ]);
    expect(clusterLoad.estimate(engine).knownRequests).toEqual(0);
  });

  it('has no age without reports', () => {
    const {clusterLoad, send} = build();
    send();
    expect(clusterLoad.assumedAt(engine)).toEqual({
      requests: 1,
      age: undefined,
    });
  });

  it('learns from requests that an engine has served how slow it is', async () => {
    const {clock, clusterLoad} = build();
    const other = createEngineDescription('engine-2', service, [model]);
    for (let index = 0; index < 30; index += 1) {
      const sentAt = clock.now();
      await clock.advance(100);
      clusterLoad.recordServed(other, model, sentAt);
      clusterLoad.recordServed(engine, model, after(sentAt, -900));
    }
    const {slowness} = clusterLoad.estimate(engine);
    expect(slowness > clusterLoad.estimate(other).slowness).toEqual(true);
  });
});

describe('heartbeat', () => {
  it('keeps the form that nodes of the previous build read', () => {
    const heartbeat = {
      nodes: 87,
      reachesStore: true,
      loads: [['engine-1', 5]],
    };
    const {loads} = heartbeatSchema.parse(heartbeat);
    expect(loads).toEqual([['engine-1', 5]]);
  });
});
