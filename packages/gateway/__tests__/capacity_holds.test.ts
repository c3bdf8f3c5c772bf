import {describe, it} from 'node:test';
import {ANY_VERSION} from '@siskinmux/endpoints';
import type {
  EndpointId,
  ModelName,
  RequestId,
  ServiceName,
  TeamName,
} from '@siskinmux/kernel';
import {RefusalError, after, as} from '@siskinmux/kernel';
import type {RouteName} from '@siskinmux/routes';
import {
  ENGINE_SLOTS,
  VirtualClock,
  createEngineDescription,
} from '@siskinmux/testkit';
import {expect} from 'earl';
import {CapacityHolds, HOLD_LOAD_PER_SLOT} from '../src/capacity_holds.js';
import {ClusterLoad} from '../src/cluster_load.js';
import {InFlightCounts} from '../src/in_flight_counts.js';

const service = as<ServiceName>('text');
const model = as<ModelName>('m0');
const engine = as<EndpointId>('engine-1');

/** More requests than the level, and than fits into the queue that is left for urgent ones. */
const FULL = ENGINE_SLOTS * 4;
const LEVEL = ENGINE_SLOTS * HOLD_LOAD_PER_SLOT;

function build(nodeCount = 100) {
  const clock = VirtualClock.create();
  const inFlightCounts = InFlightCounts.create();
  const clusterLoad = ClusterLoad.create({clock, inFlightCounts});
  const outcomes: string[] = [];
  const lines: Record<string, unknown>[] = [];
  let engines = [createEngineDescription(engine, service, [model])];
  const holds = CapacityHolds.create({
    clock,
    emit: (_event, fields) => lines.push({...fields}),
    clusterLoad,
    inFlightCounts,
    nodeCount: () => nodeCount,
    onCapacityWait: outcome => outcomes.push(outcome),
  });
  const settled: string[] = [];
  const send = (
    name: string,
    {
      objective = 252,
      deadline = 12_000,
      priority = 0,
      teamPriority = 0,
      routePriority = undefined as number | undefined,
      signal = new AbortController().signal,
    } = {},
  ): void => {
    const now = clock.now();
    const requirements = {
      id: as<RequestId>(name),
      service,
      model,
      adapter: undefined,
      version: ANY_VERSION,
      triedEndpoints: new Set<EndpointId>(),
      avoidedEndpoints: new Set<EndpointId>(),
      deadline: after(now, deadline),
      priority,
      isFirstAttempt: true,
      signal,
    };
    const ordering = {
      team: as<TeamName>('team'),
      teamPriority,
      routePriority,
      route: as<RouteName>(`route-${priority}`),
      objectiveAt: after(now, objective),
      cost: 1,
    };
    holds
      .waitForRoom(requirements, ordering, model, () => engines)
      .then(
        () => settled.push(name),
        (failure: unknown) => {
          if (!(failure instanceof RefusalError)) throw failure;
          settled.push(`${name} ${failure.code}`);
        },
      );
  };
  const report = (load: number): void => {
    clusterLoad.update([[engine, load]]);
    holds.onReport();
  };
  const leave = (): void => {
    engines = [];
  };
  return {
    clock,
    holds,
    inFlightCounts,
    outcomes,
    lines,
    settled,
    send,
    report,
    leave,
  };
}

