/** What operators declare about routes, services and engines, in the product's own terms. */

import type {
  Brand,
  Milliseconds,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';

/** Name of a route. */
export type RouteName = Brand<string, 'RouteName'>;

/** Number of a route configuration; versions only grow, in uneven steps. */
export type RouteVersion = Brand<number, 'RouteVersion'>;

/** What may be repeated: `safe` requests may, `unsafe` run at most once, streams may if resumable. */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** A service that a route sends to, with its share. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Share of the route's requests, relative to the other targets; 0 takes none. */
  readonly weight: number;
}

/** A route: which requests it takes, where they go, and how long they may take. */
export interface Route {
  readonly name: RouteName;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request may be kept waiting for its whole answer. */
  readonly timeoutMilliseconds: Milliseconds;
  /** Latency objective: to the answer, or to a stream's first event. */
  readonly latencyObjectiveMilliseconds: Milliseconds;
  /** Rank among routes; 0 is the most urgent. */
  readonly priority: number;
  /** Endpoints that may run one request, at most. */
  readonly maximumAttempts: number;
  readonly targets: readonly RouteTarget[];
  /** Whether a broken stream may go on at another endpoint. */
  readonly isResumable: boolean;
  /** Longest pause between two events with which a stream is still on time. */
  readonly maximumEventGapMilliseconds: Milliseconds;
}

/** A model as an engine service offers it. */
export interface ModelDeclaration {
  readonly name: ModelName;
  readonly weightsMegabytes: number;
  readonly adapterMegabytes: number;
  /** Time of a load alone, by where the nearest copy of the weights is. */
  readonly loadMilliseconds: Readonly<Record<WeightTier, Milliseconds>>;
}

/** Where an engine finds a copy of a model's weights. */
export type WeightTier = 'memory' | 'disk' | 'store';

/** What all engines of a service have in common. */
export interface EngineDeclaration {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens that running requests and kept prefixes share. */
  readonly cacheCapacityTokens: number;
  /** Room for weights and adapters together. */
  readonly weightCapacityMegabytes: number;
  readonly maximumAdapters: number;
  /** Loads from the weight store that may begin each second, over all engines. */
  readonly maximumStoreLoadsPerSecond: number;
  readonly models: ReadonlyMap<ModelName, ModelDeclaration>;
}

/** A service that routes send to. */
export interface ServiceDeclaration {
  readonly name: ServiceName;
  /** Path of an endpoint's health check. */
  readonly healthPath: string;
  /** Connections that one endpoint accepts from all callers together. */
  readonly maximumConnections: number;
  /** Set for model engines. */
  readonly engine: EngineDeclaration | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: Milliseconds;
  /** Callers reuse connections that were idle for most of this time. */
  readonly idleTimeoutMilliseconds: Milliseconds;
}

/** One version of everything that the operators declare. */
export interface RouteConfiguration {
  readonly version: RouteVersion;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceName, ServiceDeclaration>;
  readonly limits: CallerLimits;
}

/** Whether a request of this route may reach a second endpoint after it may have run at one. */
export function mayRepeat(route: Route): boolean {
  return (
    route.kind === 'safe' || (route.kind === 'stream' && route.isResumable)
  );
}

/** Callers give a stream up after a gap of so long at least. */
const SHORTEST_PATIENCE_MILLISECONDS: Milliseconds = 2_000;

/** Or of so many objectives, or so many longest gaps, whichever is longest. */
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_GAPS = 8;

/** How long a caller of a stream waits for its first event. */
export function firstEventPatience(route: Route): Milliseconds {
  return Math.max(
    SHORTEST_PATIENCE_MILLISECONDS,
    route.latencyObjectiveMilliseconds * PATIENCE_OBJECTIVES,
    route.maximumEventGapMilliseconds * PATIENCE_GAPS,
  );
}

/** Part of a caller's patience after which silence is taken for a dead endpoint. */
const SILENT_SHARE = 0.6;

/** Objectives that an answer without a stream may be late before it is asked for elsewhere. */
const SILENT_OBJECTIVES = 2.5;

/**
 * How long an endpoint may be silent before a request that may be repeated is sent to
 * another one.
 */
export function silencePatience(route: Route): Milliseconds {
  return route.kind === 'stream'
    ? firstEventPatience(route) * SILENT_SHARE
    : route.latencyObjectiveMilliseconds * SILENT_OBJECTIVES;
}
