/** Lines of a shard's log. Each line is one JSON array, so that appending needs no re-encoding. */

import type {Brand, Fingerprint, Instant, NodeId} from '@siskinmux/kernel';
import {StoredObjectInvalidError} from '@siskinmux/ports';
import {z} from 'zod';

/** Digest of a service, a call and the caller's idempotency key. */
export type ClaimKey = Brand<string, 'ClaimKey'>;

/** Identity of one node's attempt to run a request; only its node may dispatch. */
export type AttemptId = Brand<string, 'AttemptId'>;

/** An answer that is kept for resends. */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** How an attempt ended, as its node reports it. */
export type AttemptOutcome =
  /** The endpoint answered; `answer` is undefined when too large to keep. */
  | {readonly kind: 'answered'; readonly answer: StoredResponse | undefined}
  /** Nothing ran and this attempt never will. */
  | {readonly kind: 'not_run'}
  /** It may have run. */
  | {readonly kind: 'unknown'};

/** A record of a shard's log. */
export type ClaimRecord =
  | {readonly kind: 'takeover'; readonly node: NodeId}
  | {
      readonly kind: 'claim';
      readonly key: ClaimKey;
      readonly fingerprint: Fingerprint;
      readonly attempt: AttemptId;
      readonly node: NodeId;
      readonly deadline: Instant;
      readonly expiresAt: Instant;
    }
  | {
      readonly kind: 'end';
      readonly key: ClaimKey;
      readonly attempt: AttemptId;
      readonly end: AttemptOutcome;
    }
  /** Last line of a segment; the log goes on in the next one. */
  | {readonly kind: 'seal'};

const answerSchema = z.tuple([z.number(), z.string(), z.string()]);

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
  z.tuple([z.literal('a'), z.string(), z.string(), answerSchema.nullable()]),
  z.tuple([z.literal('n'), z.string(), z.string()]),
  z.tuple([z.literal('u'), z.string(), z.string()]),
  z.tuple([z.literal('s')]),
]);

type Line = z.infer<typeof lineSchema>;

/** One line with its line end. */
export function encodeRecord(record: ClaimRecord): string {
  return `${JSON.stringify(toLine(record))}\n`;
}

/** All records of a segment. Throws `StoredObjectInvalidError`. */
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
      return endLine(record.key, record.attempt, record.end);
    case 'seal':
      return ['s'];
  }
}

function endLine(key: ClaimKey, attempt: AttemptId, end: AttemptOutcome): Line {
  switch (end.kind) {
    case 'answered': {
      const {answer} = end;
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
      return endRecord(line[1], line[2], {
        kind: 'answered',
        answer: keptAnswer(line[3]),
      });
    case 'n':
      return endRecord(line[1], line[2], {kind: 'not_run'});
    case 'u':
      return endRecord(line[1], line[2], {kind: 'unknown'});
    case 's':
      return {kind: 'seal'};
  }
}

function endRecord(
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

function keptAnswer(
  stored: z.infer<typeof answerSchema> | null,
): StoredResponse | undefined {
  if (stored === null) return undefined;
  const [status, contentType, body] = stored;
  return {status, contentType, body};
}
