import type {Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {steadyClock} from '@siskinmux/adapters';
import type {EndpointId, RequestId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {
  EndpointProtocol,
  OutgoingRequest,
  ResponseHead,
  SendResult,
} from '../src/index.js';
import {
  EndpointConnectionPool,
  MAXIMUM_IDLE_CONNECTIONS,
  ReceiveScheduler,
  SocketPacer,
} from '../src/index.js';

/** Decodes only the idle timeout; the header names are tested in platform/. */
const protocol: EndpointProtocol = {
  readRequest: () => {
    throw new TypeError('unused in these tests');
  },
  readApiKey: () => undefined,
  identifiedHeaders: headers => [...headers],
  requestHeaders: () => [],
  resumedHeaders: () => [],
  responseHeaders: headers => [...headers],
  readResponse: (status, headers) => ({
    requestId: as<RequestId>('1'),
    isSealed: true,
    isNotRun: status === 503,
    isMisdirected: false,
    requestLimit: {kind: 'none'},
    isLeaving: false,
    rejectionLimit: {kind: 'none'},
    pause: {kind: 'none'},
    idleTimeoutMilliseconds: headers.some(text => text === 'timeout=5')
      ? 5_000
      : undefined,
  }),
};

const endpoint = as<EndpointId>('engine-1');

let server: Server | undefined;

afterEach(() => {
  server?.close();
  server = undefined;
});

/** Starts an endpoint that calls `respond` for each request it receives. */
async function startEndpoint(
  respond: (socket: Socket, count: number) => void,
): Promise<string> {
  let count = 0;
  server = createServer(socket => {
    socket.on('error', () => {});
    socket.on('data', () => {
      count += 1;
      respond(socket, count);
    });
  });
  await new Promise<void>(resolve => {
    server?.listen(0, '127.0.0.1', resolve);
  });
  const address = server.address();
  if (address === null || typeof address === 'string') {
    throw new TypeError('the server has no port');
  }
  return `127.0.0.1:${address.port}`;
}

function createPool(
  idleLimit = MAXIMUM_IDLE_CONNECTIONS,
): EndpointConnectionPool {
  return EndpointConnectionPool.create({
    clock: steadyClock,
    protocol,
    pacer: SocketPacer.create(
      ReceiveScheduler.create({
        clock: steadyClock,
        onNextTurn: setImmediate,
        processorShare: 1,
      }),
      () => {},
    ),
    idleLimit: () => idleLimit,
  });
}

let lastKey = 0;

/** A request that hasn't been sent before. */
function nextRequest(): OutgoingRequest {
  lastKey += 1;
  return {
    key: lastKey,
    method: 'GET',
    target: '/',
    headers: [],
    body: undefined,
  };
}

async function readAll(
  result: SendResult,
): Promise<{head: ResponseHead; text: string; end: string}> {
  if (result.kind !== 'answered') throw result.failure;
  const chunks: Buffer[] = [];
  const end = await result.body.read(chunk => {
    chunks.push(chunk);
    return true;
  });
  return {head: result.head, text: Buffer.concat(chunks).toString(), end};
}

/** The other side learns of a close later, on a busy machine by far. */
const CLOSE_MILLISECONDS = 5_000;

describe('a request to an endpoint', () => {
  it('receives a complete response that has a content length', async () => {
    const address = await startEndpoint(socket =>
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello'),
    );
    const pool = createPool();
    const sent = pool.send({id: endpoint, address}, nextRequest(), true);
    const {text, end, head} = await readAll(await sent.result);
    expect([head.status, text, end]).toEqual([200, 'hello', 'complete']);
    pool.closeIdle(endpoint);
  });

  it('receives a complete response whose end is the close of the connection', async () => {
    const address = await startEndpoint(socket =>
      socket.end('HTTP/1.1 200 OK\r\n\r\nhello'),
    );
    const sent = createPool().send(
      {id: endpoint, address},
      nextRequest(),
      true,
    );
    const {text, end} = await readAll(await sent.result);
    expect([text, end]).toEqual(['hello', 'complete']);
  });

  it('reports a response without a length as broken when the connection is reset', async () => {
    const address = await startEndpoint(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhel', () =>
        setTimeout(() => socket.resetAndDestroy(), 30),
      );
    });
    const sent = createPool().send(
      {id: endpoint, address},
      nextRequest(),
      true,
    );
    const {text, end} = await readAll(await sent.result);
    expect([text, end]).toEqual(['hel', 'broken']);
  });

  it('reports a response without a length as broken when a reset arrives together with its last bytes', async () => {
    const address = await startEndpoint(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhel');
      // Blocks the event loop until the bytes and the reset have both arrived.
      setImmediate(() => {
        socket.resetAndDestroy();
        const busyUntil = performance.now() + 20;
        while (performance.now() < busyUntil);
      });
    });
    const sent = createPool().send(
      {id: endpoint, address},
      nextRequest(),
      true,
    );
    const {end} = await readAll(await sent.result);
    expect(end).toEqual('broken');
  });

  it('reports a response as broken when it is shorter than its content length', async () => {
    const address = await startEndpoint(socket =>
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhel'),
    );
    const sent = createPool().send(
      {id: endpoint, address},
      nextRequest(),
      true,
    );
    const {end} = await readAll(await sent.result);
    expect(end).toEqual('broken');
  });

  // Each one is parsed and dropped: their sender took the processor until the request timed out.
  it('fails if interim responses have no end', async () => {
    const interim = 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(1_000);
    const address = await startEndpoint(socket => {
      const write = (): void => {
        while (!socket.destroyed && socket.write(interim));
      };
      socket.on('drain', write);
      write();
    });
    const sent = createPool().send(
      {id: endpoint, address},
      nextRequest(),
      true,
    );
    const timeout = new Promise<undefined>(resolve =>
      setTimeout(() => resolve(undefined), CLOSE_MILLISECONDS).unref(),
    );
    const result = await Promise.race([sent.result, timeout]);
    sent.abort('request_ended');
    expect(result?.kind).toEqual('failed');
    expect((result as {delivery: string}).delivery).toEqual('maybe_run');
  });

  it('receives the response that follows some interim ones', async () => {
    const address = await startEndpoint(socket =>
      socket.write(
        `${'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100)}HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello`,
      ),
    );
    const pool = createPool();
    const sent = pool.send({id: endpoint, address}, nextRequest(), true);
    const {text, head} = await readAll(await sent.result);
    expect([head.status, text]).toEqual([200, 'hello']);
    pool.closeIdle(endpoint);
  });

  it('reports a chunked response as broken when its last chunk is missing', async () => {
    const address = await startEndpoint(socket =>
      socket.end(
        'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n',
      ),
    );
    const sent = createPool().send(
      {id: endpoint, address},
      nextRequest(),
      true,
    );
    const {end} = await readAll(await sent.result);
    expect(end).toEqual('broken');
  });

  it('fails as not sent when nothing listens at the address', async () => {
    const address = await startEndpoint(() => {});
    server?.close();
    const sent = createPool().send(
      {id: endpoint, address},
      nextRequest(),
      true,
    );
    const result = await sent.result;
    expect(result.kind === 'failed' && result.delivery).toEqual('not_sent');
  });

  it('fails as possibly run when the connection closes without a response', async () => {
    const address = await startEndpoint(socket => socket.destroy());
    const sent = createPool().send(
      {id: endpoint, address},
      nextRequest(),
      true,
    );
    const result = await sent.result;
    expect(result.kind === 'failed' && result.delivery).toEqual('maybe_run');
  });

  it('is sent only once when its connection is reset before the response', async () => {
    let requests = 0;
    const address = await startEndpoint(socket => {
      requests += 1;
      socket.resetAndDestroy();
    });
    const sent = createPool().send(
      {id: endpoint, address},
      nextRequest(),
      true,
    );
    await sent.result;
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(requests).toEqual(1);
  });

  it('closes its connection when it is aborted', async () => {
    let onClosed: () => void = () => {};
    const closed = new Promise<void>(resolve => {
      onClosed = resolve;
    });
    const address = await startEndpoint(socket => socket.on('close', onClosed));
    const sent = createPool().send(
      {id: endpoint, address},
      nextRequest(),
      true,
    );
    setTimeout(() => sent.abort('request_ended'), 20);
    const result = await sent.result;
    expect(result.kind).toEqual('failed');
    await closed;
  });
});

