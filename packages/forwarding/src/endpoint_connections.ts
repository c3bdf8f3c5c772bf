/** The connections to endpoints, by endpoint. */

import type {Clock, EndpointId, Milliseconds} from '@siskinmux/kernel';
import type {OutgoingRequest} from './endpoint_connection.js';
import {EndpointConnection} from './endpoint_connection.js';
import type {EndpointProtocol} from './endpoint_protocol.js';
import type {OpenedRequest} from './opened_request.js';

/**
 * Part of an endpoint's idle limit after which a connection is not used again, by
 * whether the request could be sent a second time. A request that meets the close of
 * its connection has an unknown outcome, so one that can't be repeated takes little risk.
 */
const REUSE_SHARE = {repeatable: 0.8, once: 0.1} as const;

/** Idle connections that are kept for each endpoint; more come and go with a burst. */
const IDLE_CONNECTIONS = 8;

/** Where an endpoint listens. */
export interface EndpointAddress {
  readonly id: EndpointId;
  /** IP number and port. */
  readonly address: string;
}

/** Opens connections when they are needed and keeps some idle. */
export class EndpointConnectionPool {
  private readonly idle = new Map<EndpointId, EndpointConnection[]>();
  private openedCount = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly protocol: EndpointProtocol,
  ) {}

  static create(options: {
    clock: Clock;
    protocol: EndpointProtocol;
  }): EndpointConnectionPool {
    return new EndpointConnectionPool(options.clock, options.protocol);
  }

  /** Connections opened so far. */
  get totalOpened(): number {
    return this.openedCount;
  }

  /** Sends a request over an idle connection or a new one. */
  send(
    endpoint: EndpointAddress,
    request: OutgoingRequest,
    mayRepeat: boolean,
  ): OpenedRequest {
    const connection = this.takeIdle(endpoint.id, mayRepeat);
    return (connection ?? this.open(endpoint)).send(request);
  }

  /** Closes the idle connections to an endpoint that is gone. */
  forget(endpoint: EndpointId): void {
    for (const connection of this.idle.get(endpoint) ?? [])
      connection.destroy();
    this.idle.delete(endpoint);
  }

  /** Closes what has been idle for too long. */
  closeExpired(): void {
    const now = this.clock.now();
    for (const [endpoint, connections] of this.idle) {
      const kept = connections.filter(connection => {
        if (!connection.isExpired(now)) return true;
        connection.destroy();
        return false;
      });
      if (kept.length === 0) this.idle.delete(endpoint);
      else this.idle.set(endpoint, kept);
    }
  }

  private takeIdle(
    endpoint: EndpointId,
    mayRepeat: boolean,
  ): EndpointConnection | undefined {
    const now = this.clock.now();
    const share = mayRepeat ? REUSE_SHARE.repeatable : REUSE_SHARE.once;
    const connections = this.idle.get(endpoint);
    // The connection used last is the one that is least likely to be closing.
    const index =
      connections?.findLastIndex(candidate =>
        candidate.isReusable(now, share),
      ) ?? -1;
    return index < 0 ? undefined : connections?.splice(index, 1)[0];
  }

  private open({id, address}: EndpointAddress): EndpointConnection {
    this.openedCount += 1;
    return EndpointConnection.create(
      `http://${address}`,
      this.clock,
      this.protocol,
      {
        onIdle: connection => this.keep(id, connection),
        onClosed: connection => this.drop(id, connection),
      },
    );
  }

  private keep(endpoint: EndpointId, connection: EndpointConnection): void {
    const connections = this.idle.get(endpoint) ?? [];
    connections.push(connection);
    if (connections.length > IDLE_CONNECTIONS) connections.shift()?.destroy();
    this.idle.set(endpoint, connections);
  }

  private drop(endpoint: EndpointId, connection: EndpointConnection): void {
    const connections = this.idle.get(endpoint);
    const index = connections?.indexOf(connection) ?? -1;
    if (index >= 0) connections?.splice(index, 1);
  }
}

/** Pause between two looks for connections that were idle for too long. */
export const SWEEP_MILLISECONDS: Milliseconds = 1_000;
