/**
 * Messages between the nodes and the allocator. Instants travel as the milliseconds that
 * are left, since the nodes' clocks differ.
 */

import type {
  AdapterName,
  EndpointId,
  Instant,
  ModelName,
  NodeId,
  ServiceName,
} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import type {
  AdapterGrant,
  AdapterRequest,
  AvailableModels,
  ReadinessForecast,
  NodeUsage,
} from '@siskinmux/placement';
import {z} from 'zod';
import {feedPartSchema} from './change_feed.js';

/** Names of the messages. */
export const MESSAGE = {
  hello: 'allocator.hello',
  usage: 'allocator.usage',
  adapter: 'allocator.adapter',
  missing: 'allocator.missing',
  holdings: 'node.holdings',
  forecasts: 'node.forecasts',
  alive: 'node.alive',
  resign: 'node.resign',
} as const;

const name = z.string().min(1);
const count = z.number().int().nonnegative();

/** A node introduces itself. */
export const helloSchema = z.object({node: name});

/** The answer: who is there, and whether it holds the lease. */
export const helloAnswerSchema = z.object({node: name, isHolder: z.boolean()});

/** What a node needs of one service, and whether the store answers it. */
export const usageSchema = z.object({
  service: name,
  reachesStore: z.boolean(),
  /** Model, requests, rank, milliseconds left. */
  waiting: z.array(z.tuple([name, count, z.number(), z.number()])),
  /** Engine, model, requests. */
  running: z.array(z.tuple([name, name, count])),
  /** Model, requests. */
  arrived: z.array(z.tuple([name, count])),
});

export const adapterSchema = z.object({
  service: name,
  model: name,
  adapter: name,
  excluded: z.array(name),
});

/** An engine that does not have a model, or the adapter that was granted. */
export const missingSchema = z.object({
  service: name,
  engine: name,
  model: name,
});

/** Engine, milliseconds until it can be used, milliseconds of validity; null when there is none. */
export const grantSchema = z.tuple([name, z.number(), z.number()]).nullable();

/** Whole or changed holdings of a service's engines. */
export const holdingsSchema = z.object({
  service: name,
  engines: z.array(z.tuple([name, z.array(name)])),
});

/** Model and milliseconds until it can be ready. */
export const forecastsSchema = z.object({
  service: name,
  models: z.array(z.tuple([name, z.number()])),
});

/** The allocator's sign of life, with what its node has read from the store. */
export const aliveSchema = z.object({
  nodes: count,
  reachesStore: z.boolean(),
  /** Loads that the weight store carries at full speed, as far as is known. */
  loadsAtOnce: z.number().int().positive().optional(),
  feed: z.array(feedPartSchema).default([]),
  /** Engine and requests of all nodes; empty where few nodes know enough by themselves. */
  loads: z.array(z.tuple([name, count])).default([]),
});

/** A sign of life on the wire. */
export type AliveMessage = z.infer<typeof aliveSchema>;

/** Usage on the wire. */
export type UsageMessage = z.infer<typeof usageSchema>;

/** Encodes what a node needs. */
export function encodeUsage(
  service: ServiceName,
  usage: NodeUsage,
  reachesStore: boolean,
  now: Instant,
): UsageMessage {
  return {
    service,
    reachesStore,
    waiting: usage.waiting.map(
      ({model, count: waiting, priority, expiresAt}) => [
        model,
        waiting,
        priority,
        until(now, expiresAt),
      ],
    ),
    running: usage.running.map(({engine, model, count: running}) => [
      engine,
      model,
      running,
    ]),
    arrived: usage.arrived.map(({model, count: arrived}) => [model, arrived]),
  };
}

/** Decodes what a node needs. */
export function decodeUsage(message: UsageMessage, now: Instant): NodeUsage {
  return {
    waiting: message.waiting.map(([model, waiting, priority, left]) => ({
      model: as<ModelName>(model),
      count: waiting,
      priority,
      expiresAt: after(now, left),
    })),
    running: message.running.map(([engine, model, running]) => ({
      engine: as<EndpointId>(engine),
      model: as<ModelName>(model),
      count: running,
    })),
    arrived: message.arrived.map(([model, arrived]) => ({
      model: as<ModelName>(model),
      count: arrived,
    })),
  };
}

/** Encodes what an adapter is needed for. */
export function encodeNeed(
  service: ServiceName,
  need: AdapterRequest,
): z.infer<typeof adapterSchema> {
  const {model, adapter, excluded} = need;
  return {service, model, adapter, excluded: [...excluded]};
}

/** Decodes what an adapter is needed for. */
export function decodeNeed(
  message: z.infer<typeof adapterSchema>,
): AdapterRequest {
  return {
    model: as<ModelName>(message.model),
    adapter: as<AdapterName>(message.adapter),
    excluded: new Set(message.excluded.map(id => as<EndpointId>(id))),
  };
}

/** Encodes a grant. */
export function encodeGrant(
  grant: AdapterGrant | undefined,
  now: Instant,
): z.infer<typeof grantSchema> {
  if (grant === undefined) return null;
  return [
    grant.engine,
    Math.max(0, until(now, grant.usableAt)),
    until(now, grant.validUntil),
  ];
}

/**
 * Decodes a grant that was asked for at `askedAt`: its validity counts from then, so
 * that it never ends later than the allocator believes.
 */
export function decodeGrant(
  message: unknown,
  askedAt: Instant,
  now: Instant,
): AdapterGrant | undefined {
  const parsed = grantSchema.safeParse(message);
  if (!parsed.success || parsed.data === null) return undefined;
  const [engine, usable, valid] = parsed.data;
  return {
    engine: as<EndpointId>(engine),
    usableAt: after(now, usable),
    validUntil: after(askedAt, valid),
  };
}

/** Encodes holdings. */
export function encodeHoldings(
  service: ServiceName,
  holdings: readonly AvailableModels[],
): z.infer<typeof holdingsSchema> {
  return {
    service,
    engines: holdings.map(({engine, models}) => [engine, [...models]]),
  };
}

/** Decodes holdings. */
export function decodeHoldings(
  message: z.infer<typeof holdingsSchema>,
): AvailableModels[] {
  return message.engines.map(([engine, models]) => ({
    engine: as<EndpointId>(engine),
    models: models.map(model => as<ModelName>(model)),
  }));
}

/** Encodes forecasts. */
export function encodeForecasts(
  service: ServiceName,
  forecasts: readonly ReadinessForecast[],
  now: Instant,
): z.infer<typeof forecastsSchema> {
  return {
    service,
    models: forecasts.map(({model, readyAt}) => [
      model,
      Math.round(until(now, readyAt)),
    ]),
  };
}

/** Decodes forecasts. */
export function decodeForecasts(
  message: z.infer<typeof forecastsSchema>,
  now: Instant,
): ReadinessForecast[] {
  return message.models.map(([model, left]) => ({
    model: as<ModelName>(model),
    readyAt: after(now, left),
  }));
}

/** Identity of a node as it introduces itself. */
export function decodeHello(message: z.infer<typeof helloSchema>): NodeId {
  return as<NodeId>(message.node);
}
