/** Aggregated requests that wait for a model. */

import type {SoftwareVersion} from '@siskinmux/endpoints';
import type {Brand, Instant, ModelName} from '@siskinmux/kernel';
import {as, earlier} from '@siskinmux/kernel';

/** Requests that wait for a model, at one node or at all nodes. */
export interface WaitingRequests {
  readonly model: ModelName;
  /** The only software version that can serve them; undefined if any can. */
  readonly boundTo?: SoftwareVersion;
  readonly count: number;
  /** Priority of the most urgent request; 0 is served first. */
  readonly priority: number;
  /** The earliest time at which the caller of one of the requests gives up. */
  readonly earliestDeadline: Instant;
}

/** Identifies requests that the same engines can serve. */
export type WaitingKey = Brand<string, 'WaitingKey'>;

/** Key of requests for a model, at one software version or at any. */
export function waitingKey({
  model,
  boundTo,
}: Pick<WaitingRequests, 'model' | 'boundTo'>): WaitingKey {
  return as<WaitingKey>(boundTo === undefined ? model : `${model} ${boundTo}`);
}

/** Merges requests into the totals. */
export function addWaiting(
  totals: Map<WaitingKey, WaitingRequests>,
  added: WaitingRequests,
): void {
  const key = waitingKey(added);
  const known = totals.get(key);
  totals.set(
    key,
    known === undefined
      ? added
      : {
          ...added,
          count: known.count + added.count,
          priority: Math.min(known.priority, added.priority),
          earliestDeadline: earlier(
            known.earliestDeadline,
            added.earliestDeadline,
          ),
        },
  );
}
