import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  EndpointId,
  FailureDomain,
  FencingNumber,
  Instant,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import {declarationsSchema} from '@siskinmux/declarations';
import type {EngineModel, EngineStatus} from '@siskinmux/ports';
import type {
  Allocation,
  AllocationPlan,
  EngineView,
  OrderOutcome,
  OrderResult,
  PlanInput,
  Subject,
} from '../src/index.js';
import {
  DRAIN_PROPAGATION_MILLISECONDS,
  EMPTY_ALLOCATION,
  MAXIMUM_ORDER_DELAY_MILLISECONDS,
  fromGibibytes,
  planAllocation,
} from '../src/index.js';

const NOW = as<Instant>(1_000_000);
const ENGINE = as<EndpointId>('engine');
const NODE = as<NodeId>('node');
const OTHER = as<NodeId>('other');

const OFFERS: Subject = {
  kind: 'model',
  model: as<ModelName>('offers'),
  version: 'v1',
};

function declarations(replicas = 1): Declarations {
  const model = {
    versions: ['v1'],
    current_version: 'v1',
    memory_gib: 8,
    replicas: {a: replicas},
  };
  return declarationsSchema.parse({models: {offers: model, tags: model}});
}

function held(overrides: Partial<EngineModel> = {}): EngineModel {
  return {
    model: as<ModelName>('offers'),
    version: 'v1',
    state: 'ready',
    memoryBytes: fromGibibytes(8),
    running: 0,
    ...overrides,
  };
}

function status(
  models: readonly EngineModel[],
  reportedAt: Instant = NOW,
): EngineStatus {
  return {
    incarnation: '1',
    isLeaving: false,
    memoryBytes: fromGibibytes(12),
    models,
    adapters: [],
    running: 0,
    queued: 0,
    slots: 4,
    cached: {},
    highestFencingNumber: as<FencingNumber>(0),
    reportedAt,
  };
}

function engine(overrides: Partial<EngineView> = {}): EngineView {
  return {
    id: ENGINE,
    memoryBytes: fromGibibytes(12),
    checksFencing: true,
    status: status([]),
    releasedAt: as<Instant>(0),
    isLeaving: false,
    isReachable: true,
    isHostGone: false,
    ...overrides,
  };
}

function facts(overrides: Partial<PlanInput> = {}): PlanInput {
  return {
    now: NOW,
    node: NODE,
    startedAt: as<Instant>(0),
    failureDomain: as<FailureDomain>('a'),
    declarations: declarations(),
    engines: new Map([[ENGINE, engine()]]),
    demands: [],
    keepUntil: () => as<Instant>(Infinity),
    isNodeGone: () => false,
    lastExchangeBefore: () => undefined,
    hasSentOrder: () => true,
    hasInitialReports: true,
    availableLoads: 4,
    ...overrides,
  };
}

function wanting(subject: Subject, waiting = 1): Partial<PlanInput> {
  const demand = {subject, waiting, inFlight: 0, earliestDeadline: NOW};
  return {demands: [demand]};
}

function withEngine(overrides: Partial<EngineView>): Partial<PlanInput> {
  return {engines: new Map([[ENGINE, engine(overrides)]])};
}

function resultOf(plan: AllocationPlan, end: OrderOutcome): OrderResult[] {
  return plan.orders.map(planned => ({planned, end, detail: ''}));
}

/** An allocation with one ready replica, and the plan that ordered it. */
function loaded(overrides: Partial<PlanInput> = {}): Allocation {
  const ordered = planAllocation(
    EMPTY_ALLOCATION,
    facts({...wanting(OFFERS), ...overrides}),
    [],
  );
  const done = resultOf(ordered, 'done');
  return planAllocation(ordered.allocation, facts(overrides), done).allocation;
}

const statesOf = (plan: AllocationPlan): string[] =>
  plan.allocation.reservations.map(({state}) => state);

