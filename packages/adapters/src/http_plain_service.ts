/** An instance of a plain service over HTTP. */

import type {IdempotencyKey} from '@siskinmux/kernel';
import type {
  PlainService,
  RunReport,
  ServiceResponse,
  ServiceCall,
} from '@siskinmux/ports';
import {
  AnswerCutError,
  EndpointBusyError,
  EndpointUnreachableError,
} from '@siskinmux/ports';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import type {HttpAnswer, HttpCall} from './http_client.js';
import {reachOf, send} from './http_client.js';

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

/** Adapter of the plain service port. */
export class HttpPlainService implements PlainService {
  private constructor(
    private readonly url: string,
    private readonly agent: Dispatcher,
  ) {}

  static create(options: {url: string; agent: Dispatcher}): HttpPlainService {
    return new HttpPlainService(options.url, options.agent);
  }

  async call(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse> {
    const hasBody = call.method !== 'GET' && call.method !== 'DELETE';
    const answer = await this.send({
      method: call.method as Dispatcher.HttpMethod,
      url: `${this.url}${call.path}`,
      headers: headersOf(call),
      body: hasBody ? call.body : undefined,
      signal,
    });
    // A service answers 503 only before it starts to run a call.
    if (answer.status === 503) throw new EndpointBusyError(answer.body);
    return {
      status: answer.status,
      contentType: String(answer.headers['content-type'] ?? 'text/plain'),
      body: answer.body,
    };
  }

  async queryAndSeal(key: IdempotencyKey, signal: AbortSignal): Promise<RunReport> {
    const answer = await this.send({
      method: 'POST',
      url: `${this.url}/control/settle`,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({key}),
      signal,
    });
    try {
      return reportSchema.parse(JSON.parse(answer.body));
    } catch (cause) {
      throw new AnswerCutError(`${this.url}: status ${answer.status}`, {cause});
    }
  }

  private async send(call: HttpCall): Promise<HttpAnswer> {
    try {
      return await send(this.agent, call);
    } catch (cause) {
      throw reachOf(cause) === 'not_sent'
        ? new EndpointUnreachableError(this.url, {cause})
        : new AnswerCutError(this.url, {cause});
    }
  }
}

function headersOf(call: ServiceCall): Record<string, string> {
  return {
    'x-request-id': call.requestId,
    'x-request-deadline': String(call.deadline),
    ...(call.contentType && {'content-type': call.contentType}),
    ...(call.idempotencyKey && {'idempotency-key': call.idempotencyKey}),
    ...(call.traceparent && {traceparent: call.traceparent}),
  };
}
