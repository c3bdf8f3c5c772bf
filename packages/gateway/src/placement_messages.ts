/**
 * Messages between the nodes and the allocator. Instants are sent as remaining
 * milliseconds, since the nodes' clocks differ.
 */

import type {SoftwareVersion} from '@siskinmux/endpoints';
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
  NodeUsage,
  ReadinessForecast,
  WaitingRequests,
} from '@siskinmux/placement';
import {z} from 'zod';
import {feedUpdateSchema} from './change_feed.js';
import {teamStatesSchema} from './team_quota_messages.js';

/** JSON-RPC methods: `allocator.*` are sent to the lease holder, `node.*` to its followers. */
export const PEER_METHODS = {
  hello: 'allocator.hello',
  usage: 'allocator.usage',
  adapter: 'allocator.adapter',
  missingModel: 'allocator.missing',
  suspects: 'allocator.suspects',
  probation: 'allocator.probation',
  probationEnd: 'allocator.probation_end',
  limits: 'allocator.limits',
  permit: 'allocator.permit',
  teamUsage: 'allocator.team_usage',
  teamPermit: 'allocator.team_permit',
  origins: 'allocator.origins',
  leaving: 'allocator.leaving',
  pulse: 'allocator.pulse',
  witness: 'allocator.witness',
  serviceWitness: 'allocator.service_witness',
  relayOffer: 'allocator.relay_offer',
  availableModels: 'node.holdings',
  forecasts: 'node.forecasts',
  allocatorHeartbeat: 'node.alive',
  resign: 'node.resign',
  newSuspects: 'node.suspects',
  newLimits: 'node.limits',
  newLeaving: 'node.leaving',
  testify: 'node.testify',
  testifyService: 'node.testify_service',
  relayPeers: 'node.relay_peers',
} as const;

const name = z.string().min(1);
const count = z.number().int().nonnegative();

/** Handshake of a follower. */
export const helloSchema = z.object({node: name});

/** Response to the handshake: which node responds, and whether it holds the lease. */
export const helloResponseSchema = z.object({
  node: name,
  isHolder: z.boolean(),
});

/** A node's usage of one service, and whether the node reaches the store. */
export const usageSchema = z.object({
  service: name,
  reachesStore: z.boolean(),
  /** Model, requests, priority of the most urgent one, milliseconds until the earliest deadline. */
  waiting: z.array(z.tuple([name, count, z.number(), z.number()])),
  /** The same for requests that only one software version can serve, followed by it. */
  bound: z
    .array(z.tuple([name, count, z.number(), z.number(), name]))
    .default([]),
  /** Engine, model, requests. */
  running: z.array(z.tuple([name, name, count])),
  /** Model, requests. */
  arrived: z.array(z.tuple([name, count])),
  /** Engine, gaps between events, sum of their milliseconds; missing from earlier versions. */
  gaps: z.array(z.tuple([name, count, z.number().nonnegative()])).default([]),
});

/** Request for an engine with an adapter; `excluded` engines have already been tried. */
export const adapterRequestSchema = z.object({
  service: name,
  model: name,
  adapter: name,
  excluded: z.array(name),
});

/** Report that an engine lacks a model, or the adapter that was granted. */
export const missingModelSchema = z.object({
  service: name,
  engine: name,
  model: name,
});

/** An instant of the follower, which the holder repeats in its heartbeats. */
export const pulseSchema = z.object({at: z.number()});

/** Question what a node sees of an endpoint that another node can't connect to. */
export const witnessSchema = z.object({endpoint: name});

/** The answer. */
export const witnessResponseSchema = z.object({
  result: z.enum(['listening', 'refused', 'unknown']),
});

/** Question whether endpoints of a service respond to a node. */
export const serviceWitnessSchema = z.object({service: name});

/** The answer. */
export const serviceWitnessResponseSchema = z.object({responds: z.boolean()});

/**
 * Engine, milliseconds until it is usable, milliseconds of validity; null if no engine was
 * found.
 */
export const grantSchema = z.tuple([name, z.number(), z.number()]).nullable();

/** Engines, each with its available models: all engines of a service, or the changed ones. */
export const availableModelsSchema = z.object({
  service: name,
  engines: z.array(z.tuple([name, z.array(name)])),
});

/** Models, each with the milliseconds until it can be ready at the earliest. */
export const forecastsSchema = z.object({
  service: name,
  models: z.array(z.tuple([name, z.number()])),
  /** The same for requests that only one software version can serve, followed by it. */
  bound: z.array(z.tuple([name, z.number(), name])).default([]),
});

/** The allocator's heartbeat, with what its node has read from the store. */
export const heartbeatSchema = z.object({
  nodes: count,
  reachesStore: z.boolean(),
  /** Concurrent loads that the weight store is assumed to serve at full speed. */
  loadsAtOnce: z.number().int().positive().optional(),
  /** Milliseconds since each of the latest loads from the weight store, oldest first. */
  loadAges: z.array(z.number()).default([]),
  feed: z.array(feedUpdateSchema).default([]),
  /**
   * Engines, each with the requests in flight from all nodes; empty in a small cluster,
   * where each node's own counts suffice.
   */
  loads: z.array(z.tuple([name, count])).default([]),
  /**
   * Slow engines with their slowness; missing from most heartbeats, which leaves what is known
   * unchanged.
   */
  slow: z.array(z.tuple([name, z.number().positive()])).optional(),
  /**
   * The last pulse of the follower that had arrived when this was written, which bounds the
   * time that it took; missing from holders of earlier versions.
   */
  echo: z.number().optional(),
  /** Missing from holders of earlier versions, and if no team has a quota. */
  teams: teamStatesSchema.optional(),
});

