/**
 * Limits the retries of each service over all nodes. Each node applies the platform's share
 * to its own requests and uses an equal part of the allowance, so nodes need no
 * coordination.
 */

import type {
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  ServiceName,
} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
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

/**
 * How long fewer nodes have to be reported before their part is shared among the others: a
 * lease holder that is cut off from other nodes counts fewer of them.
 */
const NODE_LOSS_DELAY_MILLISECONDS: Milliseconds = 300_000;

/** The platform's limits for one service over all nodes. */
export interface ClusterRetryLimits {
  /** Retries allowed per request. */
  readonly share: number;
  /** Retries allowed in addition, whatever the request rate. */
  readonly allowance: number;
  /** Length of the window to which the limits apply. */
  readonly windowMilliseconds: Milliseconds;
}

/** Dependencies of {@link RetryBudgets}. */
export interface RetryBudgetsOptions {
  readonly limits: ClusterRetryLimits;
  readonly clock: Clock;
  readonly emit: EmitEvent;
}

/** This node's retry budgets, one per service. */
export class RetryBudgets {
  private readonly budgets = new Map<ServiceName, RetryBudget>();
  /** Undefined until the first heartbeat. */
  private nodeCount: number | undefined;
  /** The most nodes reported since fewer than {@link nodeCount} were. */
  private fewerNodes:
    {readonly count: number; readonly appliesAt: Instant} | undefined;
  /** Whether the retries of this node's previous process no longer count. */
  private hasRunForWindow = false;

  private constructor(private readonly options: RetryBudgetsOptions) {
    const {clock, limits} = options;
    clock.schedule(after(clock.now(), limits.windowMilliseconds), () =>
      this.updateLimits(() => {
        this.hasRunForWindow = true;
      }),
    );
  }

  static create(options: RetryBudgetsOptions): RetryBudgets {
    return new RetryBudgets(options);
  }

  forService(service: ServiceName): RetryBudget {
    const existing = this.budgets.get(service);
    if (existing !== undefined) return existing;
    const budget = RetryBudget.create(this.limits());
    this.budgets.set(service, budget);
    return budget;
  }

  /** Sets the number of nodes that share the limits; a smaller one takes effect later. */
  setNodeCount(nodeCount: number): void {
    if (this.nodeCount !== undefined && nodeCount < this.nodeCount) {
      this.recordFewerNodes(nodeCount, this.options.clock.now());
      return;
    }
    this.fewerNodes = undefined;
    this.applyNodeCount(nodeCount);
  }

  private recordFewerNodes(nodeCount: number, now: Instant): void {
    const since = this.fewerNodes;
    this.fewerNodes = {
      count: Math.max(since?.count ?? 0, nodeCount),
      appliesAt: since?.appliesAt ?? after(now, NODE_LOSS_DELAY_MILLISECONDS),
    };
    if (now < this.fewerNodes.appliesAt) return;
    this.applyNodeCount(this.fewerNodes.count);
    this.fewerNodes = undefined;
  }

  private applyNodeCount(nodeCount: number): void {
    if (nodeCount === this.nodeCount) return;
    this.updateLimits(() => {
      this.nodeCount = nodeCount;
    });
  }

  /** Changes the limits of all budgets; the first allowance is available at once. */
  private updateLimits(change: () => void): void {
    const hadAllowance = this.allowance > 0;
    change();
    const {allowance} = this;
    this.options.emit(RETRY_LIMITS_CHANGED, {
      nodes: this.nodeCount,
      allowance,
    });
    for (const budget of this.budgets.values()) {
      budget.setLimits(this.limits());
      if (!hadAllowance) budget.addTokens(allowance);
    }
  }

  /**
   * This node's part of the allowance; 0 in a process that has just started, which doesn't
   * know how much the previous one used.
   */
  private get allowance(): number {
    if (!this.hasRunForWindow || this.nodeCount === undefined) return 0;
    const {allowance} = this.options.limits;
    return (allowance * ALLOWANCE_SAFETY_FACTOR) / this.nodeCount;
  }

  private limits(): RetryLimits {
    return {
      share: this.options.limits.share * SHARE_SAFETY_FACTOR,
      initialTokens: this.allowance,
      maximumTokens: Math.max(1, this.allowance),
    };
  }
}
