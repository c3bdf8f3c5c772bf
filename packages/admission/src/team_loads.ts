/** How a team's admitted load is spread over the nodes. */

import type {Instant, Milliseconds, NodeId} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import {amountIn} from './team_quota_rules.js';

/** Time in which a load loses all but 1/e of its weight; some requests of a small team come in it. */
const DECAY_MILLISECONDS: Milliseconds = 15_000;

/** Weights are scaled down before they exceed this, far below the range of numbers. */
const MAXIMUM_SCALE = 1e9;

/**
 * Loads that decay exponentially. New loads get larger weights instead, so that nothing has to
 * be updated as time passes.
 */
export class TeamLoads {
  private readonly weights = new Map<NodeId, number>();
  private totalWeight = 0;

  private constructor(private landmark: Instant) {}

  static create(now: Instant): TeamLoads {
    return new TeamLoads(now);
  }

  add(node: NodeId, amount: number, now: Instant): void {
    const weight = amount * this.scaleAt(now);
    this.weights.set(node, (this.weights.get(node) ?? 0) + weight);
    this.totalWeight += weight;
  }

  /** Records the load of a node that is known by its share only, as if the quota was used up. */
  addShare(node: NodeId, share: number, perSecond: number, now: Instant): void {
    this.add(node, amountIn(share * perSecond, DECAY_MILLISECONDS), now);
  }

  /** Removes a node's load and returns it, as an amount for {@link add}. */
  remove(node: NodeId, now: Instant): number {
    const scale = this.scaleAt(now);
    const weight = this.weights.get(node) ?? 0;
    this.weights.delete(node);
    this.totalWeight = this.weights.size === 0 ? 0 : this.totalWeight - weight;
    return weight / scale;
  }

  /** The node's part of the loads; 0 if there were none. */
  shareOf(node: NodeId): number {
    const weight = this.weights.get(node);
    if (weight === undefined || this.totalWeight <= 0) return 0;
    return Math.min(1, Math.max(0, weight / this.totalWeight));
  }

  private scaleAt(now: Instant): number {
    const scale = Math.exp(until(this.landmark, now) / DECAY_MILLISECONDS);
    if (scale < MAXIMUM_SCALE) return scale;
    this.totalWeight = 0;
    for (const [node, weight] of this.weights) {
      this.weights.set(node, weight / scale);
      this.totalWeight += weight / scale;
    }
    this.landmark = now;
    return 1;
  }
}
