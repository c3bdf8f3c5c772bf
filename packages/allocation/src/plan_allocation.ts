/** Decides what a failure domain's engines load and unload next. Pure. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {after, later} from '@siskinmux/kernel';
import type {Allocation, Reservation, Subject} from './allocation.js';
import {isSameSubject, replicasOf} from './allocation.js';
import type {PlannedOrder, Refusal} from './allocation_draft.js';
import {AllocationDraft} from './allocation_draft.js';
import type {EngineView, PlanFacts} from './facts.js';
import {isReportedReady, memoryOf, replicaLimit} from './facts.js';
import {placeWanted} from './place_wanted.js';
import type {OrderResult} from './settle_order.js';
import {ORDER_SETTLE_MILLISECONDS, settleOrder} from './settle_order.js';

/** Time in which all nodes learn that a replica drains and send it nothing new. */
export const DRAIN_NOTICE_MILLISECONDS: Milliseconds = 3_000;

/**
 * Time for which a node may go by what it heard last while it can't reach the allocator
 * (4 s, see the replica table), and what its requests take to reach the engine.
 */
const SILENT_NOTICE_MILLISECONDS: Milliseconds = 5_000;

/** Age that a report must have before what it lacks counts as gone. */
const REPORT_LAG_MILLISECONDS: Milliseconds = 1_000;

/** A plan: write `allocation` first, then send `orders`. */
export interface AllocationPlan {
  readonly allocation: Allocation;
  readonly isChanged: boolean;
  readonly orders: readonly PlannedOrder[];
  readonly refusals: readonly Refusal[];
}

/** Plans from the written allocation, the facts and the ends of earlier orders. */
export function planAllocation(
  allocation: Allocation,
  facts: PlanFacts,
  results: readonly OrderResult[],
): AllocationPlan {
  const draft = AllocationDraft.create(allocation, facts);
  for (const result of results) settleOrder(draft, result);
  dateOrdersOfEndedNodes(draft);
  releaseHeld(draft);
  releaseReclaimed(draft);
  adoptUnreserved(draft);
  drainUnwanted(draft);
  reviveDraining(draft);
  unloadDrained(draft);
  unloadVanished(draft);
  repeatOverdueOrders(draft);
  placeWanted(draft);
  return {
    allocation: draft.toAllocation(),
    isChanged: draft.isChanged,
    orders: draft.orders,
    refusals: draft.refusals,
  };
}

/** An ended node sends nothing more; what it sent can land for a while yet. */
function dateOrdersOfEndedNodes(draft: AllocationDraft): void {
  const {now, isNodeGone, node} = draft.facts;
  const endsAt = after(now, ORDER_SETTLE_MILLISECONDS);
  for (const entry of draft.reservations) {
    const isDatable = (open: Reservation['openOrders'][number]): boolean =>
      open.endsAt === undefined && open.node !== node && isNodeGone(open.node);
    if (!entry.openOrders.some(isDatable)) continue;
    draft.setOpenOrders(
      entry.id,
      entry.openOrders.map(open =>
        isDatable(open) ? {...open, endsAt} : open,
      ),
    );
  }
}

/** A held reservation ends when none of its orders can land any more. */
function releaseHeld(draft: AllocationDraft): void {
  const {now} = draft.facts;
  for (const entry of draft.reservations) {
    if (entry.state !== 'held') continue;
    const engine = draft.facts.engines.get(entry.engine);
    const isOver = entry.openOrders.every(
      ({endsAt}) => endsAt !== undefined && endsAt <= now,
    );
    if (!isOver || engine === undefined) continue;
    // What landed late has to go the ordinary way.
    if (holds(engine, entry.subject)) {
      draft.orderUnload(entry.id, 'an old order to load landed late');
    } else if (isReportedAfter(engine, entry)) {
      draft.remove(entry.id);
    }
  }
}

/** A reclaimed host has no accelerators left to hold anything. */
function releaseReclaimed(draft: AllocationDraft): void {
  for (const entry of draft.reservations) {
    const engine = draft.facts.engines.get(entry.engine);
    if (engine?.isHostGone === true) draft.remove(entry.id);
  }
}