describe('CapacityHolds', () => {
  it('sends at once below the level, also with every slot in use', async () => {
    const {clock, outcomes, settled, send, report} = build();
    report(LEVEL - 2);
    send('one');
    await clock.advance(1);
    expect(settled).toEqual(['one']);
    expect(outcomes).toEqual([]);
  });

  it('holds beyond the level, and sends the most urgent first when a report shows room', async () => {
    const {clock, outcomes, lines, settled, send, report} = build();
    report(FULL);
    send('second rank', {teamPriority: 1});
    send('other route', {priority: 1});
    send('first');
    await clock.advance(50);
    expect(settled).toEqual([]);
    report(ENGINE_SLOTS - 1);
    await clock.advance(1);
    expect(settled).toEqual(['first']);
    report(ENGINE_SLOTS - 1);
    await clock.advance(1);
    expect(settled).toEqual(['first', 'other route']);
    expect(outcomes).toEqual(['held', 'held', 'held', 'sent', 'sent']);
    expect(lines[0]?.['heldFor']).toEqual(50);
  });

  it('orders by the priority of the route alone where it is known', async () => {
    // The rank of team and route together is at least 1 for all routes of a lower team, so that
    // a less urgent route no longer counted as better served.
    const {clock, settled, send, report} = build();
    report(FULL);
    send('less urgent', {priority: 3, routePriority: 1, teamPriority: 1});
    send('urgent', {priority: 4, routePriority: 0, teamPriority: 1});
    await clock.advance(50);
    report(ENGINE_SLOTS - 1);
    await clock.advance(1);
    expect(settled).toEqual(['urgent']);
  });

  it('takes only its share of the room that all nodes see at the same time', async () => {
    const {clock, settled, send, report} = build(10);
    report(FULL);
    for (let index = 0; index < 10; index += 1) send(`${index}`);
    await clock.advance(1);
    // Room for 20 requests, of which each of ten nodes takes two.
    report(LEVEL - 20);
    await clock.advance(1);
    expect(settled.length).toEqual(2);
  });

  it('sends one for each of its own requests that has ended', async () => {
    const {clock, holds, inFlightCounts, settled, send, report} = build();
    const request = {endpoint: engine, model, adapter: undefined};
    const ends = [0, 1, 2, 3].map(() => inFlightCounts.track(request));
    report(LEVEL);
    for (let index = 0; index < 5; index += 1)
      send(`${index}`, {objective: 5_002});
    await clock.advance(1);
    expect(settled).toEqual([]);
    for (const end of ends.slice(0, 2)) end();
    holds.onInFlightChange();
    await clock.advance(1);
    expect(settled.length).toEqual(2);
    await clock.advance(30);
    holds.onInFlightChange();
    await clock.advance(1);
    expect(settled.length).toEqual(2);
  });

  it('lets an urgent request pass that could not wait for a report, but not one that can', async () => {
    const {clock, settled, send, report} = build();
    report(LEVEL + 2);
    send('can wait', {objective: 5_002, priority: 1});
    send('urgent');
    await clock.advance(1);
    expect(settled).toEqual(['urgent']);
  });

  it('lets an urgent request pass also while less urgent ones are at stake', async () => {
    // Urgent requests were held for others that had waited for long, and were late with them.
    const {clock, settled, send, report} = build();
    for (let at = 0; at < 4_800; at += 300) {
      report(FULL);
      if (at === 0)
        for (const name of ['a', 'b', 'c', 'd'])
          send(name, {objective: 5_002, deadline: 25_000, priority: 1});
      await clock.advance(300);
    }
    const sent = settled.length;
    expect(sent).toBeLessThan(4);
    report(LEVEL + 2);
    send('urgent');
    await clock.advance(1);
    expect(settled.slice(sent)).toEqual(['urgent']);
  });

  it('refuses what was held until it could no longer start, as not run', async () => {
    const {clock, outcomes, lines, settled, send, report} = build();
    report(FULL);
    send('short', {deadline: 900});
    await clock.advance(600);
    report(FULL);
    expect(settled).toEqual([]);
    await clock.advance(200);
    expect(settled).toEqual(['short endpoint-busy']);
    expect(outcomes).toEqual(['held', 'expired']);
    expect(Number(lines[0]?.['retryIn'])).toBeGreaterThan(0);
  });

  it('forgets a request whose caller has gone', async () => {
    const {clock, holds, outcomes, settled, send, report} = build();
    const caller = new AbortController();
    report(FULL);
    send('gone', {signal: caller.signal});
    await clock.advance(1);
    caller.abort();
    await clock.advance(1);
    expect(settled).toEqual(['gone caller-gone']);
    expect(outcomes).toEqual(['held', 'gone']);
    expect(holds.size).toEqual(0);
  });

  it('lets requests wait for their model once no engine has it', async () => {
    const {clock, settled, send, report, leave} = build();
    report(FULL);
    send('one');
    await clock.advance(1);
    leave();
    await clock.advance(101);
    expect(settled).toEqual(['one']);
  });

  it('goes by its own counts when reports stop', async () => {
    const {clock, settled, send, report} = build();
    report(FULL);
    for (let index = 0; index < 3; index += 1) send(`${index}`);
    await clock.advance(900);
    expect(settled).toEqual([]);
    await clock.advance(600);
    expect(settled.length).toEqual(3);
  });

  it('sends one request in a while whatever the reports say, with more nodes than slots', async () => {
    const {clock, settled, send, report} = build(500);
    for (let at = 0; at < 3_000; at += 300) {
      report(FULL);
      if (at === 0) for (const name of ['a', 'b', 'c']) send(name);
      await clock.advance(300);
    }
    expect(settled.length).toEqual(1);
  });

  it('uses its own share of the slots whatever the reports say', async () => {
    // Four slots for each of four nodes.
    const {clock, settled, send, report} = build(4);
    report(FULL);
    for (let index = 0; index < 6; index += 1)
      send(`${index}`, {objective: 5_002});
    await clock.advance(1);
    expect(settled.length).toEqual(4);
  });
});
