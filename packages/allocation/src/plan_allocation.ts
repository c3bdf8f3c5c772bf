/**
 * Pure function that decides what the engines of a failure domain load and unload next.
 */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {after, later} from '@siskinmux/kernel';
import type {Allocation, Reservation, Subject} from './allocation.js';
import {isSameSubject, replicasOf} from './allocation.js';
import type {PlannedOrder, PlacementRefusal} from './allocation_draft.js';
import {AllocationDraft} from './allocation_draft.js';
import type {OrderResult} from './apply_order_result.js';
import {
  MAXIMUM_ORDER_DELAY_MILLISECONDS,
  applyOrderResult,
} from './apply_order_result.js';
import {placeDemands} from './place_demands.js';
import type {EngineSnapshot, PlanInput} from './plan_input.js';
import {isReportedReady, memoryOf, replicaLimit} from './plan_input.js';
import {
  REPORT_LAG_MILLISECONDS,
  isReportedAfterRelease,
  subjectOf,
  unreservedModelsOf,
} from './unreserved_models.js';

/**
 * Time within which all connected nodes learn that a replica drains and stop using it.
 */
export const DRAIN_PROPAGATION_MILLISECONDS: Milliseconds = 3_000;

/**
 * How long a replica in a response may still receive requests from a node that cannot
 * reach the allocator. Longer than the 4 s for which such a node uses its last response
 * (`UNREACHABLE_LIFETIME_MILLISECONDS` in the requests package), as its requests need time
 * to reach the engine.
 */
const STALE_RESPONSE_LIFETIME_MILLISECONDS: Milliseconds = 5_000;

/** A plan. `allocation` must be written before `orders` are sent. */
export interface AllocationPlan {
  readonly allocation: Allocation;
  readonly isChanged: boolean;
  readonly orders: readonly PlannedOrder[];
  readonly refusals: readonly PlacementRefusal[];
}

/**
 * Plans from the written allocation, the current input and the results of earlier
 * orders.
 */
export function planAllocation(
  allocation: Allocation,
  input: PlanInput,
  results: readonly OrderResult[],
): AllocationPlan {
  const draft = AllocationDraft.create(allocation, input);
  for (const result of results) applyOrderResult(draft, result);
  boundOrdersOfTerminatedNodes(draft);
  releaseHeld(draft);
  releaseReclaimedHosts(draft);
  drainUnreservedModels(draft);
  drainUnneeded(draft);
  restoreDraining(draft);
  unloadDrained(draft);
  unloadMissing(draft);
  resendOverdueOrders(draft);
  placeDemands(draft);
  return {
    allocation: draft.toAllocation(),
    isChanged: draft.isChanged,
    orders: draft.orders,
    refusals: draft.refusals,
  };
}

/**
 * A terminated node sends nothing more, but its orders may take effect for a limited time.
 */
function boundOrdersOfTerminatedNodes(draft: AllocationDraft): void {
  const {now, isNodeTerminated, node} = draft.input;
  const endsAt = after(now, MAXIMUM_ORDER_DELAY_MILLISECONDS);
  for (const reservation of draft.reservations) {
    const isUnbounded = (order: Reservation['openOrders'][number]): boolean =>
      order.endsAt === undefined &&
      order.node !== node &&
      isNodeTerminated(order.node);
    if (!reservation.openOrders.some(isUnbounded)) continue;
    draft.setOpenOrders(
      reservation.id,
      reservation.openOrders.map(order =>
        isUnbounded(order) ? {...order, endsAt} : order,
      ),
    );
  }
}

/** Removes held reservations once none of their load orders can take effect any more. */
function releaseHeld(draft: AllocationDraft): void {
  const {now} = draft.input;
  for (const reservation of draft.reservations) {
    if (reservation.state !== 'held') continue;
    const engine = draft.input.engines.get(reservation.engine);
    const hasOnlyExpiredOrders = reservation.openOrders.every(
      ({endsAt}) => endsAt !== undefined && endsAt <= now,
    );
    if (!hasOnlyExpiredOrders || engine === undefined) continue;
    // A load that took effect late has to be unloaded by an order.
    if (isPresentOn(engine, reservation.subject)) {
      draft.orderUnload(reservation.id, 'an old order to load landed late');
    } else if (isReportedAfterChange(engine, reservation)) {
      draft.remove(reservation.id);
    }
  }
}

