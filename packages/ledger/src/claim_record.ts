/**
 * Line format of a shard's log. Each record is a JSON array on its own line, so that
 * appending does not encode earlier records again.
 */

import type {Brand, Fingerprint, Instant, NodeId} from '@siskinmux/kernel';
import {StoredObjectInvalidError} from '@siskinmux/ports';
import {z} from 'zod';

/** Digest of a service, a call and the caller's idempotency key. */
export type ClaimKey = Brand<string, 'ClaimKey'>;

/** Identifies one node's attempt to run a request; only that node may dispatch it. */
export type AttemptId = Brand<string, 'AttemptId'>;

/** A response that is stored to be replayed when the caller resends the request. */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Outcome of an attempt, as reported by its node. */
export type AttemptOutcome =
  /** The endpoint responded; `answer` is undefined when it was too large to store. */
  | {readonly kind: 'answered'; readonly answer: StoredResponse | undefined}
  /** The call did not run, and this attempt will never run it. */
  | {readonly kind: 'not_run'}
  /** The call may have run. */
  | {readonly kind: 'unknown'};

/** A record of a shard's log. */
export type ClaimRecord =
  /** `node` became the owner; the write of this record fences earlier owners. */
  | {readonly kind: 'takeover'; readonly node: NodeId}
  /** `attempt` holds the key and may dispatch. */
  | {
      readonly kind: 'claim';
      readonly key: ClaimKey;
      readonly fingerprint: Fingerprint;
      readonly attempt: AttemptId;
      readonly node: NodeId;
      readonly deadline: Instant;
      readonly expiresAt: Instant;
    }
  /** Outcome of the attempt. */
  | {
      readonly kind: 'end';
      readonly key: ClaimKey;
      readonly attempt: AttemptId;
      readonly end: AttemptOutcome;
    }
  /** Last record of a segment; the log continues in the next segment. */
  | {readonly kind: 'seal'};

const responseSchema = z.tuple([z.number(), z.string(), z.string()]);

const lineSchema = z.union([
  z.tuple([z.literal('t'), z.string()]),
  z.tuple([
    z.literal('c'),
    z.string(),
    z.string(),
    z.string(),
    z.string(),
    z.number(),
    z.number(),
  ]),
  z.tuple([z.literal('a'), z.string(), z.string(), responseSchema.nullable()]),
  z.tuple([z.literal('n'), z.string(), z.string()]),
  z.tuple([z.literal('u'), z.string(), z.string()]),
  z.tuple([z.literal('s')]),
]);

type Line = z.infer<typeof lineSchema>;

/** Encodes a record as one line, including the newline. */
export function encodeRecord(record: ClaimRecord): string {
  return `${JSON.stringify(toLine(record))}\n`;
}

/** Decodes all records of a segment. Throws `StoredObjectInvalidError`. */
export function decodeRecords(segmentKey: string, text: string): ClaimRecord[] {
  return text
    .split('\n')
    .filter(line => line !== '')
    .map(line => fromLine(parseLine(segmentKey, line)));
}

function toLine(record: ClaimRecord): Line {
  switch (record.kind) {
    case 'takeover':
      return ['t', record.node];
    case 'claim':
      return [
        'c',
        record.key,
        record.fingerprint,
        record.attempt,
        record.node,
        record.deadline,
        record.expiresAt,
      ];
    case 'end':
      return outcomeLine(record.key, record.attempt, record.end);
    case 'seal':
      return ['s'];
  }
}

function outcomeLine(
  key: ClaimKey,
  attempt: AttemptId,
  outcome: AttemptOutcome,
): Line {
  switch (outcome.kind) {
    case 'answered': {
      const {answer} = outcome;
      return [
        'a',
        key,
        attempt,
        answer === undefined
          ? null
          : [answer.status, answer.contentType, answer.body],
      ];
    }
    case 'not_run':
      return ['n', key, attempt];
    case 'unknown':
      return ['u', key, attempt];
  }
}

function parseLine(segmentKey: string, line: string): Line {
  try {
    return lineSchema.parse(JSON.parse(line));
  } catch (cause) {
    throw new StoredObjectInvalidError(segmentKey, String(cause));
  }
}

function fromLine(line: Line): ClaimRecord {
  switch (line[0]) {
    case 't':
      return {kind: 'takeover', node: line[1] as NodeId};
    case 'c':
      return {
        kind: 'claim',
        key: line[1] as ClaimKey,
        fingerprint: line[2] as Fingerprint,
        attempt: line[3] as AttemptId,
        node: line[4] as NodeId,
        deadline: line[5] as Instant,
        expiresAt: line[6] as Instant,
      };
    case 'a':
      return outcomeRecord(line[1], line[2], {
        kind: 'answered',
        answer: storedResponse(line[3]),
      });
    case 'n':
      return outcomeRecord(line[1], line[2], {kind: 'not_run'});
    case 'u':
      return outcomeRecord(line[1], line[2], {kind: 'unknown'});
    case 's':
      return {kind: 'seal'};
  }
}

function outcomeRecord(
  key: string,
  attempt: string,
  end: AttemptOutcome,
): ClaimRecord {
  return {
    kind: 'end',
    key: key as ClaimKey,
    attempt: attempt as AttemptId,
    end,
  };
}

function storedResponse(
  stored: z.infer<typeof responseSchema> | null,
): StoredResponse | undefined {
  if (stored === null) return undefined;
  const [status, contentType, body] = stored;
  return {status, contentType, body};
}
