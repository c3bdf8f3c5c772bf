/** HTTP client of an instance of a plain service. */

import type {IdempotencyKey} from '@siskinmux/kernel';
import type {
  ExecutionReport,
  PlainService,
  ServiceCall,
  ServiceResponse,
} from '@siskinmux/ports';
import {
  AnswerCutError,
  EndpointBusyError,
  EndpointUnreachableError,
  NOT_RUN_HEADER,
} from '@siskinmux/ports';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import type {HttpAgent} from './http_agent.js';
import {MAXIMUM_RESPONSE_BYTES} from './http_agent.js';
import type {HttpRequest, HttpResponse} from './http_client.js';
import {deliveryOf, send} from './http_client.js';

const reportSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('ran'),
    answer: z.object({
      status: z.number(),
      contentType: z.string(),
      body: z.string(),
    }),
  }),
  z.object({kind: z.literal('sealed')}),
  z.object({kind: z.literal('unknown')}),
]);

/** Implements the plain service port over HTTP. */
export class HttpPlainService implements PlainService {
  private constructor(
    private readonly url: string,
    private readonly agent: HttpAgent,
  ) {}

  static create(options: {url: string; agent: HttpAgent}): HttpPlainService {
    return new HttpPlainService(options.url, options.agent);
  }

  async call(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse> {
    const hasBody = call.method !== 'GET' && call.method !== 'DELETE';
    const response = await this.sendRequest({
      method: call.method as Dispatcher.HttpMethod,
      url: `${this.url}${call.path}`,
      headers: createHeaders(call),
      body: hasBody ? call.body : undefined,
      signal,
    });
    if (response.headers[NOT_RUN_HEADER] !== undefined)
      throw new EndpointBusyError(response.body);
    // Leaves open whether the call has run.
    if (response.status === 503)
      throw new AnswerCutError(`${this.url}: status ${response.status}`);
    return {
      status: response.status,
      contentType: String(response.headers['content-type'] ?? 'text/plain'),
      body: response.body,
    };
  }

  async queryAndSeal(
    key: IdempotencyKey,
    signal: AbortSignal,
  ): Promise<ExecutionReport> {
    const response = await this.sendRequest({
      method: 'POST',
      url: `${this.url}/control/settle`,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({key}),
      signal,
    });
    try {
      return reportSchema.parse(JSON.parse(response.body));
    } catch (cause) {
      throw new AnswerCutError(`${this.url}: status ${response.status}`, {
        cause,
      });
    }
  }

  private async sendRequest(request: HttpRequest): Promise<HttpResponse> {
    try {
      return await send(this.agent, {
        ...request,
        maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
      });
    } catch (cause) {
      throw deliveryOf(cause) === 'not_sent'
        ? new EndpointUnreachableError(this.url, {cause})
        : new AnswerCutError(this.url, {cause});
    }
  }
}

function createHeaders(call: ServiceCall): Record<string, string> {
  return {
    'x-request-id': call.requestId,
    'x-request-deadline': String(call.deadline),
    ...(call.contentType && {'content-type': call.contentType}),
    ...(call.idempotencyKey && {'idempotency-key': call.idempotencyKey}),
    ...(call.traceparent && {traceparent: call.traceparent}),
  };
}
