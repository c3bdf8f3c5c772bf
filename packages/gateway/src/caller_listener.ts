/** The listener for callers: any host, path and body, by NestJS on Fastify. */

import 'reflect-metadata';
import type {Server} from 'node:http';
import {All, Controller, Inject, Req, Res} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import type {NestFastifyApplication} from '@nestjs/platform-fastify';
import {FastifyAdapter} from '@nestjs/platform-fastify';
import type {FastifyReply, FastifyRequest} from 'fastify';
import type {Clock, Milliseconds} from '@siskinmux/kernel';
import {CallerExchange} from './caller_exchange.js';

/** Largest header block that is read; the operators' limit lies below it. */
const HEADER_BYTES = 65_536;

/** Beyond the declared idle time, so that a caller's reuse never meets the close. */
const IDLE_MARGIN_MILLISECONDS: Milliseconds = 1_000;

/** Handles one request; never rejects. */
export type HandleExchange = (exchange: CallerExchange) => Promise<void>;

/** What the controller hands requests to. */
export class ExchangeHandler {
  private constructor(
    readonly handle: HandleExchange,
    readonly clock: Clock,
  ) {}

  static create(handle: HandleExchange, clock: Clock): ExchangeHandler {
    return new ExchangeHandler(handle, clock);
  }
}

/** The one route of the callers' interface; the route table finds its way from there. */
@Controller()
export class ExchangeController {
  constructor(
    @Inject(ExchangeHandler) private readonly handler: ExchangeHandler,
  ) {}

  /** Takes any request. */
  @All()
  async handleRequest(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    reply.hijack();
    const exchange = CallerExchange.create({
      request: request.raw,
      response: reply.raw,
      target: request.originalUrl,
      receivedAt: this.handler.clock.now(),
    });
    await this.handler.handle(exchange);
  }
}

/** A listening callers' interface. */
export class CallerListener {
  private constructor(
    private readonly application: NestFastifyApplication,
    private readonly server: Server,
  ) {}

  /** Starts to listen. */
  static async create(options: {
    host: string;
    port: number;
    clock: Clock;
    handle: HandleExchange;
  }): Promise<CallerListener> {
    const adapter = new FastifyAdapter({
      // Every path goes to the one controller, also those that are no valid URL.
      rewriteUrl: () => '/',
      forceCloseConnections: 'idle',
      http: {maxHeaderSize: HEADER_BYTES},
    });
    const handler = ExchangeHandler.create(options.handle, options.clock);
    const module = {
      module: class GatewayModule {},
      controllers: [ExchangeController],
      providers: [{provide: ExchangeHandler, useValue: handler}],
    };
    const application = await NestFactory.create<NestFastifyApplication>(
      module,
      adapter,
      {logger: false, abortOnError: false, bodyParser: false},
    );
    const server = adapter.getInstance();
    // Bodies stay on the wire until the request's way is known.
    server.removeAllContentTypeParsers();
    server.addContentTypeParser('*', (_request, _body, done) => done(null));
    await application.listen(options.port, options.host);
    return new CallerListener(application, adapter.getHttpServer() as Server);
  }

  /** Takes over how long callers may leave a connection idle. */
  keepIdleFor(milliseconds: Milliseconds): void {
    this.server.keepAliveTimeout = milliseconds + IDLE_MARGIN_MILLISECONDS;
  }

  /** Closes connections on which no request is under way. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Takes no new connections and ends the idle ones. */
  async close(): Promise<void> {
    await this.application.close();
  }
}
