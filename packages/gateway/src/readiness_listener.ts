/** Serves the load balancer's readiness probe. */

import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {ConnectionLimits, OnClientLimited} from '@siskinmux/forwarding';
import {ListenerBounds, RequestTurns} from '@siskinmux/forwarding';

const READY_STATUS = 200;
const NOT_READY_STATUS = 503;
const UNKNOWN_PATH_STATUS = 404;

/** Bounds a head; probes have a few short fields. */
const MAXIMUM_HEADER_BYTES = 8_192;

/** A balancer keeps one connection, or opens one for each probe. */
const CONNECTION_LIMITS: ConnectionLimits = {total: 256, perAddress: 64};

/** A running readiness server. */
export interface ReadinessListener {
  readonly server: Server;
  readonly bounds: ListenerBounds;
}

/** Starts the server; each probe calls `isReady`. */
export async function listenForReadiness(options: {
  host: string;
  port: number;
  isReady: () => boolean;
  onLimited: OnClientLimited;
}): Promise<ReadinessListener> {
  const {host, port, isReady, onLimited} = options;
  const server = createServer({maxHeaderSize: MAXIMUM_HEADER_BYTES});
  const bounds = ListenerBounds.create({
    server,
    // Apart from those of callers, so that probes don't wait for them.
    turns: RequestTurns.create(setImmediate),
    limits: CONNECTION_LIMITS,
    onLimited,
  });
  bounds.boundAll();
  server.on('request', (request, response) => {
    // A probe has no body; one that comes is dropped.
    request.resume();
    const [path] = (request.url ?? '').split('?', 1);
    const status = isReady() ? READY_STATUS : NOT_READY_STATUS;
    response.writeHead(path === '/ready' ? status : UNKNOWN_PATH_STATUS, {
      'content-length': 0,
    });
    response.end();
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {server, bounds};
}
