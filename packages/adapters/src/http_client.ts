/** HTTP requests through undici. Failures are classified by whether the request was sent. */

import {ByteAccumulator} from '@siskinmux/forwarding';
import type {Dispatcher} from 'undici';
import {Agent, Pool, errors, request as sendRequest} from 'undici';
import {createResetAwareClient} from './reset_aware_client.js';

/** Applies to opening a connection only; a request's `signal` limits its duration. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Idle timeout, shorter than the servers' own: a request sent on a connection that the
 * server is closing is lost.
 */
const KEEP_ALIVE_MILLISECONDS = 2_000;

/** Maximum number of connections to one origin. */
const CONNECTIONS_PER_ORIGIN = 256;

/** No list, report or stream of this size is expected; a server in trouble may send more. */
const MAXIMUM_RESPONSE_BYTES = 16_777_216;

/** Interim responses before a final one, after which the server counts as faulty. */
const MAXIMUM_INTERIM_RESPONSES = 1_000;

/** A part of a body counts as this long at least, as parsing and handing it on costs that much. */
const MINIMUM_PART_BYTES = 64;

/** Whether a failed request may have reached the server. */
export type RequestDelivery = 'not_sent' | 'maybe_sent';

/** Creates the connection pool that the adapters of a process share. */
export function createAgent(
  tls?: Readonly<{ca?: string; cert?: string; key?: string}>,
): Agent {
  return new Agent({
    connections: CONNECTIONS_PER_ORIGIN,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
    headersTimeout: 0,
    bodyTimeout: 0,
    maxResponseSize: MAXIMUM_RESPONSE_BYTES,
    connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS, ...tls},
    factory: (origin, options: Pool.Options) =>
      new Pool(origin, {...options, factory: createResetAwareClient}),
  });
}

/** A request with a text body. */
export interface HttpRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly url: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly signal?: AbortSignal;
  /**
   * Length of the response's body beyond which the call fails and its connection closes. Parts
   * shorter than 64 bytes count as 64.
   */
  readonly maximumResponseBytes?: number;
  /** Called when the head of the response has been received, and after each part of its body. */
  readonly onProgress?: (receivedBytes: number) => void;
}

/** A response whose body was read to its end. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** Sends a request and reads the whole response. */
export async function send(
  agent: Dispatcher,
  request: HttpRequest,
): Promise<HttpResponse> {
  const {statusCode, headers, body} = await open(agent, request);
  request.onProgress?.(0);
  const limit = request.maximumResponseBytes ?? MAXIMUM_RESPONSE_BYTES;
  const bytes = ByteAccumulator.create();
  await readBody({headers, body}, limit, part => {
    bytes.append(part);
    request.onProgress?.(bytes.length);
  });
  return {status: statusCode, headers, body: bytes.take().toString('utf8')};
}

/** The status of a response whose body isn't used. */
export interface HttpStatus {
  readonly status: number;
  /** The body has ended, or was given up; never rejects. */
  readonly hasClosed: Promise<void>;
}

/**
 * Sends a request and resolves with the status of its response as soon as that is known. The body
 * is discarded as it comes; beyond `maximumResponseBytes` or after `signal` its connection closes.
 */
export async function sendForStatus(
  agent: Dispatcher,
  request: HttpRequest,
): Promise<HttpStatus> {
  const {statusCode, headers, body} = await open(agent, request);
  const limit = request.maximumResponseBytes ?? MAXIMUM_RESPONSE_BYTES;
  const hasClosed = readBody({headers, body}, limit, () => {}).catch(() => {});
  return {status: statusCode, hasClosed};
}

/** Passes the parts of a body to `onPart`; fails once it is longer than `limit`, in bytes. */
function readBody(
  {headers, body}: Pick<Dispatcher.ResponseData, 'headers' | 'body'>,
  limit: number,
  onPart: (part: Buffer) => void,
): Promise<void> {
  const checkLength = (length: number): void => {
    if (length > limit)
      body.destroy(
        new errors.ResponseExceededMaxSizeError(
          `${length} bytes, ${limit} at most`,
        ),
      );
  };
  return new Promise((resolve, reject) => {
    let charged = 0;
    body.once('end', resolve);
    body.once('error', reject);
    checkLength(Number(headers['content-length'] ?? 0));
    body.on('data', (part: Buffer) => {
      if (body.destroyed) return;
      charged += Math.max(part.length, MINIMUM_PART_BYTES);
      checkLength(charged);
      if (!body.destroyed) onPart(part);
    });
  });
}

/** Reads the first `limit` bytes of a body as text; closes the connection if there are more. */
export async function readTextStart(
  {body}: Pick<Dispatcher.ResponseData, 'body'>,
  limit: number,
): Promise<string> {
  const bytes = ByteAccumulator.create();
  for await (const part of body as AsyncIterable<Buffer>) {
    bytes.append(part.subarray(0, limit - bytes.length));
    if (bytes.length === limit) break;
  }
  return bytes.take().toString('utf8');
}

/** Sends a request and resolves with the response head; the body is a stream. */
export function open(
  agent: Dispatcher,
  request: HttpRequest,
): Promise<Dispatcher.ResponseData> {
  let interimCount = 0;
  return sendRequest(request.url, {
    dispatcher: agent,
    method: request.method,
    headers: request.headers,
    body: request.body,
    signal: request.signal,
    onInfo: () => {
      interimCount += 1;
      if (interimCount > MAXIMUM_INTERIM_RESPONSES)
        throw new errors.ResponseExceededMaxSizeError(
          `${interimCount} interim responses`,
        );
    },
  });
}

/** Codes of errors that occur before a connection is open. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether a call failed as the head or the body of its response was too long. */
export function isTooLong(failure: unknown): boolean {
  return (
    failure instanceof errors.ResponseExceededMaxSizeError ||
    failure instanceof errors.HeadersOverflowError
  );
}

/** Classifies the failure of a request; `maybe_sent` unless no connection was opened. */
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
