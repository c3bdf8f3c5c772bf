/**
 * Origins of streams as nodes exchange and store them. Clocks differ, so instants are
 * encoded relative to the time of encoding.
 */

import type {SoftwareVersion} from '@siskinmux/endpoints';
import type {Instant, RequestId, ServiceName} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import {z} from 'zod';
import type {ServiceVersions} from './service_versions.js';
import type {StreamOrigin} from './stream_origins.js';

const name = z.string().min(1).max(256);
const milliseconds = z.number().nonnegative();

/** Streams in one message; a new lease holder gets several messages. */
const STREAMS_PER_MESSAGE = 1_000;

/** Service, version, and streams with the milliseconds for which they may be resumed. */
const groupSchema = z.tuple([
  name,
  name,
  z.array(z.tuple([name, milliseconds])).max(STREAMS_PER_MESSAGE),
]);

/** Origins of streams, grouped by service and version. */
export const originsSchema = z.object({groups: z.array(groupSchema)});

/** Service, version (null if not stated), milliseconds since it was seen; 0 while listed. */
const sightingSchema = z.object({
  service: name,
  version: name.nullable(),
  age: milliseconds,
  isListed: z.boolean(),
});

/** A version of a service, as the lease holder recorded it. */
export type RecordedVersion = z.infer<typeof sightingSchema>;

/** A stored part of the origins; ages count from `writtenAt`, a time of day. */
export const storedOriginsSchema = originsSchema.extend({
  writtenAt: z.number(),
  versions: z.array(sightingSchema),
  /**
   * The era of the store in which it was written by a node that knew all versions; missing from a
   * node that didn't, or of an earlier build.
   */
  era: z.number().optional(),
});

/** Origins on the wire. */
export type OriginsMessage = z.infer<typeof originsSchema>;

/** Encodes origins into messages of bounded size. */
export function encodeOrigins(
  origins: readonly StreamOrigin[],
  now: Instant,
): OriginsMessage[] {
  const messages: OriginsMessage[] = [];
  for (let at = 0; at < origins.length; at += STREAMS_PER_MESSAGE) {
    const part = origins.slice(at, at + STREAMS_PER_MESSAGE);
    messages.push({groups: groupOrigins(part, now)});
  }
  return messages;
}

function groupOrigins(
  origins: readonly StreamOrigin[],
  now: Instant,
): z.infer<typeof groupSchema>[] {
  const groups = new Map<string, z.infer<typeof groupSchema>>();
  for (const {stream, service, version, expiresAt} of origins) {
    const key = JSON.stringify([service, version]);
    const group = groups.get(key) ?? [service, version, []];
    groups.set(key, group);
    const remaining = Math.max(0, Math.round(until(now, expiresAt)));
    group[2].push([stream, remaining]);
  }
  return [...groups.values()];
}

/** Decodes origins whose times count from `encodedAt`. */
export function decodeOrigins(
  {groups}: OriginsMessage,
  encodedAt: Instant,
): StreamOrigin[] {
  return groups.flatMap(([service, version, streams]) =>
    streams.map(([stream, remaining]) => ({
      stream: as<RequestId>(stream),
      service: as<ServiceName>(service),
      version: as<SoftwareVersion>(version),
      expiresAt: after(encodedAt, remaining),
    })),
  );
}

/** The versions of all services that were seen lately. */
export function encodeVersions(
  versions: ServiceVersions,
  now: Instant,
): RecordedVersion[] {
  return [...versions.services].flatMap(service =>
    versions.sightings(service, now).map(({version, seenAt, isListed}) => ({
      service,
      version: version ?? null,
      age: Math.max(0, Math.round(until(seenAt, now))),
      isListed,
    })),
  );
}

/**
 * Observes a record that was written at `writtenAt`. What was listed then may have been listed
 * until now, since nobody may have seen it leave.
 */
export function observeVersions(
  recorded: readonly RecordedVersion[],
  writtenAt: Instant,
  versions: ServiceVersions,
  now: Instant,
): void {
  for (const {service, version, age, isListed} of recorded) {
    versions.observe(
      as<ServiceName>(service),
      version === null ? undefined : as<SoftwareVersion>(version),
      isListed ? now : after(writtenAt, -age),
      now,
    );
  }
}
