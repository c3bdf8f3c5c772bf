/** Measures the memory and processor time of each kind of state as its size grows. */

import type {
  EndpointId,
  FailureDomain,
  Fingerprint,
  Instant,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {
  Allocation,
  EngineSnapshot,
  PlanInput,
} from '@siskinmux/allocation';
import {
  EMPTY_ALLOCATION,
  fromGibibytes,
  planAllocation,
} from '@siskinmux/allocation';
import type {Declarations} from '@siskinmux/declarations';
import {declarationsSchema} from '@siskinmux/declarations';
import type {AttemptId, ClaimKey} from '@siskinmux/ledger';
import {ClaimTable, encodeRecord} from '@siskinmux/ledger';
import type {CrashId, Trait} from '@siskinmux/containment';
import {SharedRate} from '@siskinmux/admission';
import {CrashSuspects} from '@siskinmux/containment';
import {fingerprintOf, rankMembers} from '@siskinmux/routing';

const NOW = as<Instant>(1_700_000_000_000);
const CLAIM_COUNT = 100_000;
const SUSPECT_COUNT = 2_000;
const REQUESTS_PER_CRASH = 20;
const FINGERPRINT_COUNT = 20_000;
const BODY_BYTES = 2_000;
const PLAN_COUNT = 20;
const RANKING_COUNT = 2_000;
const PERMIT_COUNT = 20_000;
const WAITER_COUNT = 200;
const DAY_MILLISECONDS = 86_400_000;

/** Creates declarations of a given size. */
export function declarationsOfSize(size: {
  models: number;
  adapters: number;
  engines: number;
  domains: number;
}): Declarations {
  const range = (count: number): number[] =>
    Array.from({length: count}, (_, index) => index);
  const domainOf = (index: number): string => `d${index % size.domains}`;
  const replicas = Object.fromEntries(
    range(size.domains).map(index => [domainOf(index), 2]),
  );
  return declarationsSchema.parse({
    models: Object.fromEntries(
      range(size.models).map(index => [
        `model-${index}`,
        {
          versions: ['v1'],
          current_version: 'v1',
          memory_gib: 8,
          replicas,
        },
      ]),
    ),
    adapters: Object.fromEntries(
      range(size.adapters).map(index => [
        `adapter-${index}`,
        {model: `model-${index % size.models}`, memory_mib: 64},
      ]),
    ),
    endpoints: Object.fromEntries(
      range(size.engines).map(index => [
        `engine-${index}`,
        {
          kind: 'engine',
          url: `http://10.0.${Math.floor(index / 250)}.${index % 250}:8000`,
          host: `host-${index}`,
          failure_domain: domainOf(index),
          memory_gib: 48,
          checks_fencing: true,
        },
      ]),
    ),
  });
}

/** Measures the bytes of a value as JSON and on the heap. */
export function measureSize(create: () => unknown): {
  json: number;
  heap: number;
} {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const value = create();
  globalThis.gc?.();
  const heap = process.memoryUsage().heapUsed - before;
  return {json: JSON.stringify(value).length, heap};
}

/** Measures one retained claim: bytes on the heap, bytes stored, and microseconds to apply. */
export function measureClaim(): {
  heap: number;
  stored: number;
  microsecondsPerClaim: number;
} {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const table = ClaimTable.create();
  const startedAt = performance.now();
  let stored = 0;
  for (let index = 0; index < CLAIM_COUNT; index += 1) {
    const record = {
      kind: 'claim',
      key: `k${index}`.padEnd(22, 'x') as ClaimKey,
      fingerprint: as<Fingerprint>(`f${index}`.padEnd(22, 'x')),
      attempt: `a${index}`.padEnd(36, 'x') as AttemptId,
      node: as<NodeId>('entry-1-00000000'),
      deadline: NOW,
      expiresAt: NOW,
    } as const;
    table.apply(record);
    stored += encodeRecord(record).length;
  }
  const microseconds = ((performance.now() - startedAt) * 1_000) / CLAIM_COUNT;
  globalThis.gc?.();
  const heap = (process.memoryUsage().heapUsed - before) / CLAIM_COUNT;
  return {
    heap,
    stored: stored / CLAIM_COUNT,
    microsecondsPerClaim: table.size > 0 ? microseconds : NaN,
  };
}

/**
 * Measures a full table of requests that crashed endpoints: bytes on the heap and in a
 * message for each record, microseconds to merge one into the full table and to check one,
 * and to compute the fingerprint of a request.
 */
export function measureSuspects(): {
  heap: number;
  json: number;
  microsecondsPerMerge: number;
  microsecondsPerCheck: number;
  microsecondsPerFingerprint: number;
} {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const suspects = CrashSuspects.create(() => 0);
  const record = (index: number) =>
    suspects.recordCrash(
      [as<Trait>(`f${index}`.padEnd(22, 'x'))],
      {
        crash: as<CrashId>(
          `i-${Math.floor(index / REQUESTS_PER_CRASH)}`.padEnd(26, 'x'),
        ),
        hadResponded: false,
      },
      NOW,
    );
  for (let index = 0; index < SUSPECT_COUNT; index += 1) record(index);
  globalThis.gc?.();
  const heap = (process.memoryUsage().heapUsed - before) / SUSPECT_COUNT;
  const json = JSON.stringify([...suspects.all]).length / SUSPECT_COUNT;
  const traits = [...suspects.all].map(({trait}) => [trait]);
  const body = Buffer.alloc(BODY_BYTES);
  return {
    heap,
    json,
    microsecondsPerCheck: microsecondsOf(SUSPECT_COUNT, index =>
      suspects.suspicionOf(traits[index] ?? [], NOW),
    ),
    microsecondsPerMerge: microsecondsOf(SUSPECT_COUNT, index =>
      record(SUSPECT_COUNT + index),
    ),
    microsecondsPerFingerprint: microsecondsOf(FINGERPRINT_COUNT, index =>
      fingerprintOf(`POST host /${index}`, body),
    ),
  };
}

/** Microseconds to decide on a permit, with none and with many requests that wait. */
export function measurePermits(): {
  readonly microsecondsPerRefusal: number;
  readonly microsecondsPerWaiter: number;
} {
  const rate = SharedRate.create(1, NOW);
  const wait = (index: number): void =>
    rate.request(
      {priority: index % 3, waitUntil: as<Instant>(NOW + DAY_MILLISECONDS)},
      () => {},
      NOW,
    );
  const microsecondsPerRefusal = microsecondsOf(PERMIT_COUNT, () =>
    rate.request({priority: 0, waitUntil: undefined}, () => {}, NOW),
  );
  for (let index = 0; index < WAITER_COUNT; index += 1) wait(index);
  return {
    microsecondsPerRefusal,
    microsecondsPerWaiter: microsecondsOf(WAITER_COUNT, wait),
  };
}

function microsecondsOf(count: number, run: (index: number) => void): number {
  const startedAt = performance.now();
  for (let index = 0; index < count; index += 1) run(index);
  return ((performance.now() - startedAt) * 1_000) / count;
}

/**
 * Measures the milliseconds of one plan over `engines` engines, each with two loaded
 * models.
 */
export function measurePlan(engines: number): number {
  const declarations = declarationsOfSize({
    models: engines * 2,
    adapters: 0,
    engines,
    domains: 1,
  });
  const input = createPlanInput(declarations, engines);
  let allocation: Allocation = EMPTY_ALLOCATION;
  allocation = planAllocation(allocation, input, []).allocation;
  const startedAt = performance.now();
  for (let index = 0; index < PLAN_COUNT; index += 1) {
    planAllocation(allocation, {...input, demands: []}, []);
  }
  return (performance.now() - startedAt) / PLAN_COUNT;
}

/** Measures the microseconds of one ranking of `members` nodes. */
export function measureRanking(members: number): number {
  const ids = Array.from({length: members}, (_, index) =>
    as<NodeId>(`entry-${index}-00000000`),
  );
  const startedAt = performance.now();
  for (let index = 0; index < RANKING_COUNT; index += 1) {
    rankMembers(`claims/${index}`, ids);
  }
  return ((performance.now() - startedAt) * 1_000) / RANKING_COUNT;
}

function createPlanInput(declarations: Declarations, count: number): PlanInput {
  const engines = new Map<EndpointId, EngineSnapshot>();
  for (let index = 0; index < count; index += 1) {
    const id = as<EndpointId>(`engine-${index}`);
    engines.set(id, createEngineSnapshot(id));
  }
  return {
    now: NOW,
    node: as<NodeId>('entry-1'),
    startedAt: as<Instant>(0),
    failureDomain: as<FailureDomain>('d0'),
    declarations,
    engines,
    demands: Array.from({length: count * 2}, (_, index) => ({
      subject: {
        kind: 'model',
        model: as<ModelName>(`model-${index}`),
        version: 'v1',
      },
      waiting: 1,
      inFlight: 0,
      earliestDeadline: NOW,
    })),
    keepUntil: () => as<Instant>(NOW + 60_000),
    isNodeTerminated: () => false,
    lastExchangeBefore: () => undefined,
    hasSentOrder: () => true,
    hasInitialReports: true,
    availableLoads: count * 2,
  };
}

function createEngineSnapshot(id: EndpointId): EngineSnapshot {
  return {
    id,
    memoryBytes: fromGibibytes(48),
    checksFencing: true,
    status: undefined,
    releasedAt: NOW,
    isLeaving: false,
    isReachable: true,
    isHostReclaimed: false,
  };
}
