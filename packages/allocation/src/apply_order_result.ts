/** Applies the result of an order to its reservation. */

import type {FencingNumber, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {OpenOrder, Reservation} from './allocation.js';
import type {AllocationDraft, PlannedOrder} from './allocation_draft.js';

/**
 * How long a sent order may still take effect on an engine after its connection was
 * closed or its node has stopped.
 */
export const MAXIMUM_ORDER_DELAY_MILLISECONDS: Milliseconds = 30_000;

/** Delay before an unconfirmed order is sent again. */
const RETRY_DELAY_MILLISECONDS: Milliseconds = 1_000;

/** Outcome of an order to an engine; the `end` of its `order-ended` event. */
export type OrderOutcome =
  /** The engine carried it out. */
  | 'done'
  /** The engine rejected it for a reason other than fencing, and changed nothing. */
  | 'refused'
  /** Not sent or not delivered: this order cannot take effect, but a new one may be sent. */
  | 'unreached'
  /** Fenced: the engine has seen a larger fencing number, so it cannot take effect. */
  | 'stale'
  /** No usable response: the order may have taken effect or may still do so. */
  | 'unknown';

/** Outcome of a planned order, with the failure as text. */
export interface OrderResult {
  readonly planned: PlannedOrder;
  readonly outcome: OrderOutcome;
  readonly detail: string;
}

/** Applies the result of an order to the draft. */
export function applyOrderResult(
  draft: AllocationDraft,
  result: OrderResult,
): void {
  const {reservationId, order} = result.planned;
  const reservation = draft.reservations.find(({id}) => id === reservationId);
  if (reservation === undefined) return;
  updateOpenOrders(draft, reservation, result);
  // If there is a newer order for the reservation, its result decides the state.
  if (reservation.fencingNumber !== order.fencingNumber) return;
  if (reservation.state === 'loading')
    applyLoadResult(draft, reservation, result);
  else if (reservation.state === 'unloading')
    applyUnloadResult(draft, reservation, result);
}

/**
 * Removes load orders that can no longer take effect. If the outcome of this order is
 * unknown, bounds the time in which it may take effect.
 */
function updateOpenOrders(
  draft: AllocationDraft,
  reservation: Reservation,
  result: OrderResult,
): void {
  const {fencingNumber} = result.planned.order;
  const endsAt = after(draft.input.now, MAXIMUM_ORDER_DELAY_MILLISECONDS);
  const remaining: OpenOrder[] = [];
  for (const openOrder of reservation.openOrders) {
    if (isResolved(draft, reservation, openOrder.fencingNumber, result))
      continue;
    const isOfResult = openOrder.fencingNumber === fencingNumber;
    remaining.push(isOfResult ? {...openOrder, endsAt} : openOrder);
  }
  if (
    remaining.length !== reservation.openOrders.length ||
    result.outcome === 'unknown'
  ) {
    draft.setOpenOrders(reservation.id, remaining);
  }
}

/** Whether a load order can no longer take effect, given the result of an order. */
function isResolved(
  draft: AllocationDraft,
  reservation: Reservation,
  number: FencingNumber,
  result: OrderResult,
): boolean {
  if (result.outcome === 'unknown') return false;
  const resultNumber = result.planned.order.fencingNumber;
  if (number === resultNumber) return true;
  // An engine that checks fencing numbers refuses all smaller ones from now on.
  const engine = draft.input.engines.get(reservation.engine);
  const hasSeenNumber =
    result.outcome === 'done' || result.outcome === 'refused';
  const isFenced = engine?.checksFencing === true && hasSeenNumber;
  return isFenced && number < resultNumber;
}

function applyLoadResult(
  draft: AllocationDraft,
  reservation: Reservation,
  result: OrderResult,
): void {
  switch (result.outcome) {
    case 'done':
      draft.setState(reservation.id, 'ready', reservation.reason);
      break;
    case 'refused':
      draft.orderUnload(reservation.id, `load refused: ${result.detail}`);
      break;
    case 'stale':
    case 'unreached':
    case 'unknown':
      retryAfterDelay(draft, reservation);
      break;
  }
}

function applyUnloadResult(
  draft: AllocationDraft,
  reservation: Reservation,
  result: OrderResult,
): void {
  if (result.outcome !== 'done') {
    retryAfterDelay(draft, reservation);
    return;
  }
  const current = draft.reservations.find(({id}) => id === reservation.id);
  const hasOpenOrders = (current?.openOrders.length ?? 0) > 0;
  if (hasOpenOrders) {
    draft.setState(
      reservation.id,
      'held',
      'an older order to load may still land',
    );
  } else {
    draft.remove(reservation.id);
  }
}

function retryAfterDelay(
  draft: AllocationDraft,
  reservation: Reservation,
): void {
  draft.retryOrderAt(
    reservation.id,
    after(draft.input.now, RETRY_DELAY_MILLISECONDS),
  );
}
