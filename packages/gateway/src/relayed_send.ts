/** Sends a request to another node that serves it, and tells what has become of it there. */

import type {
  EndpointConnectionPool,
  ResponseBody,
  ResponseHead,
  SendResult,
  SentRequest,
} from '@siskinmux/forwarding';
import type {EndpointId, Milliseconds, RefusalError} from '@siskinmux/kernel';
import {ErrorCode, Outcome, as} from '@siskinmux/kernel';
import type {
  RelayPeer,
  RelayStatement,
  RelayedProgress,
} from '@siskinmux/relay';
import {decodeStatement, relayedHeaders} from '@siskinmux/relay';
import {statesNotRun} from './refusal_response.js';
import {bufferBody} from './relay_response.js';
import {unfoundedCause} from './response_judgement.js';

/** Added to the age of a relayed request for its way to the other node. */
const WAY_MILLISECONDS: Milliseconds = 2;

/** Refusals for the node's own state; another node may serve the request. */
const UNABLE_CODES: ReadonlySet<ErrorCode> = new Set([
  ErrorCode.BuffersFull,
  ErrorCode.LinksLost,
  ErrorCode.ShuttingDown,
  ErrorCode.ConfigurationUnavailable,
  ErrorCode.UnknownTarget,
  ErrorCode.Unauthenticated,
]);

/** A request as it is relayed. */
export interface RelayedRequest {
  /** Equal for all sends of one request. */
  readonly key: number;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly progress: RelayedProgress;
  readonly isRetryable: boolean;
}

/** What has become of a relayed request. */
export type RelayOutcome =
  /** An endpoint responds; `runs` are those of the whole request. */
  | {
      readonly kind: 'endpoint';
      readonly endpoint: EndpointId;
      readonly runs: number;
      readonly head: ResponseHead;
      readonly body: ResponseBody;
    }
  /** The other node refused the request for good. */
  | {
      readonly kind: 'refused';
      readonly code: ErrorCode;
      readonly head: ResponseHead;
      readonly body: Buffer;
    }
  /** The other node could not be reached, or can't serve the request; it has not run. */
  | {readonly kind: 'not_run'; readonly cause: string}
  /** The other node gave no answer that tells. */
  | {readonly kind: 'unknown'; readonly cause: string};

/** Sends a request to a peer over an idle connection or a new one. */
export function sendToPeer(
  connections: EndpointConnectionPool,
  {node, address}: RelayPeer,
  request: RelayedRequest,
): SentRequest {
  const {progress, headers, isRetryable} = request;
  const age = progress.age + WAY_MILLISECONDS;
  return connections.send(
    {id: as<EndpointId>(node), address},
    {...request, headers: relayedHeaders(headers, {...progress, age})},
    isRetryable,
  );
}

/** Reads what the peer says about the request; the response of an endpoint is read later. */
export async function readRelayOutcome(
  result: SendResult,
  sentRequest: SentRequest,
): Promise<RelayOutcome> {
  if (result.kind === 'failed') {
    const cause = result.failure.message;
    return {
      kind: result.delivery === 'not_sent' ? 'not_run' : 'unknown',
      cause,
    };
  }
  const {head, body} = result;
  const statement = decodeStatement(head.headers);
  if (statement?.kind === 'endpoint') {
    if (!statesNotRun(head.status)) return {...statement, head, body};
    // A node of an earlier version takes any error of an endpoint for one that may be passed on.
    sentRequest.abort('invalid_response');
    return {kind: 'unknown', cause: unfoundedCause(head)};
  }
  if (statement === undefined) {
    sentRequest.abort('invalid_response');
    return {kind: 'unknown', cause: 'not the answer of a node'};
  }
  return readRefusal(statement, head, body);
}

async function readRefusal(
  {code, isUnable}: RelayStatement & {kind: 'refusal'},
  head: ResponseHead,
  body: ResponseBody,
): Promise<RelayOutcome> {
  const result = await bufferBody(body).result;
  if (isUnable) return {kind: 'not_run', cause: `refused as ${code}`};
  if (result.kind === 'long' || result.end === 'broken')
    return {kind: 'unknown', cause: `broken refusal as ${code}`};
  return {kind: 'refused', code, head, body: result.body};
}

/** What a node that relayed a request learns from this node's refusal. */
export function statementOfRefusal({
  code,
  outcome,
}: RefusalError): RelayStatement {
  const isUnable = UNABLE_CODES.has(code) && outcome === Outcome.NotRun;
  return {kind: 'refusal', code, isUnable};
}
