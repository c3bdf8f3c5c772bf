/**
 * The header that nodes add to requests they relay to each other, and to the responses. It holds
 * what the other node has to know beyond the caller's request.
 */

import type {RawHeaders} from '@siskinmux/forwarding';
import {findHeader, removeHeaders} from '@siskinmux/forwarding';
import type {
  EndpointId,
  ErrorCode,
  Milliseconds,
  TeamName,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {z} from 'zod';

/** Lowercase name of the header, on requests and responses. */
export const RELAY_HEADER = 'siskinmux-relay';

const requestSchema = z.object({
  age: z.number().nonnegative(),
  sends: z.number().int().nonnegative(),
  runs: z.number().int().nonnegative(),
  tried: z.array(z.string()),
  /** Printable ASCII, as endpoints get it in a header. */
  team: z
    .string()
    .regex(/^[!-~]([ -~]{0,254}[!-~])?$/)
    .optional(),
});

const statementSchema = z.union([
  z.object({
    endpoint: z.string(),
    runs: z.number().int().nonnegative(),
  }),
  z.object({code: z.string(), isUnable: z.boolean()}),
]);

/** What has become of a request before it is relayed. */
export interface RelayedProgress {
  /** Milliseconds since the first node received it; deadlines count from then. */
  readonly age: Milliseconds;
  /** Sends so far, and those of them that an endpoint ran or may have run. */
  readonly sends: number;
  readonly runs: number;
  readonly tried: readonly EndpointId[];
  /** The team that the first node has identified by the caller's key, which isn't relayed. */
  readonly team?: TeamName | undefined;
}

/** What a response to a relayed request is. */
export type RelayStatement =
  /** An endpoint's response; `runs` includes the one that it belongs to. */
  | {
      readonly kind: 'endpoint';
      readonly endpoint: EndpointId;
      readonly runs: number;
    }
  /** A refusal by the node. One that `isUnable` to serve any such request hasn't run it. */
  | {
      readonly kind: 'refusal';
      readonly code: ErrorCode;
      readonly isUnable: boolean;
    };

/** Encodes the header of a relayed request. */
function encodeProgress(progress: RelayedProgress): string {
  return JSON.stringify(progress);
}

/** Decodes the header of a relayed request; undefined if it is missing or invalid. */
export function decodeProgress(
  headers: RawHeaders,
): RelayedProgress | undefined {
  const message = decode(headers, requestSchema);
  if (message === undefined) return undefined;
  const {team, tried, ...progress} = message;
  return {
    ...progress,
    tried: tried.map(id => as<EndpointId>(id)),
    ...(team !== undefined && {team: as<TeamName>(team)}),
  };
}

/** Encodes the header of a response. */
export function encodeStatement(statement: RelayStatement): string {
  const {kind: _kind, ...message} = statement;
  return JSON.stringify(message);
}

/** Decodes the header of a response; undefined if it is missing or invalid. */
export function decodeStatement(
  headers: RawHeaders,
): RelayStatement | undefined {
  const message = decode(headers, statementSchema);
  if (message === undefined) return undefined;
  if ('endpoint' in message)
    return {
      kind: 'endpoint',
      endpoint: as<EndpointId>(message.endpoint),
      runs: message.runs,
    };
  return {
    kind: 'refusal',
    code: message.code as ErrorCode,
    isUnable: message.isUnable,
  };
}

/** The headers without the one that only nodes send each other. */
export function withoutRelayHeader(headers: RawHeaders): string[] {
  return headers.filter(
    (_, index) => headers[index - (index % 2)]?.toLowerCase() !== RELAY_HEADER,
  );
}

/** The headers of a request as it is relayed. */
export function relayedHeaders(
  headers: RawHeaders,
  progress: RelayedProgress,
): string[] {
  const kept = removeHeaders(
    headers,
    name => name === RELAY_HEADER || name === 'content-length',
  );
  return [...kept, RELAY_HEADER, encodeProgress(progress)];
}

function decode<Message>(
  headers: RawHeaders,
  schema: z.ZodType<Message>,
): Message | undefined {
  const text = findHeader(headers, RELAY_HEADER);
  if (text === undefined) return undefined;
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    // Not JSON; the caller of this function decides what that means and logs it.
    return undefined;
  }
}
