/** What the end of an order means for its reservation. */

import type {FencingNumber, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {OpenOrder, Reservation} from './allocation.js';
import type {AllocationDraft, PlannedOrder} from './allocation_draft.js';

/**
 * How long an order that was sent may still land on an engine after its connection
 * was closed or its node has ended.
 */
export const MAXIMUM_ORDER_DELAY_MILLISECONDS: Milliseconds = 30_000;

/** Pause before an order whose fate is unknown is sent again. */
const RETRY_MILLISECONDS: Milliseconds = 1_000;

/** How an order ended. */
export type OrderOutcome =
  /** The engine carried it out. */
  | 'done'
  /** The engine refused it and changed nothing. */
  | 'refused'
  /** The engine was not reached: this order can't land, another try may. */
  | 'unreached'
  /** The engine has seen a larger fencing number. */
  | 'stale'
  /** No answer: it may have been carried out, or may be yet. */
  | 'unknown';

/** The end of a planned order. */
export interface OrderResult {
  readonly planned: PlannedOrder;
  readonly end: OrderOutcome;
  readonly detail: string;
}

/** Applies an order's end to the draft. */
export function applyOrderResult(draft: AllocationDraft, result: OrderResult): void {
  const {reservationId, order} = result.planned;
  const entry = draft.reservations.find(({id}) => id === reservationId);
  if (entry === undefined) return;
  settleOpenOrders(draft, entry, result);
  // A newer order about the same reservation decides, not this one.
  if (entry.fencingNumber !== order.fencingNumber) return;
  if (entry.state === 'loading') settleLoad(draft, entry, result);
  else if (entry.state === 'unloading') settleUnload(draft, entry, result);
}

/** Drops or dates the record of orders to load that this end says something about. */
function settleOpenOrders(
  draft: AllocationDraft,
  entry: Reservation,
  result: OrderResult,
): void {
  const {fencingNumber} = result.planned.order;
  const endsAt = after(draft.input.now, MAXIMUM_ORDER_DELAY_MILLISECONDS);
  const settled: OpenOrder[] = [];
  for (const open of entry.openOrders) {
    if (isProvedOver(draft, entry, open.fencingNumber, result)) continue;
    const isThis = open.fencingNumber === fencingNumber;
    settled.push(isThis ? {...open, endsAt} : open);
  }
  if (settled.length !== entry.openOrders.length || result.end === 'unknown') {
    draft.setOpenOrders(entry.id, settled);
  }
}

function isProvedOver(
  draft: AllocationDraft,
  entry: Reservation,
  number: FencingNumber,
  result: OrderResult,
): boolean {
  if (result.end === 'unknown') return false;
  const settledNumber = result.planned.order.fencingNumber;
  if (number === settledNumber) return true;
  // Such an engine refuses from now on whatever carries a smaller number.
  const engine = draft.input.engines.get(entry.engine);
  const hasSeenNumber = result.end === 'done' || result.end === 'refused';
  const isFenced = engine?.checksFencing === true && hasSeenNumber;
  return isFenced && number < settledNumber;
}

function settleLoad(
  draft: AllocationDraft,
  entry: Reservation,
  result: OrderResult,
): void {
  switch (result.end) {
    case 'done':
      draft.setState(entry.id, 'ready', entry.reason);
      break;
    case 'refused':
      draft.orderUnload(entry.id, `load refused: ${result.detail}`);
      break;
    case 'stale':
    case 'unreached':
    case 'unknown':
      retrySoon(draft, entry);
      break;
  }
}

function settleUnload(
  draft: AllocationDraft,
  entry: Reservation,
  result: OrderResult,
): void {
  if (result.end !== 'done') {
    retrySoon(draft, entry);
    return;
  }
  const current = draft.reservations.find(({id}) => id === entry.id);
  const hasOpenOrders = (current?.openOrders.length ?? 0) > 0;
  if (hasOpenOrders) {
    draft.setState(entry.id, 'held', 'an older order to load may still land');
  } else {
    draft.remove(entry.id);
  }
}

function retrySoon(draft: AllocationDraft, entry: Reservation): void {
  draft.retryOrderAt(entry.id, after(draft.input.now, RETRY_MILLISECONDS));
}
