/** The way of one request: route, endpoint, answer, and what is done when a send fails. */

import type {
  CancelTimer,
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
  RefusalError,
  ServiceName,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  Outcome,
  SiskinmuxError,
  after,
  earlier,
  refuseNotRun,
  refuseUnknown,
  toRefusal,
  until,
} from '@siskinmux/kernel';
import type {EndpointDescription} from '@siskinmux/endpoints';
import type {
  AnswerHead,
  EndpointConnections,
  EndpointProtocol,
  OpenResult,
  OpenedRequest,
  RequestFacts,
} from '@siskinmux/forwarding';
import {EventStream} from '@siskinmux/forwarding';
import type {Route, RouteConfiguration} from '@siskinmux/routes';
import {
  firstEventPatience,
  mayRepeat,
  pickTarget,
  silencePatience,
} from '@siskinmux/routes';
import type {OutlierDetector} from '@siskinmux/routing';
import {hash32} from '@siskinmux/routing';
import type {CallerExchange} from './caller_exchange.js';
import {collect, isSuccess, passEvents, writeTo} from './deliver_answer.js';
import type {EndpointNeed, FindEndpoint} from './endpoint_choice.js';
import {REQUEST_ENDED, SEND_FAILED} from './gateway_events.js';
import type {LoadBook} from './load_book.js';
import type {RetryBudgets} from './repeat_budgets.js';
import {refusalAnswer} from './refusal_answer.js';
import {SilenceWatch} from './silence_watch.js';

/** An endpoint stops at the same instant; its own answer comes first. */
const TIMEOUT_GRACE_MILLISECONDS: Milliseconds = 30;

/** Sends of one request in all, also those that no endpoint ran. */
const MOST_SENDS = 4;

/** When a caller may come back after all endpoints refused; queues drain in such a time. */
const RETURN_MILLISECONDS: Milliseconds = 400;

/** What a journey needs from its surroundings. */
export interface JourneySurroundings {
  readonly protocol: EndpointProtocol;
  readonly connections: EndpointConnections;
  readonly load: LoadBook;
  readonly outliers: OutlierDetector;
  readonly repeats: RetryBudgets;
  readonly find: FindEndpoint;
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /** Told when an engine does not have a model or adapter that it was believed to have. */
  readonly noteMissing: (endpoint: EndpointId, model: ModelName) => void;
  readonly noteEnd: (route: Route, result: string, took: Milliseconds) => void;
}

/** How one send ended. */
type SendEnd =
  | {readonly kind: 'delivered'}
  | {readonly kind: 'not_run'; readonly cause: string; readonly isSent: boolean}
  | {
      readonly kind: 'may_have_run';
      readonly cause: string;
      /** The endpoint's own failure, to be passed on if nothing better comes. */
      readonly answer?: {readonly head: AnswerHead; readonly body: Buffer};
    }
  | {readonly kind: 'stream_broken'; readonly cause: string};

/** One request on its way. */
export class Journey {
  private readonly excluded = new Set<EndpointId>();
  private readonly cancelled = new AbortController();
  private readonly events = EventStream.create();
  private readonly service: ServiceName | undefined;
  private sends = 0;
  private runs = 0;
  private isOver = false;
  private result = '';
  private lastEndpoint: EndpointId | undefined;
  private sentAt: Instant | undefined;
  private answeredAt: Instant | undefined;
  private opened: OpenedRequest | undefined;
  private silence: SilenceWatch | undefined;
  private cancelTimeout: CancelTimer | undefined;

  private constructor(
    private readonly surroundings: JourneySurroundings,
    private readonly exchange: CallerExchange,
    private readonly configuration: RouteConfiguration,
    private readonly route: Route,
    private readonly facts: RequestFacts,
    /** When the caller gives up. */
    private readonly deadline: Instant,
  ) {
    this.service = pickTarget(route, hash32(facts.id) / 2 ** 32);
  }

