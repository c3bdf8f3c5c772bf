import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EndpointId, Instant} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {EngineCandidate} from '@siskinmux/routing';
import {
  EngineLoads,
  EngineSpeeds,
  chooseEngineByLoad,
  weighEngines,
} from '@siskinmux/routing';
import {createSeededRandom} from '@siskinmux/testkit';

const START = as<Instant>(1_000_000);
const SLOTS = 24;
const DRAWS = 4_000;

function candidate(changes: Partial<EngineCandidate> = {}): EngineCandidate {
  return {
    slots: SLOTS,
    slowness: 1,
    knownRequests: 0,
    unseenRequests: 0,
    isInOwnDomain: true,
    ...changes,
  };
}

/** Shares of many choices by candidate. */
function sharesOf(candidates: readonly EngineCandidate[]): number[] {
  const random = createSeededRandom(1);
  const counts = new Map<EngineCandidate | undefined, number>();
  for (let index = 0; index < DRAWS; index += 1) {
    const chosen = chooseEngineByLoad(candidates, random);
    counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
  }
  return candidates.map(each => (counts.get(each) ?? 0) / DRAWS);
}

const id = (index: number): EndpointId => as<EndpointId>(`engine-${index}`);

function createLoads(): {loads: EngineLoads; speeds: EngineSpeeds} {
  const speeds = EngineSpeeds.create();
  return {loads: EngineLoads.create(speeds), speeds};
}

describe('choice of an engine by load', () => {
  it('finds no engine among none', () => {
    expect(chooseEngineByLoad([], Math.random)).toEqual(undefined);
  });

  it('takes the least loaded engine if no other node sends unseen', () => {
    const shares = sharesOf([
      candidate({knownRequests: 5}),
      candidate({knownRequests: 2}),
      candidate({knownRequests: 9}),
    ]);
    expect(shares).toEqual([0, 1, 0]);
  });

  it('does not send all requests to an empty engine while other nodes send unseen', () => {
    const [empty = 0, ...others] = sharesOf([
      candidate({knownRequests: 0}),
      ...Array.from({length: 7}, () =>
        candidate({knownRequests: 10, unseenRequests: 5}),
      ),
    ]);
    expect(empty > 0.2 && empty < 0.6).toEqual(true);
    expect(others.every(share => share > 0)).toEqual(true);
  });

  // Guards against an explanation by other weights than those of the draw.
  it('draws in proportion to the weights', () => {
    const candidates = [
      candidate({knownRequests: 3, unseenRequests: 4}),
      candidate({knownRequests: 8, unseenRequests: 5, isInOwnDomain: false}),
      candidate({knownRequests: 6, unseenRequests: 9, slowness: 1.3}),
      candidate({knownRequests: 90}),
    ];
    const weights = weighEngines(candidates);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    for (const [index, share] of sharesOf(candidates).entries())
      expect(Math.abs(share - (weights[index] ?? 0) / total)).toBeLessThan(
        0.03,
      );
    expect(weights[3]).toEqual(0);
    expect(weighEngines([])).toEqual([]);
  });

  it('gives an engine that is full no request while others have room', () => {
    const [full] = sharesOf([
      candidate({knownRequests: 96}),
      ...Array.from({length: 3}, () =>
        candidate({knownRequests: 10, unseenRequests: 4}),
      ),
    ]);
    expect(full).toEqual(0);
  });

  it('gives a slow engine fewer requests, but some', () => {
    const [slow = 0, ...others] = sharesOf([
      candidate({slowness: 3, unseenRequests: 10}),
      candidate({unseenRequests: 10}),
      candidate({unseenRequests: 10}),
    ]);
    expect(slow > 0.1).toEqual(true);
    expect(others.every(share => share > slow)).toEqual(true);
  });

  it('prefers its own failure domain only a little', () => {
    const [own = 0, other = 0] = sharesOf([
      candidate({unseenRequests: 10}),
      candidate({unseenRequests: 10, isInOwnDomain: false}),
    ]);
    expect(own > 0.55 && own < 0.7).toEqual(true);
    const [loaded = 0] = sharesOf([
      candidate({unseenRequests: 5, knownRequests: 12}),
      candidate({unseenRequests: 5, isInOwnDomain: false}),
    ]);
    expect(loaded < other).toEqual(true);
  });

  it('chooses among engines that are all overloaded', () => {
    const shares = sharesOf(
      Array.from({length: 3}, () =>
        candidate({knownRequests: 500, unseenRequests: 100}),
      ),
    );
    expect(shares.every(share => share > 0.25)).toEqual(true);
  });
});

