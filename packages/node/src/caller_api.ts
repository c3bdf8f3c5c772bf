/** HTTP interface for callers: OpenAI-compatible text generation, and plain services. */

import {All, Controller, Get, Inject, Post, Req, Res} from '@nestjs/common';
import type {FastifyReply, FastifyRequest} from 'fastify';
import type {Trait} from '@siskinmux/containment';
import {MAXIMUM_TRAITS, contentTrait, namedTrait} from '@siskinmux/containment';
import type {Clock, EndpointId, Fingerprint, Plugin} from '@siskinmux/kernel';
import {injectionKey} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import {policyOf} from '@siskinmux/declarations';
import type {GenerationChunk, GenerationInput} from '@siskinmux/ports';
import type {StartSpan, TraceSpan} from '@siskinmux/requests';
import {Counter, Histogram} from 'prom-client';
import {z} from 'zod';
import {fingerprintOf} from '@siskinmux/routing';
import type {RequestHead, TextRequestBody} from './caller_request.js';
import {
  checkBodySize,
  readChat,
  readCompletion,
  readHead,
} from './caller_request.js';
import {identifyTeam} from './caller_team.js';
import {CONFIGURATION} from './configuration_task.js';
import type {ActiveSpan, Listener, Tracing} from '@siskinmux/runtime';
import {
  CLOCK,
  METRICS,
  TRACING,
  addressSchema,
  listen,
  portSchema,
  settingsSection,
} from '@siskinmux/runtime';
import {PROBLEM_MEDIA_TYPE, toProblem} from './problem.js';
import type {RequestHandlers} from './requests_plugin.js';
import {REQUESTS} from './requests_plugin.js';
import {collectResponse, streamChunks} from './text_response.js';

/** The HTTP server rejects larger bodies before it has read them completely. */
const HARD_BODY_LIMIT_BYTES = 8_000_000;

const section = settingsSection(
  'caller',
  z.strictObject({address: addressSchema, port: portSchema}),
);

/** Dependencies and state of the {@link CallerController}. */
export class CallerContext {
  /** Whether the load balancer may send new requests. */
  isReady = false;
  private openRequests = 0;
  private readonly idleCallbacks = new Set<() => void>();

  private constructor(
    readonly clock: Clock,
    readonly requests: RequestHandlers,
    readonly tracing: Tracing,
    readonly declarations: () => Declarations,
    readonly answered: Counter<'kind' | 'status'>,
    readonly firstTokenSeconds: Histogram<'kind'>,
  ) {}

  static create(options: {
    clock: Clock;
    requests: RequestHandlers;
    tracing: Tracing;
    declarations: () => Declarations;
    answered: Counter<'kind' | 'status'>;
    firstTokenSeconds: Histogram<'kind'>;
  }): CallerContext {
    return new CallerContext(
      options.clock,
      options.requests,
      options.tracing,
      options.declarations,
      options.answered,
      options.firstTokenSeconds,
    );
  }

  /** Number of requests without a complete response. */
  get open(): number {
    return this.openRequests;
  }

  /** Counts a request as open; call the returned function when its response is complete. */
  trackRequest(): () => void {
    this.openRequests += 1;
    return () => {
      this.openRequests -= 1;
      if (this.openRequests > 0) return;
      for (const resolve of this.idleCallbacks) resolve();
      this.idleCallbacks.clear();
    };
  }

  /** Resolves when no request is open. */
  whenIdle(): Promise<void> {
    if (this.openRequests === 0) return Promise.resolve();
    return new Promise(resolve => this.idleCallbacks.add(resolve));
  }
}

/** Routes of the caller interface. */
@Controller()
export class CallerController {
  constructor(@Inject(CallerContext) private readonly context: CallerContext) {}

  /** Liveness check: succeeds while the process runs. */
  @Get('health/live')
  async live(@Res() reply: FastifyReply): Promise<void> {
    await reply.send({status: 'live'});
  }

