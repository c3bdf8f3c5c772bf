/**
 * Limits the retries of each service over all nodes. Each node applies the platform's share
 * to its own requests and uses an equal part of the allowance, so nodes need no
 * coordination.
 */

import type {EmitEvent, ServiceName} from '@siskinmux/kernel';
import type {RetryLimits} from '@siskinmux/routing';
import {RetryBudget} from '@siskinmux/routing';
import {RETRY_LIMITS_CHANGED} from './gateway_events.js';

/**
 * Part of the platform's share that nodes use: the platform's windows, and so its counts,
 * differ slightly from a node's.
 */
const SHARE_SAFETY_FACTOR = 0.75;

/** Part of the platform's allowance that nodes use, for the same reason as above. */
const ALLOWANCE_SAFETY_FACTOR = 0.6;

/** Node count assumed until the first heartbeat. */
const ASSUMED_NODE_COUNT = 24;

/** The platform's limits for one service over all nodes. */
export interface ClusterRetryLimits {
  /** Retries allowed per request. */
  readonly share: number;
  /** Retries allowed in addition, whatever the request rate. */
  readonly allowance: number;
}

/** This node's retry budgets, one per service. */
export class RetryBudgets {
  private readonly budgets = new Map<ServiceName, RetryBudget>();
  private nodeCount = ASSUMED_NODE_COUNT;

  private constructor(
    private readonly clusterLimits: ClusterRetryLimits,
    private readonly emit: EmitEvent,
  ) {}

  static create(
    clusterLimits: ClusterRetryLimits,
    emit: EmitEvent,
  ): RetryBudgets {
    return new RetryBudgets(clusterLimits, emit);
  }

  forService(service: ServiceName): RetryBudget {
    const existing = this.budgets.get(service);
    if (existing !== undefined) return existing;
    const budget = RetryBudget.create(this.limits());
    this.budgets.set(service, budget);
    return budget;
  }

  /** Sets the number of nodes that share the limits. */
  setNodeCount(nodeCount: number): void {
    if (nodeCount === this.nodeCount) return;
    this.nodeCount = nodeCount;
    this.emit(RETRY_LIMITS_CHANGED, {
      nodes: nodeCount,
      allowance: this.limits().maximumTokens,
    });
    for (const budget of this.budgets.values()) budget.setLimits(this.limits());
  }

  private limits(): RetryLimits {
    const allowance =
      (this.clusterLimits.allowance * ALLOWANCE_SAFETY_FACTOR) / this.nodeCount;
    return {
      share: this.clusterLimits.share * SHARE_SAFETY_FACTOR,
      initialTokens: allowance,
      maximumTokens: Math.max(1, allowance),
    };
  }
}
