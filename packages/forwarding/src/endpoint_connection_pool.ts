/** Pool of connections to endpoints. */

import type {Clock, EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {OutgoingRequest} from './endpoint_connection.js';
import {EndpointConnection} from './endpoint_connection.js';
import type {EndpointProtocol} from './endpoint_protocol.js';
import type {SentRequest} from './sent_request.js';
import type {SocketPacer} from './socket_pacer.js';

/**
 * Fraction of an endpoint's idle timeout after which a connection is not reused. A
 * request sent while its connection closes has an unknown outcome, so the fraction is
 * lower for requests that must not be sent twice.
 */
const REUSE_IDLE_FRACTION = {retryable: 0.8, nonRetryable: 0.1} as const;

/** How long connections to an endpoint are not reused after a response to an earlier request. */
const SINGLE_USE_MILLISECONDS: Milliseconds = 30_000;

/** Most idle connections kept for each endpoint; a burst opens more for a short time. */
export const MAXIMUM_IDLE_CONNECTIONS = 8;

/** Network address of an endpoint. */
export interface EndpointAddress {
  readonly id: EndpointId;
  /** IP address and port. */
  readonly address: string;
}

/** Dependencies of {@link EndpointConnectionPool}. */
export interface EndpointConnectionPoolOptions {
  readonly clock: Clock;
  readonly protocol: EndpointProtocol;
  readonly pacer: SocketPacer;
  /** Idle connections that this node may keep to an endpoint. */
  readonly idleLimit: (endpoint: EndpointId) => number;
}

/** Opens connections on demand and keeps some of them idle for reuse. */
export class EndpointConnectionPool {
  private readonly idle = new Map<EndpointId, EndpointConnection[]>();
  /** Endpoints whose connections carry one request each, and until when. */
  private readonly singleUseUntil = new Map<EndpointId, Instant>();
  private openedCount = 0;

  private constructor(
    private readonly options: EndpointConnectionPoolOptions,
  ) {}

  static create(
    options: EndpointConnectionPoolOptions,
  ): EndpointConnectionPool {
    return new EndpointConnectionPool(options);
  }

  /** Number of connections opened since the start. */
  get totalOpened(): number {
    return this.openedCount;
  }

  /** Sends a request over an idle connection that hasn't carried it before, or a new one. */
  send(
    endpoint: EndpointAddress,
    request: OutgoingRequest,
    isRetryable: boolean,
  ): SentRequest {
    const connection = this.acquireIdle(endpoint.id, request, isRetryable);
    return (connection ?? this.open(endpoint)).send(request);
  }

  /**
   * Opens a connection for each request to an endpoint for some time, as its responses can't be
   * told apart: it has responded to an earlier request once more.
   */
  avoidReuse(endpoint: EndpointId): void {
    const end = after(this.options.clock.now(), SINGLE_USE_MILLISECONDS);
    this.singleUseUntil.set(endpoint, end);
    this.closeIdle(endpoint);
  }

  /** Closes the idle connections to a removed endpoint. */
  closeIdle(endpoint: EndpointId): void {
    for (const connection of this.idle.get(endpoint) ?? [])
      connection.destroy();
    this.idle.delete(endpoint);
  }

  /** Closes the connections that have been idle for too long, or exceed the limit. */
  closeExpired(): void {
    const now = this.options.clock.now();
    for (const [endpoint, end] of this.singleUseUntil) {
      if (now >= end) this.singleUseUntil.delete(endpoint);
    }
    for (const [endpoint, connections] of this.idle) {
      const usable = connections.filter(
        connection => !connection.isExpired(now),
      );
      const limit = this.options.idleLimit(endpoint);
      const kept = limit > 0 ? usable.slice(-limit) : [];
      for (const connection of connections) {
        if (!kept.includes(connection)) connection.destroy();
      }
      if (kept.length === 0) this.idle.delete(endpoint);
      else this.idle.set(endpoint, kept);
    }
  }

  private acquireIdle(
    endpoint: EndpointId,
    request: OutgoingRequest,
    isRetryable: boolean,
  ): EndpointConnection | undefined {
    const now = this.options.clock.now();
    const idleFraction = isRetryable
      ? REUSE_IDLE_FRACTION.retryable
      : REUSE_IDLE_FRACTION.nonRetryable;
    const connections = this.idle.get(endpoint);
    // The endpoint is least likely to be closing the most recently used connection.
    const index =
      connections?.findLastIndex(
        candidate =>
          candidate.isReusable(now, idleFraction) &&
          !candidate.hasCarried(request),
      ) ?? -1;
    return index < 0 ? undefined : connections?.splice(index, 1)[0];
  }

  private open({id, address}: EndpointAddress): EndpointConnection {
    this.openedCount += 1;
    return EndpointConnection.create(
      `http://${address}`,
      this.options.clock,
      this.options.protocol,
      this.options.pacer,
      {
        onIdle: connection => this.addIdle(id, connection),
        onClosed: connection => this.removeIdle(id, connection),
      },
    );
  }

  private addIdle(endpoint: EndpointId, connection: EndpointConnection): void {
    if (this.singleUseUntil.has(endpoint)) {
      connection.destroy();
      return;
    }
    const connections = this.idle.get(endpoint) ?? [];
    connections.push(connection);
    if (connections.length > this.options.idleLimit(endpoint))
      connections.shift()?.destroy();
    this.idle.set(endpoint, connections);
  }

  private removeIdle(
    endpoint: EndpointId,
    connection: EndpointConnection,
  ): void {
    const connections = this.idle.get(endpoint);
    const index = connections?.indexOf(connection) ?? -1;
    if (index >= 0) connections?.splice(index, 1);
  }
}

/** Interval at which connections that were idle for too long are closed. */
export const IDLE_SWEEP_INTERVAL_MILLISECONDS: Milliseconds = 1_000;
