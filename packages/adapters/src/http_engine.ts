/** Client of a model engine: its OpenAI-compatible interface and its control interface. */

import type {BufferHolder} from '@siskinmux/forwarding';
import type {FencingNumber} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {
  CacheEvent,
  Engine,
  EngineOrder,
  EngineStatus,
  GenerationChunk,
  GenerationRequest,
} from '@siskinmux/ports';
import {
  AnswerCutError,
  EndpointBusyError,
  EndpointFailedError,
  EndpointUnreachableError,
  NOT_RUN_HEADER,
  OrderRefusedError,
  StaleOrderError,
} from '@siskinmux/ports';
import type {EventSourceMessage} from 'eventsource-parser';
import {createParser} from 'eventsource-parser';
import type {Dispatcher} from 'undici';
import {errors} from 'undici';
import {z} from 'zod';
import type {HttpAgent} from './http_agent.js';
import {ResponsesFullError} from './http_agent.js';
import type {
  BoundedHttpRequest,
  HttpRequest,
  HttpResponse,
} from './http_client.js';
import {deliveryOf, open, readTextStart, send} from './http_client.js';

/** The models, adapters and cached checkpoints of an engine take a few KB. */
const MAXIMUM_STATUS_BYTES = 262_144;

/** Some ten thousand events. */
const MAXIMUM_CACHE_EVENTS_BYTES = 1_048_576;

/** A fencing number, or why the order was refused. */
const MAXIMUM_ORDER_RESPONSE_BYTES = 65_536;

/** An event of a stream contains a few tokens. */
const MAXIMUM_EVENT_CHARACTERS = 262_144;

/** Start of an engine's error that is passed on. */
const MAXIMUM_ERROR_BYTES = 1_024;

const chunkSchema = z.object({
  choices: z
    .array(
      z.object({
        delta: z.object({content: z.string().optional()}).optional(),
        text: z.string().optional(),
        finish_reason: z.enum(['stop', 'length']).nullish(),
      }),
    )
    .min(1),
  usage: z
    .object({prompt_tokens: z.number(), completion_tokens: z.number()})
    .nullish(),
});

const statusSchema = z.object({
  incarnation: z.string(),
  isLeaving: z.boolean(),
  memoryBytes: z.number(),
  models: z.array(
    z.object({
      model: z.string(),
      version: z.string(),
      state: z.enum(['loading', 'ready']),
      memoryBytes: z.number(),
      running: z.number(),
    }),
  ),
  adapters: z.array(z.string()),
  running: z.number(),
  queued: z.number(),
  slots: z.number().positive(),
  cached: z.record(z.string(), z.enum(['memory', 'disk', 'remote'])),
  highestFencingNumber: z.number(),
  reportedAt: z.number(),
});

const cacheEventsSchema = z.array(
  z.object({
    sequence: z.number(),
    kind: z.enum(['stored', 'evicted']),
    prefix: z.string(),
  }),
);

/** Implements the engine port over HTTP. */
export class HttpEngine implements Engine {
  private constructor(
    private readonly url: string,
    private readonly agent: HttpAgent,
  ) {}

  static create(options: {url: string; agent: HttpAgent}): HttpEngine {
    return new HttpEngine(options.url, options.agent);
  }

