/** An endpoint as it describes itself in the platform's list. */

import type {
  AdapterName,
  Brand,
  EndpointId,
  FailureDomain,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';

/** One life of an endpoint: changes with each start, also under the same id. */
export type Incarnation = Brand<string, 'Incarnation'>;

/** A model that an engine holds, with its adapters. */
export interface LoadedModel {
  readonly model: ModelName;
  readonly adapters: readonly AdapterName[];
}

/** Copies of weights that an engine can load without the weight store. */
export interface WeightCopies {
  readonly inMemory: readonly ModelName[];
  readonly onDisk: readonly ModelName[];
}

/** What an endpoint says of itself; some hundred milliseconds old. */
export interface EndpointDescription {
  readonly id: EndpointId;
  readonly incarnation: Incarnation;
  readonly service: ServiceName;
  /** IP number and port. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Number of orders that the engine has accepted in this life. */
  readonly orderCount: number;
  readonly models: readonly LoadedModel[];
  readonly copies: WeightCopies;
}
