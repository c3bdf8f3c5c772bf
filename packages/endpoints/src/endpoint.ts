/** An endpoint as it registers itself in the platform's endpoint list. */

import type {
  AdapterName,
  Brand,
  EndpointId,
  FailureDomain,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';

/**
 * Identifies one run of an endpoint's process; changes on each start, even under the same
 * id.
 */
export type Incarnation = Brand<string, 'Incarnation'>;

/** Version of an endpoint's software; streams of two versions are not compatible. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;

/** A model that an engine has loaded, with its adapters. */
export interface LoadedModel {
  readonly model: ModelName;
  readonly adapters: readonly AdapterName[];
}

/** Models whose weights an engine can load from a local copy, without the weight store. */
export interface WeightCopies {
  readonly inMemory: readonly ModelName[];
  readonly onDisk: readonly ModelName[];
}

/** An endpoint's own description; lags behind its state by a few hundred milliseconds. */
export interface EndpointDescription {
  readonly id: EndpointId;
  readonly incarnation: Incarnation;
  readonly service: ServiceName;
  /** Undefined if the endpoint doesn't state it. */
  readonly softwareVersion: SoftwareVersion | undefined;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Orders that the engine has accepted since it started. */
  readonly orderCount: number;
  readonly models: readonly LoadedModel[];
  readonly copies: WeightCopies;
}
