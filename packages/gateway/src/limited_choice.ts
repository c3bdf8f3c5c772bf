/** Chooses an endpoint that wants one more request, and whose request limit allows it. */

import type {EndpointDescription} from '@siskinmux/endpoints';
import type {
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
  Random,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  RefusalError,
  after,
  createNotRunRefusal,
  sleepUntil,
  until,
} from '@siskinmux/kernel';
import type {EndpointRequirements} from './endpoint_choice.js';
import type {EndpointLimits} from './endpoint_limits.js';
import type {EndpointPause, EndpointPauses} from './endpoint_pauses.js';
import {REQUEST_LIMITED} from './gateway_events.js';
import type {SendPermits} from './send_permits.js';

/** Time over which callers that a pause concerns return. */
export const RETURN_SPREAD_MILLISECONDS: Milliseconds = 500;

const NEVER = new Promise<never>(() => {});

/** What became of a request that a limit or a pause concerned. */
export type LimitOutcome = 'diverted' | 'waited' | 'refused';

/** Dependencies of {@link chooseWithinLimits}. */
export interface LimitDependencies {
  readonly limits: EndpointLimits;
  readonly pauses: EndpointPauses;
  readonly permits: SendPermits;
  readonly clock: Clock;
  readonly random: Random;
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
  /**
   * Resolves when there is an endpoint without a limit; rejects with a `RefusalError` if
   * there will be none in time. Undefined if none can be added.
   */
  readonly waitForUnlimited:
    ((signal: AbortSignal) => Promise<void>) | undefined;
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
  const {limits, permits, pauses} = dependencies;
  const refused = new Map<EndpointId, RefusedEndpoint>();
  let paused: readonly EndpointPause[] = [];
  while (!requirements.signal.aborted) {
    const endpoint = await choose(
      new Set([...refused.keys(), ...paused.map(idOf)]),
    );
    if (endpoint === undefined) {
      const first = await choosePaused(choice, paused, refused);
      if (first !== undefined) {
        const retryAt = pauses.endOf(first.incarnation);
        paused = [];
        if (retryAt === undefined) continue;
        report(choice, first, 'diverted', retryAt, dependencies);
        refused.set(first.id, {endpoint: first, retryAt});
      }
      if (refused.size === 0) return undefined;
      const waited = await waitForPermit(
        [...refused.values()],
        choice,
        dependencies,
      );
      if (waited !== 'choose again') return waited;
      refused.clear();
      paused = [];
      continue;
    }
    const pauseEndsAt = pauses.endOf(endpoint.incarnation);
    if (pauseEndsAt !== undefined) {
      report(choice, endpoint, 'diverted', pauseEndsAt, dependencies);
      refused.set(endpoint.id, {endpoint, retryAt: pauseEndsAt});
      paused = pauses.ofService(requirements.service);
      continue;
    }
    if (limits.get(endpoint.incarnation) === undefined) return endpoint;
    const {priority} = requirements;
    const refusal = await permits.acquire(
      endpoint,
      {priority, waitUntil: undefined},
      requirements.signal,
    );
    const isPaused = pauses.endOf(endpoint.incarnation) !== undefined;
    if (refusal === undefined && isUsable(endpoint) && !isPaused)
      return endpoint;
    const retryAt = refusal?.retryAt ?? dependencies.clock.now();
    if (refusal !== undefined)
      report(choice, endpoint, 'diverted', retryAt, dependencies);
    refused.set(endpoint.id, {endpoint, retryAt});
  }
  throw createNotRunRefusal(ErrorCode.CallerGone, requirements.service);
}

/** The endpoint whose pause ends first, among those that may serve the request otherwise. */
async function choosePaused(
  {requirements, choose, isUsable}: LimitedChoice,
  paused: readonly EndpointPause[],
  refused: ReadonlyMap<EndpointId, RefusedEndpoint>,
): Promise<EndpointDescription | undefined> {
  const excluded = new Set([...refused.keys(), ...paused.map(idOf)]);
  let hasPassedOver = false;
  for (const {endpoint} of paused) {
    if (requirements.signal.aborted) return undefined;
    if (refused.has(endpoint.id)) continue;
    excluded.delete(endpoint.id);
    hasPassedOver = !isUsable(endpoint);
    if (hasPassedOver) continue;
    const chosen = await choose(excluded);
    if (chosen !== undefined) return chosen;
  }
  // An endpoint that was passed over may have started again, or changed its models.
  return hasPassedOver ? choose(excluded) : undefined;
}

