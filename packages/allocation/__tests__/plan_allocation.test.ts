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
  EngineSnapshot,
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
const OTHER_NODE = as<NodeId>('other');

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

function engineModel(overrides: Partial<EngineModel> = {}): EngineModel {
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

function engine(overrides: Partial<EngineSnapshot> = {}): EngineSnapshot {
  return {
    id: ENGINE,
    memoryBytes: fromGibibytes(12),
    checksFencing: true,
    status: status([]),
    releasedAt: as<Instant>(0),
    isLeaving: false,
    isReachable: true,
    isHostReclaimed: false,
    ...overrides,
  };
}

function planInput(overrides: Partial<PlanInput> = {}): PlanInput {
  return {
    now: NOW,
    node: NODE,
    startedAt: as<Instant>(0),
    failureDomain: as<FailureDomain>('a'),
    declarations: declarations(),
    engines: new Map([[ENGINE, engine()]]),
    demands: [],
    keepUntil: () => as<Instant>(Infinity),
    isNodeTerminated: () => false,
    lastExchangeBefore: () => undefined,
    hasSentOrder: () => true,
    hasInitialReports: true,
    availableLoads: 4,
    ...overrides,
  };
}

function withDemand(subject: Subject, waiting = 1): Partial<PlanInput> {
  const demand = {subject, waiting, inFlight: 0, earliestDeadline: NOW};
  return {demands: [demand]};
}

function withEngine(overrides: Partial<EngineSnapshot>): Partial<PlanInput> {
  return {engines: new Map([[ENGINE, engine(overrides)]])};
}

function resultsOf(plan: AllocationPlan, outcome: OrderOutcome): OrderResult[] {
  return plan.orders.map(planned => ({planned, outcome, detail: ''}));
}

/** Returns an allocation with one ready replica. */
function allocationWithReadyReplica(
  overrides: Partial<PlanInput> = {},
): Allocation {
  const ordered = planAllocation(
    EMPTY_ALLOCATION,
    planInput({...withDemand(OFFERS), ...overrides}),
    [],
  );
  const done = resultsOf(ordered, 'done');
  return planAllocation(ordered.allocation, planInput(overrides), done)
    .allocation;
}

const statesOf = (plan: AllocationPlan): string[] =>
  plan.allocation.reservations.map(({state}) => state);

describe(planAllocation.name, () => {
  it('reserves a single replica for many waiting requests and orders its load once', () => {
    const plan = planAllocation(
      EMPTY_ALLOCATION,
      planInput(withDemand(OFFERS, 50)),
      [],
    );
    expect(statesOf(plan)).toEqual(['loading']);
    expect(plan.orders.length).toEqual(1);
    const again = planAllocation(
      plan.allocation,
      planInput(withDemand(OFFERS, 50)),
      [],
    );
    expect(again.isChanged).toEqual(false);
  });

  it('refuses a model when the memory of all engines is reserved by models in use', () => {
    const allocation = allocationWithReadyReplica();
    const tags: Subject = {...OFFERS, model: as<ModelName>('tags')};
    const busy = {
      demands: [
        {subject: tags, waiting: 1, inFlight: 0, earliestDeadline: NOW},
        {subject: OFFERS, waiting: 0, inFlight: 1, earliestDeadline: NOW},
      ],
      ...withEngine({status: status([engineModel()])}),
    };
    const plan = planAllocation(allocation, planInput(busy), []);
    expect(statesOf(plan)).toEqual(['ready']);
    expect(plan.refusals[0]?.reason).toEqual('no engine has room');
  });

  it('resends the load order of a fenced holder with a larger fencing number', () => {
    const first = planAllocation(
      EMPTY_ALLOCATION,
      planInput({...withDemand(OFFERS), node: OTHER_NODE}),
      [],
    );
    const takenOver = planAllocation(first.allocation, planInput(), []);
    expect(takenOver.isChanged).toEqual(true);
    const [previousOrder] = first.orders;
    const [resentOrder] = takenOver.orders;
    const previousNumber = previousOrder?.order.fencingNumber ?? Infinity;
    expect((resentOrder?.order.fencingNumber ?? 0) > previousNumber).toEqual(
      true,
    );
    expect(takenOver.allocation.holder).toEqual(NODE);
  });

  it('sends a written order that was never sent because the response to the write was lost', () => {
    const first = planAllocation(
      EMPTY_ALLOCATION,
      planInput(withDemand(OFFERS)),
      [],
    );
    const again = planAllocation(
      first.allocation,
      planInput({hasSentOrder: () => false}),
      [],
    );
    expect(again.orders.length).toEqual(1);
  });

  it('drains an idle replica and unloads it only once no request runs on it', () => {
    const idle = {keepUntil: () => NOW};
    const draining = planAllocation(
      allocationWithReadyReplica(),
      planInput(idle),
      [],
    );
    expect(statesOf(draining)).toEqual(['draining']);
    const later = after(NOW, DRAIN_PROPAGATION_MILLISECONDS);
    const busy = planAllocation(
      draining.allocation,
      planInput({
        ...idle,
        now: later,
        ...withEngine({status: status([engineModel({running: 1})], later)}),
      }),
      [],
    );
    expect(statesOf(busy)).toEqual(['draining']);
    const drained = planAllocation(
      draining.allocation,
      planInput({
        ...idle,
        now: later,
        ...withEngine({status: status([engineModel()], later)}),
      }),
      [],
    );
    expect(statesOf(drained)).toEqual(['unloading']);
  });

  it('delays the unload for a node whose last exchange was before the drain', () => {
    const idle = {keepUntil: () => NOW};
    const draining = planAllocation(
      allocationWithReadyReplica(),
      planInput(idle),
      [],
    );
    const planAt = (elapsed: number): string[] => {
      const now = after(NOW, elapsed);
      const plan = planAllocation(
        draining.allocation,
        planInput({
          ...idle,
          now,
          lastExchangeBefore: () => after(NOW, -100),
          ...withEngine({status: status([engineModel()], now)}),
        }),
        [],
      );
      return statesOf(plan);
    };
    expect(planAt(DRAIN_PROPAGATION_MILLISECONDS)).toEqual(['draining']);
    expect(planAt(4_800)).toEqual(['draining']);
    expect(planAt(4_950)).toEqual(['unloading']);
  });

  it('makes a draining replica ready again when it is requested', () => {
    const engines = withEngine({status: status([engineModel()])});
    const idle = planAllocation(
      allocationWithReadyReplica(),
      planInput({keepUntil: () => NOW, ...engines}),
      [],
    );
    const requested = planAllocation(
      idle.allocation,
      planInput({...withDemand(OFFERS), ...engines}),
      [],
    );
    expect(statesOf(requested)).toEqual(['ready']);
  });

  it('does not reserve a model again from an outdated report after unloading it', () => {
    const idle = {keepUntil: () => NOW};
    const later = after(NOW, DRAIN_PROPAGATION_MILLISECONDS);
    const reported = withEngine({status: status([engineModel()], later)});
    const draining = planAllocation(
      allocationWithReadyReplica(),
      planInput(idle),
      [],
    );
    const unloading = planAllocation(
      draining.allocation,
      planInput({...idle, now: later, ...reported}),
      [],
    );
    const done = planAllocation(
      unloading.allocation,
      planInput({...idle, now: later, ...reported}),
      resultsOf(unloading, 'done'),
    );
    expect(statesOf(done)).toEqual([]);
  });

  it('adds a reservation for a model that an engine holds without one, and does not load it again', () => {
    const plan = planAllocation(
      EMPTY_ALLOCATION,
      planInput({
        ...withDemand(OFFERS),
        ...withEngine({status: status([engineModel()])}),
      }),
      [],
    );
    expect(plan.allocation.reservations.length).toEqual(1);
    expect(plan.orders).toEqual([]);
  });

  it('reserves no replica above the limit, although requests wait and engines have free memory', () => {
    const other = as<EndpointId>('other-engine');
    const input = planInput({
      ...withDemand(OFFERS, 50),
      engines: new Map([
        [ENGINE, engine({status: status([engineModel()])})],
        [other, engine({id: other})],
      ]),
    });
    const allocation = allocationWithReadyReplica();
    const plan = planAllocation(allocation, input, []);
    expect(plan.allocation.reservations).toEqual(allocation.reservations);
    expect(plan.orders).toEqual([]);
    expect(plan.refusals.map(({reason}) => reason)).toEqual([
      'the declared replicas are in use',
    ]);
    // The limit alone prevents it: with a limit of two, the second engine gets a replica.
    const raised = planAllocation(
      allocation,
      {...input, declarations: declarations(2)},
      [],
    );
    expect(statesOf(raised)).toEqual(['ready', 'loading']);
    expect(raised.orders.map(({engine: id}) => id)).toEqual([other]);
  });

  it('drains a replica above a replica limit that was lowered', () => {
    const plan = planAllocation(
      allocationWithReadyReplica(),
      planInput({declarations: declarations(0)}),
      [],
    );
    expect(statesOf(plan)).toEqual(['draining']);
  });

  it('issues fencing numbers above those that engines have seen, though the allocation was lost', () => {
    const seen = {...status([]), highestFencingNumber: as<FencingNumber>(41)};
    const input = planInput({
      ...withDemand(OFFERS),
      ...withEngine({status: seen}),
    });
    const plan = planAllocation(EMPTY_ALLOCATION, input, []);
    expect(plan.orders.map(({order}) => order.fencingNumber)).toEqual([
      as<FencingNumber>(42),
    ]);
  });

  it('places nothing beside models whose reservations were lost, before their report counts', () => {
    const tags = engineModel({model: as<ModelName>('tags')});
    const atStart = withEngine({status: status([tags]), releasedAt: NOW});
    const input = planInput({
      ...withDemand(OFFERS),
      ...atStart,
      startedAt: NOW,
    });
    expect(planAllocation(EMPTY_ALLOCATION, input, []).orders).toEqual([]);
    const other = as<EndpointId>('other');
    const offers = withEngine({
      status: status([engineModel()]),
      releasedAt: NOW,
    });
    const second = engine({id: other, releasedAt: NOW});
    const engines = new Map([...offers.engines!, [other, second] as const]);
    const limited = planInput({...withDemand(OFFERS), engines, startedAt: NOW});
    expect(planAllocation(EMPTY_ALLOCATION, limited, []).orders).toEqual([]);
  });

  it('removes the reservations of a reclaimed host at once', () => {
    const plan = planAllocation(
      allocationWithReadyReplica(),
      planInput(withEngine({isHostReclaimed: true, isReachable: false})),
      [],
    );
    expect(statesOf(plan)).toEqual([]);
  });

  it('holds memory on an engine without fencing until a lost load order can no longer take effect', () => {
    const unfenced = withEngine({checksFencing: false, status: status([])});
    const ordered = planAllocation(
      EMPTY_ALLOCATION,
      planInput({...withDemand(OFFERS), ...unfenced}),
      [],
    );
    const lost = planAllocation(
      ordered.allocation,
      planInput({...unfenced, declarations: declarations(0)}),
      resultsOf(ordered, 'unknown'),
    );
    const retryAt = after(NOW, 2_000);
    const unloading = planAllocation(
      lost.allocation,
      planInput({...unfenced, declarations: declarations(0), now: retryAt}),
      [],
    );
    expect(statesOf(unloading)).toEqual(['unloading']);
    const unloaded = planAllocation(
      unloading.allocation,
      planInput({...unfenced, now: retryAt}),
      resultsOf(unloading, 'done'),
    );
    expect(statesOf(unloaded)).toEqual(['held']);
    const latestEffectAt = after(retryAt, MAXIMUM_ORDER_DELAY_MILLISECONDS);
    const released = planAllocation(
      unloaded.allocation,
      planInput({
        ...withEngine({
          checksFencing: false,
          status: status([], latestEffectAt),
        }),
        now: latestEffectAt,
      }),
      [],
    );
    expect(statesOf(released)).toEqual([]);
  });
});
