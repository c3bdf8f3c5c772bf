/** A node that follows this one's allocators, as the holder of the lease sees it. */

import type {
  Instant,
  Milliseconds,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';
import type {Forecast, NodeUsage} from '@siskinmux/placement';
import type {PeerLink} from './peer_link.js';
import {MESSAGE, encodeForecasts} from './placement_messages.js';

/** A node that says nothing for so long is forgotten; it speaks twice a second. */
const SILENCE_MILLISECONDS: Milliseconds = 3_000;

/** A forecast that moved by less is not told again; a load takes ten times as long. */
const TOLD_AGAIN_MILLISECONDS: Milliseconds = 60;

/** One follower. */
export class Follower {
  reachesStore = false;
  private heardAt: Instant;
  /** What it was told last about each model that its requests wait for. */
  private readonly told = new Map<
    ServiceName,
    Map<ModelName, Instant | undefined>
  >();

  private constructor(
    readonly connection: PeerLink,
    now: Instant,
  ) {
    this.heardAt = now;
  }

  static create(link: PeerLink, now: Instant): Follower {
    return new Follower(link, now);
  }

  /** Whether it has been silent for so long that it counts as gone. */
  isGone(now: Instant): boolean {
    return now > after(this.heardAt, SILENCE_MILLISECONDS);
  }

  /** Notes that the node spoke, and which models its requests wait for. */
  noteUsage(
    service: ServiceName,
    {waiting}: NodeUsage,
    reachesStore: boolean,
    now: Instant,
  ): void {
    this.heardAt = now;
    this.reachesStore = reachesStore;
    const before = this.told.get(service);
    this.told.set(
      service,
      new Map(waiting.map(({model}) => [model, before?.get(model)])),
    );
  }

  /** Whether its requests wait for any of some models. */
  waitsFor(service: ServiceName, models: readonly ModelName[]): boolean {
    const told = this.told.get(service);
    return told !== undefined && models.some(model => told.has(model));
  }

  /** Tells what is new to it of the models that its requests wait for. */
  tellForecasts(
    service: ServiceName,
    forecasts: readonly Forecast[],
    now: Instant,
  ): void {
    const told = this.told.get(service);
    if (told === undefined || told.size === 0) return;
    const news = forecasts.filter(({model, readyAt}) => {
      if (!told.has(model)) return false;
      const last = told.get(model);
      if (last === undefined) return true;
      return Math.abs(until(last, readyAt)) >= TOLD_AGAIN_MILLISECONDS;
    });
    if (news.length === 0) return;
    for (const {model, readyAt} of news) told.set(model, readyAt);
    this.connection.notify(MESSAGE.forecasts, encodeForecasts(service, news, now));
  }
}
