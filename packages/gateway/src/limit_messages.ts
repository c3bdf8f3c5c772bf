/** Messages about the request limits of endpoints, and permits under them. */

import type {PermitDecision, PermitRequest} from '@siskinmux/admission';
import type {Incarnation} from '@siskinmux/endpoints';
import type {Instant} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import {z} from 'zod';
import type {EndpointLimit} from './endpoint_limits.js';

/** Incarnation, requests a second or null for no limit, milliseconds since it was observed. */
const limitSchema = z.tuple([
  z.string().min(1).max(512),
  z.number().positive().nullable(),
  z.number().nonnegative(),
]);

/** Limits, in either direction. */
export const limitsSchema = z.object({limits: z.array(limitSchema)});

/** Request for a permit; `waitFor` is the milliseconds that it can wait, or null. */
export const permitRequestSchema = z.object({
  limit: limitSchema,
  priority: z.number(),
  waitFor: z.number().nullable(),
});

/**
 * Permits and the milliseconds of their validity, or the milliseconds until a retry and
 * whether the responding node gives out permits.
 */
export const permitDecisionSchema = z.union([
  z.object({granted: z.number().int().positive(), validFor: z.number()}),
  z.object({retryIn: z.number(), isOwned: z.boolean()}),
]);

export type LimitMessage = z.infer<typeof limitSchema>;

export function encodeLimit(limit: EndpointLimit, now: Instant): LimitMessage {
  const {incarnation, requestsPerSecond, observedAt} = limit;
  const age = Math.max(0, until(observedAt, now));
  return [incarnation, requestsPerSecond ?? null, age];
}

export function decodeLimit(
  [incarnation, requestsPerSecond, age]: LimitMessage,
  now: Instant,
): EndpointLimit {
  return {
    incarnation: as<Incarnation>(incarnation),
    requestsPerSecond: requestsPerSecond ?? undefined,
    observedAt: after(now, -age),
  };
}

export function encodePermitRequest(
  limit: EndpointLimit,
  {priority, waitUntil}: PermitRequest,
  now: Instant,
): z.infer<typeof permitRequestSchema> {
  return {
    limit: encodeLimit(limit, now),
    priority,
    waitFor: waitUntil === undefined ? null : until(now, waitUntil),
  };
}

export function decodePermitRequest(
  {priority, waitFor}: z.infer<typeof permitRequestSchema>,
  now: Instant,
): PermitRequest {
  return {
    priority,
    waitUntil: waitFor === null ? undefined : after(now, waitFor),
  };
}

export function encodePermitDecision(
  decision: PermitDecision,
  now: Instant,
): z.infer<typeof permitDecisionSchema> {
  return decision.kind === 'granted'
    ? {
        granted: decision.count,
        validFor: Math.max(0, until(now, decision.validUntil)),
      }
    : {
        retryIn: Math.max(0, until(now, decision.retryAt)),
        isOwned: decision.kind === 'refused',
      };
}

/** Undefined if the message can't be read. */
export function decodePermitDecision(
  message: unknown,
  now: Instant,
): PermitDecision | undefined {
  const parsed = permitDecisionSchema.safeParse(message);
  if (!parsed.success) return undefined;
  return 'granted' in parsed.data
    ? {
        kind: 'granted',
        count: parsed.data.granted,
        validUntil: after(now, parsed.data.validFor),
      }
    : {
        kind: parsed.data.isOwned ? 'refused' : 'unowned',
        retryAt: after(now, parsed.data.retryIn),
      };
}
