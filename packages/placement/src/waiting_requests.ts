/** Aggregated requests that wait for a model. */

import type {Instant, ModelName} from '@siskinmux/kernel';
import {earlier} from '@siskinmux/kernel';

/** Requests that wait for a model, at one node or at all nodes. */
export interface WaitingRequests {
  readonly model: ModelName;
  readonly count: number;
  /** Priority of the most urgent request; 0 is served first. */
  readonly priority: number;
  /** The earliest time at which the caller of one of the requests gives up. */
  readonly earliestDeadline: Instant;
}

/** Merges requests into the totals per model. */
export function addWaiting(
  totals: Map<ModelName, WaitingRequests>,
  added: WaitingRequests,
): void {
  const known = totals.get(added.model);
  totals.set(
    added.model,
    known === undefined
      ? added
      : {
          model: added.model,
          count: known.count + added.count,
          priority: Math.min(known.priority, added.priority),
          earliestDeadline: earlier(
            known.earliestDeadline,
            added.earliestDeadline,
          ),
        },
  );
}