  /** A journey on a route. */
  static create(
    surroundings: JourneySurroundings,
    exchange: CallerExchange,
    configuration: RouteConfiguration,
    route: Route,
  ): Journey {
    const facts = surroundings.protocol.readRequest(exchange.headers);
    const {receivedAt} = exchange;
    const timeoutAt = after(receivedAt, route.timeoutMilliseconds);
    const {patienceMilliseconds} = facts;
    const deadline =
      patienceMilliseconds === undefined
        ? timeoutAt
        : earlier(timeoutAt, after(receivedAt, patienceMilliseconds));
    return new Journey(
      surroundings,
      exchange,
      configuration,
      route,
      facts,
      deadline,
    );
  }

  /** Serves the request or refuses it; never rejects for an expected failure. */
  async run(): Promise<void> {
    const {exchange, route} = this;
    const {clock} = this.surroundings;
    exchange.onGone(() => this.finish('caller_gone', () => {}));
    const timeoutAt = after(
      exchange.receivedAt,
      route.timeoutMilliseconds + TIMEOUT_GRACE_MILLISECONDS,
    );
    this.cancelTimeout = clock.schedule(timeoutAt, () => this.timeOut());
    try {
      const body = await exchange.readBody(this.configuration.limits.bodyBytes);
      await this.sendUntilDone(body);
    } catch (failure) {
      if (this.isOver) return;
      if (!(failure instanceof SiskinmuxError)) throw failure;
      this.refuse(toRefusal(failure, Outcome.NotRun));
    }
  }

  /**
   * Ends the journey because the process ends: what waits for an endpoint is refused,
   * what an endpoint has is left with an unknown outcome.
   */
  abandon(): void {
    if (this.isOver) return;
    const isWaiting = this.runs === 0 && this.opened === undefined;
    this.refuse(
      isWaiting
        ? refuseNotRun(
            ErrorCode.ShuttingDown,
            this.route.name,
            this.surroundings.clock.now(),
          )
        : refuseUnknown('the node stops'),
    );
  }

  private async sendUntilDone(body: Buffer | undefined): Promise<void> {
    while (!this.isOver) {
      const endpoint = await this.surroundings.find(this.need());
      if (this.isOver) return;
      const end = await this.send(endpoint, body);
      if (this.isOver || end.kind === 'delivered') return;
      this.excluded.add(endpoint.id);
      const isAgain = this.maySendAgain(end);
      this.surroundings.emit(SEND_FAILED, {
        id: this.facts.id,
        endpoint: endpoint.id,
        end: end.kind,
        cause: end.cause,
        sends: this.sends,
        next: isAgain ? 'send again' : 'give up',
      });
      if (!isAgain) this.giveUp(end);
    }
  }

  private need(): EndpointNeed {
    const {model, adapter} = this.facts;
    const {service} = this;
    if (service === undefined) {
      throw refuseNotRun(ErrorCode.NoEndpoint, this.route.name);
    }
    if (this.sends === 0) this.surroundings.repeats.forService(service).recordRequest();
    return {
      service,
      model,
      adapter,
      excluded: this.excluded,
      uselessAt: this.uselessAt(),
      priority: this.route.priority,
      isFirst: this.sends === 0,
      cancelled: this.cancelled.signal,
    };
  }

  /** A stream that has not begun by then has been given up by its caller. */
  private uselessAt(): Instant {
    const {route} = this;
    if (route.kind !== 'stream' || this.exchange.isAnswering) {
      return this.deadline;
    }
    const patience = firstEventPatience(route);
    return earlier(this.deadline, after(this.exchange.receivedAt, patience));
  }

  private async send(
    endpoint: EndpointDescription,
    body: Buffer | undefined,
  ): Promise<SendEnd> {
    const {clock, connections, load, protocol} = this.surroundings;
    const remaining = until(clock.now(), this.deadline);
    if (remaining <= 0) {
      throw refuseNotRun(ErrorCode.DeadlinePassed, this.route.name);
    }
    this.sends += 1;
    this.lastEndpoint = endpoint.id;
    this.sentAt = clock.now();
    const {model, adapter} = this.facts;
    const leave = load.enter({endpoint: endpoint.id, model, adapter});
    try {
      this.opened = connections.send(
        endpoint,
        {
          method: this.exchange.method,
          target: this.exchange.target,
          headers: protocol.requestHeaders(this.exchange.headers, {
            endpoint: endpoint.id,
            remainingMilliseconds: remaining,
            urgency: model === undefined ? undefined : this.route.priority,
            resumeAfter: this.events.lastEventId,
          }),
          body,
        },
        mayRepeat(this.route),
      );
      this.silence = this.watchSilence(this.opened);
      return await this.take(endpoint, await this.opened.result);
    } finally {
      this.silence?.stop();
      this.opened = undefined;
      leave();
    }
  }