/** Whatever an engine holds counts, also what nobody remembers having ordered. */
function adoptUnreserved(draft: AllocationDraft): void {
  for (const engine of draft.facts.engines.values()) {
    if (!engine.isReachable || !isReportedSince(engine)) continue;
    if (draft.hasReleasedOn(engine.id)) continue;
    for (const held of engine.status?.models ?? []) {
      const subject: Subject = {
        kind: 'model',
        model: held.model,
        version: held.version,
      };
      if (!isReserved(draft, engine, subject)) {
        draft.adopt(engine, subject, held.memoryBytes);
      }
    }
  }
}

/** A report from before the last release would show what is gone already. */
function isReportedSince(engine: EngineView): boolean {
  const {status, releasedAt} = engine;
  if (status === undefined) return false;
  return status.reportedAt > after(releasedAt, REPORT_LAG_MILLISECONDS);
}

function isReserved(
  draft: AllocationDraft,
  engine: EngineView,
  subject: Subject,
): boolean {
  return draft.reservations.some(
    entry =>
      entry.engine === engine.id && isSameSubject(entry.subject, subject),
  );
}

/** Starts to drain what operators, the engine or idleness no longer want. */
function drainUnwanted(draft: AllocationDraft): void {
  for (const entry of draft.reservations) {
    if (entry.state !== 'ready') continue;
    const reason = reasonToDrain(draft, entry);
    if (reason !== undefined) draft.setState(entry.id, 'draining', reason);
  }
}

function reasonToDrain(
  draft: AllocationDraft,
  entry: Reservation,
): string | undefined {
  const forced = reasonNotToServe(draft, entry);
  if (forced !== undefined) return forced;
  const {facts} = draft;
  if (isInDemand(facts, entry.subject)) return undefined;
  const isIdle = facts.keepUntil(entry.subject.model) <= facts.now;
  return isIdle ? 'idle' : undefined;
}

function reasonNotToServe(
  draft: AllocationDraft,
  entry: Reservation,
): string | undefined {
  const {facts} = draft;
  const engine = facts.engines.get(entry.engine);
  if (engine === undefined) return 'the engine is no longer declared';
  if (engine.isLeaving) return 'the engine is leaving';
  if (memoryOf(facts.declarations, entry.subject) === undefined) {
    return 'no longer declared';
  }
  if (entry.subject.kind === 'adapter') {
    return isModelServed(draft, entry) ? undefined : 'its model is unloaded';
  }
  return isOverLimit(draft, entry) ? 'above the declared replicas' : undefined;
}

function isModelServed(draft: AllocationDraft, entry: Reservation): boolean {
  return draft.reservations.some(
    other =>
      other.engine === entry.engine &&
      other.subject.kind === 'model' &&
      other.subject.model === entry.subject.model &&
      (other.state === 'ready' || other.state === 'loading'),
  );
}

/** The newest reservations above the limit go first. */
function isOverLimit(draft: AllocationDraft, entry: Reservation): boolean {
  const {declarations, failureDomain} = draft.facts;
  const {model} = entry.subject;
  const limit = replicaLimit(declarations, model, failureDomain);
  const replicas = replicasOf(draft.toAllocation(), model).sort(
    (left, right) => left.changedAt - right.changedAt,
  );
  return replicas.findIndex(({id}) => id === entry.id) >= limit;
}

/** No order has left yet for what drains, so a new demand may keep it. */
function reviveDraining(draft: AllocationDraft): void {
  for (const entry of draft.reservations) {
    if (entry.state !== 'draining') continue;
    const isWanted = isInDemand(draft.facts, entry.subject);
    if (!isWanted || reasonNotToServe(draft, entry) !== undefined) continue;
    const engine = draft.facts.engines.get(entry.engine);
    if (engine !== undefined && isReportedReady(engine, entry.subject)) {
      draft.setState(entry.id, 'ready', 'wanted again');
    }
  }
}

