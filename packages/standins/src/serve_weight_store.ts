/** Puts the weight store's report on a socket. */

import type {FastifyInstance} from 'fastify';
import {fastify} from 'fastify';
import type {WeightStoreStandIn} from './weight_store_stand_in.js';

/** Serves on `port`; 0 for any. Resolves with the server, listening. */
export async function serveWeightStore(options: {
  weightStore: WeightStoreStandIn;
  port: number;
}): Promise<FastifyInstance> {
  const server = fastify({forceCloseConnections: true});
  server.get('/report', () => options.weightStore.report());
  await server.listen({host: '127.0.0.1', port: options.port});
  return server;
}
