/** Shapes of the configuration's objects in the object service. */

import type {ConfigurationNumber} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {StoredObjectInvalidError} from '@siskinmux/ports';
import {changeSchema, declarationsSchema} from '@siskinmux/declarations';
import {z} from 'zod';

/** Key of the object whose version orders all configurations. */
export const HEAD_KEY = 'configuration/head';

/** Prefix of the objects that hold older patches, by their first number. */
export const HISTORY_PREFIX = 'configuration/history/';

/** Prefix of the objects that hold a whole configuration in parts. */
export const SNAPSHOT_PREFIX = 'configuration/snapshot/';

const acceptedPatchSchema = z.strictObject({
  number: z.number().int().positive(),
  id: z.string(),
  author: z.string(),
  reason: z.string(),
  /** Milliseconds since the Unix epoch, by the accepting node's clock. */
  accepted_at: z.number(),
  changes: z.array(changeSchema),
});

/** A patch that has become a configuration number. */
export type AcceptedPatch = z.infer<typeof acceptedPatchSchema>;

const headSchema = z.strictObject({
  number: z.number().int().nonnegative(),
  /** Number of the newest snapshot; 0 stands for empty declarations. */
  snapshot_number: z.number().int().nonnegative(),
  snapshot_parts: z.number().int().nonnegative(),
  /** Tells apart snapshots of one number that two writers prepared. */
  snapshot_id: z.string(),
  /** First numbers of the history objects, oldest first. */
  history: z.array(z.number().int().positive()),
  /** All patches after the snapshot. */
  patches: z.array(acceptedPatchSchema),
});

/** The head object: a snapshot's place and the patches after it. */
export type ConfigurationHead = z.infer<typeof headSchema>;

const historySchema = z.array(acceptedPatchSchema);

/** Head before any patch was accepted. */
export const EMPTY_HEAD: ConfigurationHead = {
  number: 0,
  snapshot_number: 0,
  snapshot_parts: 0,
  snapshot_id: '',
  history: [],
  patches: [],
};

/** Reads a stored head. */
export function parseHead(value: string): ConfigurationHead {
  return parseStored(HEAD_KEY, headSchema, value);
}

/** Reads a stored history object. */
export function parseHistory(key: string, value: string): AcceptedPatch[] {
  return parseStored(key, historySchema, value);
}

/** Reads patches that a peer sent. */
export function parsePatches(value: unknown): AcceptedPatch[] {
  const parsed = historySchema.safeParse(value);
  if (parsed.success) return parsed.data;
  throw new StoredObjectInvalidError('peer', parsed.error.message);
}

/** Reads whole declarations from a snapshot's joined parts or from a peer. */
export function parseSnapshot(key: string, value: string) {
  return parseStored(key, declarationsSchema, value);
}

/** Key of one part of a snapshot. */
export function snapshotKey(
  head: Pick<ConfigurationHead, 'snapshot_number' | 'snapshot_id'>,
  part: number,
): string {
  return `${SNAPSHOT_PREFIX}${head.snapshot_number}-${head.snapshot_id}/${part}`;
}

/** The head's number as a branded one. */
export function numberOf(
  head: Pick<ConfigurationHead, 'number'>,
): ConfigurationNumber {
  return as<ConfigurationNumber>(head.number);
}

function parseStored<Shape>(
  key: string,
  schema: z.ZodType<Shape>,
  value: string,
): Shape {
  let json: unknown;
  try {
    json = JSON.parse(value);
  } catch (cause) {
    throw new StoredObjectInvalidError(key, String(cause));
  }
  const parsed = schema.safeParse(json);
  if (parsed.success) return parsed.data;
  throw new StoredObjectInvalidError(key, parsed.error.message);
}
