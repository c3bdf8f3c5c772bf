/**
 * Branded primitive types, so that a host id can't be passed where a model name is expected.
 */

declare const brand: unique symbol;

/** A primitive that carries a compile-time name. */
export type Brand<Base, Name extends string> = Base & {
  readonly [brand]: Name;
};

/** Identity of one siskinmux process; a restarted process has a new one. */
export type NodeId = Brand<string, 'NodeId'>;
/** Identity of a machine, as the platform's host list names it. */
export type HostId = Brand<string, 'HostId'>;
/** Name of a failure domain. */
export type FailureDomain = Brand<string, 'FailureDomain'>;
/** Name of an endpoint: a model engine or an instance of a plain service. */
export type EndpointId = Brand<string, 'EndpointId'>;
/** Name of a model. */
export type ModelName = Brand<string, 'ModelName'>;
/** Name of an adapter. */
export type AdapterName = Brand<string, 'AdapterName'>;
/** Name of a plain service. */
export type ServiceName = Brand<string, 'ServiceName'>;
/** Identity of one request as this system names it; never taken from a caller. */
export type RequestId = Brand<string, 'RequestId'>;
/** The caller's key for a request that may not be repeated. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;
/** Digest of a request's method, target and body. */
export type Fingerprint = Brand<string, 'Fingerprint'>;
/** Version of an object in the platform's object service. */
export type ObjectVersion = Brand<number, 'ObjectVersion'>;
/** Number of an accepted configuration. */
export type ConfigurationNumber = Brand<number, 'ConfigurationNumber'>;
/** Number that grows with each order to an engine; older orders are refused. */
export type FencingNumber = Brand<number, 'FencingNumber'>;

/** Marks a primitive as a branded one; the only place where the cast is written. */
export function as<Branded extends string | number>(
  value: Branded extends string ? string : number,
): Branded {
  return value as unknown as Branded;
}
