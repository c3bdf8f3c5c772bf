/** Order of waiting requests by their team and their own priority. */

import type {Priority} from '@siskinmux/declarations';
import {PRIORITIES} from '@siskinmux/declarations';

/** Priority of a request without a team, as urgent as the most urgent team. */
const PRIORITY_WITHOUT_TEAM = 0;

/** The priority of its team goes before that of the request; 0 is the most urgent. */
export function priorityClassOf(
  teamPriority: number | undefined,
  priority: Priority,
): number {
  const first = (teamPriority ?? PRIORITY_WITHOUT_TEAM) * PRIORITIES.length;
  return first + PRIORITIES.indexOf(priority);
}

/**
 * Number with which an engine orders a request; it runs larger numbers first. At most 0 for
 * teams that are not the most urgent, so that nodes agree which know different teams.
 */
export function enginePriorityOf(priorityClass: number): number {
  return PRIORITIES.length - priorityClass;
}
