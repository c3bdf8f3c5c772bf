import type {Server} from 'node:http';
import {createServer} from 'node:http';
import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {steadyClock} from '@siskinmux/adapters';
import {probeEndpoint, probeResponse} from '../src/index.js';

/** Longer than any probe waits. */
const PAUSE_MILLISECONDS = 700;

describe('probe of a process that pauses meanwhile', () => {
  let server: Server;
  let address: string;

  before(async () => {
    server = createServer((_request, response) => response.end());
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const bound = server.address();
    if (bound === null || typeof bound === 'string')
      throw new TypeError('no port');
    address = `127.0.0.1:${bound.port}`;
  });

  after(() => server.close());

  /** Starts a probe and pauses before the event loop runs its timers. */
  async function pauseDuring<Result>(
    probe: () => Promise<Result>,
  ): Promise<Result> {
    await new Promise(resolve => setImmediate(resolve));
    const result = probe();
    const end = performance.now() + PAUSE_MILLISECONDS;
    while (performance.now() < end);
    return result;
  }

  it('finds that an endpoint listens', async () => {
    expect(
      await pauseDuring(() => probeEndpoint(address, steadyClock)),
    ).toEqual('listening');
  });

  it('does not take an endpoint for silent that has not got the request yet', async () => {
    expect(
      await pauseDuring(() => probeResponse(address, '/', steadyClock)),
    ).toEqual('responding');
  });
});