describe('idle connections to an endpoint', () => {
  const keepAliveHead =
    'HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\ncontent-length: 0';

  it('are reused while the keep-alive timeout of the endpoint lasts', async () => {
    const address = await startEndpoint(socket =>
      socket.write(`${keepAliveHead}\r\n\r\n`),
    );
    const pool = createPool();
    for (let count = 0; count < 3; count += 1) {
      const sent = pool.send({id: endpoint, address}, nextRequest(), true);
      await readAll(await sent.result);
      await new Promise(resolve => setImmediate(resolve));
    }
    expect(pool.totalOpened).toEqual(1);
    pool.closeIdle(endpoint);
  });

  it('are not reused for a non-retryable request when the endpoint states no keep-alive timeout', async () => {
    const address = await startEndpoint(socket =>
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'),
    );
    const pool = createPool();
    for (let count = 0; count < 2; count += 1) {
      const sent = pool.send({id: endpoint, address}, nextRequest(), false);
      await readAll(await sent.result);
      await new Promise(resolve => setImmediate(resolve));
    }
    expect(pool.totalOpened).toEqual(2);
    pool.closeIdle(endpoint);
  });

  it('do not exceed the number that the node may keep', async () => {
    for (const idleLimit of [0, 2]) {
      let openCount = 0;
      const address = await startEndpoint(socket => {
        socket.write(`${keepAliveHead}\r\n\r\n`);
      });
      server?.on('connection', socket => {
        openCount += 1;
        socket.on('close', () => {
          openCount -= 1;
        });
      });
      const pool = createPool(idleLimit);
      await Promise.all(
        Array.from({length: 5}, async () => {
          const sent = pool.send({id: endpoint, address}, nextRequest(), true);
          await readAll(await sent.result);
        }),
      );
      const giveUpAt = performance.now() + CLOSE_MILLISECONDS;
      while (openCount !== idleLimit && performance.now() < giveUpAt)
        await new Promise(resolve => setTimeout(resolve, 10));
      expect(openCount).toEqual(idleLimit);
      pool.closeIdle(endpoint);
      server?.close();
    }
  });

  // A second copy of a rejection was taken for the response to the next send of that request.
  it('do not carry another send of a request, but those of others', async () => {
    const address = await startEndpoint(socket => {
      socket.write(
        'HTTP/1.1 503 -\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n',
      );
    });
    const pool = createPool();
    const first = nextRequest();
    const requests = [first, first, nextRequest(), first, nextRequest()];
    const opened: number[] = [];
    for (const request of requests) {
      const sent = pool.send({id: endpoint, address}, request, true);
      await readAll(await sent.result);
      await new Promise(resolve => setTimeout(resolve, 20));
      opened.push(pool.totalOpened);
    }
    expect(opened).toEqual([1, 2, 2, 3, 3]);
  });

  it('are dropped when bytes arrive that belong to no request', async () => {
    const address = await startEndpoint(socket =>
      socket.write(`${keepAliveHead}\r\n\r\nHTTP/1.1 200 OK\r\n\r\nextra`),
    );
    const pool = createPool();
    for (let count = 0; count < 2; count += 1) {
      const sent = pool.send({id: endpoint, address}, nextRequest(), true);
      await readAll(await sent.result);
      await new Promise(resolve => setTimeout(resolve, 20));
    }
    expect(pool.totalOpened).toEqual(2);
    pool.closeIdle(endpoint);
  });
});