describe('speeds of engines', () => {
  it('take an engine without requests for an average one', () => {
    const speeds = EngineSpeeds.create();
    expect(speeds.slownessOf(id(1), START)).toEqual(1);
  });

  it('are not settled by one slow response', () => {
    const speeds = EngineSpeeds.create();
    for (let index = 0; index < 20; index += 1)
      speeds.recordCompleted(id(index), 'm', 500, START);
    speeds.recordCompleted(id(1), 'm', 60_000, START);
    const slowness = speeds.slownessOf(id(1), START);
    expect(slowness > 1 && slowness < 1.5).toEqual(true);
  });

  it('show an engine that stays slow, within a bound, and forget it with time', () => {
    const speeds = EngineSpeeds.create();
    for (let index = 0; index < 40; index += 1) {
      speeds.recordCompleted(id(1), 'm', 500, START);
      speeds.recordCompleted(id(2), 'm', 500, START);
      speeds.recordCompleted(id(3), 'm', 500_000, START);
    }
    const slowness = speeds.slownessOf(id(3), START);
    expect(slowness > 1.5 && slowness <= 3).toEqual(true);
    const later = speeds.slownessOf(id(3), after(START, 300_000));
    expect(later < 1.05).toEqual(true);
  });

  it('do not take an engine for slow because its model takes longer', () => {
    const speeds = EngineSpeeds.create();
    for (let index = 0; index < 40; index += 1) {
      speeds.recordCompleted(id(1), 'short', 100, START);
      speeds.recordCompleted(id(2), 'long', 4_000, START);
    }
    expect(speeds.slownessOf(id(2), START)).toEqual(1);
  });
});

describe('known loads of engines', () => {
  const engine = {endpoint: id(1), slots: SLOTS, own: 3};

  it('are this node’s own requests without a report, and once it is too old', () => {
    const {loads} = createLoads();
    const none = {knownRequests: 3, unseenRequests: 0, slowness: 1};
    expect(loads.estimate(engine, START)).toEqual(none);
    expect(loads.ageAt(START)).toEqual(undefined);
    loads.applyReport({
      loads: new Map([[id(1), 20]]),
      ownAt: () => 0,
      countedAt: START,
      arrivedAt: START,
    });
    expect(loads.estimate(engine, after(START, 10_000))).toEqual(none);
  });

  it('count this node’s requests once, wherever the report counts them', () => {
    const {loads} = createLoads();
    loads.applyReport({
      loads: new Map([[id(1), 10]]),
      ownAt: () => 2,
      countedAt: START,
      arrivedAt: START,
    });
    expect(loads.estimate(engine, START).knownRequests).toEqual(11);
  });

  it('say less as the report ages, and assume more unseen requests', () => {
    const {loads} = createLoads();
    loads.applyReport({
      loads: new Map([[id(1), 20]]),
      ownAt: () => 0,
      countedAt: START,
      arrivedAt: START,
    });
    const early = loads.estimate(engine, after(START, 100));
    const late = loads.estimate(engine, after(START, 2_000));
    expect(late.knownRequests < early.knownRequests).toEqual(true);
    expect(late.unseenRequests > early.unseenRequests).toEqual(true);
  });

  it('are the same during the use of a report, so that its first requests spread, too', () => {
    const {loads} = createLoads();
    for (const at of [0, 300])
      loads.applyReport({
        loads: new Map([[id(1), 20]]),
        ownAt: () => 0,
        countedAt: after(START, at),
        arrivedAt: after(START, at),
      });
    const first = loads.estimate(engine, after(START, 301));
    const last = loads.estimate(engine, after(START, 599));
    expect(first).toEqual(last);
    expect(first.unseenRequests > 0).toEqual(true);
  });

  it('ignore a report that was counted before the latest one', () => {
    const {loads} = createLoads();
    const apply = (total: number, countedAt: Instant): void =>
      loads.applyReport({
        loads: new Map([[id(1), total]]),
        ownAt: () => 0,
        countedAt,
        arrivedAt: countedAt,
      });
    apply(10, after(START, 300));
    apply(90, START);
    const {knownRequests} = loads.estimate(engine, after(START, 300));
    expect(knownRequests).toEqual(13);
  });

  it('stay bounded by a report of far too many requests', () => {
    const {loads} = createLoads();
    loads.applyReport({
      loads: new Map([[id(1), Number.MAX_SAFE_INTEGER]]),
      ownAt: () => 0,
      countedAt: START,
      arrivedAt: START,
    });
    const {knownRequests} = loads.estimate(engine, START);
    expect(knownRequests <= 10 * SLOTS + 3).toEqual(true);
  });

  it('take an engine that rejected a request for full until a newer report', () => {
    const {loads} = createLoads();
    const apply = (countedAt: Instant): void =>
      loads.applyReport({
        loads: new Map([[id(1), 5]]),
        ownAt: () => 0,
        countedAt,
        arrivedAt: countedAt,
      });
    apply(START);
    const rejectedAt = after(START, 100);
    loads.recordRejection(id(1), rejectedAt);
    const {knownRequests} = loads.estimate(engine, rejectedAt);
    expect(knownRequests >= SLOTS).toEqual(true);
    apply(after(START, 90));
    expect(loads.estimate(engine, rejectedAt).knownRequests >= SLOTS).toEqual(
      true,
    );
    apply(after(START, 110));
    expect(loads.estimate(engine, rejectedAt).knownRequests < SLOTS).toEqual(
      true,
    );
  });

  it('let an engine that rejected a request be tried again without a report', () => {
    const {loads} = createLoads();
    loads.recordRejection(id(1), START);
    const {knownRequests} = loads.estimate(engine, after(START, 5_000));
    expect(knownRequests).toEqual(3);
  });

  it('forget an engine that has ended', () => {
    const {loads} = createLoads();
    loads.applyReport({
      loads: new Map([[id(1), 20]]),
      ownAt: () => 0,
      countedAt: START,
      arrivedAt: START,
    });
    loads.recordRejection(id(1), START);
    loads.forget(id(1));
    expect(loads.estimate(engine, START).knownRequests).toEqual(3);
  });
});
