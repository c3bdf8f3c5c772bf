/** What the nodes want of one failure domain, and how long idle models are worth keeping. */

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
import type {Demand} from './plan_input.js';
import type {KeepAlivePolicy} from './keep_alive.js';
import {mergeDemands} from './merge_demands.js';

/** How long a node's demands count without being said again. */
const DEMAND_LIFETIME_MILLISECONDS: Milliseconds = 3_000;

/** How long it is kept when a node asked; nobody goes by an answer that old. */
const ASKED_LIFETIME_MILLISECONDS: Milliseconds = 60_000;

/** Idle accelerator time that one unit of waiting for a load is worth at equal weights. */
export const COLD_START_COST_FACTOR = 15;

/** What a book needs from its surroundings. */
export interface DemandAggregatorOptions {
  readonly clock: Clock;
  readonly declarations: () => Declarations;
  /** Makes the policy that decides how long one model is kept. */
  readonly createKeepAlivePolicy: () => KeepAlivePolicy;
}

interface HeardDemands {
  readonly demands: readonly NodeDemand[];
  readonly expiresAt: Instant;
}

/** Demands by node, and arrivals by model. */
export class DemandAggregator {
  private readonly heard = new Map<NodeId, HeardDemands>();
  /** When each node asked last; it has been told what was true then. */
  private readonly askedAt = new Map<NodeId, Instant>();
  private readonly keepAlives = new Map<ModelName, KeepAlivePolicy>();
  private readonly startedAt: Instant;

  private constructor(private readonly options: DemandAggregatorOptions) {
    this.startedAt = options.clock.now();
  }

  static create(options: DemandAggregatorOptions): DemandAggregator {
    return new DemandAggregator(options);
  }

  /** Replaces what a node said before. */
  update(node: NodeId, demands: readonly NodeDemand[]): void {
    const now = this.options.clock.now();
    const expiresAt = after(now, DEMAND_LIFETIME_MILLISECONDS);
    this.heard.set(node, {demands, expiresAt});
    this.askedAt.set(node, now);
    for (const demand of demands) this.noteArrival(demand);
  }

  /**
   * The last time at which a node asked that has not asked since `instant`: until then
   * it was told an earlier state. Undefined when all nodes have asked since.
   */
  lastExchangeBefore(instant: Instant): Instant | undefined {
    let latest: Instant | undefined;
    for (const askedAt of this.askedAt.values()) {
      if (askedAt >= instant) continue;
      if (latest === undefined || askedAt > latest) latest = askedAt;
    }
    return latest;
  }

  /** What all nodes together want now. */
  current(): Demand[] {
    const now = this.options.clock.now();
    for (const [node, askedAt] of this.askedAt) {
      const expiresAt = after(askedAt, ASKED_LIFETIME_MILLISECONDS);
      if (expiresAt <= now) this.askedAt.delete(node);
    }
    const all: NodeDemand[] = [];
    for (const [node, {demands, expiresAt}] of this.heard) {
      if (expiresAt <= now) this.heard.delete(node);
      else all.push(...demands);
    }
    return mergeDemands(all);
  }

  /** Until when a model is worth keeping if no further request comes. */
  keepUntil(model: ModelName): Instant {
    const keepAlive = this.keepAliveOf(model);
    const declarations = this.options.declarations();
    const policy = policyOf(declarations);
    const load = declarations.models[model]?.expected_load_milliseconds ?? 0;
    return keepAlive.keepUntil(keepAlive.latestArrivalAt ?? this.startedAt, {
      idleCostPerMillisecond: policy.idle_hour_weight,
      coldStartCost: policy.cold_start_weight * load * COLD_START_COST_FACTOR,
    });
  }

  private noteArrival(demand: NodeDemand): void {
    const {lastArrivalAt, subject} = demand;
    if (lastArrivalAt === undefined) return;
    const keepAlive = this.keepAliveOf(subject.model);
    const known = keepAlive.latestArrivalAt;
    if (known === undefined || lastArrivalAt > known) {
      keepAlive.recordArrival(lastArrivalAt);
    }
  }

  private keepAliveOf(model: ModelName): KeepAlivePolicy {
    let keepAlive = this.keepAlives.get(model);
    if (keepAlive === undefined) {
      keepAlive = this.options.createKeepAlivePolicy();
      this.keepAlives.set(model, keepAlive);
    }
    return keepAlive;
  }
}