  /** Only a request that may run at another endpoint is taken from a silent one. */
  private watchSilence(opened: OpenedRequest): SilenceWatch | undefined {
    const {route} = this;
    if (!mayRepeat(route) || this.runs + 1 >= route.maximumRuns)
      return undefined;
    const {clock} = this.surroundings;
    return SilenceWatch.create(clock, silencePatience(route), () =>
      opened.abort(),
    );
  }

  private async take(
    endpoint: EndpointDescription,
    result: OpenResult,
  ): Promise<SendEnd> {
    const {outliers, clock} = this.surroundings;
    if (result.kind === 'failed') {
      outliers.recordFailure(endpoint.id, clock.now());
      const cause = result.failure.message;
      if (result.reach === 'not_sent') {
        return {kind: 'not_run', cause, isSent: false};
      }
      this.runs += 1;
      return {kind: 'may_have_run', cause};
    }
    const {head, body} = result;
    this.answeredAt = clock.now();
    const {facts, status} = head;
    if (facts.requestId !== undefined && facts.requestId !== this.facts.id) {
      // An answer to an earlier request; what belongs to this one can't be told apart.
      this.opened?.abort();
      this.runs += 1;
      return {kind: 'may_have_run', cause: 'answer to another request'};
    }
    if (facts.isNotRun) {
      void body.read(() => true);
      const {model} = this.facts;
      if (model !== undefined && facts.isMisdirected) {
        this.surroundings.noteMissing(endpoint.id, model);
      }
      return {kind: 'not_run', cause: `status ${status}`, isSent: true};
    }
    this.runs += 1;
    if (isSuccess(head) && !facts.isSealed) {
      this.opened?.abort();
      outliers.recordFailure(endpoint.id, clock.now());
      return {kind: 'may_have_run', cause: 'not the endpoint’s answer'};
    }
    if (this.route.kind === 'stream' && isSuccess(head)) {
      return this.passStream(endpoint, head, body);
    }
    return this.passAnswer(endpoint, head, body);
  }

  private async passStream(
    endpoint: EndpointDescription,
    head: AnswerHead,
    body: Parameters<typeof passEvents>[1],
  ): Promise<SendEnd> {
    const {outliers, clock, protocol} = this.surroundings;
    if (!this.exchange.isAnswering) {
      this.exchange.startResponse(head.status, protocol.answerHeaders(head.headers));
    }
    const end = this.route.isResumable
      ? await passEvents(this.exchange, body, this.events, () =>
          this.silence?.noteHeard(),
        )
      : await body.read(writeTo(this.exchange, body));
    if (end === 'complete' && !this.events.isInsideEvent) {
      outliers.recordSuccess(endpoint.id);
      this.finish('served', () => this.exchange.end());
      return {kind: 'delivered'};
    }
    this.events.discardPartialEvent();
    outliers.recordFailure(endpoint.id, clock.now());
    return {kind: 'stream_broken', cause: 'the stream broke off'};
  }

  private async passAnswer(
    endpoint: EndpointDescription,
    head: AnswerHead,
    body: Parameters<typeof passEvents>[1],
  ): Promise<SendEnd> {
    const {outliers, clock} = this.surroundings;
    const reading = collect(body);
    const collected = await reading.collected;
    if (collected.kind === 'broken') {
      outliers.recordFailure(endpoint.id, clock.now());
      return {kind: 'may_have_run', cause: 'the answer broke off'};
    }
    if (collected.kind === 'long') {
      this.begin(head);
      this.exchange.write(collected.begun);
      reading.passOn(writeTo(this.exchange, body));
      const end = await collected.end;
      if (end === 'broken') {
        return {kind: 'stream_broken', cause: 'the answer broke off'};
      }
      this.finish('served', () => this.exchange.end());
      return {kind: 'delivered'};
    }
    if (head.status >= 500) {
      return {
        kind: 'may_have_run',
        cause: `status ${head.status}`,
        answer: {head, body: collected.body},
      };
    }
    outliers.recordSuccess(endpoint.id);
    this.deliver(head, collected.body);
    return {kind: 'delivered'};
  }

