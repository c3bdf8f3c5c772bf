/**
 * The request limits that overloaded endpoints name in their responses, each for all nodes
 * together, as far as this node knows them. An endpoint that survives only so many rejections
 * has a limit, too, once it has rejected a request: each further one may be rejected.
 */

import type {
  EndpointDescription,
  EndpointTableChange,
  Incarnation,
} from '@siskinmux/endpoints';
import type {
  RequestLimitStatement,
  ResponseHead,
  ResponseMetadata,
} from '@siskinmux/forwarding';
import type {Clock, EmitEvent, Instant, Milliseconds} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';
import {
  ENDPOINT_LIMIT_CHANGED,
  ENDPOINT_LIMIT_INVALID,
} from './gateway_events.js';

/**
 * Lowest limit that is applied. An endpoint that gets no requests couldn't tell that its
 * overload has ended.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.1;

/** Part of the rejections that an endpoint survives which all nodes may risk together. */
const REJECTION_SHARE = 0.4;

/** How long a limit stays after the last rejection by an endpoint that survives only so many. */
const REJECTION_HOLD_MILLISECONDS: Milliseconds = 2_000;

/** Interval at which nodes tell each other that a limit still applies. */
const REFRESH_MILLISECONDS: Milliseconds = 500;

/** Bound on the known limits; the one that was observed first is dropped. */
const MAXIMUM_KNOWN_LIMITS = 2_000;

/** What is known about the limit of one run of an endpoint. */
export interface EndpointLimit {
  readonly incarnation: Incarnation;
  /** Requests a second from all nodes; undefined if the endpoint no longer names a limit. */
  readonly requestsPerSecond: number | undefined;
  /** When the response arrived that says so. */
  readonly observedAt: Instant;
}

/** Dependencies of {@link EndpointLimits}. */
export interface EndpointLimitsOptions {
  readonly clock: Clock;
  readonly emit: EmitEvent;
}

/** The latest limit of each endpoint. */
export class EndpointLimits {
  private readonly known = new Map<Incarnation, EndpointLimit>();
  /** The last invalid value of each endpoint, which is logged once. */
  private readonly invalidTexts = new Map<Incarnation, string>();

  private report: (limit: EndpointLimit) => void = () => {};

  private constructor(private readonly options: EndpointLimitsOptions) {}

  static create(options: EndpointLimitsOptions): EndpointLimits {
    return new EndpointLimits(options);
  }

  /** Limits in force. */
  get all(): EndpointLimit[] {
    return [...this.known.values()].filter(
      ({requestsPerSecond}) => requestsPerSecond !== undefined,
    );
  }

  /** The limit in force of a run of an endpoint; undefined if it names none. */
  get(incarnation: Incarnation): EndpointLimit | undefined {
    const limit = this.known.get(incarnation);
    return limit?.requestsPerSecond === undefined ? undefined : limit;
  }

  /** Sets a function that is called with each limit that this node reads from a response. */
  setReporter(report: (limit: EndpointLimit) => void): void {
    this.report = report;
  }

  /** Merges limits that other nodes have read; returns those that were news. */
  merge(received: readonly EndpointLimit[]): EndpointLimit[] {
    return received.filter(limit => {
      const {incarnation, requestsPerSecond, observedAt} = limit;
      const known = this.known.get(incarnation);
      if (known !== undefined && known.observedAt >= observedAt) return false;
      if (
        known !== undefined &&
        known.requestsPerSecond === requestsPerSecond
      ) {
        this.known.set(incarnation, limit);
        return false;
      }
      this.put(limit, 'peer');
      return true;
    });
  }

  /** Reads a response. A limit ends with a response to a request that ran and names none. */
  recordResponse(
    {id, incarnation}: EndpointDescription,
    {metadata}: ResponseHead,
  ): void {
    const statement = this.statementOf(metadata);
    if (statement.kind === 'invalid') {
      this.logInvalid(id, incarnation, statement);
      return;
    }
    if (statement.kind === 'none' && !this.endsLimit(incarnation, metadata))
      return;
    const requestsPerSecond =
      statement.kind === 'limit'
        ? Math.max(MINIMUM_REQUESTS_PER_SECOND, statement.requestsPerSecond)
        : undefined;
    const observedAt = this.options.clock.now();
    const limit = {incarnation, requestsPerSecond, observedAt};
    const known = this.get(incarnation);
    if (known?.requestsPerSecond === requestsPerSecond) {
      if (known !== undefined) this.refresh(known, limit);
      return;
    }
    this.put(limit, 'response');
    this.report(limit);
  }

  /** Other nodes count the hold of a limit from the last rejection, too. */
  private refresh(known: EndpointLimit, limit: EndpointLimit): void {
    const refreshAt = after(known.observedAt, REFRESH_MILLISECONDS);
    if (limit.observedAt < refreshAt) return;
    this.known.set(limit.incarnation, limit);
    this.report(limit);
  }

  /** The limit that follows from a response; a named one goes before that of rejections. */
  private statementOf({
    requestLimit,
    rejectionLimit,
    isNotRun,
  }: ResponseMetadata): RequestLimitStatement {
    if (requestLimit.kind !== 'none' || !isNotRun) return requestLimit;
    if (rejectionLimit.kind !== 'limit') return rejectionLimit;
    const requestsPerSecond =
      rejectionLimit.requestsPerSecond * REJECTION_SHARE;
    return {kind: 'limit', requestsPerSecond};
  }

  /** Whether a response that names no limit ends the known one. */
  private endsLimit(
    incarnation: Incarnation,
    {isNotRun, isSealed, rejectionLimit}: ResponseMetadata,
  ): boolean {
    if (isNotRun || !isSealed) return false;
    const known = this.known.get(incarnation);
    if (rejectionLimit.kind !== 'limit' || known === undefined) return true;
    const heldUntil = after(known.observedAt, REJECTION_HOLD_MILLISECONDS);
    return this.options.clock.now() >= heldUntil;
  }

  /** Drops what is known about endpoints that have ended. */
  applyEndpointChanges(changes: readonly EndpointTableChange[]): void {
    for (const {before, now} of changes) {
      if (before === undefined || before.incarnation === now?.incarnation)
        continue;
      this.known.delete(before.incarnation);
      this.invalidTexts.delete(before.incarnation);
    }
  }

  private put(limit: EndpointLimit, source: 'response' | 'peer'): void {
    const {incarnation, requestsPerSecond, observedAt} = limit;
    const {clock, emit} = this.options;
    emit(ENDPOINT_LIMIT_CHANGED, {
      life: incarnation,
      limit: requestsPerSecond,
      before: this.get(incarnation)?.requestsPerSecond,
      source,
      age: Math.round(until(observedAt, clock.now())),
    });
    this.known.delete(incarnation);
    this.known.set(incarnation, limit);
    if (this.known.size <= MAXIMUM_KNOWN_LIMITS) return;
    const [oldest] = this.known.keys();
    if (oldest !== undefined) this.known.delete(oldest);
  }

  private logInvalid(
    endpoint: string,
    incarnation: Incarnation,
    {text}: Extract<RequestLimitStatement, {kind: 'invalid'}>,
  ): void {
    if (this.invalidTexts.get(incarnation) === text) return;
    this.invalidTexts.set(incarnation, text);
    this.options.emit(ENDPOINT_LIMIT_INVALID, {
      endpoint,
      life: incarnation,
      text,
      kept: this.get(incarnation)?.requestsPerSecond,
    });
  }
}
