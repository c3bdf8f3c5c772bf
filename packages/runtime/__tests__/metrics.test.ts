import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {Kernel} from '@siskinmux/kernel';
import {expect} from 'earl';
import type {QueryFields} from '../src/index.js';
import {ADD_METRICS_PATH, METRICS_URL, metricsPlugin} from '../src/index.js';

/** Connections that the listener keeps from one address. */
const PER_ADDRESS = 16;

const PIPELINED_REQUESTS = 20_000;

const sockets: Socket[] = [];
const kernels: Kernel[] = [];

async function start(answer: (query: QueryFields) => unknown) {
  const kernel = Kernel.create({
    settings: {
      metrics: {address: '127.0.0.1', port: 0, process_figures: false},
    },
  });
  kernel.use(metricsPlugin);
  kernel.inject(ADD_METRICS_PATH)('/asked', query => ({
    status: 200,
    body: answer(query),
  }));
  await kernel.start();
  kernels.push(kernel);
  const url = kernel.inject(METRICS_URL)();
  const open = (): Socket => {
    const socket = connect(Number(new URL(url).port), '127.0.0.1');
    socket.on('error', () => {});
    sockets.push(socket);
    return socket;
  };
  const limited = async (): Promise<string> => {
    const text = await (await fetch(`${url}/metrics`)).text();
    return text
      .split('\n')
      .filter(line => line.startsWith('siskinmux_metrics_client_limits_total'))
      .join(' ');
  };
  return {url, open, limited};
}

const pause = (milliseconds: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

describe('metrics server', () => {
  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy();
    for (const kernel of kernels.splice(0)) await kernel.stop();
  });

  it('serves added paths as JSON, with the fields of the query', async () => {
    const {url} = await start(query => query);
    const response = await fetch(`${url}/asked?a=1&b=x%20y&b=z`);
    expect(response.headers.get('content-type') ?? '').toInclude(
      'application/json',
    );
    expect(await response.json()).toEqual({a: '1', b: ['x y', 'z']});
    const post = await fetch(`${url}/asked`, {method: 'POST'});
    expect(post.status).toEqual(404);
  });

  // Guards against a key in a mistyped question that is kept where answers are kept.
  it('does not repeat the URL of a request that it rejects', async () => {
    const {url} = await start(() => 'answer');
    for (const [method, path, status] of [
      ['GET', '/other?team=pasted-key', 404],
      ['POST', '/asked?team=pasted-key', 404],
      ['GET', '/asked%pasted-key', 400],
    ] as const) {
      const response = await fetch(`${url}${path}`, {method});
      expect(response.status).toEqual(status);
      expect((await response.text()).includes('pasted-key')).toEqual(false);
    }
  });

  // Guards against a path that answers all of a read at once, or outside of the bounds.
  it('holds back pipelined requests to an added path whose answers are left unread', async () => {
    let answered = 0;
    const {open, limited} = await start(() => {
      answered += 1;
      return 'x'.repeat(1_000);
    });
    const socket = open();
    socket.pause();
    socket.write(
      'GET /asked HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(PIPELINED_REQUESTS),
    );
    await pause(1_000);
    expect(answered).toBeGreaterThan(0);
    expect(answered).toBeLessThan(PIPELINED_REQUESTS);
    expect(await limited()).toInclude('read_ahead');
  });

  it('closes connections to an added path beyond those of one address', async () => {
    const {open, url} = await start(() => 'answer');
    let closed = 0;
    for (let count = 0; count < 2 * PER_ADDRESS; count += 1)
      open().once('close', () => (closed += 1));
    await pause(500);
    expect(closed).toEqual(PER_ADDRESS);
    const response = await fetch(`${url}/asked`);
    expect(await response.json()).toEqual('answer');
  });
});
