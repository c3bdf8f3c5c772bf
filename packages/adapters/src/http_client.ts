/** HTTP requests through undici. Failures are classified by whether the request was sent. */

import {ByteAccumulator} from '@siskinmux/forwarding';
import type {Dispatcher} from 'undici';
import {errors, request as sendRequest} from 'undici';
import type {HttpAgent} from './http_agent.js';
import {ResponsesFullError} from './http_agent.js';

/** Interim responses before a final one, after which the server counts as faulty. */
const MAXIMUM_INTERIM_RESPONSES = 1_000;

/** A part of a body counts as this long at least, as parsing and handing it on costs that much. */
const MINIMUM_PART_BYTES = 64;

/** Whether a failed request may have reached the server. */
export type RequestDelivery = 'not_sent' | 'maybe_sent';

/** A request with a text body. */
export interface HttpRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly url: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/** A request whose response is read to its end. */
export interface BoundedHttpRequest extends HttpRequest {
  /**
   * Length of the response's body beyond which the call fails and its connection closes. Parts
   * shorter than 64 bytes count as 64.
   */
  readonly maximumResponseBytes: number;
  /** Called when the head of the response has been received, and after each part of its body. */
  readonly onProgress?: (receivedBytes: number) => void;
}

/** A response whose body was read to its end. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** Sends a request and reads the whole response, in memory that all calls of `agent` share. */
export async function send(
  agent: HttpAgent,
  request: BoundedHttpRequest,
): Promise<HttpResponse> {
  const memory = agent.createHolder();
  try {
    const {statusCode, headers, body} = await open(agent, request);
    request.onProgress?.(0);
    const bytes = ByteAccumulator.create(memory);
    await readBody({headers, body}, request.maximumResponseBytes, part => {
      if (!bytes.append(part)) return false;
      request.onProgress?.(bytes.length);
      return true;
    });
    agent.recordResponse(request.url);
    return {status: statusCode, headers, body: bytes.take().toString('utf8')};
  } catch (failure) {
    agent.recordFailure(request.url, failure);
    throw failure;
  } finally {
    memory.release();
  }
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
  agent: HttpAgent,
  request: BoundedHttpRequest,
): Promise<HttpStatus> {
  const record = (failure: unknown): void =>
    agent.recordFailure(request.url, failure);
  const {statusCode, headers, body} = await open(agent, request).catch(
    (failure: unknown) => {
      record(failure);
      throw failure;
    },
  );
  const hasClosed = readBody(
    {headers, body},
    request.maximumResponseBytes,
    () => true,
  ).then(() => agent.recordResponse(request.url), record);
  return {status: statusCode, hasClosed};
}

/**
 * Passes the parts of a body to `onPart`; fails once it is longer than `limit`, in bytes, or
 * `onPart` has no memory for a part.
 */
function readBody(
  {headers, body}: Pick<Dispatcher.ResponseData, 'headers' | 'body'>,
  limit: number,
  onPart: (part: Buffer) => boolean,
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
      if (!body.destroyed && !onPart(part))
        body.destroy(new ResponsesFullError(`${part.length} bytes more`));
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
  {dispatcher}: HttpAgent,
  request: HttpRequest,
): Promise<Dispatcher.ResponseData> {
  let interimCount = 0;
  return sendRequest(request.url, {
    dispatcher,
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
