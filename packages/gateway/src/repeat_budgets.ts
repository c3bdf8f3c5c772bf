/**
 * Limits sends beyond the first of each request, by service, over all nodes: each node
 * takes its part of what the platform allows and asks nobody.
 */

import type {ServiceName} from '@siskinmux/kernel';
import type {RetryLimits} from '@siskinmux/routing';
import {RetryBudget} from '@siskinmux/routing';

/** Parts of the platform's limits that are used: windows and counts differ a little. */
const SHARE_USED = 0.75;
const ALLOWANCE_USED = 0.6;

/** Nodes that a node reckons with until it has heard how many there are. */
const UNKNOWN_NODES = 24;

/** The platform's limits for one service over all nodes. */
export interface RepeatRules {
  readonly share: number;
  readonly allowance: number;
}

/** The budgets of one node. */
export class RetryBudgets {
  private readonly budgets = new Map<ServiceName, RetryBudget>();
  private nodes = UNKNOWN_NODES;

  private constructor(private readonly rules: RepeatRules) {}

  static create(rules: RepeatRules): RetryBudgets {
    return new RetryBudgets(rules);
  }

  /** The budget of a service. */
  forService(service: ServiceName): RetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const budget = RetryBudget.create(this.limits());
    this.budgets.set(service, budget);
    return budget;
  }

  /** Takes over how many nodes share the limits. */
  shareAmong(nodes: number): void {
    if (nodes === this.nodes) return;
    this.nodes = nodes;
    for (const budget of this.budgets.values()) budget.setLimits(this.limits());
  }

  private limits(): RetryLimits {
    const saved = (this.rules.allowance * ALLOWANCE_USED) / this.nodes;
    return {
      share: this.rules.share * SHARE_USED,
      initialTokens: saved,
      maximumTokens: Math.max(1, saved),
    };
  }
}