/** Removes the reservations on reclaimed hosts, whose accelerators are gone. */
function releaseReclaimedHosts(draft: AllocationDraft): void {
  for (const reservation of draft.reservations) {
    const engine = draft.input.engines.get(reservation.engine);
    if (engine?.isHostReclaimed === true) draft.remove(reservation.id);
  }
}

/**
 * Adds draining reservations for models that engines report without one, as they use
 * memory too. They are unloaded unless they are requested.
 */
function drainUnreservedModels(draft: AllocationDraft): void {
  for (const engine of draft.input.engines.values()) {
    if (!engine.isReachable || !isReportedAfterRelease(engine)) continue;
    if (draft.hasReleasedReservationOn(engine.id)) continue;
    for (const loaded of unreservedModelsOf(draft, engine))
      draft.reserveForDraining(engine, subjectOf(loaded), loaded.memoryBytes);
  }
}

/**
 * Drains replicas and adapters that are idle, on a leaving engine, or no longer allowed.
 */
function drainUnneeded(draft: AllocationDraft): void {
  for (const reservation of draft.reservations) {
    if (reservation.state !== 'ready') continue;
    const reason = reasonToDrain(draft, reservation);
    if (reason !== undefined)
      draft.setState(reservation.id, 'draining', reason);
  }
}

function reasonToDrain(
  draft: AllocationDraft,
  reservation: Reservation,
): string | undefined {
  const forced = reasonNotServable(draft, reservation);
  if (forced !== undefined) return forced;
  const {input} = draft;
  if (isInDemand(input, reservation.subject)) return undefined;
  const isIdle = input.keepUntil(reservation.subject.model) <= input.now;
  return isIdle ? 'idle' : undefined;
}

function reasonNotServable(
  draft: AllocationDraft,
  reservation: Reservation,
): string | undefined {
  const {input} = draft;
  const engine = input.engines.get(reservation.engine);
  if (engine === undefined) return 'the engine is no longer declared';
  if (engine.isLeaving) return 'the engine is leaving';
  if (memoryOf(input.declarations, reservation.subject) === undefined) {
    return 'no longer declared';
  }
  if (reservation.subject.kind === 'adapter') {
    return isModelServed(draft, reservation)
      ? undefined
      : 'its model is unloaded';
  }
  return isOverLimit(draft, reservation)
    ? 'above the declared replicas'
    : undefined;
}

function isModelServed(
  draft: AllocationDraft,
  reservation: Reservation,
): boolean {
  return draft.reservations.some(
    other =>
      other.engine === reservation.engine &&
      other.subject.kind === 'model' &&
      other.subject.model === reservation.subject.model &&
      (other.state === 'ready' || other.state === 'loading'),
  );
}

/**
 * Whether a replica exceeds the replica limit, counted in the order of the replicas' last
 * state changes.
 */
function isOverLimit(
  draft: AllocationDraft,
  reservation: Reservation,
): boolean {
  const {declarations, failureDomain} = draft.input;
  const {model} = reservation.subject;
  const limit = replicaLimit(declarations, model, failureDomain);
  const replicas = replicasOf(draft.toAllocation(), model).sort(
    (left, right) => left.changedAt - right.changedAt,
  );
  return replicas.findIndex(({id}) => id === reservation.id) >= limit;
}

/**
 * Makes draining reservations ready again if they are requested. No unload order has been
 * sent for them yet.
 */
function restoreDraining(draft: AllocationDraft): void {
  for (const reservation of draft.reservations) {
    if (reservation.state !== 'draining') continue;
    const isRequested = isInDemand(draft.input, reservation.subject);
    if (!isRequested || reasonNotServable(draft, reservation) !== undefined)
      continue;
    const engine = draft.input.engines.get(reservation.engine);
    if (engine !== undefined && isReportedReady(engine, reservation.subject)) {
      draft.setState(reservation.id, 'ready', 'wanted again');
    }
  }
}

function isInDemand(input: PlanInput, subject: Subject): boolean {
  return input.demands.some(
    demand =>
      isSameSubject(demand.subject, subject) &&
      demand.waiting + demand.inFlight > 0,
  );
}