const idOf = ({endpoint}: EndpointPause): EndpointId => endpoint.id;

/**
 * Waits for a permit at the endpoint that takes a request first. Resolves to undefined if it
 * has left, and to `choose again` if there may be another endpoint, or after a pause while
 * the lease holder is being replaced.
 */
async function waitForPermit(
  refused: readonly RefusedEndpoint[],
  choice: LimitedChoice,
  dependencies: LimitDependencies,
): Promise<EndpointDescription | 'choose again' | undefined> {
  const {requirements, serviceMilliseconds, isUsable} = choice;
  const {permits, clock, pauses} = dependencies;
  const waitUntil = after(requirements.deadline, -serviceMilliseconds);
  const usable = refused.filter(({endpoint}) => isUsable(endpoint));
  const earliest = usable.reduce<RefusedEndpoint | undefined>(
    (best, candidate) =>
      best === undefined || candidate.retryAt < best.retryAt ? candidate : best,
    undefined,
  );
  if (earliest === undefined) return undefined;
  const {endpoint} = earliest;
  if (pauses.endOf(endpoint.incarnation) !== undefined)
    return waitForPauseEnd(earliest, waitUntil, choice, dependencies);
  const ended = new AbortController();
  const signal = AbortSignal.any([requirements.signal, ended.signal]);
  const permit = permits.acquire(
    endpoint,
    {priority: requirements.priority, waitUntil},
    signal,
  );
  const hasUnlimited = isResolved(choice.waitForUnlimited?.(signal));
  // A refusal by the owner is final; without an owner, the request asks the next one.
  const isRefused = permit.then(
    refusal => refusal !== undefined && !refusal.isUnowned,
  );
  const first = await Promise.race([
    isRefused.then(refused => (refused ? 'refused' : 'decided')),
    hasUnlimited.then(has => (has ? 'unlimited' : 'none')),
  ]);
  if (first === 'unlimited' || (first === 'refused' && (await hasUnlimited))) {
    ended.abort();
    return 'choose again';
  }
  const refusal = await permit;
  ended.abort();
  if (refusal !== undefined) {
    const {retryAt, isUnowned} = refusal;
    if (isUnowned && retryAt < waitUntil) {
      await sleepUntil(clock, retryAt);
      return 'choose again';
    }
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

/**
 * Waits until an endpoint wants requests again, or there is another one; throws a `RefusalError`
 * at once if neither comes in time.
 */
async function waitForPauseEnd(
  {endpoint, retryAt}: RefusedEndpoint,
  waitUntil: Instant,
  choice: LimitedChoice,
  dependencies: LimitDependencies,
): Promise<'choose again'> {
  const {requirements, waitForUnlimited} = choice;
  const {clock, random} = dependencies;
  const ended = new AbortController();
  const signal = AbortSignal.any([requirements.signal, ended.signal]);
  const hasOther = isResolved(waitForUnlimited?.(signal));
  try {
    if (retryAt < waitUntil) {
      await Promise.race([
        sleepUntilAborted(clock, retryAt, signal),
        hasOther.then(has => (has ? undefined : NEVER)),
      ]);
      report(choice, endpoint, 'waited', undefined, dependencies);
      return 'choose again';
    }
    if (await hasOther) return 'choose again';
  } finally {
    ended.abort();
  }
  const returnAt = after(retryAt, random() * RETURN_SPREAD_MILLISECONDS);
  report(choice, endpoint, 'refused', returnAt, dependencies);
  throw createNotRunRefusal(
    ErrorCode.EndpointLimited,
    requirements.service,
    returnAt,
  );
}

/** Resolves at `at`, or when `signal` aborts. */
function sleepUntilAborted(
  clock: Clock,
  at: Instant,
  signal: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    const cancel = clock.schedule(at, resolve);
    const abort = (): void => {
      cancel();
      resolve();
    };
    if (signal.aborted) abort();
    else signal.addEventListener('abort', abort, {once: true});
  });
}

/** Resolves to whether the promise resolves; to false if there is none. */
async function isResolved(
  promise: Promise<void> | undefined,
): Promise<boolean> {
  if (promise === undefined) return false;
  try {
    await promise;
    return true;
  } catch (failure) {
    // The permit decides about the request, and its refusal is logged.
    if (!(failure instanceof RefusalError)) throw failure;
    return false;
  }
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
