import type {Server} from 'node:http';
import {IncomingMessage, createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Socket, connect} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {steadyClock} from '@siskinmux/adapters';
import {
  BufferBudget,
  ReceiveScheduler,
  SocketPacer,
} from '@siskinmux/forwarding';
import {ErrorCode, Outcome, RefusalError} from '@siskinmux/kernel';
import {CallerBody} from '../src/caller_body.js';

/** Most bytes that are read after a response. */
const DISCARDED_BYTES = 262_144;
const LONG_REST_BYTES = 250_000;
const LATER_MILLISECONDS = 100;
/** Longer than the time for the rest of a body. */
const ANSWER_MILLISECONDS = 1_500;
/** Requests of one connection. */
const REUSE_COUNT = 20;
/** Longer than the rest of a body is read. */
const WAIT_MILLISECONDS = 4_000;

const createBudget = (): BufferBudget =>
  BufferBudget.create({
    limitBytes: 16_777_216,
    onDenied: () => {},
    onChange: () => {},
  });

function blockEventLoop(): void {
  const end = performance.now() + ANSWER_MILLISECONDS;
  while (performance.now() < end);
}

/** Begins to receive a body of this many bytes, and asks for it when it has come. */
async function collectLater(
  bytes: number,
  limit: number,
  isLimitCurrent = true,
): Promise<unknown> {
  const request = new IncomingMessage(new Socket());
  request.push(Buffer.alloc(bytes));
  request.push(null);
  const scheduler = ReceiveScheduler.create({
    clock: steadyClock,
    onNextTurn: setImmediate,
    processorShare: 1,
  });
  const meter = scheduler.createMeter({pause: () => {}, resume: () => {}});
  const holder = createBudget().createHolder();
  const body = CallerBody.create(request, meter, steadyClock, holder);
  await new Promise(resolve => setTimeout(resolve, LATER_MILLISECONDS));
  return body
    .collect(limit, isLimitCurrent)
    .catch((refusal: unknown) => refusal);
}

describe('body that is whole before its request has been routed', () => {
  // Only bytes that came after the routing were compared with the limit.
  it('is refused if it is too large', async () => {
    const refusal = await collectLater(1_001, 1_000);
    expect(refusal).toBeA(RefusalError);
    expect((refusal as RefusalError).code).toEqual(ErrorCode.BodyTooLarge);
  });

  it('is refused for now if it is above a limit that may have been raised since', async () => {
    const refusal = await collectLater(1_001, 1_000, false);
    expect(refusal).toBeA(RefusalError);
    const {code, outcome, retryAt} = refusal as RefusalError;
    expect([code, outcome]).toEqual([
      ErrorCode.ConfigurationUnavailable,
      Outcome.NotRun,
    ]);
    expect(retryAt !== undefined).toEqual(true);
  });

  it('is taken otherwise', async () => {
    for (const isLimitCurrent of [true, false])
      expect(await collectLater(1_000, 1_000, isLimitCurrent)).toEqual(
        Buffer.alloc(1_000),
      );
  });
});

