/** HTTP server of the weight store's report. */

import type {FastifyInstance} from 'fastify';
import {fastify} from 'fastify';
import type {WeightStoreStandIn} from './weight_store_stand_in.js';

/** Serves the report on `port`, or on any free port if 0. Resolves once the server listens. */
export async function serveWeightStore(options: {
  weightStore: WeightStoreStandIn;
  port: number;
}): Promise<FastifyInstance> {
  const server = fastify({forceCloseConnections: true});
  server.get('/report', () => options.weightStore.report());
  await server.listen({host: '127.0.0.1', port: options.port});
  return server;
}
