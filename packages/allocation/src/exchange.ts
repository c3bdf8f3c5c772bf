/**
 * Messages between nodes and the allocator of a failure domain. In an exchange, a node
 * reports its demands, and the allocator responds with the replicas that the node may use.
 */

import type {
  EndpointId,
  FailureDomain,
  Instant,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import type {Subject} from './allocation.js';

/** A node's demand for one model version or adapter. */
export interface NodeDemand {
  readonly subject: Subject;
  readonly waiting: number;
  readonly inFlight: number;
  readonly earliestDeadline: Instant | undefined;
  readonly lastArrivalAt: Instant | undefined;
}

/** A node's current demands, which replace those of its last exchange with the allocator. */
export interface ExchangeRequest {
  readonly node: NodeId;
  readonly demands: readonly NodeDemand[];
  /** Models whose replicas the response should include. */
  readonly models: readonly ModelName[];
}

/** A loaded or loading model replica or adapter, with its engine's request counts. */
export interface ReplicaView {
  readonly subject: Subject;
  readonly engine: EndpointId;
  readonly state: 'loading' | 'ready';
  /** When the load is expected to be complete. */
  readonly readyAt: Instant;
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly reportedAt: Instant | undefined;
}

/** Why a demand was not placed; not to be confused with the refusal of a caller's request. */
export interface PlacementRefusalView {
  readonly subject: Subject;
  readonly reason: string;
}

/** Replicas and refusals for the models of an {@link ExchangeRequest}. */
export interface ExchangeResponse {
  readonly failureDomain: FailureDomain;
  readonly replicas: readonly ReplicaView[];
  readonly refusals: readonly PlacementRefusalView[];
}

/** One reservation, for the operator's `status` command. */
export interface ReservationReport {
  readonly failureDomain: FailureDomain;
  readonly subject: Subject;
  readonly engine: EndpointId;
  readonly state: string;
  readonly reason: string;
  readonly memoryBytes: number;
  readonly changedAt: Instant;
  readonly readyAt: Instant | undefined;
  readonly keepUntil: Instant | undefined;
  readonly waiting: number;
}