/** A heartbeat on the wire. */
export type HeartbeatMessage = z.infer<typeof heartbeatSchema>;

/** Usage on the wire. */
export type UsageMessage = z.infer<typeof usageSchema>;

export function encodeUsage(
  service: ServiceName,
  usage: NodeUsage,
  reachesStore: boolean,
  now: Instant,
): UsageMessage {
  return {
    service,
    reachesStore,
    waiting: usage.waiting.flatMap(requests =>
      requests.boundTo === undefined ? [encodeWaiting(requests, now)] : [],
    ),
    bound: usage.waiting.flatMap(requests =>
      requests.boundTo === undefined
        ? []
        : [[...encodeWaiting(requests, now), requests.boundTo]],
    ),
    running: usage.inFlight.map(({engine, model, count: inFlight}) => [
      engine,
      model,
      inFlight,
    ]),
    arrived: usage.arrived.map(({model, count: arrived}) => [model, arrived]),
    gaps: (usage.gaps ?? []).map(({engine, count: gaps, milliseconds}) => [
      engine,
      gaps,
      Math.round(milliseconds),
    ]),
  };
}

function encodeWaiting(
  {model, count: waiting, priority, earliestDeadline}: WaitingRequests,
  now: Instant,
): [string, number, number, number] {
  return [model, waiting, priority, until(now, earliestDeadline)];
}

export function decodeUsage(message: UsageMessage, now: Instant): NodeUsage {
  return {
    waiting: [...message.waiting, ...message.bound].map(
      ([model, waiting, priority, remaining, boundTo]) => ({
        model: as<ModelName>(model),
        count: waiting,
        priority,
        earliestDeadline: after(now, remaining),
        ...(boundTo !== undefined && {boundTo: as<SoftwareVersion>(boundTo)}),
      }),
    ),
    inFlight: message.running.map(([engine, model, inFlight]) => ({
      engine: as<EndpointId>(engine),
      model: as<ModelName>(model),
      count: inFlight,
    })),
    arrived: message.arrived.map(([model, arrived]) => ({
      model: as<ModelName>(model),
      count: arrived,
    })),
    gaps: message.gaps.map(([engine, gaps, milliseconds]) => ({
      engine: as<EndpointId>(engine),
      count: gaps,
      milliseconds,
    })),
  };
}

export function encodeAdapterRequest(
  service: ServiceName,
  request: AdapterRequest,
): z.infer<typeof adapterRequestSchema> {
  const {model, adapter, excluded} = request;
  return {service, model, adapter, excluded: [...excluded]};
}

export function decodeAdapterRequest(
  message: z.infer<typeof adapterRequestSchema>,
): AdapterRequest {
  return {
    model: as<ModelName>(message.model),
    adapter: as<AdapterName>(message.adapter),
    excluded: new Set(message.excluded.map(id => as<EndpointId>(id))),
  };
}

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
 * Decodes a grant that was requested at `requestedAt`. Its validity counts from then, so
 * that it never ends later than at the allocator.
 */
export function decodeGrant(
  message: unknown,
  requestedAt: Instant,
  now: Instant,
): AdapterGrant | undefined {
  const parsed = grantSchema.safeParse(message);
  if (!parsed.success || parsed.data === null) return undefined;
  const [engine, usableIn, validFor] = parsed.data;
  return {
    engine: as<EndpointId>(engine),
    usableAt: after(now, usableIn),
    validUntil: after(requestedAt, validFor),
  };
}

export function encodeAvailableModels(
  service: ServiceName,
  changes: readonly AvailableModels[],
): z.infer<typeof availableModelsSchema> {
  return {
    service,
    engines: changes.map(({engine, models}) => [engine, [...models]]),
  };
}

export function decodeAvailableModels(
  message: z.infer<typeof availableModelsSchema>,
): AvailableModels[] {
  return message.engines.map(([engine, models]) => ({
    engine: as<EndpointId>(engine),
    models: models.map(model => as<ModelName>(model)),
  }));
}

export function encodeForecasts(
  service: ServiceName,
  forecasts: readonly ReadinessForecast[],
  now: Instant,
): z.infer<typeof forecastsSchema> {
  return {
    service,
    models: forecasts.flatMap(({model, boundTo, readyAt}) =>
      boundTo === undefined ? [[model, Math.round(until(now, readyAt))]] : [],
    ),
    bound: forecasts.flatMap(({model, boundTo, readyAt}) =>
      boundTo === undefined
        ? []
        : [[model, Math.round(until(now, readyAt)), boundTo]],
    ),
  };
}

export function decodeForecasts(
  message: z.infer<typeof forecastsSchema>,
  now: Instant,
): ReadinessForecast[] {
  return [...message.models, ...message.bound].map(
    ([model, remaining, boundTo]) => ({
      model: as<ModelName>(model),
      readyAt: after(now, remaining),
      ...(boundTo !== undefined && {boundTo: as<SoftwareVersion>(boundTo)}),
    }),
  );
}

export function decodeHello(message: z.infer<typeof helloSchema>): NodeId {
  return as<NodeId>(message.node);
}
