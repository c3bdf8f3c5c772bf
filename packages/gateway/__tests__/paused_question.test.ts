import type {Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {steadyClock} from '@siskinmux/adapters';
import {after as afterInstant, discardEvents} from '@siskinmux/kernel';
import {PeerUnreachableError} from '@siskinmux/membership';
import {z} from 'zod';
import {PeerConnection} from '../src/peer_connection.js';

const TIMEOUT_MILLISECONDS = 300;
const PAUSE_MILLISECONDS = 700;

const options = {clock: steadyClock, emit: discardEvents};

describe('question to another node', () => {
  let server: Server;
  let asking: PeerConnection;
  let asked: PeerConnection;

  before(async () => {
    server = createServer();
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const address = server.address();
    if (address === null || typeof address === 'string')
      throw new TypeError('no port');
    const accepted = new Promise<Socket>(resolve =>
      server.once('connection', resolve),
    );
    asking = PeerConnection.create(connect(address.port), options);
    asked = PeerConnection.create(await accepted, options);
    asked.handle('answer', z.object({}), () => 'answered');
    asked.handle('wait', z.object({}), () => new Promise(() => {}));
  });

  after(() => {
    asking.close();
    asked.close();
    server.close();
  });

  function ask(method: string): Promise<unknown> {
    const deadline = afterInstant(steadyClock.now(), TIMEOUT_MILLISECONDS);
    return asking.request(method, {}, deadline);
  }

  it('is not taken for unanswered because this node paused', async () => {
    await new Promise(resolve => setImmediate(resolve));
    const answer = ask('answer');
    const end = performance.now() + PAUSE_MILLISECONDS;
    while (performance.now() < end);
    expect(await answer).toEqual('answered');
  });

  it('fails at its deadline, and the next one is answered', async () => {
    await expect(ask('wait')).toBeRejectedWith(PeerUnreachableError);
    expect(await ask('answer')).toEqual('answered');
  });

  it('fails when the connection closes', async () => {
    const answer = ask('wait');
    asked.close();
    await expect(answer).toBeRejectedWith(PeerUnreachableError);
  });
});
