/** Mutable copy of an allocation, with the orders to send once it is written. */

import type {FencingNumber, Instant, Milliseconds} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {EngineOrder, OrderAction} from '@siskinmux/ports';
import type {
  Allocation,
  OpenOrder,
  Reservation,
  ReservationState,
  Subject,
} from './allocation.js';
import type {EngineSnapshot, PlanInput} from './plan_input.js';

/** Time after which an order without a response is sent again. */
export const ORDER_TIMEOUT_MILLISECONDS: Milliseconds = 60_000;

/** An order that may be sent only after its reservation is written. */
export interface PlannedOrder {
  readonly reservationId: string;
  readonly engine: Reservation['engine'];
  readonly order: EngineOrder;
}

/** Why a requested model or adapter was not placed. */
export interface PlacementRefusal {
  readonly subject: Subject;
  readonly reason: string;
  readonly at: Instant;
}

/** Collects the changes of one plan; the planning steps modify it one after another. */
export class AllocationDraft {
  readonly orders: PlannedOrder[] = [];
  readonly refusals: PlacementRefusal[] = [];
  private readonly reservationsById: Map<string, Reservation>;
  private readonly enginesWithReleases = new Set<Reservation['engine']>();
  private nextFencingNumber: number;
  private isDirty = false;

  private constructor(
    private readonly base: Allocation,
    readonly input: PlanInput,
  ) {
    this.reservationsById = new Map(
      base.reservations.map(reservation => [reservation.id, reservation]),
    );
    this.nextFencingNumber = numberAbove(base.nextFencingNumber, input);
    // The first write of a new holder fences the previous one, so it is always needed.
    if (base.holder !== input.node) this.isDirty = true;
  }

  static create(base: Allocation, input: PlanInput): AllocationDraft {
    return new AllocationDraft(base, input);
  }

  /** Whether the allocation has to be written. */
  get isChanged(): boolean {
    return this.isDirty;
  }

  /** Whether this plan already sends an order for a reservation. */
  hasOrderFor(id: string): boolean {
    return this.orders.some(({reservationId}) => reservationId === id);
  }

  /** Reservations, including the changes so far. */
  get reservations(): readonly Reservation[] {
    return [...this.reservationsById.values()];
  }

  /** Returns the allocation, including the changes so far. */
  toAllocation(): Allocation {
    if (!this.isDirty) return this.base;
    return {
      holder: this.input.node,
      nextFencingNumber: this.nextFencingNumber,
      reservations: this.reservations,
    };
  }

  /** Adds a reservation and its load order. */
  reserve(
    engine: EngineSnapshot,
    subject: Subject,
    memoryBytes: number,
    reason: string,
  ): void {
    const {now, node} = this.input;
    const id = `r${this.nextFencingNumber}`;
    this.setReservation({
      id,
      subject,
      engine: engine.id,
      memoryBytes,
      state: 'loading',
      fencingNumber: as<FencingNumber>(0),
      orderedBy: node,
      orderDeadline: now,
      changedAt: now,
      openOrders: [],
      reason,
    });
    this.orderLoad(id);
  }

  /**
   * Adds a draining reservation for a model that an engine holds without one, so that it
   * is unloaded unless requests need it.
   */
  reserveForDraining(
    engine: EngineSnapshot,
    subject: Subject,
    memoryBytes: number,
  ): void {
    const {now, node} = this.input;
    const id = `r${this.issueFencingNumber()}`;
    this.setReservation({
      id,
      subject,
      engine: engine.id,
      memoryBytes,
      state: 'draining',
      fencingNumber: as<FencingNumber>(0),
      orderedBy: node,
      orderDeadline: now,
      changedAt: now,
      openOrders: [],
      reason: 'found on the engine without a reservation',
    });
  }

  /** Moves a reservation to another state. */
  setState(id: string, state: ReservationState, reason: string): void {
    const reservation = this.reservationsById.get(id);
    if (reservation === undefined || reservation.state === state) return;
    this.setReservation({
      ...reservation,
      state,
      reason,
      changedAt: this.input.now,
    });
  }

