/** Messages with records of traits that were present when endpoints crashed. */

import type {Instant} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import type {CrashId, Suspect} from './run_crashes.js';
import type {Trait} from './trait.js';
import {MAXIMUM_TRAITS} from './trait.js';
import {z} from 'zod';

/** Records in one message; a new node gets several messages. */
const RECORDS_PER_MESSAGE = 200;

const name = z.string().min(1).max(256);

/** Trait, milliseconds since its last crash, crashes. */
const suspectSchema = z.tuple([
  name,
  z.number().nonnegative(),
  z.array(
    z.object({crash: name, hadResponded: z.boolean(), isCleared: z.boolean()}),
  ),
]);

/** Records of suspects, in either direction. */
export const suspectsSchema = z.object({suspects: z.array(suspectSchema)});

/** Request to run a request with these traits on probation. */
export const probationSchema = z.object({
  traits: z.array(name).max(MAXIMUM_TRAITS),
});

/** Whether the run is allowed. */
export const probationResponseSchema = z.object({isAllowed: z.boolean()});

export type SuspectsMessage = z.infer<typeof suspectsSchema>;

/** Splits the records into messages of limited length. */
export function encodeSuspects(
  suspects: readonly Suspect[],
  now: Instant,
): SuspectsMessage[] {
  const messages: SuspectsMessage[] = [];
  for (let start = 0; start < suspects.length; start += RECORDS_PER_MESSAGE) {
    const part = suspects.slice(start, start + RECORDS_PER_MESSAGE);
    messages.push({
      suspects: part.map(({trait, lastCrashAt, crashes}) => [
        trait,
        Math.max(0, Math.round(until(lastCrashAt, now))),
        [...crashes],
      ]),
    });
  }
  return messages;
}

export function decodeSuspects(
  {suspects}: SuspectsMessage,
  now: Instant,
): Suspect[] {
  return suspects.map(([trait, ageMilliseconds, crashes]) => ({
    trait: as<Trait>(trait),
    lastCrashAt: after(now, -ageMilliseconds),
    crashes: crashes.map(run => ({...run, crash: as<CrashId>(run.crash)})),
  }));
}