function isInDemand(facts: PlanFacts, subject: Subject): boolean {
  return facts.demands.some(
    demand =>
      isSameSubject(demand.subject, subject) &&
      demand.waiting + demand.inFlight > 0,
  );
}

/** Unloads what every node has been told of and where nothing runs any more. */
function unloadDrained(draft: AllocationDraft): void {
  for (const entry of draft.reservations) {
    if (entry.state !== 'draining') continue;
    const engine = draft.facts.engines.get(entry.engine);
    if (engine === undefined || !isDrained(draft.facts, engine, entry))
      continue;
    draft.orderUnload(entry.id, entry.reason);
  }
}

function isDrained(
  facts: PlanFacts,
  engine: EngineView,
  entry: Reservation,
): boolean {
  const noticedAt = noticeEndsAt(facts, entry);
  const {status} = engine;
  if (status === undefined || status.reportedAt < noticedAt) return false;
  const isUsed = facts.demands.some(
    demand =>
      isSameSubject(demand.subject, entry.subject) && demand.inFlight > 0,
  );
  return !isUsed && runningOn(engine, entry.subject) === 0;
}

/** When no node goes by an answer any more that named the replica as ready. */
function noticeEndsAt(facts: PlanFacts, entry: Reservation): Instant {
  const {startedAt, lastAskedBefore} = facts;
  const noticed = after(entry.changedAt, DRAIN_NOTICE_MILLISECONDS);
  // Before it began, others may have been told by the allocator before this one.
  const fromBefore = after(startedAt, SILENT_NOTICE_MILLISECONDS);
  const ended = later(noticed, fromBefore);
  const toldAt = lastAskedBefore(entry.changedAt);
  if (toldAt === undefined) return ended;
  return later(ended, after(toldAt, SILENT_NOTICE_MILLISECONDS));
}

function runningOn(engine: EngineView, subject: Subject): number {
  if (subject.kind === 'adapter') return 0;
  return (engine.status?.models ?? [])
    .filter(
      held => held.model === subject.model && held.version === subject.version,
    )
    .reduce((sum, held) => sum + held.running, 0);
}

/** An engine that restarted holds nothing; unloading proves that and frees the place. */
function unloadVanished(draft: AllocationDraft): void {
  for (const entry of draft.reservations) {
    if (entry.state !== 'ready') continue;
    const engine = draft.facts.engines.get(entry.engine);
    if (engine === undefined || !isReportedAfter(engine, entry)) continue;
    if (!holds(engine, entry.subject)) {
      draft.orderUnload(entry.id, 'the engine lost it');
    }
  }
}

function holds(engine: EngineView, subject: Subject): boolean {
  if (subject.kind === 'adapter') return isReportedReady(engine, subject);
  return (engine.status?.models ?? []).some(
    held => held.model === subject.model && held.version === subject.version,
  );
}

function isReportedAfter(engine: EngineView, entry: Reservation): boolean {
  const {status} = engine;
  if (status === undefined || !engine.isReachable) return false;
  return status.reportedAt > after(entry.changedAt, REPORT_LAG_MILLISECONDS);
}

/** Sends again what another node ordered before it was fenced, and what got no answer. */
function repeatOverdueOrders(draft: AllocationDraft): void {
  const {now, node, engines, wasSent} = draft.facts;
  for (const entry of draft.reservations) {
    if (draft.hasOrderFor(entry.id)) continue;
    // A write whose answer was lost leaves orders that were never sent.
    const isMine = entry.orderedBy === node && wasSent(entry.fencingNumber);
    if (isMine && entry.orderDeadline > now) continue;
    if (engines.get(entry.engine)?.isReachable !== true) continue;
    if (entry.state === 'loading') repeatLoad(draft, entry);
    else if (entry.state === 'unloading') {
      draft.orderUnload(entry.id, entry.reason);
    }
  }
}

function repeatLoad(draft: AllocationDraft, entry: Reservation): void {
  const reason = reasonNotToServe(draft, entry);
  if (reason === undefined) draft.orderLoad(entry.id);
  else draft.orderUnload(entry.id, reason);
}
