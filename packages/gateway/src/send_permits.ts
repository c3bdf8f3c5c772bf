/** This node's permits to send to endpoints that limit their requests. */

import type {PermitDecision, PermitRequest} from '@siskinmux/admission';
import type {
  EndpointDescription,
  EndpointTableChange,
  Incarnation,
} from '@siskinmux/endpoints';
import type {Clock, Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {EndpointLimit, EndpointLimits} from './endpoint_limits.js';

/** When to ask again while there is no lease holder. */
const OWNER_LOST_RETRY_MILLISECONDS: Milliseconds = 250;

/** Access to the node that owns the limits, the lease holder. */
export interface PermitExchange {
  /** Reports limits that this node has read from responses. */
  reportLimits(limits: readonly EndpointLimit[]): void;
  /** Requests permits under a limit; `unowned` if the owner doesn't respond. */
  requestPermit(
    limit: EndpointLimit,
    request: PermitRequest,
  ): Promise<PermitDecision>;
}

/** Why a request may not be sent now, and when it may be tried again. */
export interface PermitRefusal {
  readonly retryAt: Instant;
  /** Whether no lease holder gives out permits now. */
  readonly isUnowned: boolean;
}

/** Whether a request may be sent now, as far as this node knows without asking. */
export type PermitPreview =
  | {readonly kind: 'free' | 'held' | 'ask'}
  | {readonly kind: 'refused' | 'unowned'; readonly retryAt: Instant};

/** Permits that have been granted but not used yet, or when to ask again. */
interface HeldPermits {
  count: number;
  validUntil: Instant;
  refusedUntil: Instant;
}

/** Dependencies of {@link SendPermits}. */
export interface SendPermitsOptions {
  readonly limits: EndpointLimits;
  readonly clock: Clock;
  /** Called for each permit that is used. */
  readonly onPermitUsed: (endpoint: EndpointDescription) => void;
}

/** Obtains permits from the lease holder; without one, limited endpoints get no requests. */
export class SendPermits {
  private readonly held = new Map<Incarnation, HeldPermits>();
  private exchange: PermitExchange | undefined;

  private constructor(private readonly options: SendPermitsOptions) {}

  static create(options: SendPermitsOptions): SendPermits {
    return new SendPermits(options);
  }

  /** Switches to another lease holder, and reports the limits that this node knows. */
  setExchange(exchange: PermitExchange | undefined): void {
    this.exchange = exchange;
    const {limits} = this.options;
    limits.setReporter(limit => exchange?.reportLimits([limit]));
    const known = limits.all;
    if (known.length > 0) exchange?.reportLimits(known);
  }

  /** Drops the permits for endpoints that have ended. */
  applyEndpointChanges(changes: readonly EndpointTableChange[]): void {
    for (const {before, now} of changes) {
      if (before !== undefined && before.incarnation !== now?.incarnation)
        this.held.delete(before.incarnation);
    }
  }

  /** What {@link acquire} would do for a request that doesn't wait. */
  preview({incarnation}: EndpointDescription): PermitPreview {
    const {clock, limits} = this.options;
    if (limits.get(incarnation) === undefined) return {kind: 'free'};
    const now = clock.now();
    const held = this.held.get(incarnation);
    if (held !== undefined && held.count > 0 && now < held.validUntil)
      return {kind: 'held'};
    if (held !== undefined && now < held.refusedUntil)
      return {kind: 'refused', retryAt: held.refusedUntil};
    return this.exchange === undefined
      ? {kind: 'unowned', retryAt: after(now, OWNER_LOST_RETRY_MILLISECONDS)}
      : {kind: 'ask'};
  }

  /** Takes a permit for one send; returns undefined if the request may be sent now. */
  async acquire(
    endpoint: EndpointDescription,
    request: PermitRequest,
    signal: AbortSignal,
  ): Promise<PermitRefusal | undefined> {
    const {clock, limits} = this.options;
    const {incarnation} = endpoint;
    const limit = limits.get(incarnation);
    if (limit === undefined) return undefined;
    const held = this.heldFor(incarnation);
    const now = clock.now();
    if (held.count > 0 && now < held.validUntil) {
      this.use(endpoint, held);
      return undefined;
    }
    if (request.waitUntil === undefined && now < held.refusedUntil)
      return {retryAt: held.refusedUntil, isUnowned: false};
    if (this.exchange === undefined)
      return {
        retryAt: after(now, OWNER_LOST_RETRY_MILLISECONDS),
        isUnowned: true,
      };
    const decision = await this.exchange.requestPermit(limit, request);
    if (decision.kind !== 'granted') {
      if (limits.get(incarnation) === undefined) return undefined;
      const {kind, retryAt} = decision;
      const isUnowned = kind === 'unowned';
      if (request.waitUntil === undefined && !isUnowned)
        held.refusedUntil = retryAt;
      return {retryAt, isUnowned};
    }
    held.count =
      decision.count + (clock.now() < held.validUntil ? held.count : 0);
    held.validUntil = decision.validUntil;
    // The permit of a request that has ended meanwhile is left to another one.
    if (!signal.aborted) this.use(endpoint, held);
    return undefined;
  }

  private use(endpoint: EndpointDescription, held: HeldPermits): void {
    held.count -= 1;
    this.options.onPermitUsed(endpoint);
  }

  private heldFor(incarnation: Incarnation): HeldPermits {
    const existing = this.held.get(incarnation);
    if (existing !== undefined) return existing;
    const now = this.options.clock.now();
    const created = {count: 0, validUntil: now, refusedUntil: now};
    this.held.set(incarnation, created);
    return created;
  }
}
