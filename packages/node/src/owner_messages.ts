/** Schemas of the requests to the owners of shared state, and of their replies. */

import type {ExchangeRequest, ExchangeResponse} from '@siskinmux/allocation';
import type {LedgerRequest, LedgerResponse} from '@siskinmux/ledger';
import type {OwnerReply, OwnerRequest} from '@siskinmux/membership';
import {z} from 'zod';

const text = z.string().max(256);
const instant = z.number();

const storedResponseSchema = z.object({
  status: z.number().int(),
  contentType: text,
  body: z.string(),
});

const attemptOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('answered'),
    answer: storedResponseSchema.optional(),
  }),
  z.object({kind: z.literal('not_run')}),
  z.object({kind: z.literal('unknown')}),
]);

const ledgerMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('claim'),
    waitUntil: instant,
    request: z.object({
      key: text,
      fingerprint: text,
      attempt: text,
      node: text,
      deadline: instant,
      expiresAt: instant,
      traceparent: text.optional(),
    }),
  }),
  z.object({kind: z.literal('verify')}),
  z.object({
    kind: z.literal('end'),
    key: text,
    attempt: text,
    end: attemptOutcomeSchema,
  }),
]);

const subjectSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('model'), model: text, version: text}),
  z.object({kind: z.literal('adapter'), model: text, adapter: text}),
]);

const exchangeMessageSchema = z.object({
  node: text,
  models: z.array(text).max(10_000),
  demands: z
    .array(
      z.object({
        subject: subjectSchema,
        waiting: z.number().int().nonnegative(),
        inFlight: z.number().int().nonnegative(),
        earliestDeadline: instant.optional(),
        lastArrivalAt: instant.optional(),
      }),
    )
    .max(10_000),
});

function ownerRequestSchema<Message>(
  message: z.ZodType<Message>,
): z.ZodType<OwnerRequest<Message>> {
  return z.object({subject: text, message, takeOver: z.boolean()});
}

/** A request to the owner of a claim shard. */
export const ledgerRequestSchema = ownerRequestSchema(
  ledgerMessageSchema,
) as unknown as z.ZodType<OwnerRequest<LedgerRequest>>;

/** A request to the allocator of a failure domain. */
export const exchangeRequestSchema = ownerRequestSchema(
  exchangeMessageSchema,
) as unknown as z.ZodType<OwnerRequest<ExchangeRequest>>;

const notOwnerSchema = z.object({
  kind: z.literal('not_owner'),
  owner: text.optional(),
});

const ledgerResponseSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('claim'),
    reply: z.discriminatedUnion('kind', [
      z.object({kind: z.literal('granted')}),
      z.object({kind: z.literal('in_progress')}),
      z.object({
        kind: z.literal('answered'),
        answer: storedResponseSchema.optional(),
      }),
      z.object({kind: z.literal('unknown')}),
      z.object({kind: z.literal('too_late')}),
      z.object({kind: z.literal('key_reused')}),
    ]),
  }),
  z.object({kind: z.literal('ended')}),
]);

const exchangeResponseSchema = z.object({
  failureDomain: text,
  replicas: z.array(
    z.object({
      subject: subjectSchema,
      engine: text,
      state: z.enum(['loading', 'ready']),
      readyAt: instant,
      running: z.number(),
      queued: z.number(),
      slots: z.number().positive(),
      reportedAt: instant.optional(),
    }),
  ),
  refusals: z.array(z.object({subject: subjectSchema, reason: z.string()})),
});

/** Reply of the owner of a claim shard. */
export const ledgerReplySchema = z.union([
  z.object({kind: z.literal('answer'), answer: ledgerResponseSchema}),
  notOwnerSchema,
]) as unknown as z.ZodType<OwnerReply<LedgerResponse>>;

/** Reply of the allocator of a failure domain. */
export const exchangeReplySchema = z.union([
  z.object({kind: z.literal('answer'), answer: exchangeResponseSchema}),
  notOwnerSchema,
]) as unknown as z.ZodType<OwnerReply<ExchangeResponse>>;
