/** Handshakes with a lease holder whose state takes long to arrive. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import type {TestContext} from 'node:test';
import {describe, it} from 'node:test';
import type {NodeId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {PeerUnreachableError} from '@siskinmux/membership';
import {VirtualClock} from '@siskinmux/testkit';
import type {PeerConnection} from '../src/peer_connection.js';
import {PEER_METHODS} from '../src/placement_messages.js';
import {RemoteAllocator} from '../src/remote_allocator.js';
import {connectToHolder} from './peer_pair.js';

const PART_MILLISECONDS = 200;
const PART_COUNT = 20;
const RECORDS_PER_PART = 50;

interface Handshake {
  readonly clock: VirtualClock;
  readonly connection: PeerConnection;
  readonly holderSocket: Socket;
  readonly result: Promise<{node: NodeId; isHolder: boolean}>;
  /** Advances the clock and the timers of the process. */
  advance(milliseconds: number): Promise<void>;
}

/** A follower that has sent its handshake to a holder whose messages the test writes. */
async function startHandshake(context: TestContext): Promise<Handshake> {
  const clock = VirtualClock.create();
  const {connection, holderSocket} = await connectToHolder(context, clock);
  context.mock.timers.enable({apis: ['setTimeout']});
  const ignore = (): void => {};
  const allocator = RemoteAllocator.create({
    peerConnection: connection,
    clock,
    listener: {onAvailableModels: ignore, onForecasts: ignore},
    reachesStore: () => true,
    onSuspects: ignore,
    onLimits: ignore,
    onLeaving: ignore,
    onRelayPeers: ignore,
    testify: async () => 'unknown',
    testifyService: async () => false,
    pulseMilliseconds: 300,
    onHeartbeat: ignore,
  });
  const result = allocator.handshake(as<NodeId>('follower'));
  result.catch(ignore);
  await once(holderSocket, 'data');
  return {
    clock,
    connection,
    holderSocket,
    result,
    async advance(milliseconds) {
      await clock.advance(milliseconds);
      context.mock.timers.tick(milliseconds);
    },
  };
}

/** Writes a line, and waits until the follower has received it. */
async function writeLine(
  {clock, connection, holderSocket}: Handshake,
  message: object,
): Promise<void> {
  let isClosed = false;
  connection.onClosed(() => {
    isClosed = true;
  });
  holderSocket.write(`${JSON.stringify({jsonrpc: '2.0', ...message})}\n`);
  while (!isClosed && connection.millisecondsSinceReceived(clock.now()) > 0)
    await new Promise(resolve => setImmediate(resolve));
}

function statePart(part: number): object {
  const suspects = Array.from({length: RECORDS_PER_PART}, (_, index) => [
    `trait ${part} ${index}`,
    1,
    [{crash: 'crash', hadResponded: false, isCleared: false}],
  ]);
  return {method: PEER_METHODS.newSuspects, params: {suspects}};
}

describe('handshake with a lease holder behind a slow link', () => {
  it('lasts while the state that an earlier build sends first arrives', async context => {
    const handshake = await startHandshake(context);
    for (let part = 0; part < PART_COUNT; part += 1) {
      await handshake.advance(PART_MILLISECONDS);
      await writeLine(handshake, statePart(part));
    }
    await handshake.advance(PART_MILLISECONDS);
    const result = {node: 'holder', isHolder: true};
    await writeLine(handshake, {id: 1, result});
    assert.deepEqual(await handshake.result, result);
  });

  it('ends when the holder is silent, at once or after a part of its state', async context => {
    const silent = await startHandshake(context);
    await silent.advance(1_000);
    await assert.rejects(silent.result, PeerUnreachableError);
    context.mock.timers.reset();

    const stalled = await startHandshake(context);
    await stalled.advance(PART_MILLISECONDS);
    await writeLine(stalled, statePart(0));
    await stalled.advance(1_000);
    await assert.rejects(stalled.result, PeerUnreachableError);
  });
});
