/** Holds a request while this node's knowledge of the platform may be outdated. */

import type {Clock, EmitEvent, Instant, RequestId} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import {REQUEST_HELD} from './gateway_events.js';
import type {PlatformView} from './platform_view.js';

/** The request that waits. */
export interface WaitingRequest {
  readonly id: RequestId;
  /** When it goes on in any case. */
  readonly deadline: Instant;
  /** Aborts when the request has ended. */
  readonly signal: AbortSignal;
}

/**
 * Waits for a read of the store. Resolves when the knowledge is recent, when the store turns
 * out to be unreachable, or at the deadline.
 */
export async function waitForView(
  view: PlatformView,
  {id, deadline, signal}: WaitingRequest,
  clock: Clock,
  emit: EmitEvent,
): Promise<void> {
  const {age} = view;
  const startedAt = clock.now();
  await view.waitUntilDecidable(deadline, signal);
  emit(REQUEST_HELD, {
    id,
    endpointsAge: age.endpoints,
    routesAge: age.routes,
    waited: Math.round(until(startedAt, clock.now())),
    outcome: signal.aborted
      ? 'gone'
      : view.isCurrent
        ? 'current'
        : 'unreachable',
  });
}