describe('connection whose request is answered before its body is read', () => {
  let server: Server;

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  /** Starts a server that answers the first request, and others, after some time, without a body. */
  async function listen(
    answerAfterMilliseconds: number,
    answerNextAfterMilliseconds = answerAfterMilliseconds,
  ): Promise<number> {
    const pacer = SocketPacer.create(
      ReceiveScheduler.create({
        clock: steadyClock,
        onNextTurn: setImmediate,
        processorShare: 1,
      }),
      () => {},
    );
    const budget = createBudget();
    server = createServer((request, response) => {
      const meter = pacer.meterOf(request.socket);
      const holder = budget.createHolder();
      const body = CallerBody.create(request, meter, steadyClock, holder);
      const answer = (): void => {
        body.discard();
        response.end(request.url);
      };
      const milliseconds =
        request.url === '/first'
          ? answerAfterMilliseconds
          : answerNextAfterMilliseconds;
      if (milliseconds === 0) answer();
      else setTimeout(answer, milliseconds);
    });
    server.on('connection', (socket: Socket) => {
      pacer.pace(socket);
      socket.on('data', () => {});
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    return (server.address() as AddressInfo).port;
  }

  /**
   * Sends two requests, the second after the first response and together with the rest of the first
   * body; how the second one ends.
   */
  function sendTwo(
    port: number,
    bytes: number,
    rest = '',
    onSent = (): void => {},
  ): Promise<'answered' | 'closed' | 'neither'> {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    let hasAskedAgain = false;
    return new Promise(resolve => {
      setTimeout(() => resolve('neither'), WAIT_MILLISECONDS).unref();
      socket.on('error', () => {});
      socket.once('close', () => resolve('closed'));
      socket.on('data', (part: Buffer) => {
        received += part.toString();
        if (received.includes('/second')) resolve('answered');
        if (hasAskedAgain || !received.includes('/first')) return;
        hasAskedAgain = true;
        socket.write(`${rest}GET /second HTTP/1.1\r\nhost: a\r\n\r\n`);
        onSent();
      });
      socket.write(
        `POST /first HTTP/1.1\r\nhost: a\r\ncontent-length: ${bytes}\r\n\r\n${'x'.repeat(bytes - rest.length)}`,
      );
    });
  }

  it('takes the next request, if the body is short', async () => {
    expect(await sendTwo(await listen(0), 1_000)).toEqual('answered');
  });

  it('takes the next request, if only the last byte exceeds what is read', async () => {
    const port = await listen(0);
    expect(await sendTwo(port, DISCARDED_BYTES + 1)).toEqual('answered');
  });

  it('is closed, if the body is longer than what is read', async () => {
    const port = await listen(0);
    expect(await sendTwo(port, 2 * DISCARDED_BYTES)).toEqual('closed');
  });

  it('is not closed under a request that came together with the last byte', async () => {
    const port = await listen(0, ANSWER_MILLISECONDS);
    const rest = 'x'.repeat(100);
    expect(await sendTwo(port, DISCARDED_BYTES + rest.length, rest)).toEqual(
      'answered',
    );
  });

  it('takes the next request, if the process pauses before it reads the rest', async () => {
    const port = await listen(0);
    const answered = sendTwo(port, 1_000, 'rest', blockEventLoop);
    expect(await answered).toEqual('answered');
  });

  it('takes the next request, if the process pauses before it reads a long rest in several turns', async () => {
    const port = await listen(0);
    const rest = 'x'.repeat(LONG_REST_BYTES);
    const bytes = 1_000 + LONG_REST_BYTES;
    const answered = sendTwo(port, bytes, rest, blockEventLoop);
    expect(await answered).toEqual('answered');
  });

  // The bytes that had waited were not read any more, nor was the next request.
  it('takes the next request, if receipt had paused until the answer', async () => {
    const port = await listen(LATER_MILLISECONDS);
    for (const bytes of [65_537, 66_000, 70_000, 80_000, 100_000])
      expect(await sendTwo(port, bytes)).toEqual('answered');
  });

  // Each request stayed in memory for as long as its connection was kept.
  it('keeps nothing of its requests once they have ended', async () => {
    const port = await listen(0);
    const accepted = new Promise<Socket>(resolve =>
      server.once('connection', resolve),
    );
    const client = connect(port, '127.0.0.1');
    client.on('error', () => {});
    let received = '';
    client.on('data', (part: Buffer) => {
      received += part.toString();
    });
    const listenerCounts: number[] = [];
    for (let count = 1; count <= REUSE_COUNT; count += 1) {
      client.write('GET /first HTTP/1.1\r\nhost: a\r\n\r\n');
      while (received.split('/first').length <= count)
        await new Promise(resolve => setImmediate(resolve));
      listenerCounts.push((await accepted).listenerCount('close'));
    }
    client.destroy();
    expect(listenerCounts.at(-1)).toEqual(listenerCounts[0]);
  });
});
