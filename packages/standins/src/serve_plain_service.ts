/** HTTP server of an instance of a plain service. */

import type {IdempotencyKey, Instant, RequestId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {EndpointBusyError, NOT_RUN_HEADER} from '@siskinmux/ports';
import type {FastifyInstance, FastifyRequest} from 'fastify';
import {fastify} from 'fastify';
import type {
  PlainServiceFaults,
  PlainServiceStandIn,
  ServiceRecords,
} from './plain_service_stand_in.js';

/** Serves an instance on `port`, or on any free port if 0. Resolves once the server listens. */
export async function servePlainService(options: {
  service: PlainServiceStandIn;
  records: ServiceRecords;
  port: number;
}): Promise<FastifyInstance> {
  const {service, records} = options;
  const server = fastify({forceCloseConnections: true});
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', {parseAs: 'string'}, (_, body, done) =>
    done(null, body),
  );
  server.setErrorHandler((failure, request, reply) => {
    if (failure instanceof EndpointBusyError) {
      void reply
        .code(503)
        .header(NOT_RUN_HEADER, 'true')
        .send({error: failure.detail});
      return;
    }
    reply.hijack();
    request.raw.socket.destroy();
  });
  server.post('/control/settle', request => {
    const {key} = JSON.parse(String(request.body)) as {key: string};
    return service.queryAndSeal(as<IdempotencyKey>(key));
  });
  server.post('/standin/faults', request => {
    const faults = JSON.parse(String(request.body)) as PlainServiceFaults;
    return Object.assign(service.faults, faults);
  });
  server.get('/standin/executions', () => ({
    keys: records.executions.size,
    most: records.maximumExecutions,
  }));
  server.all('/*', async (request, reply) => {
    const response = await service.call(toServiceCall(request));
    return reply
      .code(response.status)
      .type(response.contentType)
      .send(response.body);
  });
  await server.listen({host: '127.0.0.1', port: options.port});
  return server;
}

function toServiceCall(request: FastifyRequest) {
  const key = request.headers['idempotency-key'];
  return {
    requestId: as<RequestId>(String(request.headers['x-request-id'])),
    method: request.method,
    path: request.url,
    contentType: request.headers['content-type'],
    body: String(request.body ?? ''),
    idempotencyKey:
      key === undefined ? undefined : as<IdempotencyKey>(String(key)),
    deadline: as<Instant>(Number(request.headers['x-request-deadline'])),
    traceparent: undefined,
  };
}
