/** HTTP listener for callers, and for nodes that relay requests, on NestJS and Fastify; accepts any host, path and body. */

import 'reflect-metadata';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {All, Controller, Inject, Req, Res} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import type {NestFastifyApplication} from '@nestjs/platform-fastify';
import {FastifyAdapter} from '@nestjs/platform-fastify';
import type {FastifyReply, FastifyRequest} from 'fastify';
import type {
  AnswerKind,
  BufferBudget,
  BufferHolder,
  ConnectionEnd,
  ConnectionLimits,
  HeadRules,
  OnClientLimited,
  RawHeaders,
  RequestTurns,
  SocketPacer,
} from '@siskinmux/forwarding';
import {ListenerBounds} from '@siskinmux/forwarding';
import type {Clock, Milliseconds} from '@siskinmux/kernel';
import {InvariantViolatedError, after} from '@siskinmux/kernel';
import type {RelayedProgress} from '@siskinmux/relay';
import {CallerBody} from './caller_body.js';
import {CallerExchange} from './caller_exchange.js';

/** Maximum size of a request's headers; the limit that operators configure is lower. */
const MAXIMUM_HEADER_BYTES = 65_536;

/** Time for a head that Node.js allows by default, and allows relative to the configured one. */
const DEFAULT_HEAD_MILLISECONDS: Milliseconds = 60_000;
const HEAD_TIMEOUT_RATIO = 2;

/** Added to the configured idle timeout, so that a caller never reuses a connection as it closes. */
const IDLE_MARGIN_MILLISECONDS: Milliseconds = 1_000;

/** Reads what another node says about a request that it relays; undefined for callers. */
export type ReadRelayed = (headers: RawHeaders) => RelayedProgress | undefined;

/** Handles one exchange; never rejects. */
export type HandleExchange = (exchange: CallerExchange) => Promise<void>;

/** Records what a request is answered; see `RequestGate.answer`. */
export type AnswerRequest = (
  request: IncomingMessage,
  kind: AnswerKind,
) => ConnectionEnd;

/** Injectable handler that {@link ExchangeController} passes exchanges to. */
export class ExchangeHandler {
  private constructor(
    readonly handle: HandleExchange,
    readonly clock: Clock,
    readonly readRelayed: ReadRelayed,
    readonly bodyOf: (request: IncomingMessage) => CallerBody,
    readonly answer: AnswerRequest,
  ) {}

  static create(
    handle: HandleExchange,
    clock: Clock,
    readRelayed: ReadRelayed,
    bodyOf: (request: IncomingMessage) => CallerBody,
    answer: AnswerRequest,
  ): ExchangeHandler {
    return new ExchangeHandler(handle, clock, readRelayed, bodyOf, answer);
  }
}

/** Catch-all controller; requests are routed by the route table, not by NestJS. */
@Controller()
export class ExchangeController {
  constructor(
    @Inject(ExchangeHandler) private readonly handler: ExchangeHandler,
  ) {}

  /** Handles any method and path. */
  @All()
  async handleRequest(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    reply.hijack();
    const {clock, readRelayed, bodyOf, answer} = this.handler;
    const relayed = readRelayed(request.raw.rawHeaders);
    const exchange = CallerExchange.create({
      request: request.raw,
      body: bodyOf(request.raw),
      response: reply.raw,
      clock,
      target: request.originalUrl,
      receivedAt: after(clock.now(), -(relayed?.age ?? 0)),
      relayed,
      recordAnswer: kind => answer(request.raw, kind),
    });
    await this.handler.handle(exchange);
  }
}

/** The HTTP server that callers, or nodes that relay requests, connect to. */
export class CallerListener {
  private constructor(
    private readonly application: NestFastifyApplication,
    private readonly server: Server,
    private readonly bounds: ListenerBounds,
  ) {}

