/** Declarations of routes, services and engines, independent of the platform's format. */

import type {
  Brand,
  Milliseconds,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';
import type {TeamDeclarations} from './team.js';

export type RouteName = Brand<string, 'RouteName'>;

/** Version number of a route configuration; increases, possibly by more than one. */
export type RouteVersion = Brand<number, 'RouteVersion'>;

/**
 * Which requests are retried: `safe` ones are, `unsafe` ones run at most once, and streams
 * are retried if resumable.
 */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Weight relative to the route's other targets; a target with 0 receives no requests. */
  readonly weight: number;
}

/** Which requests a route matches, where they are sent, and their time limits. */
export interface Route {
  readonly name: RouteName;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum time until a request has its complete response. */
  readonly timeoutMilliseconds: Milliseconds;
  /** Target time to the response, or to the first event of a stream. */
  readonly latencyObjectiveMilliseconds: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /**
   * Maximum number of sends that an endpoint runs or may have run. Sends that certainly
   * did not run don't count.
   */
  readonly maximumRuns: number;
  readonly targets: readonly RouteTarget[];
  /** Whether a broken stream may be resumed at another endpoint. */
  readonly isResumable: boolean;
  /** Maximum time between two events of a stream that is on time. */
  readonly maximumEventGapMilliseconds: Milliseconds;
  /** Whether callers need no key although the configuration has teams. */
  readonly isPublic?: boolean | undefined;
}

/** A model as an engine service offers it. */
export interface ServiceModel {
  readonly name: ModelName;
  readonly weightsMegabytes: number;
  readonly adapterMegabytes: number;
  /** Time of a load without concurrent loads, by the location of the weights. */
  readonly loadMilliseconds: Readonly<Record<WeightTier, Milliseconds>>;
}

/** Where an engine loads a model's weights from, nearest first. */
export type WeightTier = 'memory' | 'disk' | 'store';

/** Properties that all engines of a service share. */
export interface EngineDeclaration {
  /** Maximum number of concurrent requests per engine. */
  readonly slots: number;
  /** Capacity of the key-value cache, shared by running requests and cached prefixes. */
  readonly cacheCapacityTokens: number;
  /** Capacity for the weights of models and adapters together. */
  readonly weightCapacityMegabytes: number;
  readonly maximumAdapters: number;
  /** Limit on loads from the weight store that start per second, over all engines. */
  readonly maximumStoreLoadsPerSecond: number;
  readonly models: ReadonlyMap<ModelName, ServiceModel>;
}

/** A service that routes send requests to. */
export interface RoutedService {
  readonly name: ServiceName;
  /** Path at which any endpoint responds to a GET request, without taking a slot if it can. */
  readonly probePath: string;
  /** Connections that one endpoint accepts in total. */
  readonly maximumConnections: number;
  /** Set for model engines. */
  readonly engine: EngineDeclaration | undefined;
}

/** Limits on a caller's requests and connections. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: Milliseconds;
  /**
   * Minimum time for which a caller's idle connection stays open. Callers reuse
   * connections that have been idle for most of this time.
   */
  readonly idleTimeoutMilliseconds: Milliseconds;
}

/** One version of all declarations. */
export interface RouteConfiguration {
  readonly version: RouteVersion;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceName, RoutedService>;
  readonly limits: CallerLimits;
  /** Undefined if callers need no keys. */
  readonly teams?: TeamDeclarations | undefined;
}

/**
 * Whether a request may be sent to another endpoint although it may already have run at
 * one.
 */
export function isRetryable(route: Route): boolean {
  return (
    route.kind === 'safe' || (route.kind === 'stream' && route.isResumable)
  );
}

/** Callers wait at least this long for the first event of a stream. */
const MINIMUM_FIRST_EVENT_TIMEOUT_MILLISECONDS: Milliseconds = 2_000;

/**
 * Callers also wait for this many latency objectives and maximum event gaps; the longest
 * applies.
 */
const FIRST_EVENT_TIMEOUT_OBJECTIVES = 4;
const FIRST_EVENT_TIMEOUT_GAPS = 8;

/** How long a caller waits for the first event of a stream. */
export function firstEventTimeoutMilliseconds(route: Route): Milliseconds {
  return Math.max(
    MINIMUM_FIRST_EVENT_TIMEOUT_MILLISECONDS,
    route.latencyObjectiveMilliseconds * FIRST_EVENT_TIMEOUT_OBJECTIVES,
    route.maximumEventGapMilliseconds * FIRST_EVENT_TIMEOUT_GAPS,
  );
}

/**
 * Share of the caller's first-event timeout after which a silent endpoint counts as
 * failed.
 */
const STREAM_INACTIVITY_SHARE = 0.6;

/**
 * A response that isn't a stream may take this many latency objectives before the request
 * is retried.
 */
const RESPONSE_INACTIVITY_OBJECTIVES = 2.5;

/**
 * How long an endpoint may send nothing before a retryable request is sent to another
 * endpoint.
 */
export function inactivityTimeoutMilliseconds(route: Route): Milliseconds {
  return route.kind === 'stream'
    ? firstEventTimeoutMilliseconds(route) * STREAM_INACTIVITY_SHARE
    : route.latencyObjectiveMilliseconds * RESPONSE_INACTIVITY_OBJECTIVES;
}
