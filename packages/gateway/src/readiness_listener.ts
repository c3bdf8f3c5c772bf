/** Serves the load balancer's readiness probe. */

import type {FastifyInstance} from 'fastify';
import {fastify} from 'fastify';

/** Starts the server; each probe calls `isReady`. */
export async function listenForReadiness(options: {
  host: string;
  port: number;
  isReady: () => boolean;
}): Promise<FastifyInstance> {
  const server = fastify({forceCloseConnections: true});
  server.get('/ready', async (_request, reply) => {
    await reply.code(options.isReady() ? 200 : 503).send();
  });
  await server.listen({host: options.host, port: options.port});
  return server;
}
