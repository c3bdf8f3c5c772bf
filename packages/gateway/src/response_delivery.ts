/** Receives an endpoint's response and passes it on to the caller. */

import type {BodyEnd, ResponseBody, ResponseHead} from '@siskinmux/forwarding';
import type {EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import type {AttemptChain} from './attempt_chains.js';
import type {AttemptResult, ResponseSource} from './attempt_result.js';
import type {ProxiedRequestDependencies} from './proxied_request_dependencies.js';
import type {RelayObserver} from './relay_response.js';
import {
  bufferBody,
  isContinuation,
  isEventStream,
  isSuccess,
  relayEvents,
  waitForEvent,
  withoutLength,
  writeWithBackpressure,
} from './relay_response.js';
import type {RequestEnding} from './request_ending.js';
import {SERVED} from './request_ending.js';
import type {RequestState} from './request_state.js';
import {findBreak} from './response_end.js';
import type {StreamBinding} from './stream_binding.js';

/** Told of the events of a stream, and of pauses that its caller causes. */
export type DeliveryObserver = Omit<RelayObserver, 'onFault'>;

/**
 * How long two endpoints may work on one stream that has begun, after the second has responded. A
 * stream may not go on at one while another still works on it 400 ms later.
 */
const CONCURRENT_CONTINUATION_MILLISECONDS: Milliseconds = 300;

/** How a send ended whose response is no longer needed. */
const SUPERSEDED: AttemptResult = {
  kind: 'may_have_run',
  cause: 'another endpoint went on first',
  isCut: true,
};

/** The response that one caller gets, which several endpoints may contribute to. */
export class ResponseDelivery {
  /** Head of the response that began the stream which the caller gets. */
  private streamHead: ResponseHead | undefined;

  private constructor(
    private readonly dependencies: Pick<
      ProxiedRequestDependencies,
      'protocol' | 'clock' | 'outliers' | 'crashDetector' | 'eventGaps'
    >,
    private readonly state: RequestState,
    private readonly ending: RequestEnding,
    private readonly binding: StreamBinding,
  ) {}

  static create(
    dependencies: Pick<
      ProxiedRequestDependencies,
      'protocol' | 'clock' | 'outliers' | 'crashDetector' | 'eventGaps'
    >,
    state: RequestState,
    ending: RequestEnding,
    binding: StreamBinding,
  ): ResponseDelivery {
    return new ResponseDelivery(dependencies, state, ending, binding);
  }

  /** Whether the response of another endpoint could still be passed on. */
  get isContinuable(): boolean {
    const {exchange, events} = this.state;
    return (
      !exchange.hasSentHead ||
      (this.streamHead !== undefined && events.canContinue)
    );
  }

  /** Passes the response of an endpoint on to the caller. */
  passOn(
    chain: AttemptChain,
    source: ResponseSource,
    head: ResponseHead,
    body: ResponseBody,
    observer: DeliveryObserver = {},
  ): AttemptResult | Promise<AttemptResult> {
    if (
      this.streamHead !== undefined &&
      !isContinuation(this.streamHead, head)
    ) {
      chain.abort('invalid_response');
      const cause = `status ${head.status} instead of the rest of the stream`;
      return {kind: 'stream_broken', cause, canResume: false, isCut: false};
    }
    return this.state.route.kind === 'stream' &&
      isSuccess(head) &&
      isEventStream(head)
      ? this.relayStream(chain, source, head, body, observer)
      : this.relayResponse(chain, source, head, body);
  }

  /** Answers the caller with a response that has been received whole. */
  sendResponse(source: ResponseSource, head: ResponseHead, body: Buffer): void {
    const result = isSuccess(head) ? SERVED : `status_${head.status}`;
    this.ending.finish(result, () => {
      this.startResponse(source, head);
      this.state.exchange.end(body);
    });
  }

  private async relayStream(
    chain: AttemptChain,
    source: ResponseSource,
    head: ResponseHead,
    body: ResponseBody,
    observer: DeliveryObserver,
  ): Promise<AttemptResult> {
    const {endpoint, isRelayed} = source;
    const {protocol, clock, eventGaps} = this.dependencies;
    const {exchange, events, route, chains} = this.state;
    if (chains.hasOther(chain) || !chain.tryLead()) {
      const failure = await this.waitToLead(chain, source, head, body);
      if (failure !== undefined) return failure;
    }
    const isContinued = this.streamHead !== undefined;
    // A stream that breaks off before its first event still gets a refusal as its answer.
    const begin = (): void => {
      if (exchange.hasSentHead) return;
      this.streamHead = head;
      const headers = protocol.responseHeaders(head.headers);
      this.startResponse(
        source,
        head,
        route.isResumable ? withoutLength(headers) : headers,
      );
    };
    let hasEvents = false;
    let {eventCount} = events;
    let latestEventAt: Instant | undefined;
    let unexpected: {readonly failure: unknown} | undefined;
    const end = await relayEvents(exchange, body, events, {
      ...observer,
      onEvents: () => {
        hasEvents = true;
        if (events.eventCount > eventCount) chain.supersedeOthers();
        const now = clock.now();
        if (latestEventAt !== undefined) {
          const gap = until(latestEventAt, now);
          this.state.longestGap = Math.max(this.state.longestGap ?? 0, gap);
          if (endpoint !== undefined)
            eventGaps.record(endpoint.id, events.eventCount - eventCount, gap);
        }
        latestEventAt = now;
        eventCount = events.eventCount;
        try {
          begin();
        } catch (failure) {
          // The connection's parser would keep it.
          unexpected = {failure};
          throw failure;
        }
        observer.onEvents?.();
        if (endpoint !== undefined) this.binding.bind(endpoint);
      },
      onFault: () => chain.abort('invalid_response'),
    });
    if (unexpected !== undefined)
      throw (unexpected as {readonly failure: unknown}).failure;
    // A close right after the head says nothing; for the rest of a stream, only a last chunk does.
    const isEmpty =
      !hasEvents &&
      (isContinued ? head.framing !== 'chunks' : head.framing === 'close');
    const {fault} = events;
    const cause =
      fault ??
      (await this.findBreak(source, head, end)) ??
      (isEmpty ? 'a stream that ended before its first event' : undefined);
    this.recordEnd(chain, source, cause);
    if (cause === undefined) {
      chain.supersedeOthers();
      this.ending.finish(SERVED, () => {
        begin();
        exchange.end();
      });
      return {kind: 'delivered'};
    }
    const {canContinue} = events;
    events.beginContinuation();
    // Another node goes on with a stream as long as it can.
    const canResume = route.isResumable && canContinue && !isRelayed;
    const isCut = fault === undefined && !isRelayed;
    return {kind: 'stream_broken', cause, canResume, isCut};
  }

  /** Waits until a stream has something to pass on, while another endpoint may still go on. */
  private async waitToLead(
    chain: AttemptChain,
    source: ResponseSource,
    {framing}: ResponseHead,
    body: ResponseBody,
  ): Promise<AttemptResult | undefined> {
    const {clock} = this.dependencies;
    const {events, exchange, chains} = this.state;
    const found = await waitForEvent(
      body,
      events.fork(),
      exchange.memory,
      endWait =>
        exchange.hasSentHead
          ? clock.schedule(
              after(clock.now(), CONCURRENT_CONTINUATION_MILLISECONDS),
              endWait,
            )
          : () => {},
    );
    // Only a last chunk shows that no event was due.
    const isWholeWithoutEvent =
      found === 'end' && (framing === 'chunks' || !chains.hasOther(chain));
    if (found === 'event' || found === 'late' || isWholeWithoutEvent)
      return (await chain.lead()) ? undefined : SUPERSEDED;
    chain.abort('invalid_response');
    const cause = `${found} before its first event`;
    if (found !== 'no_memory') this.recordEnd(chain, source, cause);
    const isCut = found === 'broken' && !source.isRelayed;
    return {kind: 'may_have_run', cause, isCut};
  }

  private async relayResponse(
    chain: AttemptChain,
    source: ResponseSource,
    head: ResponseHead,
    body: ResponseBody,
  ): Promise<AttemptResult> {
    const {exchange, chains} = this.state;
    const isCut = !source.isRelayed;
    const buffering = bufferBody(body, exchange.memory);
    const result = await buffering.result;
    // An error of one endpoint is no reason to end the run of another.
    const isSpare = head.status >= 500 && chains.hasOther(chain);
    if (result.kind === 'long' && isSpare) {
      chain.abort('superseded');
      return {
        kind: 'may_have_run',
        cause: `status ${head.status}`,
        isCut: false,
      };
    }
    if (result.kind === 'long') {
      if (!(await chain.lead())) return SUPERSEDED;
      this.startResponse(source, head);
      const relayRest = (): void =>
        buffering.relayRest(writeWithBackpressure(exchange, body));
      if (exchange.write(result.buffered)) relayRest();
      else exchange.onDrain(relayRest);
      const cause = await this.findBreak(source, head, await result.end);
      if (cause !== undefined)
        return {kind: 'stream_broken', cause, canResume: false, isCut};
      this.ending.finish(SERVED, () => exchange.end());
      return {kind: 'delivered'};
    }
    const cause = await this.findBreak(source, head, result.end);
    if (cause !== undefined) {
      this.recordEnd(chain, source, cause);
      return {kind: 'may_have_run', cause, isCut};
    }
    if (head.status >= 500 && (isSpare || !source.isRelayed)) {
      return {
        kind: 'may_have_run',
        cause: `status ${head.status}`,
        isCut: false,
        response: {source, head, body: result.body},
      };
    }
    this.recordEnd(chain, source, undefined);
    if (!(await chain.lead())) return SUPERSEDED;
    this.sendResponse(source, head, result.body);
    return {kind: 'delivered'};
  }

  private recordEnd(
    chain: AttemptChain,
    {endpoint, isRelayed, sentAt}: ResponseSource,
    cause: string | undefined,
  ): void {
    const {outliers, clock} = this.dependencies;
    if (isRelayed || endpoint === undefined) return;
    if (cause === undefined) outliers.recordSuccess(endpoint.id);
    else if (!chain.wasOnlySlower)
      outliers.recordFailure(endpoint.id, clock.now(), sentAt);
  }

  private findBreak(
    {endpoint, isRelayed}: ResponseSource,
    {framing}: ResponseHead,
    end: BodyEnd,
  ): Promise<string | undefined> {
    const {hasPartialEvent} = this.state.events;
    const {crashDetector} = this.dependencies;
    return findBreak({end, framing, hasPartialEvent}, async () =>
      // A node resets a response that only a close would end.
      isRelayed || endpoint === undefined
        ? isRelayed
        : crashDetector.isRunning(endpoint),
    );
  }

  private startResponse(
    {endpoint}: ResponseSource,
    head: ResponseHead,
    headers = this.dependencies.protocol.responseHeaders(head.headers),
  ): void {
    const {exchange, progress} = this.state;
    exchange.startResponse(head.status, headers, {
      kind: 'endpoint',
      endpoint: endpoint?.id ?? as<EndpointId>(''),
      runs: progress.runs,
    });
  }
}
