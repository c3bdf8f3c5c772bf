/** Holds a request while this node's knowledge of the platform may be outdated. */

import type {
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  RequestId,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  after,
  createNotRunRefusal,
  scheduleWhileAwake,
  until,
} from '@siskinmux/kernel';
import {REQUEST_HELD} from './gateway_events.js';
import type {PlatformView} from './platform_view.js';

/** Longest wait of a process that runs; by then, the store has responded, or is known to be unreachable. */
export const HOLD_MILLISECONDS: Milliseconds = 500;

/** `Retry-After` of a request that no read came in time for. */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 500;

/** What a request waits for. */
export type AwaitedView = Pick<
  PlatformView,
  | 'age'
  | 'isCurrent'
  | 'isDecidable'
  | 'latestKnownUntil'
  | 'routesVersion'
  | 'waitUntilDecidable'
>;

/** Longest hold of a request without a timeout of its caller. */
export const MAXIMUM_HOLD_MILLISECONDS: Milliseconds = 1_000;

/** The request that waits. */
export interface WaitingRequest {
  readonly id: RequestId;
  /** When its caller gives up. */
  readonly deadline: Instant;
  /** Aborts when the request has ended. */
  readonly signal: AbortSignal;
}

/**
 * Waits for a read of the store. Resolves when the knowledge is recent, or when the store turns
 * out to be unreachable; throws a `RefusalError` if neither is known in time.
 */
export async function waitForView(
  view: AwaitedView,
  {id, deadline, signal}: WaitingRequest,
  clock: Clock,
  emit: EmitEvent,
): Promise<void> {
  const {age} = view;
  const startedAt = clock.now();
  const held = new AbortController();
  const holdUntil = after(startedAt, HOLD_MILLISECONDS);
  const cancel = scheduleWhileAwake(clock, holdUntil, () => held.abort());
  await view.waitUntilDecidable(
    deadline,
    AbortSignal.any([signal, held.signal]),
  );
  cancel();
  const now = clock.now();
  emit(REQUEST_HELD, {
    id,
    endpointsAge: age.endpoints,
    routesAge: age.routes,
    version: view.routesVersion,
    waited: Math.round(until(startedAt, now)),
    outcome: outcomeOf(view, startedAt, signal),
  });
  if (signal.aborted || view.isDecidable) return;
  throw createNotRunRefusal(
    ErrorCode.ConfigurationUnavailable,
    'the platform’s state is unknown',
    after(now, RETRY_AFTER_MILLISECONDS),
  );
}

function outcomeOf(
  view: AwaitedView,
  startedAt: Instant,
  signal: AbortSignal,
): string {
  if (signal.aborted) return 'gone';
  if (!view.isDecidable) return 'refused';
  if (view.isCurrent) return 'current';
  // Earlier instants are also confirmed by late messages of a feed whose source has lost the store.
  const {latestKnownUntil = startedAt} = view;
  return latestKnownUntil > startedAt ? 'outdated' : 'unreachable';
}
