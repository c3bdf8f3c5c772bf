/** Decides to which team a request belongs. */

import type {TeamName} from '@siskinmux/kernel';
import type {Route, Team, TeamDirectory} from '@siskinmux/routes';

/** Whose request it is. */
export type CallerIdentity =
  /** The configuration has no teams. */
  | {readonly kind: 'any'}
  /** The route needs no key. */
  | {readonly kind: 'public'}
  | {readonly kind: 'team'; readonly team: Team};

/** What a request shows of its team. */
export interface Credentials {
  /** Reads the caller's key; undefined if there is none, or several different ones. */
  readonly readApiKey?: (() => string | undefined) | undefined;
  /** The team that another node has identified before it relayed the request. */
  readonly relayedTeam?: TeamName | undefined;
}

/**
 * Priority of a team that another node has identified and that this node doesn't know; as
 * urgent as a team without a declared priority.
 */
const UNKNOWN_TEAM_PRIORITY = 0;

/** The identity of a caller; undefined if no known team has its key. */
export function identifyCaller(
  teams: TeamDirectory | undefined,
  route: Route,
  {readApiKey, relayedTeam}: Credentials,
): CallerIdentity | undefined {
  if (teams === undefined) return {kind: 'any'};
  if (route.isPublic === true) return {kind: 'public'};
  if (relayedTeam !== undefined) {
    const team = teams.teams.get(relayedTeam) ?? {
      name: relayedTeam,
      priority: UNKNOWN_TEAM_PRIORITY,
      keyDigests: [],
      quota: undefined,
    };
    return {kind: 'team', team};
  }
  const key = readApiKey?.();
  const team = key === undefined ? undefined : teams.findByKey(key);
  return team && {kind: 'team', team};
}

/** Route priorities, and team priorities, that are told apart in the rank of a request. */
const PRIORITY_LEVELS = 3;

/** The most urgent rank of a team's requests. */
export function firstRankOf(caller: CallerIdentity): number {
  if (caller.kind !== 'team') return 0;
  return levelOf(caller.team.priority) * PRIORITY_LEVELS;
}

function levelOf(priority: number): number {
  return Math.max(0, Math.min(PRIORITY_LEVELS - 1, Math.floor(priority)));
}

/**
 * Rank of a request, 0 is served first: the priority of its team goes before that of its route.
 * Without a team, the priority of the route.
 */
export function rankOf(caller: CallerIdentity, route: Route): number {
  return caller.kind === 'team'
    ? firstRankOf(caller) + levelOf(route.priority)
    : route.priority;
}