  private deliver(head: AnswerHead, body: Buffer): void {
    const result = isSuccess(head) ? 'served' : `status_${head.status}`;
    this.finish(result, () => {
      this.begin(head);
      this.exchange.end(body);
    });
  }

  private begin(head: AnswerHead): void {
    const {protocol} = this.surroundings;
    this.exchange.startResponse(head.status, protocol.answerHeaders(head.headers));
  }

  private maySendAgain(end: SendEnd): boolean {
    if (this.sends >= MOST_SENDS) return false;
    const {clock, repeats} = this.surroundings;
    if (clock.now() >= this.deadline || this.service === undefined)
      return false;
    const budget = repeats.forService(this.service);
    if (end.kind === 'not_run') return !end.isSent || budget.tryAcquireRetry();
    if (!mayRepeat(this.route) || this.runs >= this.route.maximumRuns) {
      return false;
    }
    return budget.tryAcquireRetry();
  }

  private giveUp(end: SendEnd): void {
    if (end.kind === 'delivered') return;
    if (this.exchange.isAnswering) {
      this.finish('broken', () => this.exchange.cut());
      return;
    }
    if (end.kind === 'may_have_run' && end.answer !== undefined) {
      this.deliver(end.answer.head, end.answer.body);
      return;
    }
    if (end.kind === 'not_run' && this.runs === 0) {
      const {clock} = this.surroundings;
      this.refuse(
        refuseNotRun(
          ErrorCode.EndpointBusy,
          end.cause,
          after(clock.now(), RETURN_MILLISECONDS),
        ),
      );
      return;
    }
    this.refuse(refuseUnknown(end.cause));
  }

  private timeOut(): void {
    if (this.isOver) return;
    if (this.exchange.isAnswering) {
      this.finish('timed_out', () => this.exchange.cut());
      return;
    }
    const isNotRun = this.runs === 0 && this.opened === undefined;
    this.refuse(
      isNotRun
        ? refuseNotRun(ErrorCode.DeadlinePassed, this.route.name)
        : refuseUnknown(`no answer within ${this.route.name}’s time`),
    );
  }

  private refuse(refusal: RefusalError): void {
    if (this.exchange.isAnswering) {
      this.finish('broken', () => this.exchange.cut());
      return;
    }
    const {clock} = this.surroundings;
    const answer = refusalAnswer(refusal, this.facts.id, clock.now());
    this.finish(refusal.code, () => {
      this.exchange.startResponse(answer.status, answer.headers);
      this.exchange.end(answer.body);
    });
  }

  /** Ends the journey once; later ends are ignored. */
  private finish(result: string, answer: () => void): void {
    if (this.isOver) return;
    this.isOver = true;
    this.result = result;
    this.cancelTimeout?.();
    this.cancelled.abort();
    this.opened?.abort();
    answer();
    this.report();
  }

  private sinceReceived(at: Instant | undefined): Milliseconds | undefined {
    return at && Math.round(until(this.exchange.receivedAt, at));
  }

  private report(): void {
    const {clock, emit, noteEnd} = this.surroundings;
    const took = until(this.exchange.receivedAt, clock.now());
    noteEnd(this.route, this.result, took);
    emit(REQUEST_ENDED, {
      id: this.facts.id,
      route: this.route.name,
      version: this.configuration.version,
      model: this.facts.model,
      adapter: this.facts.adapter,
      result: this.result,
      endpoint: this.lastEndpoint,
      sends: this.sends,
      runs: this.runs,
      sentAfter: this.sinceReceived(this.sentAt),
      answeredAfter: this.sinceReceived(this.answeredAt),
      milliseconds: Math.round(took),
    });
  }
}
