/** Deadlines and order of a request, by its route, its caller and when it was received. */

import type {RequestMetadata} from '@siskinmux/forwarding';
import type {Instant, Milliseconds, TeamName} from '@siskinmux/kernel';
import {after, earlier} from '@siskinmux/kernel';
import type {Route} from '@siskinmux/routes';
import {firstEventTimeoutMilliseconds} from '@siskinmux/routes';
import type {CallerIdentity} from './caller_identity.js';
import type {RequestOrdering} from './endpoint_choice.js';

/** Share of its latency objective for which a request may wait for its turn in the team's quota. */
const QUOTA_WAIT_SHARE = 0.125;

/** The earlier of the route's timeout and the caller's own. */
export function deadlineOf(
  route: Route,
  receivedAt: Instant,
  timeoutMilliseconds: Milliseconds | undefined,
): Instant {
  const timeoutAt = after(receivedAt, route.timeoutMilliseconds);
  return timeoutMilliseconds === undefined
    ? timeoutAt
    : earlier(timeoutAt, after(receivedAt, timeoutMilliseconds));
}

/** Deadline before the response has begun: callers abandon a stream without a first event. */
export function firstDeadlineOf(
  route: Route,
  receivedAt: Instant,
  deadline: Instant,
): Instant {
  if (route.kind !== 'stream') return deadline;
  const timeoutMilliseconds = firstEventTimeoutMilliseconds(route);
  return earlier(deadline, after(receivedAt, timeoutMilliseconds));
}

/** Until when a request may wait for its turn in the quota of its team. */
export function quotaWaitUntil(route: Route, receivedAt: Instant): Instant {
  const {latencyObjectiveMilliseconds} = route;
  return after(receivedAt, latencyObjectiveMilliseconds * QUOTA_WAIT_SHARE);
}

/** Name of the caller's team, if callers are identified and the route isn't public. */
export function teamOf(caller: CallerIdentity): TeamName | undefined {
  return caller.kind === 'team' ? caller.team.name : undefined;
}

/** By what a request is ordered among those that wait; undefined without teams. */
export function orderingOf(
  caller: CallerIdentity,
  route: Route,
  receivedAt: Instant,
  tokens: Pick<RequestMetadata, 'promptTokens' | 'outputTokens'>,
): RequestOrdering | undefined {
  if (caller.kind === 'any') return undefined;
  const declared = caller.kind === 'team' ? caller.team : undefined;
  const stated = tokens.promptTokens + tokens.outputTokens;
  return {
    team: teamOf(caller),
    teamPriority: declared?.priority ?? 0,
    route: route.name,
    routePriority: route.priority,
    objectiveAt: after(receivedAt, route.latencyObjectiveMilliseconds),
    cost: stated || (declared?.quota?.plainTokens ?? 1) || 1,
  };
}
