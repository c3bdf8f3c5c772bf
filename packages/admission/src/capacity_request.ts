/** Requests that wait for capacity, and the groups in which they are held. */

import type {Heap} from 'heap-js';
import type {Instant, TeamName} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';
import type {RoomRate} from './room_rate.js';
import type {ServedRequest} from './service_shares.js';
import type {TeamTurns} from './team_turns.js';

/**
 * Share of the time to its objective after which a request no longer yields to others. With a
 * half, more urgent requests are late in an overload for ones that still have time.
 */
const YIELDS_FOR_SHARE = 0.9;

/** Properties by which requests that wait for capacity are ordered. */
export interface CapacityRequest extends ServedRequest {
  /** Equal for requests that the same engines can serve. */
  readonly group: string;
  /** Priority of the route; 0 is the most urgent. */
  readonly routePriority: number;
  readonly arrivedAt: Instant;
  /** When the response is due by the latency objective. */
  readonly objectiveAt: Instant;
  /** When the request can no longer be served before its deadline. */
  readonly startBy: Instant;
}

/** Held requests of one group, team and route. */
export interface Flow<Item extends CapacityRequest> {
  readonly group: string;
  readonly teamPriority: number;
  readonly line: TeamLine;
  readonly turns: TeamTurns;
  readonly heap: Heap<Item>;
}

/** Since and until when requests were expected to miss their objective. */
export interface Overload {
  readonly since: Instant;
  readonly seenAt: Instant;
}

/** State of one team at the requests of one group. */
export interface TeamLine {
  readonly team: TeamName | undefined;
  size: number;
  /** When a request was last held or refused. */
  usedAt: Instant;
  readonly rate: RoomRate;
  /** Overload by route. */
  readonly overloads: Map<string, Overload>;
  /** When the last refused request of the team was told to return. */
  lastReturnAt: Instant | undefined;
}

/** Until when a request yields to more urgent ones. */
export function yieldsUntil({
  arrivedAt,
  objectiveAt,
}: CapacityRequest): Instant {
  return after(arrivedAt, until(arrivedAt, objectiveAt) * YIELDS_FOR_SHARE);
}

/** Identifies the requests of a team in a group. */
export function lineKey({group, team}: CapacityRequest): string {
  return `${group}\n${team ?? ''}`;
}

/** Identifies the requests of a rank in a group. */
export function turnsKey({group, teamPriority}: CapacityRequest): string {
  return `${group}\n${teamPriority}`;
}

/** Identifies the requests of a flow. */
export function flowKey(item: CapacityRequest): string {
  const {teamPriority, routePriority, route} = item;
  return `${lineKey(item)}\n${teamPriority} ${routePriority} ${route}`;
}
