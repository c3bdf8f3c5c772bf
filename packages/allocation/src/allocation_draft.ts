/** An allocation under change, with the orders that follow once it is written. */

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
import type {EngineView, PlanFacts} from './facts.js';

/** How long an order may take before it is sent again. */
export const ORDER_MILLISECONDS: Milliseconds = 60_000;

/** An order to send once its reservation is written. */
export interface PlannedOrder {
  readonly reservationId: string;
  readonly engine: Reservation['engine'];
  readonly order: EngineOrder;
}

/** Why a wanted subject got no place. */
export interface Refusal {
  readonly subject: Subject;
  readonly reason: string;
  readonly at: Instant;
}

/** Collects changes; the parts of a plan work on it one after another. */
export class AllocationDraft {
  readonly orders: PlannedOrder[] = [];
  readonly refusals: Refusal[] = [];
  private readonly byId: Map<string, Reservation>;
  private readonly released = new Set<Reservation['engine']>();
  private nextFencingNumber: number;
  private isTouched = false;

  private constructor(
    private readonly base: Allocation,
    readonly facts: PlanFacts,
  ) {
    this.byId = new Map(base.reservations.map(entry => [entry.id, entry]));
    this.nextFencingNumber = base.nextFencingNumber;
    // A new holder's first write is what fences the old one.
    if (base.holder !== facts.node) this.isTouched = true;
  }

  static create(base: Allocation, facts: PlanFacts): AllocationDraft {
    return new AllocationDraft(base, facts);
  }

  /** Whether anything has to be written. */
  get isChanged(): boolean {
    return this.isTouched;
  }

  /** Whether this plan sends an order about a reservation already. */
  hasOrderFor(id: string): boolean {
    return this.orders.some(({reservationId}) => reservationId === id);
  }

  /** The reservations as changed so far. */
  get reservations(): readonly Reservation[] {
    return [...this.byId.values()];
  }

  /** The allocation to write. */
  toAllocation(): Allocation {
    if (!this.isTouched) return this.base;
    return {
      holder: this.facts.node,
      nextFencingNumber: this.nextFencingNumber,
      reservations: this.reservations,
    };
  }

  /** Adds a reservation and the order to load it. */
  reserve(
    engine: EngineView,
    subject: Subject,
    memoryBytes: number,
    reason: string,
  ): void {
    const {now, node} = this.facts;
    const id = `r${this.nextFencingNumber}`;
    this.put({
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

  /** Adds a reservation for something that an engine holds without one. */
  adopt(engine: EngineView, subject: Subject, memoryBytes: number): void {
    const {now, node} = this.facts;
    const id = `r${this.takeFencingNumber()}`;
    this.put({
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
    const entry = this.byId.get(id);
    if (entry === undefined || entry.state === state) return;
    this.put({...entry, state, reason, changedAt: this.facts.now});
  }

  /** Changes a reservation's record of orders whose fate is open. */
  setOpenOrders(id: string, openOrders: readonly OpenOrder[]): void {
    const entry = this.byId.get(id);
    if (entry !== undefined) this.put({...entry, openOrders});
  }

  /** Lets the next plan send the newest order again from `at` on. */
  retryOrderAt(id: string, at: Instant): void {
    const entry = this.byId.get(id);
    if (entry !== undefined) this.put({...entry, orderDeadline: at});
  }

  /** Forgets a reservation; its memory and its place are free from then on. */
  remove(id: string): void {
    const entry = this.byId.get(id);
    if (entry === undefined) return;
    this.byId.delete(id);
    this.released.add(entry.engine);
    this.isTouched = true;
  }

  /** Whether this plan has released something on an engine, which no report shows yet. */
  hasReleasedOn(engine: Reservation['engine']): boolean {
    return this.released.has(engine);
  }

  /** Orders a load under a new fencing number. */
  orderLoad(id: string): void {
    const entry = this.byId.get(id);
    if (entry === undefined) return;
    const fencingNumber = this.takeFencingNumber();
    const {node} = this.facts;
    const openOrder: OpenOrder = {node, fencingNumber, endsAt: undefined};
    this.order(
      {
        ...entry,
        state: 'loading',
        openOrders: [...entry.openOrders, openOrder],
      },
      loadAction(entry),
      fencingNumber,
    );
  }

  /** Orders an unload under a new fencing number. */
  orderUnload(id: string, reason: string): void {
    const entry = this.byId.get(id);
    if (entry === undefined) return;
    const isNew = entry.state !== 'unloading';
    const changedAt = isNew ? this.facts.now : entry.changedAt;
    this.order(
      {...entry, state: 'unloading', reason, changedAt},
      unloadAction(entry.subject),
      this.takeFencingNumber(),
    );
  }

  private order(
    entry: Reservation,
    action: OrderAction,
    fencingNumber: FencingNumber,
  ): void {
    const {now, node} = this.facts;
    const deadline = after(now, ORDER_MILLISECONDS);
    this.put({
      ...entry,
      fencingNumber,
      orderedBy: node,
      orderDeadline: deadline,
    });
    this.orders.push({
      reservationId: entry.id,
      engine: entry.engine,
      order: {action, fencingNumber, deadline},
    });
  }

  private takeFencingNumber(): FencingNumber {
    const number = as<FencingNumber>(this.nextFencingNumber);
    this.nextFencingNumber += 1;
    return number;
  }

  private put(entry: Reservation): void {
    this.byId.set(entry.id, entry);
    this.isTouched = true;
  }
}

function loadAction(entry: Reservation): OrderAction {
  const {subject, memoryBytes} = entry;
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
