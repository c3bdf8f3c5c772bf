/** Interface between a node and the allocator, which runs on this node or on another. */

import type {ProbeResult} from '@siskinmux/forwarding';
import type {EndpointId, ModelName, ServiceName} from '@siskinmux/kernel';
import type {
  AdapterGrant,
  AdapterRequest,
  AvailableModels,
  NodeUsage,
  ReadinessForecast,
} from '@siskinmux/placement';
import type {SuspectExchange} from '@siskinmux/containment';
import type {OriginExchange} from '@siskinmux/continuity';
import type {RelayPeer} from '@siskinmux/relay';
import type {LeavingExchange} from './leaving_endpoints.js';
import type {PermitExchange} from './send_permits.js';
import type {TeamQuotaExchange} from './team_quotas.js';

/** Calls from a node to the allocator. */
export interface AllocatorApi
  extends
    SuspectExchange,
    PermitExchange,
    OriginExchange,
    LeavingExchange,
    TeamQuotaExchange {
  reportUsage(service: ServiceName, usage: NodeUsage): void;
  /** Reports that an engine lacks a model, or the adapter that was granted. */
  reportMissingModel(
    service: ServiceName,
    engine: EndpointId,
    model: ModelName,
  ): void;
  /** Tells the lease holder where this node takes relayed requests, and what it can't serve. */
  offerRelay(offer: RelayPeer): void;
  /** What another node sees of an endpoint; `unknown` if none can tell. */
  requestWitness(endpoint: EndpointId): Promise<ProbeResult>;
  /** Whether endpoints of a service respond to another node; false if none can tell. */
  requestServiceWitness(service: ServiceName): Promise<boolean>;
  /** Resolves to undefined if no engine can provide the adapter or the allocator doesn't respond. */
  requestAdapter(
    service: ServiceName,
    request: AdapterRequest,
  ): Promise<AdapterGrant | undefined>;
}

/** Notifications from the allocator to a node. */
export interface AllocatorListener {
  /** Replaces the available models of the listed engines; engines not listed keep theirs. */
  onAvailableModels(
    service: ServiceName,
    changes: readonly AvailableModels[],
  ): void;
  /** Receives when models that requests wait for can be ready at the earliest. */
  onForecasts(
    service: ServiceName,
    forecasts: readonly ReadinessForecast[],
  ): void;
}
