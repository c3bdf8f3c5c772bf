/** Ends a caller request once: answered, refused, cut off or timed out. */

import type {
  CancelTimer,
  Instant,
  Milliseconds,
  RefusalError,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  after,
  createNotRunRefusal,
  createUnknownOutcomeRefusal,
  scheduleWhileAwake,
  until,
} from '@siskinmux/kernel';
import {REQUEST_ENDED} from './gateway_events.js';
import type {ProxiedRequestDependencies} from './proxied_request_dependencies.js';
import {refusalResponse} from './refusal_response.js';
import {statementOfRefusal} from './relayed_send.js';
import type {RequestState} from './request_state.js';

/** Endpoints enforce the same deadline; the grace period lets their own response arrive first. */
const TIMEOUT_GRACE_MILLISECONDS: Milliseconds = 30;

/** Bound on an id that a caller sent, in log lines. */
const MAXIMUM_LOGGED_CHARACTERS = 64;

/** Result of a request whose caller got a complete response with a success status. */
export const SERVED = 'served';

/** The end of one request, with its timeout and its log line. */
export class RequestEnding {
  private readonly abortController = new AbortController();
  private endedAs: string | undefined;
  private cancelTimeout: CancelTimer | undefined;

  private constructor(
    private readonly dependencies: Pick<
      ProxiedRequestDependencies,
      'clock' | 'emit' | 'view' | 'onRequestEnd'
    >,
    private readonly state: RequestState,
  ) {}

  static create(
    dependencies: Pick<
      ProxiedRequestDependencies,
      'clock' | 'emit' | 'view' | 'onRequestEnd'
    >,
    state: RequestState,
  ): RequestEnding {
    return new RequestEnding(dependencies, state);
  }

  get isFinished(): boolean {
    return this.endedAs !== undefined;
  }

  /** Whether the caller got a complete response with a success status. */
  get isServed(): boolean {
    return this.endedAs === SERVED;
  }

  /** Aborted when the request has ended. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Ends the request when its caller disconnects or its route's timeout has passed. */
  watch(): void {
    const {exchange, route} = this.state;
    exchange.onDisconnect(() => this.finish('caller_gone', () => {}));
    const {clock} = this.dependencies;
    const timeoutAt = after(exchange.receivedAt, route.timeoutMilliseconds);
    this.cancelTimeout = clock.schedule(timeoutAt, () => {
      const endsAt = after(clock.now(), TIMEOUT_GRACE_MILLISECONDS);
      this.cancelTimeout = scheduleWhileAwake(clock, endsAt, () =>
        this.handleTimeout(),
      );
    });
  }

  /** Ends the request; only the first call has an effect. */
  finish(result: string, respond: () => void): void {
    if (this.isFinished) return;
    this.endedAs = result;
    this.cancelTimeout?.();
    this.abortController.abort();
    this.state.chains.cancel();
    respond();
    this.logEnd(result);
  }

  /** Refuses the request, or cuts off the response that has begun. */
  refuse(refusal: RefusalError): void {
    const {exchange} = this.state;
    if (exchange.hasSentHead) {
      this.finish('broken', () => exchange.cut());
      return;
    }
    this.finish(refusal.code, () => this.writeRefusal(refusal));
  }

  /** Refuses the request after an unexpected error, which may have interrupted its end. */
  refuseAfterError(refusal: RefusalError): void {
    this.refuse(refusal);
    const {exchange} = this.state;
    if (exchange.progress === 'none') this.writeRefusal(refusal);
    else if (!exchange.isOver) exchange.cut();
  }

  /**
   * Ends the request because the process is shutting down. A request that still waits for
   * an endpoint is refused as not run; one that was sent ends with an unknown outcome.
   */
  abandon(): void {
    if (this.isFinished) return;
    const {isNotRun, route} = this.state;
    this.refuse(
      isNotRun
        ? createNotRunRefusal(
            ErrorCode.ShuttingDown,
            route.name,
            this.dependencies.clock.now(),
          )
        : createUnknownOutcomeRefusal('the node stops'),
    );
  }

  private writeRefusal(refusal: RefusalError): void {
    const {exchange, metadata} = this.state;
    const {clock} = this.dependencies;
    const response = refusalResponse(refusal, metadata.id, clock.now());
    const statement = statementOfRefusal(refusal);
    exchange.startResponse(response.status, response.headers, statement);
    exchange.end(response.body);
  }

  private handleTimeout(): void {
    if (this.isFinished) return;
    const {exchange, route, isNotRun} = this.state;
    if (exchange.hasSentHead) {
      this.finish('timed_out', () => exchange.cut());
      return;
    }
    this.refuse(
      isNotRun
        ? createNotRunRefusal(ErrorCode.DeadlinePassed, route.name)
        : createUnknownOutcomeRefusal(`no answer within ${route.name}’s time`),
    );
  }

  private millisecondsSinceReceived(
    at: Instant | undefined,
  ): Milliseconds | undefined {
    return at && Math.round(until(this.state.exchange.receivedAt, at));
  }

  private logEnd(result: string): void {
    const {clock, emit, view, onRequestEnd} = this.dependencies;
    const {exchange, route, metadata, configuration, target} = this.state;
    const {sends, runs, respondedAt, assumedLoad, longestGap} = this.state;
    const viewAge = this.state.viewAge ?? view.age;
    const durationMilliseconds = until(exchange.receivedAt, clock.now());
    onRequestEnd(route, result, durationMilliseconds);
    emit(REQUEST_ENDED, {
      id: metadata.id,
      route: route.name,
      team: this.state.team,
      version: configuration.version,
      model: metadata.model,
      adapter: metadata.adapter,
      result,
      response: exchange.progress,
      endpoint: target?.endpoint?.id,
      softwareVersion: target?.endpoint?.softwareVersion,
      resumes: metadata.resumes?.slice(0, MAXIMUM_LOGGED_CHARACTERS),
      relayedTo: target?.peer,
      isRelayed: exchange.relayed !== undefined || undefined,
      sends,
      runs,
      sentAfter: this.millisecondsSinceReceived(target?.sentAt),
      endpointsAge: viewAge.endpoints,
      routesAge: viewAge.routes,
      engineLoad: assumedLoad?.requests,
      engineLoadAge: assumedLoad?.age,
      answeredAfter: this.millisecondsSinceReceived(respondedAt),
      longestGap: longestGap && Math.round(longestGap),
      milliseconds: Math.round(durationMilliseconds),
    });
  }
}