  /** Readiness check: succeeds while the load balancer may send requests here. */
  @Get('health/ready')
  async ready(@Res() reply: FastifyReply): Promise<void> {
    const {isReady: acceptsRequests, declarations} = this.context;
    // Without a declared endpoint no request could be served.
    const hasEndpoints = Object.keys(declarations().endpoints).length > 0;
    const isReady = acceptsRequests && hasEndpoints;
    await reply
      .code(isReady ? 200 : 503)
      .send({status: isReady ? 'ready' : 'not ready'});
  }

  /** Lists the models and adapters that requests can name. */
  @Get('v1/models')
  async models(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const declarations = this.context.declarations();
    try {
      identifyTeam(declarations, request.raw);
    } catch (failure) {
      await this.sendProblem(reply, failure);
      return;
    }
    const {models, adapters} = declarations;
    const names = [...Object.keys(models), ...Object.keys(adapters)].sort();
    const data = names.map(id => ({
      id,
      object: 'model',
      owned_by: 'operators',
    }));
    await reply.send({object: 'list', data});
  }

  /** Chat completion. */
  @Post('v1/chat/completions')
  chat(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    return this.text(request, reply, readChat);
  }

  /** Text completion. */
  @Post('v1/completions')
  completion(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    return this.text(request, reply, readCompletion);
  }

  /** Call of a plain service: `/services/NAME/…`. */
  @All('services/*')
  async service(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    await this.handle('service', request, reply, async (head, span) => {
      const [, service = '', path] =
        /^\/services\/([^/?]+)([^]*)$/.exec(request.url) ?? [];
      const body = this.bodyOf(request);
      const abort = createDisconnectController(reply);
      const {answer, isReplay} = await this.context.requests.services.serve(
        {
          ...head,
          service,
          method: request.method,
          path: path === undefined || path === '' ? '/' : path,
          contentType: request.headers['content-type'],
          body,
          fingerprint: fingerprintOf(`${request.method} ${request.url}`, body),
          signal: abort.signal,
        },
        this.createStartSpan(span),
      );
      if (isReplay) void reply.header('idempotent-replayed', 'true');
      await reply
        .code(answer.status)
        .type(answer.contentType)
        .send(answer.body);
    });
  }

  private async text(
    request: FastifyRequest,
    reply: FastifyReply,
    read: (text: string) => TextRequestBody,
  ): Promise<void> {
    await this.handle('text', request, reply, async (head, span) => {
      const text = this.bodyOf(request);
      const body = read(text);
      const abort = createDisconnectController(reply);
      const chunks = this.context.requests.text.generate(
        {
          ...head,
          ...body,
          traits: traitsOf(
            fingerprintOf(`POST ${request.url}`, text),
            body.input,
          ),
          signal: abort.signal,
        },
        this.createStartSpan(span),
      );
      const startedAt = this.context.clock.now();
      const observedChunks = this.observeFirstToken(chunks, startedAt);
      const response = {
        id: head.id,
        model: body.requestedName,
        input: body.input,
      };
      if (body.isStream) {
        await streamChunks(reply, observedChunks, response, this.context.clock);
      } else {
        await reply
          .code(200)
          .send(await collectResponse(observedChunks, response));
      }
    });
  }

  /** Tracks, traces and counts a request, and converts failures into problem responses. */
  private async handle(
    kind: 'text' | 'service',
    request: FastifyRequest,
    reply: FastifyReply,
    serve: (head: RequestHead, span: ActiveSpan) => Promise<void>,
  ): Promise<void> {
    const release = this.context.trackRequest();
    let span: ActiveSpan | undefined;
    try {
      const head = readHead(
        request,
        this.context.clock,
        this.context.declarations(),
      );
      span = this.context.tracing.start(
        `caller ${kind}`,
        head.traceparent,
        'server',
      );
      span.set('siskinmux.request_id', head.id);
      void reply.header('x-request-id', head.id);
      await serve(head, span);
      span.end();
    } catch (failure) {
      span?.end(failure);
      await this.sendProblem(reply, failure);
    } finally {
      this.context.answered.inc({kind, status: reply.raw.statusCode});
      release();
    }
  }

