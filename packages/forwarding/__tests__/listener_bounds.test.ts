import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {createSeededRandom} from '@siskinmux/testkit';
import type {AnswerKind} from '../src/index.js';
import {
  ListenerBounds,
  MAXIMUM_REFUSALS_IN_A_ROW,
  MAXIMUM_OPEN_REQUESTS,
  RequestTurns,
} from '../src/index.js';

type Handle = (request: IncomingMessage, response: ServerResponse) => void;

const sockets: Socket[] = [];
const servers: Server[] = [];

async function startServer(handle: Handle) {
  const limited: string[] = [];
  const server = createServer();
  const bounds = ListenerBounds.create({
    server,
    turns: RequestTurns.create(setImmediate),
    limits: {total: 10, perAddress: 10},
    onLimited: limit => limited.push(limit),
  });
  bounds.boundAll();
  server.on('request', handle);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  servers.push(server);
  const {port} = server.address() as AddressInfo;
  const open = (): Socket => {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => {});
    sockets.push(socket);
    return socket;
  };
  return {open, limited, bounds, port};
}

const pause = (milliseconds: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

async function waitUntil(isDone: () => boolean): Promise<void> {
  for (let count = 0; count < 1_000 && !isDone(); count += 1) await pause(10);
}

describe('listener with bounds', () => {
  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    for (const server of servers.splice(0)) server.close();
  });

  // A body that contains blank lines, or heads, must neither be taken for requests nor get stuck.
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    it(`answers all pipelined requests in order, however they arrive (seed ${seed})`, async () => {
      const random = createSeededRandom(seed);
      const {open} = await startServer((request, response) => {
        const parts: Buffer[] = [];
        request.on('data', (part: Buffer) => parts.push(part));
        request.on('end', () =>
          setTimeout(
            () =>
              response.end(`${request.url}=${Buffer.concat(parts).length};`),
            random() < 0.3 ? 2 : 0,
          ),
        );
      });
      const bodies = ['', 'a\n\nb\r\n\r\n', 'GET / HTTP/1.1\r\n\r\n', 'long'];
      let text = '';
      let expected = '';
      for (let index = 0; index < 60; index += 1) {
        const body = bodies[Math.floor(random() * 4)] ?? '';
        const whole = body.repeat(random() < 0.2 ? 3_000 : 1);
        const path = `/${index}`;
        const chunks =
          whole === '' ? '' : `${whole.length.toString(16)}\r\n${whole}\r\n`;
        text +=
          random() < 0.5
            ? `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${whole.length}\r\n\r\n${whole}`
            : `POST ${path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
        expected += `${path}=${whole.length};`;
      }
      const socket = open();
      let received = '';
      socket.on('data', (part: Buffer) => {
        received += part.toString();
      });
      for (let at = 0; at < text.length;) {
        const end = at + 1 + Math.floor(random() ** 4 * 40_000);
        socket.write(text.slice(at, end));
        at = end;
        if (random() < 0.2) await pause(1);
      }
      const answers = (): string =>
        (received.match(/\/\d+=\d+;/g) ?? []).join('');
      await waitUntil(() => answers().length >= expected.length);
      expect(answers()).toEqual(expected);
    });
  }

  // All 2,000 requests of a read were parsed and routed before the first response.
  it('parses a few requests ahead of their responses, and says so', async () => {
    const open: ServerResponse[] = [];
    const world = await startServer((_request, response) =>
      open.push(response),
    );
    const socket = world.open();
    let received = '';
    socket.on('data', (part: Buffer) => {
      received += part.toString();
    });
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(10));
    await waitUntil(() => open.length >= MAXIMUM_OPEN_REQUESTS);
    await pause(50);
    expect(open.length).toEqual(MAXIMUM_OPEN_REQUESTS);
    expect(world.limited).toEqual(['read_ahead']);
    for (let count = 0; count < 10; count += 1) {
      await waitUntil(() => open.length > count);
      open[count]?.end('x');
    }
    await waitUntil(() => received.split('HTTP/1.1 200').length > 10);
    expect(received.split('HTTP/1.1 200').length).toEqual(11);
  });

  // Such requests are answered without an event that would count them.
  it('does not answer more than a few unsupported expectations at once', async () => {
    const {open} = await startServer((_request, response) => response.end());
    const socket = open();
    let count = 0;
    socket.on('data', (part: Buffer) => {
      count += part.toString().split('417').length - 1;
    });
    const request = 'GET / HTTP/1.1\r\nhost: a\r\nexpect: all\r\n\r\n';
    socket.write(request.repeat(30));
    await waitUntil(() => count >= 30);
    expect(count).toEqual(30);
  });

  // A connection that was served in full held up all others for as long.
  it('serves another connection before the rest of a pipeline', async () => {
    let served = 0;
    const {open} = await startServer((request, response) => {
      if (request.url === '/next') response.end(`after ${served}`);
      else {
        served += 1;
        response.end();
      }
    });
    const crowd = open();
    crowd.resume();
    crowd.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(2_000));
    await waitUntil(() => served > 0);
    const next = open();
    let received = '';
    next.on('data', (part: Buffer) => {
      received += part.toString();
    });
    next.write('GET /next HTTP/1.1\r\nhost: a\r\n\r\n');
    await waitUntil(() => received.includes('after'));
    await waitUntil(() => served === 2_000);
    expect(served).toEqual(2_000);
    expect(Number(/after (\d+)/.exec(received)?.[1])).toBeLessThan(2_000);
  });

  /** A server that answers a request after the time, and with the status, that its path states. */
  async function startRefusing() {
    const handled: string[] = [];
    const world = await startServer((request, response) => {
      const [, status, delay] = (request.url ?? '').split('/');
      handled.push(request.url ?? '');
      const kind: AnswerKind = status === '200' ? 'served' : 'caller_refused';
      const answer = (): void => {
        if (world.bounds.answer(request, kind) === 'close')
          response.shouldKeepAlive = false;
        response.writeHead(Number(status), {'content-length': 0});
        response.end();
      };
      if (delay === undefined) answer();
      else setTimeout(answer, Number(delay));
    });
    const call = async (text: string, isDone: (heads: string[]) => boolean) => {
      const socket = world.open();
      const ends: string[] = [];
      let received = '';
      socket.on('error', () => ends.push('reset'));
      socket.on('end', () => ends.push('end'));
      socket.on('data', (part: Buffer) => {
        received += part.toString();
      });
      const heads = (): string[] => received.split('\r\n\r\n').slice(0, -1);
      socket.write(text);
      await waitUntil(() => ends.length > 0 || isDone(heads()));
      return {socket, heads: heads(), ends};
    };
    return {...world, handled, call};
  }

  const requestOf = (path: string): string =>
    `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;

  const closes = (head: string | undefined): boolean =>
    /connection: close/i.test(head ?? '');

  // Refusals without end cost the client nothing but the requests.
  for (const count of [MAXIMUM_REFUSALS_IN_A_ROW, 500, 5_000])
    it(`closes a connection after many refusals in a row, of ${count} sent, and answers what it parsed`, async () => {
      const {call, handled, limited} = await startRefusing();
      const text = requestOf('/401').repeat(count);
      const {heads, ends} = await call(text, () => false);
      expect(ends).toEqual(['end']);
      expect(heads.length).toEqual(handled.length);
      expect(heads.length).toBeGreaterThanOrEqual(MAXIMUM_REFUSALS_IN_A_ROW);
      expect(heads.length).toBeLessThan(
        MAXIMUM_REFUSALS_IN_A_ROW + 2 * MAXIMUM_OPEN_REQUESTS,
      );
      expect(heads.map(closes)).toEqual(
        heads.map((_, index) => index === heads.length - 1),
      );
      expect(limited.filter(limit => limit === 'refusals').length).toEqual(1);
    });

  // Many callers may share the connection of a balancer.
  it('keeps a connection of whose requests one is served now and then', async () => {
    const {call, limited} = await startRefusing();
    const refused = requestOf('/401').repeat(MAXIMUM_REFUSALS_IN_A_ROW - 1);
    const text = `${refused}${requestOf('/200')}`.repeat(4);
    const count = 4 * MAXIMUM_REFUSALS_IN_A_ROW;
    const {heads, ends} = await call(text, heads => heads.length === count);
    expect([heads.length, ends.length]).toEqual([count, 0]);
    expect(heads.some(closes)).toEqual(false);
    expect(limited.includes('refusals')).toEqual(false);
  });

  // Node.js drops the responses of requests that it has parsed after the one that closes.
  for (const [seed, delays] of [0, 1, 2, 3].entries())
    it(`answers each request that it has parsed, whatever time it takes (seed ${seed})`, async () => {
      const {call, handled} = await startRefusing();
      const random = createSeededRandom(seed + 1);
      let text = requestOf('/429').repeat(MAXIMUM_REFUSALS_IN_A_ROW - 3);
      for (let index = 0; index < 100; index += 1) {
        const status = random() < 0.1 ? 200 : 401;
        const delay = Math.floor(random() * delays * 5);
        text += requestOf(`/${status}/${delay}`);
      }
      const all = text.split('GET ').length - 1;
      const {heads, ends} = await call(text, heads => heads.length === all);
      expect(heads.length).toEqual(handled.length);
      expect(heads.map(head => head.split(' ')[1])).toEqual(
        handled.map(path => path.split('/')[1]),
      );
      expect(ends.includes('reset')).toEqual(false);
      expect(heads.length).toBeGreaterThanOrEqual(MAXIMUM_REFUSALS_IN_A_ROW);
    });

  // A close with unread bytes resets the connection, and the client may lose the response.
  it('lets a client that sends its body slowly read the last refusal', async () => {
    const {port} = await startRefusing();
    const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    sockets.push(socket);
    let received = '';
    const ends: string[] = [];
    socket.on('error', () => ends.push('reset'));
    socket.on('end', () => ends.push('end'));
    socket.on('data', (part: Buffer) => {
      received += part.toString();
    });
    const count = (): number => received.split('HTTP/1.1 401').length - 1;
    socket.write(requestOf('/401').repeat(MAXIMUM_REFUSALS_IN_A_ROW - 1));
    await waitUntil(() => count() === MAXIMUM_REFUSALS_IN_A_ROW - 1);
    socket.write(
      'POST /401 HTTP/1.1\r\nhost: a\r\ncontent-length: 30000\r\n\r\n',
    );
    for (let part = 0; part < 30; part += 1) {
      socket.write('x'.repeat(1_000));
      await pause(2);
    }
    socket.write(requestOf('/401').repeat(100));
    await pause(50);
    expect(count()).toEqual(MAXIMUM_REFUSALS_IN_A_ROW);
    expect(ends).toEqual(['end']);
  });

  it('closes a connection whose client does not close it after its last response', async () => {
    const {port, bounds} = await startRefusing();
    const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    sockets.push(socket);
    let hasEnded = false;
    socket.on('error', () => {});
    socket.on('end', () => {
      hasEnded = true;
    });
    socket.resume();
    socket.write(requestOf('/401').repeat(MAXIMUM_REFUSALS_IN_A_ROW));
    await waitUntil(() => hasEnded);
    await pause(20);
    const connections = (): Promise<number> =>
      new Promise(resolve =>
        servers[0]?.getConnections((_, count) => resolve(count)),
      );
    expect(await connections()).toEqual(1);
    bounds.closeUnread();
    expect(await connections()).toEqual(1);
    bounds.closeUnread();
    await pause(20);
    expect(await connections()).toEqual(0);
  });
});
