/** What nodes and a failure domain's allocator tell each other. */

import type {
  EndpointId,
  FailureDomain,
  Instant,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import type {Subject} from './allocation.js';

/** One subject that a node has requests for. */
export interface NodeDemand {
  readonly subject: Subject;
  readonly waiting: number;
  readonly inFlight: number;
  readonly earliestDeadline: Instant | undefined;
  readonly lastArrivalAt: Instant | undefined;
}

/** A node's demands; replaces what it said before. */
export interface ExchangeRequest {
  readonly node: NodeId;
  readonly demands: readonly NodeDemand[];
  /** Models whose replicas the node wants to know. */
  readonly models: readonly ModelName[];
}

/** A replica or adapter as nodes see it. */
export interface ReplicaView {
  readonly subject: Subject;
  readonly engine: EndpointId;
  readonly state: 'loading' | 'ready';
  /** When a load is expected to be done. */
  readonly readyAt: Instant;
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly reportedAt: Instant | undefined;
}

/** Why a demand was not met. */
export interface RefusalView {
  readonly subject: Subject;
  readonly reason: string;
}

/** The allocator's answer. */
export interface ExchangeResponse {
  readonly failureDomain: FailureDomain;
  readonly replicas: readonly ReplicaView[];
  readonly refusals: readonly RefusalView[];
}

/** One reservation in words, for `status`. */
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
