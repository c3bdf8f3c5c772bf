/** Schemas and keys of the configuration objects in the object service. */

import type {ConfigurationNumber} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {StoredObjectInvalidError} from '@siskinmux/ports';
import type {Declarations} from '@siskinmux/declarations';
import {changeSchema, declarationsSchema} from '@siskinmux/declarations';
import {z} from 'zod';

/** Key of the head object, whose versions order all configurations. */
export const HEAD_KEY = 'configuration/head';

/** Prefix of the objects that hold older patches, followed by their first number. */
export const HISTORY_PREFIX = 'configuration/history/';

/** Prefix of the objects that hold the parts of a snapshot. */
export const SNAPSHOT_PREFIX = 'configuration/snapshot/';

const acceptedPatchSchema = z.strictObject({
  number: z.number().int().positive(),
  id: z.string(),
  author: z.string(),
  reason: z.string(),
  /** Milliseconds since the Unix epoch by the clock of the accepting node. */
  accepted_at: z.number(),
  changes: z.array(changeSchema),
});

/** A patch that was accepted under a configuration number. */
export type AcceptedPatch = z.infer<typeof acceptedPatchSchema>;

const headSchema = z.strictObject({
  number: z.number().int().nonnegative(),
  /** Number of the latest snapshot; 0 means empty declarations. */
  snapshot_number: z.number().int().nonnegative(),
  snapshot_parts: z.number().int().nonnegative(),
  /** Distinguishes snapshots that two writers prepared for the same number. */
  snapshot_id: z.string(),
  /** First patch number of each history object, oldest first. */
  history: z.array(z.number().int().positive()),
  /** All patches after the snapshot. */
  patches: z.array(acceptedPatchSchema),
});

/** Content of the head object: a reference to the snapshot and the patches after it. */
export type ConfigurationHead = z.infer<typeof headSchema>;

const historySchema = z.array(acceptedPatchSchema);

/** Head before the first patch is accepted. */
export const EMPTY_HEAD: ConfigurationHead = {
  number: 0,
  snapshot_number: 0,
  snapshot_parts: 0,
  snapshot_id: '',
  history: [],
  patches: [],
};

/** Parses a stored head. Throws `StoredObjectInvalidError`. */
export function parseHead(value: string): ConfigurationHead {
  return parseStored(HEAD_KEY, headSchema, value);
}

/** Parses a stored history object. Throws `StoredObjectInvalidError`. */
export function parseHistory(key: string, value: string): AcceptedPatch[] {
  return parseStored(key, historySchema, value);
}

/** Parses patches that a peer sent. Throws `StoredObjectInvalidError`. */
export function parsePatches(value: unknown): AcceptedPatch[] {
  const parsed = historySchema.safeParse(value);
  if (parsed.success) return parsed.data;
  throw new StoredObjectInvalidError('peer', parsed.error.message);
}

/**
 * Parses whole declarations from the joined parts of a snapshot or from a peer; `key`
 * names the source in the `StoredObjectInvalidError` that it throws.
 */
export function parseSnapshot(key: string, value: string) {
  return parseStored(key, declarationsSchema, value);
}

/** Declarations as they are stored in snapshots and sent to peers. */
export type StoredDeclarations = z.input<typeof declarationsSchema>;

/**
 * Omits the section `teams` if it is empty: nodes of versions without teams reject
 * declarations that have it.
 */
export function toStored(declarations: Declarations): StoredDeclarations {
  const {teams, ...others} = declarations;
  return Object.keys(teams).length === 0 ? others : declarations;
}

/** Key of one part of a snapshot. */
export function snapshotKey(
  head: Pick<ConfigurationHead, 'snapshot_number' | 'snapshot_id'>,
  part: number,
): string {
  return `${SNAPSHOT_PREFIX}${head.snapshot_number}-${head.snapshot_id}/${part}`;
}

/** Number of a head as a {@link ConfigurationNumber}. */
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
  } catch {
    // The message of the parser quotes the value, which may hold digests of keys.
    throw new StoredObjectInvalidError(key, 'not JSON');
  }
  const parsed = schema.safeParse(json);
  if (parsed.success) return parsed.data;
  throw new StoredObjectInvalidError(key, parsed.error.message);
}
