/** Permissions for runs on probation, which one node asks of another. */

import type {Trait} from '@siskinmux/containment';
import {
  PROBATION_MILLISECONDS,
  probationResponseSchema,
  probationSchema,
} from '@siskinmux/containment';
import type {Clock, Instant, Milliseconds} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {PeerConnection} from './peer_connection.js';
import {PEER_METHODS} from './placement_messages.js';

/** How long a request waits for its permission. */
const PROBATION_TIMEOUT_MILLISECONDS: Milliseconds = 400;

/** Gives permissions and takes them back. */
export interface ProbationHolder {
  readonly requestProbation: (traits: readonly Trait[]) => Promise<boolean>;
  readonly endProbation: (traits: readonly Trait[]) => void;
}

/**
 * Answers a node's requests for permissions. The node has left before one arrived if its connection
 * ends within the time for which its request waits.
 */
export function handleProbation(
  connection: PeerConnection,
  holder: ProbationHolder,
  clock: Clock,
): void {
  let given: {traits: readonly Trait[]; awaitedUntil: Instant}[] = [];
  connection.handle(PEER_METHODS.probation, probationSchema, async message => {
    const traits = message.traits.map(trait => as<Trait>(trait));
    const isAllowed = await holder.requestProbation(traits);
    const now = clock.now();
    given = given.filter(({awaitedUntil}) => awaitedUntil > now);
    const awaitedUntil = after(now, PROBATION_TIMEOUT_MILLISECONDS);
    if (isAllowed) given.push({traits, awaitedUntil});
    return {isAllowed};
  });
  connection.handle(PEER_METHODS.probationEnd, probationSchema, message => {
    const ended = message.traits.map(trait => as<Trait>(trait));
    given = given.filter(({traits}) => traits.join() !== ended.join());
    holder.endProbation(ended);
  });
  connection.onClosed(() => {
    const now = clock.now();
    for (const {traits, awaitedUntil} of given)
      if (awaitedUntil > now) holder.endProbation(traits);
  });
}

/** Asks for a permission; false without one in time. One that arrives later is handed back. */
export async function askProbation(
  connection: PeerConnection,
  traits: readonly Trait[],
  clock: Clock,
): Promise<boolean> {
  const now = clock.now();
  const allowed = connection
    .ask(
      PEER_METHODS.probation,
      {traits: [...traits]},
      // Later, it has expired by itself.
      after(now, PROBATION_MILLISECONDS),
      probationResponseSchema,
    )
    .then(response => response?.isAllowed ?? false);
  const inTime = await new Promise<boolean | undefined>(resolve => {
    const cancel = clock.schedule(
      after(now, PROBATION_TIMEOUT_MILLISECONDS),
      () => resolve(undefined),
    );
    void allowed.then(isAllowed => {
      cancel();
      resolve(isAllowed);
    });
  });
  if (inTime !== undefined) return inTime;
  void allowed.then(isAllowed => {
    if (isAllowed) notifyProbationEnd(connection, traits);
  });
  return false;
}

/** Tells the holder that the run has ended, or won't begin. */
export function notifyProbationEnd(
  connection: PeerConnection,
  traits: readonly Trait[],
): void {
  connection.notify(PEER_METHODS.probationEnd, {traits: [...traits]});
}
