/** HTTP server of the object service and the host list. */

import type {
  FailureDomain,
  HostId,
  Instant,
  ObjectVersion,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {ExpectedVersion} from '@siskinmux/ports';
import {
  PlatformBusyError,
  PlatformUnavailableError,
  ValueTooLargeError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import {fastify} from 'fastify';
import type {HostListStandIn} from './host_list_stand_in.js';
import type {
  ObjectServiceFaults,
  ObjectServiceStandIn,
} from './object_service_stand_in.js';

/** Above the maximum value size, so that the object service itself rejects larger values. */
const BODY_LIMIT_BYTES = 4_000_000;

type KeyRequest = FastifyRequest<{
  Params: {key: string};
  Querystring: {watch_after?: string; wait_until?: string; prefix?: string};
}>;

/**
 * Serves the object service and the host list on `port`, or on any free port if 0.
 * Resolves once the server listens.
 */
export async function serveObjectService(options: {
  objects: ObjectServiceStandIn;
  hosts: HostListStandIn;
  port: number;
}): Promise<FastifyInstance> {
  const {objects, hosts} = options;
  const server = fastify({
    bodyLimit: BODY_LIMIT_BYTES,
    forceCloseConnections: true,
    routerOptions: {maxParamLength: 1_000},
  });
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', {parseAs: 'string'}, (_, body, done) =>
    done(null, body),
  );
  server.setErrorHandler((failure, request, reply) =>
    sendFailure(failure, request, reply),
  );
  addObjectRoutes(server, objects);
  addHostRoutes(server, hosts);
  server.post('/standin/faults', request => {
    const faults = JSON.parse(String(request.body)) as ObjectServiceFaults;
    Object.assign(objects.faults, faults);
    hosts.isDown = objects.faults.isDown;
    return objects.faults;
  });
  server.get('/standin/counts', () => objects.counts);
  await server.listen({host: '127.0.0.1', port: options.port});
  return server;
}

function addObjectRoutes(
  server: FastifyInstance,
  objects: ObjectServiceStandIn,
): void {
  server.get('/objects', (request: KeyRequest) =>
    objects.list(request.query.prefix ?? ''),
  );
  server.get('/objects/:key', async (request: KeyRequest, reply) => {
    const {key} = request.params;
    const {watch_after: watchAfter, wait_until: waitUntil} = request.query;
    const stored =
      watchAfter === undefined
        ? await objects.read(key)
        : await objects.watch(
            key,
            as<ObjectVersion>(Number(watchAfter)),
            as<Instant>(Number(waitUntil)),
          );
    if (stored === undefined) {
      return reply.code(watchAfter === undefined ? 404 : 204).send();
    }
    return reply
      .header('etag', `"${stored.version}"`)
      .type('text/plain')
      .send(stored.value);
  });
  server.put('/objects/:key', async (request: KeyRequest, reply) => {
    const version = await objects.write(
      request.params.key,
      String(request.body),
      expectedVersionOf(request),
    );
    return reply.header('etag', `"${version}"`).send();
  });
  server.delete('/objects/:key', async (request: KeyRequest, reply) => {
    await objects.remove(
      request.params.key,
      expectedVersionOf(request) as ObjectVersion,
    );
    return reply.code(204).send();
  });
}

function addHostRoutes(server: FastifyInstance, hosts: HostListStandIn): void {
  server.get('/hosts', () => hosts.hosts());
  server.put('/hosts/:key', (request: KeyRequest) => {
    const {state, failureDomain} = JSON.parse(String(request.body)) as {
      state: 'live' | 'leaving';
      failureDomain: string;
    };
    hosts.set({
      id: as<HostId>(request.params.key),
      state,
      failureDomain: as<FailureDomain>(failureDomain),
    });
    return {};
  });
  server.delete('/hosts/:key', (request: KeyRequest) => {
    hosts.remove(as<HostId>(request.params.key));
    return {};
  });
}

function expectedVersionOf(request: KeyRequest): ExpectedVersion {
  const match = request.headers['if-match'];
  if (match === undefined) return 'absent';
  return as<ObjectVersion>(Number(match.replaceAll('"', '')));
}

function sendFailure(
  failure: unknown,
  request: FastifyRequest,
  reply: FastifyReply,
): void {
  const hasNoResponse =
    failure instanceof PlatformUnavailableError ||
    failure instanceof WriteOutcomeUnknownError;
  if (hasNoResponse) {
    // During an outage or when a response is lost, the connection just closes.
    reply.hijack();
    request.raw.socket.destroy();
    return;
  }
  void reply.code(statusOf(failure)).send({error: String(failure)});
}

function statusOf(failure: unknown): number {
  if (failure instanceof VersionConflictError) return 412;
  if (failure instanceof ValueTooLargeError) return 413;
  if (failure instanceof PlatformBusyError) return 429;
  return 400;
}
