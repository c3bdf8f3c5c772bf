/** Finds places for what waiting requests want, making room where it is allowed. */

import type {EndpointId, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {Reservation, Subject} from './allocation.js';
import {isSameSubject, replicasOf, reservedBytes} from './allocation.js';
import type {AllocationDraft} from './allocation_draft.js';
import type {Demand, EngineView} from './facts.js';
import {cacheTierOf, memoryOf, replicaLimit} from './facts.js';

/** Least time that a model stays before another may take its place. */
const LEAST_RESIDENCY_MILLISECONDS: Milliseconds = 10_000;

/** Waiting requests for each slot from which another replica is worth a load. */
const BACKLOG_FOR_REPLICA = 2;

const TIER_ORDER = {memory: 0, disk: 1, remote: 2} as const;

/** Reserves replicas and adapters for the demands, earliest deadline first. */
export function placeWanted(draft: AllocationDraft): void {
  if (!draft.facts.hasSettled) return;
  let freeLoads = draft.facts.freeLoads;
  const wanted = draft.facts.demands
    .filter(demand => demand.waiting > 0)
    .sort(byDeadline);
  for (const demand of wanted) {
    if (demand.subject.kind === 'adapter') {
      placeAdapter(draft, demand);
    } else if (wantsReplica(draft, demand)) {
      // Beyond what the weight store takes at full speed, each load slows the others.
      if (freeLoads <= 0)
        refuse(draft, demand.subject, 'the weight store is busy');
      else if (placeModel(draft, demand)) freeLoads -= 1;
    }
  }
}

function byDeadline(left: Demand, right: Demand): number {
  return (left.earliestDeadline ?? 0) - (right.earliestDeadline ?? 0);
}

function wantsReplica(draft: AllocationDraft, demand: Demand): boolean {
  const serving = draft.reservations.filter(
    entry =>
      isSameSubject(entry.subject, demand.subject) &&
      (entry.state === 'loading' || entry.state === 'ready'),
  );
  if (serving.length === 0) return true;
  if (serving.some(entry => entry.state === 'loading')) return false;
  const slots = serving.reduce(
    (sum, entry) => sum + slotsOf(draft, entry.engine),
    0,
  );
  return demand.waiting > slots * BACKLOG_FOR_REPLICA;
}

function slotsOf(draft: AllocationDraft, engine: EndpointId): number {
  return draft.facts.engines.get(engine)?.status?.slots ?? 1;
}

function placeModel(draft: AllocationDraft, demand: Demand): boolean {
  const {subject} = demand;
  const {declarations, failureDomain} = draft.facts;
  const memoryBytes = memoryOf(declarations, subject);
  if (memoryBytes === undefined) return false;
  const limit = replicaLimit(declarations, subject.model, failureDomain);
  if (replicasOf(draft.toAllocation(), subject.model).length >= limit) {
    return atLimit(draft, demand);
  }
  const engines = usableEngines(draft).filter(
    engine => !holdsModel(draft, engine, subject),
  );
  const engine = bestEngine(draft, engines, subject, memoryBytes);
  if (engine !== undefined) {
    draft.reserve(engine, subject, memoryBytes, `${demand.waiting} waiting`);
    return true;
  }
  makeRoom(draft, engines, memoryBytes, subject);
  return false;
}

/** A replica of another version, or one that goes away, may stand in the way. */
function atLimit(draft: AllocationDraft, demand: Demand): boolean {
  const {subject} = demand;
  const others = replicasOf(draft.toAllocation(), subject.model).filter(
    entry => !isSameSubject(entry.subject, subject) && isIdle(draft, entry),
  );
  const [replaced] = others;
  if (replaced !== undefined) {
    draft.setState(replaced.id, 'draining', 'another version is wanted');
  }
  refuse(draft, subject, 'the declared replicas are in use');
  return false;
}

function usableEngines(draft: AllocationDraft): EngineView[] {
  return [...draft.facts.engines.values()].filter(
    engine => engine.isReachable && !engine.isLeaving && !engine.isHostGone,
  );
}

function holdsModel(
  draft: AllocationDraft,
  engine: EngineView,
  subject: Subject,
): boolean {
  return draft.reservations.some(
    entry =>
      entry.engine === engine.id && isSameSubject(entry.subject, subject),
  );
}

/** The nearest checkpoint wins; among equals the tightest fit keeps large gaps whole. */
function bestEngine(
  draft: AllocationDraft,
  engines: readonly EngineView[],
  subject: Subject,
  memoryBytes: number,
): EngineView | undefined {
  const allocation = draft.toAllocation();
  const free = (engine: EngineView): number =>
    engine.memoryBytes - reservedBytes(allocation, engine.id);
  return engines
    .filter(engine => free(engine) >= memoryBytes)
    .sort(
      (left, right) =>
        TIER_ORDER[cacheTierOf(left, subject)] -
          TIER_ORDER[cacheTierOf(right, subject)] ||
        free(left) - free(right) ||
        (left.id < right.id ? -1 : 1),
    )[0];
}

/** Drains idle models on the engine where the fewest have to go. */
function makeRoom(
  draft: AllocationDraft,
  engines: readonly EngineView[],
  memoryBytes: number,
  subject: Subject,
): void {
  const choices = engines
    .map(engine => victimsOn(draft, engine, memoryBytes))
    .filter(victims => victims !== undefined)
    .sort((left, right) => left.length - right.length);
  const [victims] = choices;
  for (const victim of victims ?? []) {
    draft.setState(victim.id, 'draining', `makes room for ${subject.model}`);
  }
  refuse(
    draft,
    subject,
    victims === undefined ? 'no engine has room' : 'room is being made',
  );
}

/** Idle reservations whose memory suffices, longest unused first; undefined when it can't. */
function victimsOn(
  draft: AllocationDraft,
  engine: EngineView,
  memoryBytes: number,
): Reservation[] | undefined {
  const held = draft.reservations.filter(entry => entry.engine === engine.id);
  const reserved = held.reduce((sum, entry) => sum + entry.memoryBytes, 0);
  // What already goes away needs no further victims.
  const leaving = held
    .filter(entry => entry.state !== 'ready' && entry.state !== 'loading')
    .reduce((sum, entry) => sum + entry.memoryBytes, 0);
  let missing = memoryBytes - (engine.memoryBytes - reserved) - leaving;
  const victims: Reservation[] = [];
  const idle = held
    .filter(entry => isIdle(draft, entry))
    .sort((left, right) => keepUntil(draft, left) - keepUntil(draft, right));
  for (const entry of idle) {
    if (missing <= 0) break;
    victims.push(entry);
    missing -= entry.memoryBytes;
  }
  return missing <= 0 ? victims : undefined;
}

function keepUntil(draft: AllocationDraft, entry: Reservation): number {
  return draft.facts.keepUntil(entry.subject.model);
}

function isIdle(draft: AllocationDraft, entry: Reservation): boolean {
  if (entry.state !== 'ready') return false;
  const mayGoAt = after(entry.changedAt, LEAST_RESIDENCY_MILLISECONDS);
  if (mayGoAt > draft.facts.now) return false;
  return !draft.facts.demands.some(
    demand =>
      demand.subject.model === entry.subject.model &&
      demand.waiting + demand.inFlight > 0,
  );
}

function placeAdapter(draft: AllocationDraft, demand: Demand): void {
  const {subject} = demand;
  const memoryBytes = memoryOf(draft.facts.declarations, subject);
  if (memoryBytes === undefined) return;
  const isPlaced = draft.reservations.some(
    entry =>
      isSameSubject(entry.subject, subject) &&
      (entry.state === 'loading' || entry.state === 'ready'),
  );
  if (isPlaced) return;
  const engines = enginesWithModel(draft, subject);
  const engine = bestEngine(draft, engines, subject, memoryBytes);
  if (engine !== undefined) {
    draft.reserve(engine, subject, memoryBytes, `${demand.waiting} waiting`);
  } else if (engines.length > 0) {
    makeRoomForAdapter(draft, engines, subject);
  }
}

function enginesWithModel(
  draft: AllocationDraft,
  subject: Subject,
): EngineView[] {
  return usableEngines(draft).filter(engine =>
    draft.reservations.some(
      entry =>
        entry.engine === engine.id &&
        entry.subject.kind === 'model' &&
        entry.subject.model === subject.model &&
        entry.state === 'ready',
    ),
  );
}

function makeRoomForAdapter(
  draft: AllocationDraft,
  engines: readonly EngineView[],
  subject: Subject,
): void {
  const ids = new Set(engines.map(engine => engine.id));
  const victim = draft.reservations
    .filter(
      entry =>
        ids.has(entry.engine) &&
        entry.subject.kind === 'adapter' &&
        entry.state === 'ready' &&
        !isWanted(draft, entry.subject),
    )
    .sort((left, right) => left.changedAt - right.changedAt)[0];
  if (victim !== undefined) {
    draft.setState(victim.id, 'draining', 'makes room for another adapter');
  }
  refuse(draft, subject, 'no engine of its model has room');
}

function isWanted(draft: AllocationDraft, subject: Subject): boolean {
  return draft.facts.demands.some(
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
  draft.refusals.push({subject, reason, at: draft.facts.now});
}
