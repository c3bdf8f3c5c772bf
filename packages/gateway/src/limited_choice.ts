/** Chooses an endpoint whose request limit allows one more send. */

import type {EndpointDescription} from '@siskinmux/endpoints';
import type {
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
} from '@siskinmux/kernel';
import {ErrorCode, after, createNotRunRefusal, until} from '@siskinmux/kernel';
import type {EndpointRequirements} from './endpoint_choice.js';
import type {EndpointLimits} from './endpoint_limits.js';
import {REQUEST_LIMITED} from './gateway_events.js';
import type {SendPermits} from './send_permits.js';

/** What became of a request that a limit concerned. */
export type LimitOutcome = 'diverted' | 'waited' | 'refused';

/** Dependencies of {@link chooseWithinLimits}. */
export interface LimitDependencies {
  readonly limits: EndpointLimits;
  readonly permits: SendPermits;
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /** Called for each request that a limit concerned. */
  readonly onLimited: (outcome: LimitOutcome) => void;
}

/** How one request's endpoint is chosen. */
export interface LimitedChoice {
  readonly requirements: EndpointRequirements;
  /** Time that an endpoint needs at least; a request waits for a permit only until before that. */
  readonly serviceMilliseconds: Milliseconds;
  /** Chooses an endpoint that isn't excluded; undefined if there is none. */
  readonly choose: (
    excluded: ReadonlySet<EndpointId>,
  ) =>
    EndpointDescription | undefined | Promise<EndpointDescription | undefined>;
  /** Whether the endpoint may still be used; it may have left during a wait. */
  readonly isUsable: (endpoint: EndpointDescription) => boolean;
}

interface RefusedEndpoint {
  readonly endpoint: EndpointDescription;
  readonly retryAt: Instant;
}

/**
 * Chooses an endpoint, diverting the request from those at their limits. If there is no
 * other, waits for a permit in time, or throws a `RefusalError`. Resolves to undefined if
 * there is no endpoint at all.
 */
export async function chooseWithinLimits(
  choice: LimitedChoice,
  dependencies: LimitDependencies,
): Promise<EndpointDescription | undefined> {
  const {requirements, choose, isUsable} = choice;
  const {limits, permits} = dependencies;
  const refused = new Map<EndpointId, RefusedEndpoint>();
  while (!requirements.signal.aborted) {
    const endpoint = await choose(new Set(refused.keys()));
    if (endpoint === undefined)
      return refused.size === 0
        ? undefined
        : waitForPermit([...refused.values()], choice, dependencies);
    if (limits.get(endpoint.incarnation) === undefined) return endpoint;
    const {priority} = requirements;
    const retryAt = await permits.acquire(
      endpoint,
      {priority, waitUntil: undefined},
      requirements.signal,
    );
    if (retryAt === undefined && isUsable(endpoint)) return endpoint;
    if (retryAt !== undefined)
      report(choice, endpoint, 'diverted', retryAt, dependencies);
    refused.set(endpoint.id, {
      endpoint,
      retryAt: retryAt ?? dependencies.clock.now(),
    });
  }
  throw createNotRunRefusal(ErrorCode.CallerGone, requirements.service);
}

/** Waits for the endpoint that takes a request first. */
async function waitForPermit(
  refused: readonly RefusedEndpoint[],
  choice: LimitedChoice,
  dependencies: LimitDependencies,
): Promise<EndpointDescription | undefined> {
  const {requirements, serviceMilliseconds, isUsable} = choice;
  const {permits} = dependencies;
  const usable = refused.filter(({endpoint}) => isUsable(endpoint));
  const first = usable.reduce<RefusedEndpoint | undefined>(
    (earliest, candidate) =>
      earliest === undefined || candidate.retryAt < earliest.retryAt
        ? candidate
        : earliest,
    undefined,
  );
  if (first === undefined) return undefined;
  const {endpoint} = first;
  const retryAt = await permits.acquire(
    endpoint,
    {
      priority: requirements.priority,
      waitUntil: after(requirements.deadline, -serviceMilliseconds),
    },
    requirements.signal,
  );
  if (retryAt !== undefined) {
    report(choice, endpoint, 'refused', retryAt, dependencies);
    throw createNotRunRefusal(
      ErrorCode.EndpointLimited,
      requirements.service,
      retryAt,
    );
  }
  report(choice, endpoint, 'waited', undefined, dependencies);
  return isUsable(endpoint) ? endpoint : undefined;
}

function report(
  {requirements}: LimitedChoice,
  {id, incarnation}: EndpointDescription,
  outcome: LimitOutcome,
  retryAt: Instant | undefined,
  {limits, clock, emit, onLimited}: LimitDependencies,
): void {
  const now = clock.now();
  const limit = limits.get(incarnation);
  onLimited(outcome);
  emit(REQUEST_LIMITED, {
    id: requirements.id,
    endpoint: id,
    life: incarnation,
    limit: limit?.requestsPerSecond,
    age: limit && Math.round(until(limit.observedAt, now)),
    outcome,
    retryIn: retryAt && Math.round(until(now, retryAt)),
  });
}
