/** Messages with records of requests that crashed endpoints. */

import type {Fingerprint, Instant} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import type {CrashId, Suspect} from './crash_suspects.js';
import {z} from 'zod';

/** Records in one message; a new node gets several messages. */
const RECORDS_PER_MESSAGE = 200;

const name = z.string().min(1).max(256);

/** Fingerprint, milliseconds since its last crash, crashes. */
const suspectSchema = z.tuple([
  name,
  z.number().nonnegative(),
  z.array(
    z.object({crash: name, hadResponded: z.boolean(), isCleared: z.boolean()}),
  ),
]);

/** Records of suspects, in either direction. */
export const suspectsSchema = z.object({suspects: z.array(suspectSchema)});

/** Request to run a suspect on probation. */
export const probationSchema = z.object({content: name});

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
      suspects: part.map(({fingerprint, lastCrashAt, crashes}) => [
        fingerprint,
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
  return suspects.map(([fingerprint, ageMilliseconds, crashes]) => ({
    fingerprint: as<Fingerprint>(fingerprint),
    lastCrashAt: after(now, -ageMilliseconds),
    crashes: crashes.map(run => ({...run, crash: as<CrashId>(run.crash)})),
  }));
}