  /** Replaces the load orders of a reservation that may still take effect. */
  setOpenOrders(id: string, openOrders: readonly OpenOrder[]): void {
    const reservation = this.reservationsById.get(id);
    if (reservation !== undefined)
      this.setReservation({...reservation, openOrders});
  }

  /** Makes the newest order overdue at `at`, so that a plan then sends it again. */
  retryOrderAt(id: string, at: Instant): void {
    const reservation = this.reservationsById.get(id);
    if (reservation !== undefined)
      this.setReservation({...reservation, orderDeadline: at});
  }

  /** Removes a reservation, which frees its memory and its replica. */
  remove(id: string): void {
    const reservation = this.reservationsById.get(id);
    if (reservation === undefined) return;
    this.reservationsById.delete(id);
    this.enginesWithReleases.add(reservation.engine);
    this.isDirty = true;
  }

  /**
   * Whether this plan removed a reservation on an engine; its report may still show it.
   */
  hasReleasedReservationOn(engine: Reservation['engine']): boolean {
    return this.enginesWithReleases.has(engine);
  }

  /** Adds a load order with a new fencing number. */
  orderLoad(id: string): void {
    const reservation = this.reservationsById.get(id);
    if (reservation === undefined) return;
    const fencingNumber = this.issueFencingNumber();
    const {node} = this.input;
    const openOrder: OpenOrder = {node, fencingNumber, endsAt: undefined};
    this.addOrder(
      {
        ...reservation,
        state: 'loading',
        openOrders: [...reservation.openOrders, openOrder],
      },
      loadAction(reservation),
      fencingNumber,
    );
  }

  /** Adds an unload order with a new fencing number. */
  orderUnload(id: string, reason: string): void {
    const reservation = this.reservationsById.get(id);
    if (reservation === undefined) return;
    const isNew = reservation.state !== 'unloading';
    const changedAt = isNew ? this.input.now : reservation.changedAt;
    this.addOrder(
      {...reservation, state: 'unloading', reason, changedAt},
      unloadAction(reservation.subject),
      this.issueFencingNumber(),
    );
  }

  private addOrder(
    reservation: Reservation,
    action: OrderAction,
    fencingNumber: FencingNumber,
  ): void {
    const {now, node} = this.input;
    const deadline = after(now, ORDER_TIMEOUT_MILLISECONDS);
    this.setReservation({
      ...reservation,
      fencingNumber,
      orderedBy: node,
      orderDeadline: deadline,
    });
    this.orders.push({
      reservationId: reservation.id,
      engine: reservation.engine,
      order: {action, fencingNumber, deadline},
    });
  }

  private issueFencingNumber(): FencingNumber {
    const number = as<FencingNumber>(this.nextFencingNumber);
    this.nextFencingNumber += 1;
    return number;
  }

  private setReservation(reservation: Reservation): void {
    this.reservationsById.set(reservation.id, reservation);
    this.isDirty = true;
  }
}

/** Engines may have seen numbers that the stored allocation has lost. */
function numberAbove(stored: number, {engines}: PlanInput): number {
  const seen = [...engines.values()]
    .map(({status}) => status?.highestFencingNumber ?? 0)
    .filter(number => Number.isSafeInteger(number));
  return Math.max(stored, ...seen.map(number => number + 1));
}

function loadAction(reservation: Reservation): OrderAction {
  const {subject, memoryBytes} = reservation;
  if (subject.kind === 'model') {
    const {model, version} = subject;
    return {kind: 'load_model', model, version, memoryBytes};
  }
  const {model, adapter} = subject;
  return {kind: 'load_adapter', model, adapter};
}

function unloadAction(subject: Subject): OrderAction {
  if (subject.kind === 'model') {
    const {model, version} = subject;
    return {kind: 'unload_model', model, version};
  }
  return {kind: 'unload_adapter', adapter: subject.adapter};
}
