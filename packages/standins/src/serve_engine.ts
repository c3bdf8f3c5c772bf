/** HTTP server of an engine: OpenAI-compatible generation and a control interface. */

import type {
  AdapterName,
  Instant,
  ModelName,
  RequestId,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {
  EngineOrder,
  GenerationChunk,
  GenerationInput,
  GenerationRequest,
} from '@siskinmux/ports';
import {
  EndpointBusyError,
  NOT_RUN_HEADER,
  OrderRefusedError,
  StaleOrderError,
} from '@siskinmux/ports';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import {fastify} from 'fastify';
import type {EngineStandIn} from './engine_stand_in.js';

const DEFAULT_MAXIMUM_TOKENS = 16;

interface CompletionBody {
  readonly model: string;
  readonly adapter?: string;
  readonly messages?: {role: string; content: string}[];
  readonly prompt?: string;
  readonly max_tokens?: number;
  readonly priority?: number;
  readonly resume_after?: number;
}

/** Serves an engine on `port`, or on any free port if 0. Resolves once the server listens. */
export async function serveEngine(options: {
  engine: EngineStandIn;
  port: number;
}): Promise<FastifyInstance> {
  const {engine} = options;
  const server = fastify({forceCloseConnections: true});
  server.setErrorHandler((failure, request, reply) =>
    sendFailure(failure, request, reply),
  );
  for (const path of ['/v1/chat/completions', '/v1/completions']) {
    server.post(path, (request, reply) =>
      streamGeneration(engine, request, reply),
    );
  }
  server.post('/control/orders', async request => {
    await engine.order(request.body as EngineOrder);
    return {};
  });
  server.get('/control/status', () => engine.status());
  server.get('/control/cache-events', request => {
    const {after} = request.query as {after?: string};
    return engine.cacheEvents(Number(after ?? 0));
  });
  server.get('/standin/observe', () => engine.observe());
  server.post('/standin/die', () => {
    engine.die();
    return {};
  });
  server.post('/standin/restart', () => {
    engine.restart();
    return {};
  });
  server.post('/standin/leave', () => {
    engine.leave();
    return {};
  });
  await server.listen({host: '127.0.0.1', port: options.port});
  return server;
}

async function streamGeneration(
  engine: EngineStandIn,
  request: FastifyRequest,
  reply: FastifyReply,
): Promise<void> {
  const abortController = new AbortController();
  reply.raw.on('close', () => abortController.abort());
  const generation = toGenerationRequest(request);
  const chunks = engine
    .generate(generation, abortController.signal)
    [Symbol.asyncIterator]();
  // Before the first chunk, a refusal can still become an error response.
  let next = await chunks.next();
  reply.hijack();
  reply.raw.writeHead(200, {'content-type': 'text/event-stream'});
  const isChat = generation.input.kind === 'chat';
  try {
    for (; !next.done; next = await chunks.next()) {
      reply.raw.write(
        `data: ${JSON.stringify(toEvent(next.value, isChat))}\n\n`,
      );
    }
    reply.raw.end('data: [DONE]\n\n');
  } catch {
    reply.raw.destroy();
  }
}

function toGenerationRequest(request: FastifyRequest): GenerationRequest {
  const body = request.body as CompletionBody;
  const [model = '', version = ''] = body.model.split('@');
  const input: GenerationInput =
    body.messages === undefined
      ? {kind: 'prompt', prompt: body.prompt ?? ''}
      : {kind: 'chat', messages: body.messages};
  return {
    requestId: as<RequestId>(String(request.headers['x-request-id'])),
    model: as<ModelName>(model),
    version,
    adapter:
      body.adapter === undefined ? undefined : as<AdapterName>(body.adapter),
    input,
    maximumTokens: body.max_tokens ?? DEFAULT_MAXIMUM_TOKENS,
    priority: body.priority ?? 0,
    deadline: as<Instant>(0),
    traceparent: request.headers['traceparent'] as string | undefined,
    resumeAfter: body.resume_after ?? 0,
  };
}

function toEvent(chunk: GenerationChunk, isChat: boolean): unknown {
  if (chunk.kind === 'token') {
    return {
      choices: [isChat ? {delta: {content: chunk.text}} : {text: chunk.text}],
    };
  }
  return {
    choices: [{delta: {}, finish_reason: chunk.reason}],
    usage: {
      prompt_tokens: chunk.promptTokens,
      completion_tokens: chunk.completionTokens,
    },
  };
}

function sendFailure(
  failure: unknown,
  request: FastifyRequest,
  reply: FastifyReply,
): void {
  if (failure instanceof StaleOrderError) {
    void reply.code(409).send({highest: failure.highest});
  } else if (failure instanceof OrderRefusedError) {
    void reply.code(422).send({error: failure.detail});
  } else if (failure instanceof EndpointBusyError) {
    void reply
      .code(503)
      .header(NOT_RUN_HEADER, 'true')
      .send({error: failure.detail});
  } else {
    // A dead engine closes the connection without a response.
    reply.hijack();
    request.raw.socket.destroy();
  }
}