  async *generate(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<GenerationChunk> {
    const response = await this.startGeneration(request, signal);
    const memory = this.agent.createHolder();
    let hasEnded = false;
    try {
      for await (const chunk of readChunks(response.body, memory)) {
        hasEnded = chunk.kind === 'end';
        yield chunk;
      }
    } catch (cause) {
      this.agent.recordFailure(this.url, cause);
      if (cause instanceof AnswerCutError) throw cause;
      throw new AnswerCutError(this.url, {cause});
    } finally {
      memory.release();
    }
    if (!hasEnded) throw new AnswerCutError(`${this.url}: no end of stream`);
    this.agent.recordResponse(this.url);
  }

  async order(order: EngineOrder, signal: AbortSignal): Promise<void> {
    const response = await this.sendControl({
      method: 'POST',
      url: `${this.url}/control/orders`,
      body: JSON.stringify(order),
      signal,
      maximumResponseBytes: MAXIMUM_ORDER_RESPONSE_BYTES,
    });
    if (response.status === 409) {
      const {highest} = z
        .object({highest: z.number()})
        .parse(JSON.parse(response.body));
      throw new StaleOrderError(as<FencingNumber>(highest));
    }
    if (response.status === 422) throw new OrderRefusedError(response.body);
    if (response.status >= 300) {
      throw new AnswerCutError(`${this.url}: status ${response.status}`);
    }
  }

  async status(signal: AbortSignal): Promise<EngineStatus> {
    const response = await this.sendControl({
      method: 'GET',
      url: `${this.url}/control/status`,
      signal,
      maximumResponseBytes: MAXIMUM_STATUS_BYTES,
    });
    return parseResponse(
      this.url,
      statusSchema,
      response,
    ) as unknown as EngineStatus;
  }

  async cacheEvents(
    sequence: number,
    signal: AbortSignal,
  ): Promise<readonly CacheEvent[]> {
    const response = await this.sendControl({
      method: 'GET',
      url: `${this.url}/control/cache-events?after=${sequence}`,
      signal,
      maximumResponseBytes: MAXIMUM_CACHE_EVENTS_BYTES,
    });
    return parseResponse(this.url, cacheEventsSchema, response);
  }

  private async startGeneration(
    request: GenerationRequest,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    const isChat = request.input.kind === 'chat';
    const response = await this.openResponse({
      method: 'POST',
      url: `${this.url}${isChat ? '/v1/chat/completions' : '/v1/completions'}`,
      headers: createHeaders(request),
      body: JSON.stringify(createBody(request)),
      signal,
    });
    if (response.statusCode === 200) return response;
    const text = await readTextStart(response, MAXIMUM_ERROR_BYTES);
    const {statusCode, headers} = response;
    if (headers[NOT_RUN_HEADER] !== undefined)
      throw new EndpointBusyError(text);
    // Leaves open whether the request has run; another engine may serve it.
    if (statusCode === 503 || statusCode === 429)
      throw new AnswerCutError(`${this.url}: status ${statusCode}`);
    throw new EndpointFailedError(text, statusCode);
  }

  private async openResponse(
    request: HttpRequest,
  ): Promise<Dispatcher.ResponseData> {
    try {
      return await open(this.agent, request);
    } catch (cause) {
      throw this.classifyFailure(cause);
    }
  }

  private async sendControl(
    request: BoundedHttpRequest,
  ): Promise<HttpResponse> {
    try {
      return await send(this.agent, {
        ...request,
        headers: {'content-type': 'application/json'},
      });
    } catch (cause) {
      throw this.classifyFailure(cause);
    }
  }

  private classifyFailure(
    cause: unknown,
  ): AnswerCutError | EndpointUnreachableError {
    return deliveryOf(cause) === 'not_sent'
      ? new EndpointUnreachableError(this.url, {cause})
      : new AnswerCutError(this.url, {cause});
  }
}

function createHeaders(request: GenerationRequest): Record<string, string> {
  return {
    'content-type': 'application/json',
    'x-request-id': request.requestId,
    ...(request.traceparent && {traceparent: request.traceparent}),
  };
}

function createBody(request: GenerationRequest): Record<string, unknown> {
  const {input} = request;
  return {
    model: `${request.model}@${request.version}`,
    adapter: request.adapter,
    stream: true,
    max_tokens: request.maximumTokens,
    priority: request.priority,
    resume_after: request.resumeAfter,
    ...(input.kind === 'chat'
      ? {messages: input.messages}
      : {prompt: input.prompt}),
  };
}

async function* readChunks(
  body: AsyncIterable<Buffer>,
  memory: BufferHolder,
): AsyncIterable<GenerationChunk> {
  const pending: EventSourceMessage[] = [];
  let isTooLong = false;
  let isAfterComment = false;
  const parser = createParser({
    maxBufferSize: MAXIMUM_EVENT_CHARACTERS,
    onEvent: event => pending.push(event),
    onComment: () => {
      isAfterComment = true;
    },
    onError: ({type}) => {
      isTooLong ||= type === 'max-buffer-size-exceeded';
    },
  });
  const decoder = new TextDecoder();
  let incompleteBytes = 0;
  for await (const bytes of body) {
    if (!memory.grow(bytes.length))
      throw new ResponsesFullError(`${bytes.length} bytes more`);
    incompleteBytes += bytes.length;
    parser.feed(decoder.decode(bytes, {stream: true}));
    if (isTooLong)
      throw new errors.ResponseExceededMaxSizeError(
        `event of ${incompleteBytes} bytes`,
      );
    if (pending.length > 0 || isAfterComment) {
      memory.shrink(incompleteBytes);
      incompleteBytes = 0;
      isAfterComment = false;
    }
    for (const event of pending.splice(0)) {
      if (event.event === 'error') throw new AnswerCutError(event.data);
      if (event.data !== '[DONE]') yield* decodeChunks(event.data);
    }
  }
}

function* decodeChunks(data: string): Iterable<GenerationChunk> {
  const {choices, usage} = chunkSchema.parse(JSON.parse(data));
  const [choice] = choices;
  const text = choice?.delta?.content ?? choice?.text ?? '';
  if (text !== '') yield {kind: 'token', text};
  if (choice?.finish_reason) {
    yield {
      kind: 'end',
      reason: choice.finish_reason,
      promptTokens: usage?.prompt_tokens ?? 0,
      completionTokens: usage?.completion_tokens ?? 0,
    };
  }
}

function parseResponse<Shape>(
  url: string,
  schema: z.ZodType<Shape>,
  response: HttpResponse,
): Shape {
  try {
    return schema.parse(JSON.parse(response.body));
  } catch (cause) {
    throw new AnswerCutError(`${url}: status ${response.status}`, {cause});
  }
}
