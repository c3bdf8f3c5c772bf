import type {Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {CancelTimer, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import {steadyClock, systemClock} from '../src/index.js';

const TIMER_MILLISECONDS: Milliseconds = 20;
const PAUSE_MILLISECONDS: Milliseconds = 60;

function blockEventLoop(): void {
  const end = performance.now() + PAUSE_MILLISECONDS;
  while (performance.now() < end);
}

for (const [name, clock] of Object.entries({steadyClock, systemClock})) {
  describe(name, () => {
    let sending: Socket;
    let receiving: Socket;

    beforeEach(async () => {
      const server = createServer();
      await new Promise<void>(resolve => server.listen(0, resolve));
      const address = server.address();
      if (address === null || typeof address === 'string')
        throw new TypeError('no port');
      const accepted = new Promise<Socket>(resolve =>
        server.once('connection', resolve),
      );
      receiving = connect(address.port);
      sending = await accepted;
      server.close();
    });

    afterEach(() => {
      sending.destroy();
      receiving.destroy();
    });

    /** Bytes arrive, and a timer falls due, while this process is paused; resolves to the order. */
    async function pause(
      onBytes: (cancel: CancelTimer) => void,
    ): Promise<string[]> {
      const order: string[] = [];
      await new Promise<void>(resolve => {
        // Between immediates and the next read of a socket, the event loop runs its timers.
        setImmediate(() => {
          const at = after(clock.now(), TIMER_MILLISECONDS);
          const cancel = clock.schedule(at, () => order.push('timer'));
          receiving.once('data', () => {
            order.push('bytes');
            onBytes(cancel);
          });
          sending.write('x');
          blockEventLoop();
          setTimeout(resolve, TIMER_MILLISECONDS);
        });
      });
      return order;
    }

    it('runs a late timer after what has arrived before it', async () => {
      expect(await pause(() => {})).toEqual(['bytes', 'timer']);
    });

    it('does not run a late timer that what has arrived cancels', async () => {
      expect(await pause(cancel => cancel())).toEqual(['bytes']);
    });
  });
}