/** Unloads draining replicas that no node uses any more and that run no requests. */
function unloadDrained(draft: AllocationDraft): void {
  for (const reservation of draft.reservations) {
    if (reservation.state !== 'draining') continue;
    const engine = draft.input.engines.get(reservation.engine);
    if (engine === undefined || !isDrained(draft.input, engine, reservation))
      continue;
    draft.orderUnload(reservation.id, reservation.reason);
  }
}

function isDrained(
  input: PlanInput,
  engine: EngineSnapshot,
  reservation: Reservation,
): boolean {
  const propagatedAt = drainPropagatedAt(input, reservation);
  const {status} = engine;
  if (status === undefined || status.reportedAt < propagatedAt) return false;
  const isUsed = input.demands.some(
    demand =>
      isSameSubject(demand.subject, reservation.subject) && demand.inFlight > 0,
  );
  return !isUsed && runningOn(engine, reservation.subject) === 0;
}

/** When the last node stops using a response that listed the replica as ready. */
function drainPropagatedAt(
  input: PlanInput,
  reservation: Reservation,
): Instant {
  const {startedAt, lastExchangeBefore} = input;
  const propagatedAt = after(
    reservation.changedAt,
    DRAIN_PROPAGATION_MILLISECONDS,
  );
  // Before this allocator started, a previous holder may have listed the replica to
  // nodes.
  const previousHolderUntil = after(
    startedAt,
    STALE_RESPONSE_LIFETIME_MILLISECONDS,
  );
  const usedUntil = later(propagatedAt, previousHolderUntil);
  const exchangedAt = lastExchangeBefore(reservation.changedAt);
  if (exchangedAt === undefined) return usedUntil;
  return later(
    usedUntil,
    after(exchangedAt, STALE_RESPONSE_LIFETIME_MILLISECONDS),
  );
}

function runningOn(engine: EngineSnapshot, subject: Subject): number {
  if (subject.kind === 'adapter') return 0;
  return (engine.status?.models ?? [])
    .filter(
      loaded =>
        loaded.model === subject.model && loaded.version === subject.version,
    )
    .reduce((sum, loaded) => sum + loaded.running, 0);
}

/**
 * Sends unload orders for ready replicas and adapters that the engine no longer reports,
 * for example after a restart. The confirmed order proves that the memory is free.
 */
function unloadMissing(draft: AllocationDraft): void {
  for (const reservation of draft.reservations) {
    if (reservation.state !== 'ready') continue;
    const engine = draft.input.engines.get(reservation.engine);
    if (engine === undefined || !isReportedAfterChange(engine, reservation))
      continue;
    if (!isPresentOn(engine, reservation.subject)) {
      draft.orderUnload(reservation.id, 'the engine lost it');
    }
  }
}

function isPresentOn(engine: EngineSnapshot, subject: Subject): boolean {
  if (subject.kind === 'adapter') return isReportedReady(engine, subject);
  return (engine.status?.models ?? []).some(
    loaded =>
      loaded.model === subject.model && loaded.version === subject.version,
  );
}

function isReportedAfterChange(
  engine: EngineSnapshot,
  reservation: Reservation,
): boolean {
  const {status} = engine;
  if (status === undefined || !engine.isReachable) return false;
  return (
    status.reportedAt > after(reservation.changedAt, REPORT_LAG_MILLISECONDS)
  );
}

/** Resends orders that a fenced holder was responsible for or that got no response. */
function resendOverdueOrders(draft: AllocationDraft): void {
  const {now, node, engines, hasSentOrder} = draft.input;
  for (const reservation of draft.reservations) {
    if (draft.hasOrderFor(reservation.id)) continue;
    // If the response to a write was lost, its orders were never sent.
    const isSentHere =
      reservation.orderedBy === node && hasSentOrder(reservation.fencingNumber);
    if (isSentHere && reservation.orderDeadline > now) continue;
    if (engines.get(reservation.engine)?.isReachable !== true) continue;
    if (reservation.state === 'loading') resendLoad(draft, reservation);
    else if (reservation.state === 'unloading') {
      draft.orderUnload(reservation.id, reservation.reason);
    }
  }
}

function resendLoad(draft: AllocationDraft, reservation: Reservation): void {
  const reason = reasonNotServable(draft, reservation);
  if (reason === undefined) draft.orderLoad(reservation.id);
  else draft.orderUnload(reservation.id, reason);
}
