/** The lease holder's record of another node that uses its allocators. */

import type {
  Instant,
  Milliseconds,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';
import type {
  NodeUsage,
  ReadinessForecast,
  WaitingKey,
} from '@siskinmux/placement';
import {waitingKey} from '@siskinmux/placement';
import type {PeerConnection} from './peer_connection.js';
import {PEER_METHODS, encodeForecasts} from './placement_messages.js';

/** A follower without a usage report for this long is removed; it sends at least two per second. */
const FOLLOWER_TIMEOUT_MILLISECONDS: Milliseconds = 3_000;

/** Minimum change for which a forecast is sent again; about a tenth of the time to load a model. */
const FORECAST_CHANGE_MILLISECONDS: Milliseconds = 60;

/** Tracks a follower's liveness and the models that its requests wait for. */
export class Follower {
  /** Whether the follower's last usage report says that it reaches the metadata store. */
  reachesStore = false;
  /** The follower's last pulse; undefined before the first. */
  pulse: number | undefined;
  private lastReportAt: Instant;
  /** Last forecast sent for each model that the follower's requests wait for. */
  private readonly sentForecasts = new Map<
    ServiceName,
    Map<WaitingKey, Instant | undefined>
  >();
  private readonly awaitedModels = new Map<
    ServiceName,
    ReadonlySet<ModelName>
  >();

  private constructor(
    readonly connection: PeerConnection,
    now: Instant,
  ) {
    this.lastReportAt = now;
  }

  static create(connection: PeerConnection, now: Instant): Follower {
    return new Follower(connection, now);
  }

  /** Whether the follower has been silent for longer than the timeout. */
  isExpired(now: Instant): boolean {
    return now > after(this.lastReportAt, FOLLOWER_TIMEOUT_MILLISECONDS);
  }

  /** Records a usage report, which also shows that the follower is alive. */
  recordUsage(
    service: ServiceName,
    {waiting}: NodeUsage,
    reachesStore: boolean,
    now: Instant,
  ): void {
    this.lastReportAt = now;
    this.reachesStore = reachesStore;
    const previous = this.sentForecasts.get(service);
    this.sentForecasts.set(
      service,
      new Map(
        waiting.map(requests => {
          const key = waitingKey(requests);
          return [key, previous?.get(key)];
        }),
      ),
    );
    this.awaitedModels.set(service, new Set(waiting.map(({model}) => model)));
  }

  /** Whether any of the follower's requests wait for one of the models. */
  isWaitingFor(service: ServiceName, models: readonly ModelName[]): boolean {
    const awaited = this.awaitedModels.get(service);
    return awaited !== undefined && models.some(model => awaited.has(model));
  }

  /** Sends new and changed forecasts of the models that the follower's requests wait for. */
  sendForecasts(
    service: ServiceName,
    forecasts: readonly ReadinessForecast[],
    now: Instant,
  ): void {
    const sent = this.sentForecasts.get(service);
    if (sent === undefined || sent.size === 0) return;
    const changed = forecasts.filter(forecast => {
      const {readyAt} = forecast;
      const key = waitingKey(forecast);
      if (!sent.has(key)) return false;
      const last = sent.get(key);
      if (last === undefined) return true;
      return Math.abs(until(last, readyAt)) >= FORECAST_CHANGE_MILLISECONDS;
    });
    if (changed.length === 0) return;
    for (const forecast of changed)
      sent.set(waitingKey(forecast), forecast.readyAt);
    this.connection.notify(
      PEER_METHODS.forecasts,
      encodeForecasts(service, changed, now),
    );
  }
}
