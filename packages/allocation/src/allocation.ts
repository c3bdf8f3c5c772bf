/**
 * What the engines of one failure domain hold or are being given. One object in the
 * object service: a single conditional write reserves a replica and its memory.
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
 * State of a reservation. It counts against the limits in every state:
 * - `loading`: an order to load may be under way or done;
 * - `ready`: the engine said that the load is done;
 * - `draining`: nodes send it nothing new, what runs finishes;
 * - `unloading`: an order to unload may be under way or done;
 * - `held`: unloaded, but an older order to load may still land.
 */
export type ReservationState =
  'loading' | 'ready' | 'draining' | 'unloading' | 'held';

/** What a reservation is for. */
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

/** A node whose order may still land, and until when if that is known. */
export interface OpenOrder {
  readonly node: NodeId;
  readonly fencingNumber: FencingNumber;
  /** From then on it can't land; undefined while its node may still send it. */
  readonly endsAt: Instant | undefined;
}

/** A replica or an adapter on one engine, with its memory. */
export interface Reservation {
  readonly id: string;
  readonly subject: Subject;
  readonly engine: EndpointId;
  readonly memoryBytes: number;
  readonly state: ReservationState;
  /** Number of the newest order about it. */
  readonly fencingNumber: FencingNumber;
  /** Node that sends the newest order. */
  readonly orderedBy: NodeId;
  readonly orderDeadline: Instant;
  /** When `state` last changed. */
  readonly changedAt: Instant;
  /** Orders to load whose fate is not proved. */
  readonly openOrders: readonly OpenOrder[];
  /** Why it was loaded or is going, for people. */
  readonly reason: string;
}

/** The allocation of one failure domain. */
export interface Allocation {
  readonly holder: NodeId | undefined;
  readonly nextFencingNumber: number;
  readonly reservations: readonly Reservation[];
}

/** Before anything was allocated. */
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

/** Reads a stored allocation. Throws `StoredObjectInvalidError`. */
export function parseAllocation(key: string, value: string): Allocation {
  try {
    return allocationSchema.parse(JSON.parse(value)) as unknown as Allocation;
  } catch (cause) {
    throw new StoredObjectInvalidError(key, String(cause));
  }
}

/** Memory reserved on an engine, in bytes. */
export function reservedBytes(
  allocation: Allocation,
  engine: EndpointId,
): number {
  return allocation.reservations
    .filter(reservation => reservation.engine === engine)
    .reduce((sum, reservation) => sum + reservation.memoryBytes, 0);
}

/** Reservations for a model's replicas, whatever their version and state. */
export function replicasOf(
  allocation: Allocation,
  model: ModelName,
): Reservation[] {
  return allocation.reservations.filter(
    ({subject}) => subject.kind === 'model' && subject.model === model,
  );
}

/** Whether two reservations are for the same thing. */
export function isSameSubject(left: Subject, right: Subject): boolean {
  if (left.model !== right.model) return false;
  if (left.kind === 'model') {
    return right.kind === 'model' && left.version === right.version;
  }
  return right.kind === 'adapter' && left.adapter === right.adapter;
}
