/**
 * Branded primitive types, so that a host ID can't be passed where a model name is expected.
 */

declare const brand: unique symbol;

/** A primitive type that is distinguished by a compile-time name. */
export type Brand<Base, Name extends string> = Base & {
  readonly [brand]: Name;
};

/** Identity of one siskinmux process; a restarted process has a new one. */
export type NodeId = Brand<string, 'NodeId'>;
/** Name of a host, as in the settings of its node and in the platform's host list. */
export type HostId = Brand<string, 'HostId'>;
/** Name of a failure domain. */
export type FailureDomain = Brand<string, 'FailureDomain'>;
/** Name of an endpoint: a model engine or an instance of a plain service. */
export type EndpointId = Brand<string, 'EndpointId'>;
/** Name of a model. */
export type ModelName = Brand<string, 'ModelName'>;
/** Name of an adapter. */
export type AdapterName = Brand<string, 'AdapterName'>;
/** Name of a plain service, or of a group of engines that routes send requests to. */
export type ServiceName = Brand<string, 'ServiceName'>;
/** Name of a team: callers that share keys, a rank and a quota. */
export type TeamName = Brand<string, 'TeamName'>;
/** SHA-256 digest of a caller's API key, in base64url. */
export type ApiKeyDigest = Brand<string, 'ApiKeyDigest'>;
/**
 * Identity of one request. Request nodes generate it; gateway nodes use the ID that the
 * caller sends, or an empty one if it sends none.
 */
export type RequestId = Brand<string, 'RequestId'>;
/** The caller's key for a request that must not run twice. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;
/** Digest of a request's content, equal for requests that an endpoint can't tell apart. */
export type Fingerprint = Brand<string, 'Fingerprint'>;
/**
 * Version of an object in the object service, or of a write in the metadata store: its era and
 * revision, see `store_version.ts`.
 */
export type ObjectVersion = Brand<number, 'ObjectVersion'>;
/** Rises each time the metadata store returns from an older copy of itself. */
export type StoreEra = Brand<number, 'StoreEra'>;
/** Number of an accepted configuration. */
export type ConfigurationNumber = Brand<number, 'ConfigurationNumber'>;
/**
 * Fencing token of an order to an engine, which rejects orders with smaller numbers than
 * the greatest it has seen. Allocators of request nodes number each order; in the gateway,
 * it is the term of the lease.
 */
export type FencingNumber = Brand<number, 'FencingNumber'>;

/** Casts a primitive to a branded type; all other code relies on this single cast. */
export function as<Branded extends string | number>(
  value: Branded extends string ? string : number,
): Branded {
  return value as unknown as Branded;
}
