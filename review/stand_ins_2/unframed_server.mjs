/** A server in a process of its own, whose answers have no length and end with their connection. */

import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

const [port, chunks, chunkBytes, chunkMilliseconds] = process.argv
  .slice(2)
  .map(Number);

const server = http.createServer(async (request, response) => {
  if (request.url === '/health') {
    response.writeHead(200, {'content-length': 0}).end();
    return;
  }
  request.resume();
  response.useChunkedEncodingByDefault = false;
  response.writeHead(200, {
    'attempt-id': request.headers['attempt-id'],
    'server-seal': '3e1b.07.5a2.600.0.c9f2a4d1',
    connection: 'close',
  });
  for (let chunk = 0; chunk < chunks && !response.destroyed; chunk += 1) {
    response.write('x'.repeat(chunkBytes));
    await sleep(chunkMilliseconds);
  }
  response.end();
});
server.listen(port, '127.0.0.1', () => console.log('listening'));
