/** What a node uses of the allocator, whether it runs here or at another node. */

import type {EndpointId, ModelName, ServiceName} from '@siskinmux/kernel';
import type {
  AdapterGrant,
  AdapterRequest,
  AvailableModels,
  ReadinessForecast,
  NodeUsage,
} from '@siskinmux/placement';

/** The way to the allocator. */
export interface AllocatorLink {
  noteUsage(service: ServiceName, usage: NodeUsage): void;
  /** Tells that an engine does not have a model, or the adapter that was granted. */
  noteMissing(service: ServiceName, engine: EndpointId, model: ModelName): void;
  /** Undefined when no engine can have the adapter now, or the allocator doesn't answer. */
  wantAdapter(
    service: ServiceName,
    need: AdapterRequest,
  ): Promise<AdapterGrant | undefined>;
}

/** What the allocator tells a node. */
export interface AllocatorListener {
  onHoldings(service: ServiceName, holdings: readonly AvailableModels[]): void;
  onForecasts(
    service: ServiceName,
    forecasts: readonly ReadinessForecast[],
  ): void;
}
