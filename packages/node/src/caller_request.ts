/** Parses the headers and bodies of callers' requests; throws a `RefusalError` if invalid. */

import {randomUUID} from 'node:crypto';
import type {
  Clock,
  IdempotencyKey,
  Instant,
  RequestId,
} from '@siskinmux/kernel';
import {ErrorCode, after, as, createNotRunRefusal} from '@siskinmux/kernel';
import type {Declarations, Priority} from '@siskinmux/declarations';
import {PRIORITIES} from '@siskinmux/declarations';
import type {GenerationInput} from '@siskinmux/ports';
import type {FastifyRequest} from 'fastify';
import {z} from 'zod';
import {identifyTeam} from './caller_team.js';

/** Header with the deadline, in milliseconds since the Unix epoch (1970). */
export const DEADLINE_HEADER = 'x-request-deadline';

/** Header with the caller's timeout, in milliseconds. */
export const TIMEOUT_HEADER = 'x-request-timeout';

/** Header with the priority class. */
export const PRIORITY_HEADER = 'x-request-priority';

/** Header with the caller's key for a call that must not run twice. */
export const IDEMPOTENCY_HEADER = 'idempotency-key';

/** Longest time until a deadline that a caller may request. */
const MAXIMUM_TIMEOUT_MILLISECONDS = 3_600_000;

const DEFAULT_MAXIMUM_TOKENS = 256;
const LARGEST_MAXIMUM_TOKENS = 32_768;

const commonFields = {
  model: z.string().min(1).max(200),
  stream: z.boolean().default(false),
  max_tokens: z
    .number()
    .int()
    .positive()
    .max(LARGEST_MAXIMUM_TOKENS)
    .default(DEFAULT_MAXIMUM_TOKENS),
};

const chatSchema = z.object({
  ...commonFields,
  messages: z
    .array(z.object({role: z.string().max(64), content: z.string()}))
    .min(1),
});

const completionSchema = z.object({...commonFields, prompt: z.string()});

/** Validated body of a text generation request. */
export interface TextRequestBody {
  /** Name of a model, a model version (`model@version`) or an adapter. */
  readonly requestedName: string;
  readonly isStream: boolean;
  readonly maximumTokens: number;
  readonly input: GenerationInput;
}

/** Identity of a request and the values of its headers. */
export interface RequestHead {
  readonly id: RequestId;
  readonly deadline: Instant | undefined;
  readonly priority: Priority | undefined;
  /** Priority of the caller's team; undefined without teams. */
  readonly teamPriority: number | undefined;
  readonly idempotencyKey: IdempotencyKey | undefined;
  readonly traceparent: string | undefined;
}

/** Parses the body of a chat completion request. */
export function readChat(text: string): TextRequestBody {
  const body = parseBody(chatSchema, text);
  return {
    ...commonFieldsOf(body),
    input: {kind: 'chat', messages: body.messages},
  };
}

/** Parses the body of a text completion request. */
export function readCompletion(text: string): TextRequestBody {
  const body = parseBody(completionSchema, text);
  return {
    ...commonFieldsOf(body),
    input: {kind: 'prompt', prompt: body.prompt},
  };
}

/** Identifies the caller and parses the headers that all kinds of requests share. */
export function readHead(
  request: FastifyRequest,
  clock: Clock,
  declarations: Declarations,
): RequestHead {
  // A caller that no team knows learns nothing about the other headers.
  const team = identifyTeam(declarations, request.raw);
  const key = headerOf(request, IDEMPOTENCY_HEADER);
  return {
    id: as<RequestId>(randomUUID()),
    deadline: readDeadline(request, clock),
    priority: readPriority(request),
    teamPriority: team?.priority,
    idempotencyKey: key === undefined ? undefined : parseIdempotencyKey(key),
    traceparent: headerOf(request, 'traceparent'),
  };
}

/** Throws a `RefusalError` for bodies above the limit of the policy. */
export function checkBodySize(body: string, limitBytes: number): void {
  const bytes = Buffer.byteLength(body);
  if (bytes <= limitBytes) return;
  throw createNotRunRefusal(
    ErrorCode.BodyTooLarge,
    `found ${bytes} bytes, expected at most ${limitBytes}`,
  );
}

function commonFieldsOf(
  body: z.infer<typeof chatSchema> | z.infer<typeof completionSchema>,
) {
  return {
    requestedName: body.model,
    isStream: body.stream,
    maximumTokens: body.max_tokens,
  };
}

function parseBody<Shape>(schema: z.ZodType<Shape>, text: string): Shape {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    throw createNotRunRefusal(ErrorCode.InvalidRequest, 'the body is not JSON');
  }
  const parsed = schema.safeParse(json);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const path = issue?.path.join('.') ?? '';
  throw createNotRunRefusal(
    ErrorCode.InvalidRequest,
    `${path}: ${issue?.message}`,
  );
}

function readDeadline(
  request: FastifyRequest,
  clock: Clock,
): Instant | undefined {
  const now = clock.now();
  const timeout = readNumber(request, TIMEOUT_HEADER);
  const deadline =
    timeout === undefined
      ? readNumber(request, DEADLINE_HEADER)
      : after(now, timeout);
  if (deadline === undefined) return undefined;
  if (deadline > now + MAXIMUM_TIMEOUT_MILLISECONDS) {
    throw createNotRunRefusal(
      ErrorCode.InvalidRequest,
      'the deadline is more than an hour away',
    );
  }
  return as<Instant>(deadline);
}

function readNumber(request: FastifyRequest, name: string): number | undefined {
  const text = headerOf(request, name);
  if (text === undefined) return undefined;
  const value = Number(text);
  if (Number.isFinite(value) && value >= 0) return value;
  throw createNotRunRefusal(
    ErrorCode.InvalidRequest,
    `${name}: found "${text}", expected milliseconds`,
  );
}

function readPriority(request: FastifyRequest): Priority | undefined {
  const text = headerOf(request, PRIORITY_HEADER);
  if (text === undefined) return undefined;
  const found = PRIORITIES.find(priority => priority === text);
  if (found !== undefined) return found;
  throw createNotRunRefusal(
    ErrorCode.InvalidRequest,
    `${PRIORITY_HEADER}: found "${text}", expected one of ${PRIORITIES.join(', ')}`,
  );
}

function parseIdempotencyKey(key: string): IdempotencyKey {
  if (key.length > 0 && key.length <= 200) return as<IdempotencyKey>(key);
  throw createNotRunRefusal(
    ErrorCode.InvalidRequest,
    `${IDEMPOTENCY_HEADER}: expected 1 to 200 characters`,
  );
}

function headerOf(request: FastifyRequest, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
