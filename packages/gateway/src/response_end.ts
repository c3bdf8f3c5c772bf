/** Decides whether a response of an endpoint is complete; nothing else may call it so. */

import type {BodyEnd, BodyFraming} from '@siskinmux/forwarding';

/** What is known about a response at its end. */
export interface ResponseEnding {
  /** What the framing of the endpoint's connection says. */
  readonly end: BodyEnd;
  readonly framing: BodyFraming;
  /** Whether an event of a stream has begun and is not complete. */
  readonly hasPartialEvent: boolean;
}

/**
 * Resolves to undefined if the response is complete, otherwise to what shows that it broke
 * off. The connections of a process that crashes are closed like those of one that has sent
 * all, so a response that only a close ends is complete only if the process still runs.
 */
export async function findBreak(
  {end, framing, hasPartialEvent}: ResponseEnding,
  isRunning: () => Promise<boolean>,
): Promise<string | undefined> {
  if (end === 'broken') return 'the response broke off';
  if (hasPartialEvent) return 'the response ended inside an event';
  if (framing !== 'close' || (await isRunning())) return undefined;
  return 'the endpoint ended with its response';
}