describe(planAllocation.name, () => {
  it('reserves before it orders, one replica for many that wait', () => {
    const plan = planAllocation(
      EMPTY_ALLOCATION,
      facts(wanting(OFFERS, 50)),
      [],
    );
    expect(statesOf(plan)).toEqual(['loading']);
    expect(plan.orders.length).toEqual(1);
    const again = planAllocation(
      plan.allocation,
      facts(wanting(OFFERS, 50)),
      [],
    );
    expect(again.isChanged).toEqual(false);
  });

  it('reserves no memory twice', () => {
    const allocation = loaded();
    const tags: Subject = {...OFFERS, model: as<ModelName>('tags')};
    const busy = {
      demands: [
        {subject: tags, waiting: 1, inFlight: 0, earliestDeadline: NOW},
        {subject: OFFERS, waiting: 0, inFlight: 1, earliestDeadline: NOW},
      ],
      ...withEngine({status: status([held()])}),
    };
    const plan = planAllocation(allocation, facts(busy), []);
    expect(statesOf(plan)).toEqual(['ready']);
    expect(plan.refusals[0]?.reason).toEqual('no engine has room');
  });

  it('orders again, under a larger number, what a fenced holder had ordered', () => {
    const first = planAllocation(
      EMPTY_ALLOCATION,
      facts({...wanting(OFFERS), node: OTHER}),
      [],
    );
    const taken = planAllocation(first.allocation, facts(), []);
    expect(taken.isChanged).toEqual(true);
    const [earlier] = first.orders;
    const [later] = taken.orders;
    const before = earlier?.order.fencingNumber ?? Infinity;
    expect((later?.order.fencingNumber ?? 0) > before).toEqual(true);
    expect(taken.allocation.holder).toEqual(NODE);
  });

  it('sends what was written but never left, after a lost answer', () => {
    const first = planAllocation(EMPTY_ALLOCATION, facts(wanting(OFFERS)), []);
    const again = planAllocation(
      first.allocation,
      facts({hasSentOrder: () => false}),
      [],
    );
    expect(again.orders.length).toEqual(1);
  });

  it('drains before it unloads, and only when nothing runs', () => {
    const idle = {keepUntil: () => NOW};
    const draining = planAllocation(loaded(), facts(idle), []);
    expect(statesOf(draining)).toEqual(['draining']);
    const later = after(NOW, DRAIN_PROPAGATION_MILLISECONDS);
    const busy = planAllocation(
      draining.allocation,
      facts({
        ...idle,
        now: later,
        ...withEngine({status: status([held({running: 1})], later)}),
      }),
      [],
    );
    expect(statesOf(busy)).toEqual(['draining']);
    const free = planAllocation(
      draining.allocation,
      facts({
        ...idle,
        now: later,
        ...withEngine({status: status([held()], later)}),
      }),
      [],
    );
    expect(statesOf(free)).toEqual(['unloading']);
  });

  it('waits longer for a node that has not asked since', () => {
    const idle = {keepUntil: () => NOW};
    const draining = planAllocation(loaded(), facts(idle), []);
    const planAt = (elapsed: number): string[] => {
      const now = after(NOW, elapsed);
      const plan = planAllocation(
        draining.allocation,
        facts({
          ...idle,
          now,
          lastExchangeBefore: () => after(NOW, -100),
          ...withEngine({status: status([held()], now)}),
        }),
        [],
      );
      return statesOf(plan);
    };
    expect(planAt(DRAIN_PROPAGATION_MILLISECONDS)).toEqual(['draining']);
    expect(planAt(4_800)).toEqual(['draining']);
    expect(planAt(4_950)).toEqual(['unloading']);
  });

  it('keeps what drains if it is wanted again', () => {
    const engines = withEngine({status: status([held()])});
    const idle = planAllocation(
      loaded(),
      facts({keepUntil: () => NOW, ...engines}),
      [],
    );
    const wanted = planAllocation(
      idle.allocation,
      facts({...wanting(OFFERS), ...engines}),
      [],
    );
    expect(statesOf(wanted)).toEqual(['ready']);
  });

  it('does not take what it has just unloaded for something unreserved', () => {
    const idle = {keepUntil: () => NOW};
    const later = after(NOW, DRAIN_PROPAGATION_MILLISECONDS);
    const reported = withEngine({status: status([held()], later)});
    const draining = planAllocation(loaded(), facts(idle), []);
    const unloading = planAllocation(
      draining.allocation,
      facts({...idle, now: later, ...reported}),
      [],
    );
    const done = planAllocation(
      unloading.allocation,
      facts({...idle, now: later, ...reported}),
      resultOf(unloading, 'done'),
    );
    expect(statesOf(done)).toEqual([]);
  });

  it('counts and drains what an engine holds without a reservation', () => {
    const plan = planAllocation(
      EMPTY_ALLOCATION,
      facts({...wanting(OFFERS), ...withEngine({status: status([held()])})}),
      [],
    );
    expect(plan.allocation.reservations.length).toEqual(1);
    expect(plan.orders).toEqual([]);
  });

  it('drains the newest above a limit that was lowered', () => {
    const plan = planAllocation(
      loaded(),
      facts({declarations: declarations(0)}),
      [],
    );
    expect(statesOf(plan)).toEqual(['draining']);
  });

  it('frees the place of a reclaimed host at once', () => {
    const plan = planAllocation(
      loaded(),
      facts(withEngine({isHostGone: true, isReachable: false})),
      [],
    );
    expect(statesOf(plan)).toEqual([]);
  });

  it('holds memory on an engine without fencing until a lost order can’t land', () => {
    const unfenced = withEngine({checksFencing: false, status: status([])});
    const ordered = planAllocation(
      EMPTY_ALLOCATION,
      facts({...wanting(OFFERS), ...unfenced}),
      [],
    );
    const lost = planAllocation(
      ordered.allocation,
      facts({...unfenced, declarations: declarations(0)}),
      resultOf(ordered, 'unknown'),
    );
    const retried = after(NOW, 2_000);
    const unloading = planAllocation(
      lost.allocation,
      facts({...unfenced, declarations: declarations(0), now: retried}),
      [],
    );
    expect(statesOf(unloading)).toEqual(['unloading']);
    const unloaded = planAllocation(
      unloading.allocation,
      facts({...unfenced, now: retried}),
      resultOf(unloading, 'done'),
    );
    expect(statesOf(unloaded)).toEqual(['held']);
    const settled = after(retried, MAXIMUM_ORDER_DELAY_MILLISECONDS);
    const free = planAllocation(
      unloaded.allocation,
      facts({
        ...withEngine({checksFencing: false, status: status([], settled)}),
        now: settled,
      }),
      [],
    );
    expect(statesOf(free)).toEqual([]);
  });
});
