/** The callers' interface: OpenAI-compatible text generation, and plain services. */

import {All, Controller, Get, Inject, Post, Req, Res} from '@nestjs/common';
import type {FastifyReply, FastifyRequest} from 'fastify';
import type {Clock, EndpointId, Plugin} from '@siskinmux/kernel';
import {injectionKey} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import {policyOf} from '@siskinmux/declarations';
import type {GenerationChunk} from '@siskinmux/ports';
import type {TraceSpan, StartSpan} from '@siskinmux/requests';
import {Counter, Histogram} from 'prom-client';
import {z} from 'zod';
import type {RequestHead, TextBody} from './caller_request.js';
import {
  checkBodySize,
  fingerprintOf,
  readChat,
  readCompletion,
  readHead,
} from './caller_request.js';
import {CONFIGURATION} from './configuration_task.js';
import type {Hop, Listener, Tracing} from '@siskinmux/runtime';
import {
  CLOCK,
  METRICS,
  TRACING,
  addressSchema,
  listen,
  portSchema,
  settingsSection,
} from '@siskinmux/runtime';
import {PROBLEM_TYPE, toProblem} from './problem.js';
import type {RequestPath} from './requests_plugin.js';
import {REQUESTS} from './requests_plugin.js';
import {writeChunks, wholeAnswer} from './text_answer.js';

/** Bodies above this are refused before they are read whole. */
const HARD_BODY_LIMIT_BYTES = 8_000_000;

const section = settingsSection(
  'caller',
  z.strictObject({address: addressSchema, port: portSchema}),
);

/** What the controller works with. */
export class CallerContext {
  /** Whether the balancer may send new work. */
  isReady = false;
  private openRequests = 0;
  private readonly idle = new Set<() => void>();

  private constructor(
    readonly clock: Clock,
    readonly requests: RequestPath,
    readonly tracing: Tracing,
    readonly declarations: () => Declarations,
    readonly answered: Counter<'kind' | 'status'>,
    readonly firstByte: Histogram<'kind'>,
  ) {}

  static create(options: {
    clock: Clock;
    requests: RequestPath;
    tracing: Tracing;
    declarations: () => Declarations;
    answered: Counter<'kind' | 'status'>;
    firstByte: Histogram<'kind'>;
  }): CallerContext {
    return new CallerContext(
      options.clock,
      options.requests,
      options.tracing,
      options.declarations,
      options.answered,
      options.firstByte,
    );
  }

  /** Requests that have not been answered yet. */
  get open(): number {
    return this.openRequests;
  }

  /** Notes a request; call the result when it is answered. */
  trackRequest(): () => void {
    this.openRequests += 1;
    return () => {
      this.openRequests -= 1;
      if (this.openRequests > 0) return;
      for (const resolve of this.idle) resolve();
      this.idle.clear();
    };
  }

  /** Resolves when no request is open. */
  whenIdle(): Promise<void> {
    if (this.openRequests === 0) return Promise.resolve();
    return new Promise(resolve => this.idle.add(resolve));
  }
}

/** Routes of the callers' interface. */
@Controller()
export class CallerController {
  constructor(@Inject(CallerContext) private readonly context: CallerContext) {}

  /** The process runs. */
  @Get('health/live')
  async live(@Res() reply: FastifyReply): Promise<void> {
    await reply.send({status: 'live'});
  }

  /** The balancer may send work here. */
  @Get('health/ready')
  async ready(@Res() reply: FastifyReply): Promise<void> {
    const {isReady: isOpen, declarations} = this.context;
    // Without any endpoint there is nothing that a request could come to.
    const hasEndpoints = Object.keys(declarations().endpoints).length > 0;
    const isReady = isOpen && hasEndpoints;
    await reply
      .code(isReady ? 200 : 503)
      .send({status: isReady ? 'ready' : 'not ready'});
  }

