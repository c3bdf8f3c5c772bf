/**
 * Aggregates the nodes' demands on one failure domain and tracks how long to keep idle
 * models.
 */

import type {
  Clock,
  Instant,
  Milliseconds,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import {policyOf} from '@siskinmux/declarations';
import type {NodeDemand} from './exchange.js';
import type {KeepAlivePolicy} from './keep_alive.js';
import {mergeDemands} from './merge_demands.js';
import type {Demand} from './plan_input.js';

/** Time after which a node's demands expire unless it sends them again. */
const DEMAND_LIFETIME_MILLISECONDS: Milliseconds = 3_000;

/**
 * How long the time of a node's last exchange is kept; no node uses a response that
 * old.
 */
const LAST_EXCHANGE_LIFETIME_MILLISECONDS: Milliseconds = 60_000;

/**
 * Milliseconds of idle accelerator time that cost as much as one millisecond of load time
 * when both policy weights are equal.
 */
export const COLD_START_COST_FACTOR = 15;

/** Dependencies of a {@link DemandAggregator}. */
export interface DemandAggregatorOptions {
  readonly clock: Clock;
  readonly declarations: () => Declarations;
  /** Creates the policy that decides how long one idle model stays loaded. */
  readonly createKeepAlivePolicy: () => KeepAlivePolicy;
}

interface ExpiringDemands {
  readonly demands: readonly NodeDemand[];
  readonly expiresAt: Instant;
}

/** Demands by node, and keep-alive policies by model. */
export class DemandAggregator {
  private readonly demandsByNode = new Map<NodeId, ExpiringDemands>();
  /** Last exchange of each node; its response showed the allocation at that time. */
  private readonly lastExchangeAt = new Map<NodeId, Instant>();
  private readonly keepAlivePolicies = new Map<ModelName, KeepAlivePolicy>();
  private readonly startedAt: Instant;

  private constructor(private readonly options: DemandAggregatorOptions) {
    this.startedAt = options.clock.now();
  }

  static create(options: DemandAggregatorOptions): DemandAggregator {
    return new DemandAggregator(options);
  }

  /** Replaces a node's demands and records the exchange. */
  update(node: NodeId, demands: readonly NodeDemand[]): void {
    const now = this.options.clock.now();
    const expiresAt = after(now, DEMAND_LIFETIME_MILLISECONDS);
    this.demandsByNode.set(node, {demands, expiresAt});
    this.lastExchangeAt.set(node, now);
    for (const demand of demands) this.recordArrivalOf(demand);
  }

  /**
   * Returns the latest exchange among the nodes whose last exchange was before `instant`.
   * These nodes know only a state older than `instant`. Returns undefined when every node
   * has had an exchange since.
   */
  lastExchangeBefore(instant: Instant): Instant | undefined {
    let latest: Instant | undefined;
    for (const exchangedAt of this.lastExchangeAt.values()) {
      if (exchangedAt >= instant) continue;
      if (latest === undefined || exchangedAt > latest) latest = exchangedAt;
    }
    return latest;
  }

  /** Returns the demands of all nodes, added up by subject. */
  current(): Demand[] {
    const now = this.options.clock.now();
    for (const [node, exchangedAt] of this.lastExchangeAt) {
      const expiresAt = after(exchangedAt, LAST_EXCHANGE_LIFETIME_MILLISECONDS);
      if (expiresAt <= now) this.lastExchangeAt.delete(node);
    }
    const all: NodeDemand[] = [];
    for (const [node, {demands, expiresAt}] of this.demandsByNode) {
      if (expiresAt <= now) this.demandsByNode.delete(node);
      else all.push(...demands);
    }
    return mergeDemands(all);
  }

  /** Until when an idle model stays loaded if no further request arrives. */
  keepUntil(model: ModelName): Instant {
    const keepAlive = this.keepAlivePolicyOf(model);
    const declarations = this.options.declarations();
    const policy = policyOf(declarations);
    const loadMilliseconds =
      declarations.models[model]?.expected_load_milliseconds ?? 0;
    // Only the ratio of the two costs matters, so the weights need no unit.
    return keepAlive.keepUntil(keepAlive.latestArrivalAt ?? this.startedAt, {
      idleCostPerMillisecond: policy.idle_hour_weight,
      coldStartCost:
        policy.cold_start_weight * loadMilliseconds * COLD_START_COST_FACTOR,
    });
  }

  private recordArrivalOf(demand: NodeDemand): void {
    const {lastArrivalAt, subject} = demand;
    if (lastArrivalAt === undefined) return;
    const keepAlive = this.keepAlivePolicyOf(subject.model);
    const latest = keepAlive.latestArrivalAt;
    if (latest === undefined || lastArrivalAt > latest) {
      keepAlive.recordArrival(lastArrivalAt);
    }
  }

  private keepAlivePolicyOf(model: ModelName): KeepAlivePolicy {
    let keepAlive = this.keepAlivePolicies.get(model);
    if (keepAlive === undefined) {
      keepAlive = this.options.createKeepAlivePolicy();
      this.keepAlivePolicies.set(model, keepAlive);
    }
    return keepAlive;
  }
}
