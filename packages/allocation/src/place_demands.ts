/**
 * Places requested models and adapters on engines and evicts idle ones to free memory.
 */

import type {EndpointId, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {Reservation, Subject} from './allocation.js';
import {isSameSubject, replicasOf, reservedBytes} from './allocation.js';
import type {AllocationDraft} from './allocation_draft.js';
import type {Demand, EngineSnapshot} from './plan_input.js';
import {cacheTierOf, memoryOf, replicaLimit} from './plan_input.js';
import {unclearModelsOf} from './unreserved_models.js';

/** Minimum time that a model stays ready before it may be evicted. */
const MINIMUM_RESIDENCY_MILLISECONDS: Milliseconds = 10_000;

/** Waiting requests per slot above which another replica is loaded. */
const MAXIMUM_WAITING_PER_SLOT = 2;

const CACHE_TIER_RANKS = {memory: 0, disk: 1, remote: 2} as const;

/** Reserves replicas and adapters for the demands in the order of their deadlines. */
export function placeDemands(draft: AllocationDraft): void {
  if (!draft.input.hasInitialReports) return;
  let availableLoads = draft.input.availableLoads;
  const waiting = draft.input.demands
    .filter(demand => demand.waiting > 0)
    .sort(byDeadline);
  for (const demand of waiting) {
    if (demand.subject.kind === 'adapter') {
      placeAdapter(draft, demand);
    } else if (needsReplica(draft, demand)) {
      // Each load in excess of those that the weight store serves at full speed slows the
      // others down.
      if (availableLoads <= 0)
        refuse(draft, demand.subject, 'the weight store is busy');
      else if (placeModel(draft, demand)) availableLoads -= 1;
    }
  }
}

function byDeadline(left: Demand, right: Demand): number {
  return (left.earliestDeadline ?? 0) - (right.earliestDeadline ?? 0);
}

function needsReplica(draft: AllocationDraft, demand: Demand): boolean {
  const serving = draft.reservations.filter(
    reservation =>
      isSameSubject(reservation.subject, demand.subject) &&
      (reservation.state === 'loading' || reservation.state === 'ready'),
  );
  if (serving.length === 0) return true;
  if (serving.some(reservation => reservation.state === 'loading'))
    return false;
  const slots = serving.reduce(
    (sum, reservation) => sum + slotsOf(draft, reservation.engine),
    0,
  );
  return demand.waiting > slots * MAXIMUM_WAITING_PER_SLOT;
}

function slotsOf(draft: AllocationDraft, engine: EndpointId): number {
  return draft.input.engines.get(engine)?.status?.slots ?? 1;
}

function placeModel(draft: AllocationDraft, demand: Demand): boolean {
  const {subject} = demand;
  const {declarations, failureDomain} = draft.input;
  const memoryBytes = memoryOf(declarations, subject);
  if (memoryBytes === undefined) return false;
  const limit = replicaLimit(declarations, subject.model, failureDomain);
  if (replicaCountOf(draft, subject) >= limit) {
    return evictOtherVersion(draft, demand);
  }
  const engines = usableEngines(draft).filter(
    engine => !hasReservationOn(draft, engine, subject),
  );
  const engine = bestEngine(draft, engines, subject, memoryBytes);
  if (engine !== undefined) {
    draft.reserve(engine, subject, memoryBytes, `${demand.waiting} waiting`);
    return true;
  }
  evictForModel(draft, engines, memoryBytes, subject);
  return false;
}

function replicaCountOf(draft: AllocationDraft, {model}: Subject): number {
  const unclear = [...draft.input.engines.values()]
    .flatMap(engine => unclearModelsOf(draft, engine))
    .filter(loaded => loaded.model === model);
  return replicasOf(draft.toAllocation(), model).length + unclear.length;
}

/**
 * Handles a model at its replica limit: an idle replica of another version is drained, so
 * that a later plan can place the requested one.
 */
function evictOtherVersion(draft: AllocationDraft, demand: Demand): boolean {
  const {subject} = demand;
  const idleOthers = replicasOf(draft.toAllocation(), subject.model).filter(
    reservation =>
      !isSameSubject(reservation.subject, subject) &&
      isIdle(draft, reservation),
  );
  const [replaced] = idleOthers;
  if (replaced !== undefined) {
    draft.setState(replaced.id, 'draining', 'another version is wanted');
  }
  refuse(draft, subject, 'the declared replicas are in use');
  return false;
}

function usableEngines(draft: AllocationDraft): EngineSnapshot[] {
  return [...draft.input.engines.values()].filter(
    engine =>
      engine.isReachable && !engine.isLeaving && !engine.isHostReclaimed,
  );
}

function hasReservationOn(
  draft: AllocationDraft,
  engine: EngineSnapshot,
  subject: Subject,
): boolean {
  return draft.reservations.some(
    reservation =>
      reservation.engine === engine.id &&
      isSameSubject(reservation.subject, subject),
  );
}

/**
 * Returns the engine with the fastest cache tier for the checkpoint; among equals, the one
 * with the least free memory, so that other engines keep room for large models.
 */
function bestEngine(
  draft: AllocationDraft,
  engines: readonly EngineSnapshot[],
  subject: Subject,
  memoryBytes: number,
): EngineSnapshot | undefined {
  const allocation = draft.toAllocation();
  const freeBytes = (engine: EngineSnapshot): number =>
    unclearModelsOf(draft, engine).reduce(
      (free, loaded) => free - loaded.memoryBytes,
      engine.memoryBytes - reservedBytes(allocation, engine.id),
    );
  return engines
    .filter(engine => freeBytes(engine) >= memoryBytes)
    .sort(
      (left, right) =>
        CACHE_TIER_RANKS[cacheTierOf(left, subject)] -
          CACHE_TIER_RANKS[cacheTierOf(right, subject)] ||
        freeBytes(left) - freeBytes(right) ||
        (left.id < right.id ? -1 : 1),
    )[0];
}

/** Drains idle models on the engine where the fewest evictions free enough memory. */
function evictForModel(
  draft: AllocationDraft,
  engines: readonly EngineSnapshot[],
  memoryBytes: number,
  subject: Subject,
): void {
  const candidates = engines
    .map(engine => selectEvictions(draft, engine, memoryBytes))
    .filter(evicted => evicted !== undefined)
    .sort((left, right) => left.length - right.length);
  const [evicted] = candidates;
  for (const reservation of evicted ?? []) {
    draft.setState(
      reservation.id,
      'draining',
      `makes room for ${subject.model}`,
    );
  }
  refuse(
    draft,
    subject,
    evicted === undefined ? 'no engine has room' : 'room is being made',
  );
}

/**
 * Selects idle reservations that free enough memory, those with the earliest end of
 * keep-alive first. Returns undefined when all of them together are not enough.
 */
function selectEvictions(
  draft: AllocationDraft,
  engine: EngineSnapshot,
  memoryBytes: number,
): Reservation[] | undefined {
  const onEngine = draft.reservations.filter(
    reservation => reservation.engine === engine.id,
  );
  const reservedOnEngineBytes = onEngine.reduce(
    (sum, reservation) => sum + reservation.memoryBytes,
    0,
  );
  // Memory of reservations that are already being released counts as free.
  const releasingBytes = onEngine
    .filter(
      reservation =>
        reservation.state !== 'ready' && reservation.state !== 'loading',
    )
    .reduce((sum, reservation) => sum + reservation.memoryBytes, 0);
  let missingBytes =
    memoryBytes - (engine.memoryBytes - reservedOnEngineBytes) - releasingBytes;
  const evicted: Reservation[] = [];
  const idle = onEngine
    .filter(reservation => isIdle(draft, reservation))
    .sort((left, right) => keepUntil(draft, left) - keepUntil(draft, right));
  for (const reservation of idle) {
    if (missingBytes <= 0) break;
    evicted.push(reservation);
    missingBytes -= reservation.memoryBytes;
  }
  return missingBytes <= 0 ? evicted : undefined;
}

function keepUntil(draft: AllocationDraft, reservation: Reservation): number {
  return draft.input.keepUntil(reservation.subject.model);
}

function isIdle(draft: AllocationDraft, reservation: Reservation): boolean {
  if (reservation.state !== 'ready') return false;
  const evictableAt = after(
    reservation.changedAt,
    MINIMUM_RESIDENCY_MILLISECONDS,
  );
  if (evictableAt > draft.input.now) return false;
  return !draft.input.demands.some(
    demand =>
      demand.subject.model === reservation.subject.model &&
      demand.waiting + demand.inFlight > 0,
  );
}

function placeAdapter(draft: AllocationDraft, demand: Demand): void {
  const {subject} = demand;
  const memoryBytes = memoryOf(draft.input.declarations, subject);
  if (memoryBytes === undefined) return;
  const isPlaced = draft.reservations.some(
    reservation =>
      isSameSubject(reservation.subject, subject) &&
      (reservation.state === 'loading' || reservation.state === 'ready'),
  );
  if (isPlaced) return;
  const engines = enginesWithModel(draft, subject);
  const engine = bestEngine(draft, engines, subject, memoryBytes);
  if (engine !== undefined) {
    draft.reserve(engine, subject, memoryBytes, `${demand.waiting} waiting`);
  } else if (engines.length > 0) {
    evictForAdapter(draft, engines, subject);
  }
}

function enginesWithModel(
  draft: AllocationDraft,
  subject: Subject,
): EngineSnapshot[] {
  return usableEngines(draft).filter(engine =>
    draft.reservations.some(
      reservation =>
        reservation.engine === engine.id &&
        reservation.subject.kind === 'model' &&
        reservation.subject.model === subject.model &&
        reservation.state === 'ready',
    ),
  );
}

function evictForAdapter(
  draft: AllocationDraft,
  engines: readonly EngineSnapshot[],
  subject: Subject,
): void {
  const ids = new Set(engines.map(engine => engine.id));
  const evicted = draft.reservations
    .filter(
      reservation =>
        ids.has(reservation.engine) &&
        reservation.subject.kind === 'adapter' &&
        reservation.state === 'ready' &&
        !isInDemand(draft, reservation.subject),
    )
    .sort((left, right) => left.changedAt - right.changedAt)[0];
  if (evicted !== undefined) {
    draft.setState(evicted.id, 'draining', 'makes room for another adapter');
  }
  refuse(draft, subject, 'no engine of its model has room');
}

function isInDemand(draft: AllocationDraft, subject: Subject): boolean {
  return draft.input.demands.some(
    demand =>
      isSameSubject(demand.subject, subject) &&
      demand.waiting + demand.inFlight > 0,
  );
}

function refuse(
  draft: AllocationDraft,
  subject: Subject,
  reason: string,
): void {
  draft.refusals.push({subject, reason, at: draft.input.now});
}