  /** Starts the server. */
  static async create(options: {
    host: string;
    port: number;
    clock: Clock;
    handle: HandleExchange;
    readRelayed: ReadRelayed;
    pacer: SocketPacer;
    budget: BufferBudget;
    turns: RequestTurns;
    limits: ConnectionLimits;
    onLimited: OnClientLimited;
    heads?: HeadRules;
  }): Promise<CallerListener> {
    const adapter = new FastifyAdapter({
      // Routes every request to the one controller, even if its path is not a valid URL.
      rewriteUrl: () => '/',
      forceCloseConnections: 'idle',
      http: {maxHeaderSize: MAXIMUM_HEADER_BYTES},
    });
    const {handle, clock, readRelayed} = options;
    const server = adapter.getHttpServer() as Server;
    server.on('timeout', closeUnlessRead);
    const bounds = ListenerBounds.create({...options, server});
    const handler = ExchangeHandler.create(
      handle,
      clock,
      readRelayed,
      receiveBodies(server, bounds, options),
      (request, kind) => bounds.answer(request, kind),
    );
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
    const instance = adapter.getInstance();
    // Leaves bodies unread until the request has been routed.
    instance.removeAllContentTypeParsers();
    instance.addContentTypeParser('*', (_request, _body, done) => done(null));
    await application.listen(options.port, options.host);
    return new CallerListener(application, server, bounds);
  }

  /**
   * Sets how long Node.js lets a head take, which counts the time in which the process was paused.
   * It also ends connections on which nothing has been sent.
   */
  setHeadTimeout(milliseconds: Milliseconds): void {
    this.server.headersTimeout = Math.max(
      DEFAULT_HEAD_MILLISECONDS,
      milliseconds * HEAD_TIMEOUT_RATIO,
    );
  }

  /** Sets how long callers may keep a connection idle. */
  setIdleTimeout(milliseconds: Milliseconds): void {
    this.server.keepAliveTimeout = milliseconds + IDLE_MARGIN_MILLISECONDS;
  }

  /** Closes connections without an open request. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Closes connections whose callers don't read. */
  closeUnread(): void {
    this.bounds.closeUnread();
  }

  /** Stops accepting connections and closes idle ones. */
  async close(): Promise<void> {
    await this.application.close();
  }
}

/**
 * Closes a connection that has been idle for too long, unless something has arrived on it: a process
 * that was paused runs its timers before it reads.
 */
function closeUnlessRead(socket: Socket): void {
  const {bytesRead} = socket;
  setImmediate(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
}

/** What the receipt of bodies is subject to. */
interface BodyReceiptOptions {
  readonly pacer: SocketPacer;
  readonly budget: BufferBudget;
  readonly clock: Clock;
}

/** Receives the bodies of a server's requests, at the pace of their connections. */
function receiveBodies(
  server: Server,
  bounds: ListenerBounds,
  {pacer, budget, clock}: BodyReceiptOptions,
): (request: IncomingMessage) => CallerBody {
  const bodies = new WeakMap<IncomingMessage, CallerBody>();
  const holders = new WeakMap<Socket, Set<BufferHolder>>();
  server.on('connection', (socket: Socket) => {
    const gate = bounds.accept(socket);
    if (gate === undefined) return;
    const held = new Set<BufferHolder>();
    holders.set(socket, held);
    // The responses to pipelined requests that have not begun do not report the close.
    socket.once('close', () => held.forEach(holder => holder.release()));
    pacer.pace(socket, gate);
    // Without a listener, Node.js parses the bytes before they reach the stream.
    socket.on('data', () => {});
  });
  const receive = (
    request: IncomingMessage,
    response: ServerResponse,
  ): void => {
    const {socket} = request;
    const holder = budget.createHolder();
    const held = holders.get(socket);
    held?.add(holder);
    response.once('close', () => {
      held?.delete(holder);
      holder.release();
    });
    const meter = pacer.meterOf(socket);
    bodies.set(request, CallerBody.create(request, meter, clock, holder));
  };
  // The handler of a request is called in a later turn than its first chunks arrive.
  server.prependListener('request', receive);
  return request => {
    const body = bodies.get(request);
    if (body !== undefined) return body;
    throw new InvariantViolatedError('a request whose body is not received');
  };
}
