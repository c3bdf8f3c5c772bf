/** Limits on what clients take of a node, and their reports. */

import type {Registry} from 'prom-client';
import {Counter} from 'prom-client';
import type {
  ClientLimit,
  ConnectionLimits,
  OnClientLimited,
} from '@siskinmux/forwarding';
import type {Clock, EmitEvent, Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import {CLIENT_LIMITED} from './gateway_events.js';

/** Shortest time between two log lines about one limit of one listener. */
const LOG_INTERVAL_MILLISECONDS: Milliseconds = 10_000;

/** Connections of a listener for each megabyte of the process. */
const CONNECTIONS_PER_MEGABYTE = 4;

/** Share of them that clients of one address may have; all callers may come through one balancer. */
const ADDRESS_SHARE = 0.75;

/** A listener whose clients can't be trusted; `all` for connections of any kind. */
export type ListenerName =
  'callers' | 'relays' | 'readiness' | 'metrics' | 'peers' | 'all';

/** Limits on connections that the settings leave open follow from the memory of the process. */
export function connectionLimits(
  settings: {
    readonly connections?: number | undefined;
    readonly connections_per_address?: number | undefined;
  },
  memoryMegabytes: number,
): ConnectionLimits {
  const total =
    settings.connections ??
    Math.ceil(memoryMegabytes * CONNECTIONS_PER_MEGABYTE);
  const perAddress =
    settings.connections_per_address ?? Math.ceil(total * ADDRESS_SHARE);
  return {total, perAddress};
}

/** When a limit was logged last, and how often it has taken effect since then. */
interface Report {
  readonly loggedAt: Instant;
  count: number;
}

/** Counts what limits do to clients, and logs it now and then. */
export class ClientLimitReports {
  private readonly reports = new Map<string, Report>();
  private readonly total: Counter;

  private constructor(
    registry: Registry,
    private readonly clock: Clock,
    private readonly emit: EmitEvent,
  ) {
    this.total = new Counter({
      name: 'siskinmux_client_limits_total',
      help: 'Connections of clients that a limit closed or held back, by listener and limit',
      labelNames: ['listener', 'limit'],
      registers: [registry],
    });
  }

  static create(
    registry: Registry,
    clock: Clock,
    emit: EmitEvent,
  ): ClientLimitReports {
    return new ClientLimitReports(registry, clock, emit);
  }

  /** What a listener calls when a limit has taken effect. */
  of(listener: ListenerName): OnClientLimited {
    return (limit, {remoteAddress, remotePort}) =>
      this.record(listener, limit, `${remoteAddress}:${remotePort}`);
  }

  /** Counts that a limit has taken effect on a connection from or to `address`. */
  record(listener: ListenerName, limit: ClientLimit, address: string): void {
    this.total.inc({listener, limit});
    const key = `${listener} ${limit}`;
    const now = this.clock.now();
    const last = this.reports.get(key);
    if (
      last !== undefined &&
      until(last.loggedAt, now) < LOG_INTERVAL_MILLISECONDS
    ) {
      last.count += 1;
      return;
    }
    this.reports.set(key, {loggedAt: now, count: 0});
    this.emit(CLIENT_LIMITED, {
      listener,
      limit,
      address,
      unlogged: last?.count ?? 0,
    });
  }
}
