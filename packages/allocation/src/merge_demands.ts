/** Adds up what several nodes want of one subject. */

import {isSameSubject} from './allocation.js';
import type {Demand} from './plan_input.js';

/** Demands of one subject from several nodes as one. */
export function mergeDemands(demands: readonly Demand[]): Demand[] {
  const merged: Demand[] = [];
  for (const demand of demands) {
    const index = merged.findIndex(other =>
      isSameSubject(other.subject, demand.subject),
    );
    const other = merged[index];
    if (other === undefined) merged.push(demand);
    else merged[index] = addDemands(other, demand);
  }
  return merged;
}

function addDemands(left: Demand, right: Demand): Demand {
  const deadlines = [left.earliestDeadline, right.earliestDeadline].filter(
    deadline => deadline !== undefined,
  );
  return {
    subject: left.subject,
    waiting: left.waiting + right.waiting,
    inFlight: left.inFlight + right.inFlight,
    earliestDeadline: deadlines.sort((a, b) => a - b)[0],
  };
}