  /** Models and adapters that can be asked for. */
  @Get('v1/models')
  async models(@Res() reply: FastifyReply): Promise<void> {
    const {models, adapters} = this.context.declarations();
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

  /** A plain service's call: `/services/NAME/…`. */
  @All('services/*')
  async service(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    await this.handle('service', request, reply, async (head, hop) => {
      const [, service = '', path] =
        /^\/services\/([^/?]+)([^]*)$/.exec(request.url) ?? [];
      const body = this.bodyOf(request);
      const abort = abortWithCaller(reply);
      const {answer, isReplay} = await this.context.requests.services.serve(
        {
          ...head,
          service,
          method: request.method,
          path: path === undefined || path === '' ? '/' : path,
          contentType: request.headers['content-type'],
          body,
          fingerprint: fingerprintOf(request.method, request.url, body),
          signal: abort.signal,
        },
        this.startHop(hop),
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
    read: (text: string) => TextBody,
  ): Promise<void> {
    await this.handle('text', request, reply, async (head, hop) => {
      const text = this.bodyOf(request);
      const body = read(text);
      const abort = abortWithCaller(reply);
      const chunks = this.context.requests.text.generate(
        {
          ...head,
          ...body,
          fingerprint: fingerprintOf('POST', request.url, text),
          signal: abort.signal,
        },
        this.startHop(hop),
      );
      const startedAt = this.context.clock.now();
      const timed = this.timeFirst(chunks, startedAt);
      const answer = {id: head.id, model: body.requested, input: body.input};
      if (body.isStream) {
        await writeChunks(reply, timed, answer, this.context.clock);
      } else {
        await reply.code(200).send(await wholeAnswer(timed, answer));
      }
    });
  }

  /** Notes, traces and counts a request, and turns failures into problems. */
  private async handle(
    kind: 'text' | 'service',
    request: FastifyRequest,
    reply: FastifyReply,
    serve: (head: RequestHead, hop: Hop) => Promise<void>,
  ): Promise<void> {
    const end = this.context.trackRequest();
    let hop: Hop | undefined;
    try {
      const head = readHead(request, this.context.clock);
      hop = this.context.tracing.start(
        `caller ${kind}`,
        head.traceparent,
        'server',
      );
      hop.set('siskinmux.request_id', head.id);
      void reply.header('x-request-id', head.id);
      await serve(head, hop);
      hop.end();
    } catch (failure) {
      hop?.end(failure);
      await this.refuse(reply, failure);
    } finally {
      this.context.answered.inc({kind, status: reply.raw.statusCode});
      end();
    }
  }

  private async refuse(reply: FastifyReply, failure: unknown): Promise<void> {
    if (reply.sent || reply.raw.headersSent) {
      // Too late for a status: the broken connection is what the caller can see.
      reply.raw.destroy();
      return;
    }
    const {problem, headers} = toProblem(failure, this.context.clock.now());
    await reply
      .code(problem.status)
      .headers(headers)
      .type(PROBLEM_TYPE)
      .send(JSON.stringify(problem));
  }

  private bodyOf(request: FastifyRequest): string {
    const body = typeof request.body === 'string' ? request.body : '';
    const {maximum_body_bytes: limit} = policyOf(this.context.declarations());
    checkBodySize(body, limit);
    return body;
  }

  private startHop(parent: Hop): StartSpan {
    return (name: string, endpoint?: EndpointId): TraceSpan => {
      const hop = this.context.tracing.start(
        name,
        parent.traceparent,
        'client',
      );
      if (endpoint !== undefined) hop.set('siskinmux.endpoint', endpoint);
      return hop;
    };
  }

  private async *timeFirst(
    chunks: AsyncIterable<GenerationChunk>,
    startedAt: number,
  ): AsyncIterable<GenerationChunk> {
    let isFirst = true;
    for await (const chunk of chunks) {
      if (isFirst) {
        const seconds = (this.context.clock.now() - startedAt) / 1_000;
        this.context.firstByte.observe({kind: 'text'}, seconds);
        isFirst = false;
      }
      yield chunk;
    }
  }
}

/** A controller that aborts when the caller closes before its answer is complete. */
function abortWithCaller(reply: FastifyReply): AbortController {
  const abort = new AbortController();
  reply.raw.once('close', () => {
    if (!reply.raw.writableFinished) abort.abort();
  });
  return abort;
}

/** Key of the callers' interface. */
export const CALLER_API = injectionKey<CallerApi>('caller API');

/** The callers' interface of one node. */
export interface CallerApi {
  readonly context: CallerContext;
  /** Base URL, once it listens. */
  readonly url: () => string;
}

/** Serves callers and provides {@link CALLER_API}. */
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
      firstByte: new Histogram({
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
