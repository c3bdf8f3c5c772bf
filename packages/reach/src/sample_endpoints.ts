/** Draws endpoints to probe. */

import type {EndpointDescription} from '@siskinmux/endpoints';
import type {Random} from '@siskinmux/kernel';
import {randomBelow} from '@siskinmux/kernel';

/** Returns up to `count` random endpoints, each at another address. */
export function sampleEndpoints(
  endpoints: readonly EndpointDescription[],
  count: number,
  random: Random,
): EndpointDescription[] {
  const byAddress = new Map(
    endpoints.map(endpoint => [endpoint.address, endpoint]),
  );
  const remaining = [...byAddress.values()];
  const sample: EndpointDescription[] = [];
  while (sample.length < count && remaining.length > 0) {
    sample.push(...remaining.splice(randomBelow(random, remaining.length), 1));
  }
  return sample;
}
