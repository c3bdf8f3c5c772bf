/** What a node uses of the allocator, whether it runs here or at another node. */

import type {EndpointId, ModelName, ServiceName} from '@siskinmux/kernel';
import type {
  AdapterGrant,
  AdapterNeed,
  EngineHolding,
  Forecast,
  NodeUsage,
} from '@siskinmux/placement';

/** The way to the allocator. */
export interface AllocatorApi {
  reportUsage(service: ServiceName, usage: NodeUsage): void;
  /** Tells that an engine does not have a model, or the adapter that was granted. */
  reportMissingModel(
    service: ServiceName,
    engine: EndpointId,
    model: ModelName,
  ): void;
  /** Undefined when no engine can have the adapter now, or the allocator doesn't answer. */
  requestAdapter(
    service: ServiceName,
    need: AdapterNeed,
  ): Promise<AdapterGrant | undefined>;
}

/** What the allocator tells a node. */
export interface AllocatorListener {
  onAvailableModels(
    service: ServiceName,
    holdings: readonly EngineHolding[],
  ): void;
  onForecasts(service: ServiceName, forecasts: readonly Forecast[]): void;
}
