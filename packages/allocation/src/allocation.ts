/**
 * Reservations of models and adapters on the engines of one failure domain. They are
 * stored as a single object in the object service, so that one conditional write
 * reserves both a replica and its memory.
 */

import type {
  AdapterName,
  EndpointId,
  FencingNumber,
  Instant,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {StoredObjectInvalidError} from '@siskinmux/ports';
import {z} from 'zod';

/**
 * State of a reservation, which counts towards the memory and replica limits in every
 * state:
 * - `loading`: a load order may be in progress or done;
 * - `ready`: the engine confirmed the load;
 * - `draining`: nodes send no new requests, running requests finish;
 * - `unloading`: an unload order may be in progress or done;
 * - `held`: unloaded, but an older load order may still take effect.
 */
export type ReservationState =
  'loading' | 'ready' | 'draining' | 'unloading' | 'held';

/**
 * Model version or adapter that an engine can load, and that is demanded and reserved.
 * Not the `subject` of an `OwnerRequest`, which names a piece of owned state.
 */
export type Subject =
  | {
      readonly kind: 'model';
      readonly model: ModelName;
      readonly version: string;
    }
  | {
      readonly kind: 'adapter';
      readonly model: ModelName;
      readonly adapter: AdapterName;
    };

/** A load order that may still take effect on the engine. */
export interface OpenOrder {
  readonly node: NodeId;
  readonly fencingNumber: FencingNumber;
  /**
   * When it can no longer take effect; undefined while its node may still send it.
   */
  readonly endsAt: Instant | undefined;
}

/** Reserves memory on an engine for a model replica or an adapter. */
export interface Reservation {
  readonly id: string;
  readonly subject: Subject;
  readonly engine: EndpointId;
  readonly memoryBytes: number;
  readonly state: ReservationState;
  /** Fencing number of the newest order for this reservation. */
  readonly fencingNumber: FencingNumber;
  /** Node responsible for sending the newest order. */
  readonly orderedBy: NodeId;
  /** When the newest order is overdue and is sent again. */
  readonly orderDeadline: Instant;
  /** When `state` last changed. */
  readonly changedAt: Instant;
  /** Load orders that may still take effect. */
  readonly openOrders: readonly OpenOrder[];
  /** Why the state was entered, as text for operators. */
  readonly reason: string;
}

/** Stored allocation of one failure domain. */
export interface Allocation {
  readonly holder: NodeId | undefined;
  readonly nextFencingNumber: number;
  readonly reservations: readonly Reservation[];
}

/** Allocation of a failure domain that has no stored object yet. */
export const EMPTY_ALLOCATION: Allocation = {
  holder: undefined,
  nextFencingNumber: 1,
  reservations: [],
};

const subjectSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('model'),
    model: z.string(),
    version: z.string(),
  }),
  z.strictObject({
    kind: z.literal('adapter'),
    model: z.string(),
    adapter: z.string(),
  }),
]);

const reservationSchema = z.strictObject({
  id: z.string(),
  subject: subjectSchema,
  engine: z.string(),
  memoryBytes: z.number().nonnegative(),
  state: z.enum(['loading', 'ready', 'draining', 'unloading', 'held']),
  fencingNumber: z.number().int(),
  orderedBy: z.string(),
  orderDeadline: z.number(),
  changedAt: z.number(),
  openOrders: z.array(
    z.strictObject({
      node: z.string(),
      fencingNumber: z.number().int(),
      endsAt: z.number().optional(),
    }),
  ),
  reason: z.string(),
});

const allocationSchema = z.strictObject({
  holder: z.string().optional(),
  nextFencingNumber: z.number().int().positive(),
  reservations: z.array(reservationSchema),
});

/** Parses a stored allocation. Throws `StoredObjectInvalidError`. */
export function parseAllocation(key: string, value: string): Allocation {
  try {
    return allocationSchema.parse(JSON.parse(value)) as unknown as Allocation;
  } catch (cause) {
    throw new StoredObjectInvalidError(key, String(cause));
  }
}

/** Returns the memory reserved on an engine, in bytes. */
export function reservedBytes(
  allocation: Allocation,
  engine: EndpointId,
): number {
  return allocation.reservations
    .filter(reservation => reservation.engine === engine)
    .reduce((sum, reservation) => sum + reservation.memoryBytes, 0);
}

/** Returns the reservations of a model's replicas in any version and state. */
export function replicasOf(
  allocation: Allocation,
  model: ModelName,
): Reservation[] {
  return allocation.reservations.filter(
    ({subject}) => subject.kind === 'model' && subject.model === model,
  );
}

/**
 * What the holder of an allocation knows, together with the reservations that others have added
 * to an older copy of it. It has no holder, so that the next plan writes it before any order.
 */
export function restoreAllocation(
  known: Allocation,
  stored: Allocation,
): Allocation {
  let nextFencingNumber = Math.max(
    known.nextFencingNumber,
    stored.nextFencingNumber,
  );
  const added = stored.reservations
    .filter(
      ({engine, subject}) =>
        !known.reservations.some(
          own => own.engine === engine && isSameSubject(own.subject, subject),
        ),
    )
    .map(reservation => {
      const isTaken = known.reservations.some(({id}) => id === reservation.id);
      if (!isTaken) return reservation;
      const id = `r${nextFencingNumber}`;
      nextFencingNumber += 1;
      return {...reservation, id};
    });
  return {
    holder: undefined,
    nextFencingNumber,
    reservations: [...known.reservations, ...added],
  };
}

/** Whether two subjects are the same model version or the same adapter. */
export function isSameSubject(left: Subject, right: Subject): boolean {
  if (left.model !== right.model) return false;
  if (left.kind === 'model') {
    return right.kind === 'model' && left.version === right.version;
  }
  return right.kind === 'adapter' && left.adapter === right.adapter;
}
