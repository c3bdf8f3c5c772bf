import type {Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {errors} from 'undici';
import {createAgent, send} from '../src/index.js';

const LIMIT_BYTES = 1_000;
const CLOSE_MILLISECONDS = 2_000;
const OK = 'HTTP/1.1 200 OK\r\n';

const pause = (milliseconds: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

describe(send.name, () => {
  let server: Server | undefined;
  const sockets: Socket[] = [];

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server?.close();
    server = undefined;
  });

  /** Starts a server that writes to each connection that has sent something. */
  async function serve(respond: (socket: Socket) => void): Promise<string> {
    server = createServer(socket => {
      sockets.push(socket);
      socket.on('error', () => {});
      socket.on('data', () => respond(socket));
    });
    await new Promise<void>(resolve =>
      server?.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as {port: number};
    return `http://127.0.0.1:${port}/`;
  }

  async function isDisconnected(): Promise<boolean> {
    const end = performance.now() + CLOSE_MILLISECONDS;
    while (performance.now() < end) {
      if (sockets.every(({destroyed}) => destroyed)) return true;
      await pause(10);
    }
    return false;
  }

  // The length was compared when the first byte of the body had come, if any came.
  it('fails at once if the length that is declared is above its limit', async () => {
    const url = await serve(socket =>
      socket.write(`${OK}content-length: ${LIMIT_BYTES + 1}\r\n\r\n`),
    );
    const call = send(createAgent(), {
      method: 'GET',
      url,
      maximumResponseBytes: LIMIT_BYTES,
      signal: AbortSignal.timeout(CLOSE_MILLISECONDS),
    });
    await expect(call).toBeRejectedWith(errors.ResponseExceededMaxSizeError);
    expect(await isDisconnected()).toEqual(true);
  });

  it('fails and disconnects once a body without a length is above its limit', async () => {
    const url = await serve(socket => {
      socket.write(`${OK}\r\n${'x'.repeat(LIMIT_BYTES)}`);
      socket.write('x');
    });
    const call = send(createAgent(), {
      method: 'GET',
      url,
      maximumResponseBytes: LIMIT_BYTES,
      signal: AbortSignal.timeout(CLOSE_MILLISECONDS),
    });
    await expect(call).toBeRejectedWith(errors.ResponseExceededMaxSizeError);
    expect(await isDisconnected()).toEqual(true);
  });

  for (const framing of [`content-length: ${LIMIT_BYTES}\r\n`, '']) {
    it(`returns a body of just its limit ${framing && 'with a length'}`, async () => {
      const url = await serve(socket => {
        socket.write(`${OK}${framing}\r\n${'x'.repeat(LIMIT_BYTES)}`);
        if (framing === '') socket.end();
      });
      const received: number[] = [];
      const {body} = await send(createAgent(), {
        method: 'GET',
        url,
        maximumResponseBytes: LIMIT_BYTES,
        onProgress: bytes => received.push(bytes),
      });
      expect(body).toEqual('x'.repeat(LIMIT_BYTES));
      expect([received[0], received.at(-1)]).toEqual([0, LIMIT_BYTES]);
    });
  }

  // 256 KiB in chunks of a byte took a quarter of a second of processor time.
  it('fails once short chunks have cost as much as a body above its limit', async () => {
    const url = await serve(socket =>
      socket.write(
        `${OK}transfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(LIMIT_BYTES / 2)}0\r\n\r\n`,
      ),
    );
    const call = send(createAgent(), {
      method: 'GET',
      url,
      maximumResponseBytes: LIMIT_BYTES,
    });
    await expect(call).toBeRejectedWith(errors.ResponseExceededMaxSizeError);
  });

  // Each was parsed until the call's deadline, and took processor time from all others.
  it('fails and disconnects if interim responses do not end', async () => {
    const heads = 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(1_000);
    const url = await serve(socket => {
      const write = (): void => {
        if (!socket.destroyed && socket.write(heads)) setImmediate(write);
      };
      socket.on('drain', write);
      write();
    });
    const startedAt = performance.now();
    const call = send(createAgent(), {
      method: 'GET',
      url,
      signal: AbortSignal.timeout(CLOSE_MILLISECONDS),
    });
    await expect(call).toBeRejectedWith(Error, /interim responses/);
    expect(await isDisconnected()).toEqual(true);
    expect(performance.now() - startedAt).toBeLessThan(CLOSE_MILLISECONDS);
  });
});
