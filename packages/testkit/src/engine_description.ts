/** Engine descriptions for tests. */

import type {EndpointDescription, Incarnation} from '@siskinmux/endpoints';
import type {
  EndpointId,
  FailureDomain,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';

/** Slots of each described engine. */
export const ENGINE_SLOTS = 16;

/** Describes an engine that has loaded the given models and no adapters. */
export function createEngineDescription(
  name: string,
  service: ServiceName,
  models: readonly ModelName[] = [],
): EndpointDescription {
  return {
    id: as<EndpointId>(name),
    incarnation: as<Incarnation>(`${name}@1`),
    service,
    softwareVersion: undefined,
    address: '127.0.0.1:1',
    failureDomain: as<FailureDomain>('a'),
    slots: ENGINE_SLOTS,
    isDraining: false,
    orderCount: 0,
    models: models.map(model => ({model, adapters: []})),
    copies: {inMemory: [], onDisk: []},
  };
}