  private async sendProblem(
    reply: FastifyReply,
    failure: unknown,
  ): Promise<void> {
    if (reply.sent || reply.raw.headersSent) {
      // The status is already sent: only a broken connection can signal the failure.
      reply.raw.destroy();
      return;
    }
    const {problem, headers} = toProblem(failure, this.context.clock.now());
    await reply
      .code(problem.status)
      .headers(headers)
      .type(PROBLEM_MEDIA_TYPE)
      .send(JSON.stringify(problem));
  }

  private bodyOf(request: FastifyRequest): string {
    const body = typeof request.body === 'string' ? request.body : '';
    const {maximum_body_bytes: limit} = policyOf(this.context.declarations());
    checkBodySize(body, limit);
    return body;
  }

  private createStartSpan(parent: ActiveSpan): StartSpan {
    return (name: string, endpoint?: EndpointId): TraceSpan => {
      const span = this.context.tracing.start(
        name,
        parent.traceparent,
        'client',
      );
      if (endpoint !== undefined) span.set('siskinmux.endpoint', endpoint);
      return span;
    };
  }

  private async *observeFirstToken(
    chunks: AsyncIterable<GenerationChunk>,
    startedAt: number,
  ): AsyncIterable<GenerationChunk> {
    let isFirst = true;
    for await (const chunk of chunks) {
      if (isFirst) {
        const seconds = (this.context.clock.now() - startedAt) / 1_000;
        this.context.firstTokenSeconds.observe({kind: 'text'}, seconds);
        isFirst = false;
      }
      yield chunk;
    }
  }
}

/** Aborts when the caller disconnects before the response is complete. */
function createDisconnectController(reply: FastifyReply): AbortController {
  const abort = new AbortController();
  reply.raw.once('close', () => {
    if (!reply.raw.writableFinished) abort.abort();
  });
  return abort;
}

/** Injection key of the caller interface. */
export const CALLER_API = injectionKey<CallerApi>('caller API');

/** The caller interface of one node. */
export interface CallerApi {
  readonly context: CallerContext;
  /** Base URL; empty until the server listens. */
  readonly url: () => string;
}

/** Starts the caller interface and provides {@link CALLER_API}. */
export const callerApiPlugin: Plugin = {
  name: 'caller API',
  install(kernel) {
    const settings = kernel.settings(section);
    const registry = kernel.inject(METRICS);
    const {state} = kernel.inject(CONFIGURATION);
    const context = CallerContext.create({
      clock: kernel.inject(CLOCK),
      requests: kernel.inject(REQUESTS),
      tracing: kernel.inject(TRACING),
      declarations: () => state.current.declarations,
      answered: new Counter({
        name: 'siskinmux_requests_total',
        help: 'Answered requests by kind and HTTP status',
        labelNames: ['kind', 'status'],
        registers: [registry],
      }),
      firstTokenSeconds: new Histogram({
        name: 'siskinmux_first_token_seconds',
        help: 'Time from a request to its first token',
        labelNames: ['kind'],
        registers: [registry],
      }),
    });
    let listener: Listener | undefined;
    kernel.provide(CALLER_API, {context, url: () => listener?.url ?? ''});
    kernel.addTask({
      name: 'caller API',
      start: async () => {
        listener = await listen({
          ...settings,
          bodyLimitBytes: HARD_BODY_LIMIT_BYTES,
          controllers: [CallerController],
          providers: [{provide: CallerContext, useValue: context}],
        });
        context.isReady = true;
      },
      stop: () => listener?.close(),
      abandon: () => listener?.abandon(),
    });
  },
};

/** The content of a request, and each of its messages but the last, which others may share. */
function traitsOf(fingerprint: Fingerprint, input: GenerationInput): Trait[] {
  const shared = input.kind === 'chat' ? input.messages.slice(0, -1) : [];
  const messages = shared
    .slice(0, MAXIMUM_TRAITS - 1)
    .map(({role, content}) =>
      namedTrait('message', fingerprintOf(role, content)),
    );
  return [contentTrait(fingerprint), ...new Set(messages)];
}
