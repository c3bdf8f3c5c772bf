/** Nodes, their lease holders and one endpoint that limits its requests, in virtual time. */

import type {PermitDecision} from '@siskinmux/admission';
import {SharedRates} from '@siskinmux/admission';
import type {EndpointDescription, Incarnation} from '@siskinmux/endpoints';
import type {ResponseHead} from '@siskinmux/forwarding';
import type {
  FencingNumber,
  Instant,
  ObjectVersion,
  ServiceName,
} from '@siskinmux/kernel';
import {as, discardEvents} from '@siskinmux/kernel';
import type {LeaseRules} from '@siskinmux/leases';
import {HeldLease} from '@siskinmux/leases';
import type {VirtualClock} from '@siskinmux/testkit';
import {EndpointLimits} from '../src/endpoint_limits.js';
import {
  decodeLimit,
  decodePermitDecision,
  decodePermitRequest,
  encodeLimit,
  encodePermitDecision,
  encodePermitRequest,
} from '../src/limit_messages.js';
import {limitShareOf} from '../src/limit_share.js';
import type {PermitExchange} from '../src/send_permits.js';
import {SendPermits} from '../src/send_permits.js';
import {createEngineDescription} from '@siskinmux/testkit';

export const LEASE_RULES: LeaseRules = {
  leaseMilliseconds: 3_000,
  isFencingEnforced: true,
};

/** The endpoint to which all requests are sent. */
export const ENDPOINT: EndpointDescription = createEngineDescription(
  'e',
  as<ServiceName>('text'),
);

/** A response that names a limit, or none if undefined. */
export function createResponse(
  requestsPerSecond: number | undefined,
): ResponseHead {
  return {
    status: 200,
    framing: 'length',
    headers: [],
    metadata: {
      requestId: undefined,
      isSealed: true,
      isNotRun: false,
      isMisdirected: false,
      isLeaving: false,
      idleTimeoutMilliseconds: undefined,
      rejectionLimit: {kind: 'none'},
      pause: {kind: 'none'},
      requestLimit:
        requestsPerSecond === undefined
          ? {kind: 'none'}
          : {kind: 'limit', requestsPerSecond},
    },
  };
}

/** One node. */
export class LimitNode {
  readonly limits: EndpointLimits;
  readonly permits: SendPermits;
  /** When the node first got a response that names the limit. */
  toldAt: Instant | undefined;

  constructor(private readonly clock: VirtualClock) {
    this.limits = EndpointLimits.create({clock, emit: discardEvents});
    this.permits = SendPermits.create({
      limits: this.limits,
      clock,
      onPermitUsed: () => {},
    });
  }

  /** Sends a request if it may; the endpoint responds at once with its limit. */
  async send(named: number | undefined): Promise<boolean> {
    const refusal = await this.permits.acquire(
      ENDPOINT,
      {priority: 0, waitUntil: undefined},
      new AbortController().signal,
    );
    if (refusal !== undefined) return false;
    this.limits.recordResponse(ENDPOINT, createResponse(named));
    if (named !== undefined) this.toldAt ??= this.clock.now();
    return true;
  }
}

/** A lease holder, which gives out the permits. */
export class LimitHolder {
  readonly lease: HeldLease;
  private readonly rates: SharedRates<Incarnation>;

  constructor(
    private readonly clock: VirtualClock,
    readonly node: LimitNode,
    private readonly onGranted: (count: number) => void,
  ) {
    const now = clock.now();
    this.lease = HeldLease.create({
      term: as<FencingNumber>(1),
      revision: as<ObjectVersion>(1),
      ordersAllowedAt: now,
      rules: LEASE_RULES,
      reading: {steady: now, timeOfDay: now},
    });
    this.rates = SharedRates.create({
      clock,
      share: () => limitShareOf(this.lease, clock.now()),
    });
    for (const limit of node.limits.all)
      this.rates.setLimit(limit.incarnation, limit.requestsPerSecond);
  }

  renew(): void {
    this.lease.recordRenewal(as<ObjectVersion>(1), this.clock.now());
  }

  /** What a node uses to reach this holder; messages pass through their encoding. */
  get exchange(): PermitExchange {
    const {clock, rates, node} = this;
    return {
      reportLimits: limits => {
        for (const limit of limits) {
          const decoded = decodeLimit(
            encodeLimit(limit, clock.now()),
            clock.now(),
          );
          node.limits.merge([decoded]);
          rates.setLimit(decoded.incarnation, decoded.requestsPerSecond);
        }
      },
      requestPermit: async (limit, request): Promise<PermitDecision> => {
        const message = encodePermitRequest(limit, request, clock.now());
        const decoded = decodeLimit(message.limit, clock.now());
        if (node.limits.merge([decoded]).length > 0)
          rates.setLimit(decoded.incarnation, decoded.requestsPerSecond);
        const decision = await rates.request(
          limit.incarnation,
          decodePermitRequest(message, clock.now()),
        );
        if (decision.kind === 'granted') this.onGranted(decision.count);
        return decodePermitDecision(
          encodePermitDecision(decision, clock.now()),
          clock.now(),
        )!;
      },
    };
  }

  stop(): void {
    this.rates.stop();
  }
}
