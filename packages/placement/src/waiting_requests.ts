/** Requests that wait for a model, summed up. */

import type {Instant, ModelName} from '@siskinmux/kernel';
import {earlier} from '@siskinmux/kernel';

/** Requests that wait for a model: at one node, or at all. */
export interface WaitingRequests {
  readonly model: ModelName;
  readonly count: number;
  /** Rank of the most urgent one; 0 goes first. */
  readonly priority: number;
  /** From then on the first of them has waited in vain. */
  readonly expiresAt: Instant;
}

/** Adds requests to those that wait for the same model. */
export function addWaiting(
  sums: Map<ModelName, WaitingRequests>,
  added: WaitingRequests,
): void {
  const known = sums.get(added.model);
  sums.set(
    added.model,
    known === undefined
      ? added
      : {
          model: added.model,
          count: known.count + added.count,
          priority: Math.min(known.priority, added.priority),
          expiresAt: earlier(known.expiresAt, added.expiresAt),
        },
  );
}
