/** HTTP calls by undici, with failures sorted by whether the request can have arrived. */

import type {Dispatcher} from 'undici';
import {Agent, errors, request} from 'undici';

/** Time to connect. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Idle connections are closed before the other side does, or a call would be lost. */
const KEEP_ALIVE_MILLISECONDS = 2_000;

/** Connections to one address. */
const CONNECTIONS_PER_ORIGIN = 256;

/** How far a failed call got. */
export type RequestDelivery = 'not_sent' | 'maybe_sent';

/** The pool of connections that all adapters of a process share. */
export function createAgent(
  tls?: Readonly<{ca?: string; cert?: string; key?: string}>,
): Agent {
  return new Agent({
    connections: CONNECTIONS_PER_ORIGIN,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS, ...tls},
  });
}

/** One call. */
export interface HttpRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly url: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/** A whole answer. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** Sends a call and reads the whole answer. */
export async function send(
  agent: Dispatcher,
  call: HttpRequest,
): Promise<HttpResponse> {
  const answer = await open(agent, call);
  const body = await answer.body.text();
  return {status: answer.statusCode, headers: answer.headers, body};
}

/** Sends a call and returns the answer with its body still to come. */
export function open(
  agent: Dispatcher,
  call: HttpRequest,
): Promise<Dispatcher.ResponseData> {
  return request(call.url, {
    dispatcher: agent,
    method: call.method,
    headers: call.headers,
    body: call.body,
    signal: call.signal,
  });
}

const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether a failed call can have reached the other side. */
export function deliveryOf(failure: unknown): RequestDelivery {
  if (failure instanceof errors.ConnectTimeoutError) return 'not_sent';
  const code = codeOf(failure);
  return code !== undefined && NOT_SENT_CODES.has(code)
    ? 'not_sent'
    : 'maybe_sent';
}

function codeOf(failure: unknown): string | undefined {
  if (typeof failure !== 'object' || failure === null) return undefined;
  if (failure instanceof AggregateError) return codeOf(failure.errors[0]);
  return 'code' in failure && typeof failure.code === 'string'
    ? failure.code
    : undefined;
}
