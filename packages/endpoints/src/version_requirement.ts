/** Which software versions of endpoints a request can be sent to. */

import type {EndpointDescription, SoftwareVersion} from './endpoint.js';

/**
 * `only` binds the continuation of a stream to the version that began it; an unknown version
 * equals none, not even another unknown one.
 */
export type VersionRequirement =
  | {readonly kind: 'any'}
  | {readonly kind: 'only'; readonly version: SoftwareVersion | undefined};

/** Requirement of a request that doesn't continue anything. */
export const ANY_VERSION: VersionRequirement = {kind: 'any'};

/** Whether an endpoint meets the requirement. */
export function meetsVersion(
  {softwareVersion}: EndpointDescription,
  requirement: VersionRequirement,
): boolean {
  return (
    requirement.kind === 'any' ||
    (softwareVersion !== undefined && softwareVersion === requirement.version)
  );
}
