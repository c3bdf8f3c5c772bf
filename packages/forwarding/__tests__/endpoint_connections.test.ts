import type {Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {steadyClock} from '@siskinmux/adapters';
import type {EndpointId, RequestId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {AnswerHead, EndpointProtocol, SendResult} from '../src/index.js';
import {EndpointConnections} from '../src/index.js';

/** Reads nothing but the idle limit; the wire names are tested in platform/. */
const protocol: EndpointProtocol = {
  readRequest: () => {
    throw new TypeError('not used');
  },
  requestHeaders: () => [],
  answerHeaders: headers => [...headers],
  readAnswer: (status, headers) => ({
    requestId: as<RequestId>('1'),
    isSealed: true,
    isNotRun: status === 503,
    isMisdirected: false,
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

/** Starts an endpoint that does `answer` on each connection once a request has come. */
async function start(
  answer: (socket: Socket, count: number) => void,
): Promise<string> {
  let count = 0;
  server = createServer(socket => {
    socket.on('error', () => {});
    socket.on('data', () => {
      count += 1;
      answer(socket, count);
    });
  });
  await new Promise<void>(resolve => {
    server?.listen(0, '127.0.0.1', resolve);
  });
  const address = server.address();
  if (address === null || typeof address === 'string') {
    throw new TypeError('no port');
  }
  return `127.0.0.1:${address.port}`;
}

function open(): EndpointConnections {
  return EndpointConnections.create({clock: steadyClock, protocol});
}

const request = {method: 'GET', target: '/', headers: [], body: undefined};

async function readAll(
  result: SendResult,
): Promise<{head: AnswerHead; text: string; end: string}> {
  if (result.kind !== 'answered') throw result.failure;
  const chunks: Buffer[] = [];
  const end = await result.body.read(chunk => {
    chunks.push(chunk);
    return true;
  });
  return {head: result.head, text: Buffer.concat(chunks).toString(), end};
}

describe('a request to an endpoint', () => {
  it('gets a whole answer by its length', async () => {
    const address = await start(socket =>
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello'),
    );
    const connections = open();
    const sent = connections.send({id: endpoint, address}, request, true);
    const {text, end, head} = await readAll(await sent.result);
    expect([head.status, text, end]).toEqual([200, 'hello', 'complete']);
    connections.forget(endpoint);
  });

  it('gets a whole answer that ends with its connection', async () => {
    const address = await start(socket =>
      socket.end('HTTP/1.1 200 OK\r\n\r\nhello'),
    );
    const sent = open().send({id: endpoint, address}, request, true);
    const {text, end} = await readAll(await sent.result);
    expect([text, end]).toEqual(['hello', 'complete']);
  });

  it('takes an answer without a length for broken when it is reset', async () => {
    const address = await start(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhel', () =>
        setTimeout(() => socket.resetAndDestroy(), 30),
      );
    });
    const sent = open().send({id: endpoint, address}, request, true);
    const {text, end} = await readAll(await sent.result);
    expect([text, end]).toEqual(['hel', 'broken']);
  });

  it('takes an answer without a length for broken when its reset comes with its last bytes', async () => {
    const address = await start(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhel');
      // The process is busy until both have arrived.
      setImmediate(() => {
        socket.resetAndDestroy();
        const busyUntil = performance.now() + 20;
        while (performance.now() < busyUntil);
      });
    });
    const sent = open().send({id: endpoint, address}, request, true);
    const {end} = await readAll(await sent.result);
    expect(end).toEqual('broken');
  });

  it('takes an answer that is shorter than its length for broken', async () => {
    const address = await start(socket =>
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhel'),
    );
    const sent = open().send({id: endpoint, address}, request, true);
    const {end} = await readAll(await sent.result);
    expect(end).toEqual('broken');
  });

  it('takes chunks without their end for broken', async () => {
    const address = await start(socket =>
      socket.end(
        'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n',
      ),
    );
    const sent = open().send({id: endpoint, address}, request, true);
    const {end} = await readAll(await sent.result);
    expect(end).toEqual('broken');
  });

  it('was not sent when nothing listens', async () => {
    const address = await start(() => {});
    server?.close();
    const sent = open().send({id: endpoint, address}, request, true);
    const result = await sent.result;
    expect(result.kind === 'failed' && result.delivery).toEqual('not_sent');
  });

  it('may have run when the connection ends without an answer', async () => {
    const address = await start(socket => socket.destroy());
    const sent = open().send({id: endpoint, address}, request, true);
    const result = await sent.result;
    expect(result.kind === 'failed' && result.delivery).toEqual('maybe_run');
  });

  it('is written once, also when its connection ends under it', async () => {
    let requests = 0;
    const address = await start(socket => {
      requests += 1;
      socket.resetAndDestroy();
    });
    const sent = open().send({id: endpoint, address}, request, true);
    await sent.result;
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(requests).toEqual(1);
  });

  it('is cancelled with its connection', async () => {
    let hasClosed: () => void = () => {};
    const closed = new Promise<void>(resolve => {
      hasClosed = resolve;
    });
    const address = await start(socket => socket.on('close', hasClosed));
    const sent = open().send({id: endpoint, address}, request, true);
    setTimeout(() => sent.abort(), 20);
    const result = await sent.result;
    expect(result.kind).toEqual('failed');
    await closed;
  });
});

describe('connections to an endpoint', () => {
  const kept = 'HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\ncontent-length: 0';

  it('are used again while the endpoint keeps them', async () => {
    const address = await start(socket => socket.write(`${kept}\r\n\r\n`));
    const connections = open();
    for (let count = 0; count < 3; count += 1) {
      const sent = connections.send({id: endpoint, address}, request, true);
      await readAll(await sent.result);
      await new Promise(resolve => setImmediate(resolve));
    }
    expect(connections.opened).toEqual(1);
    connections.forget(endpoint);
  });

  it('are not used again for a request that runs once, without a stated limit', async () => {
    const address = await start(socket =>
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'),
    );
    const connections = open();
    for (let count = 0; count < 2; count += 1) {
      const sent = connections.send({id: endpoint, address}, request, false);
      await readAll(await sent.result);
      await new Promise(resolve => setImmediate(resolve));
    }
    expect(connections.opened).toEqual(2);
    connections.forget(endpoint);
  });

  it('are dropped when bytes come that belong to no request', async () => {
    const address = await start(socket =>
      socket.write(`${kept}\r\n\r\nHTTP/1.1 200 OK\r\n\r\nextra`),
    );
    const connections = open();
    for (let count = 0; count < 2; count += 1) {
      const sent = connections.send({id: endpoint, address}, request, true);
      await readAll(await sent.result);
      await new Promise(resolve => setTimeout(resolve, 20));
    }
    expect(connections.opened).toEqual(2);
    connections.forget(endpoint);
  });
});
