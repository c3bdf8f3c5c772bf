/** A connection between two nodes in one process. */

import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';
import type {TestContext} from 'node:test';
import {discardEvents} from '@siskinmux/kernel';
import type {VirtualClock} from '@siskinmux/testkit';
import {PeerConnection} from '../src/peer_connection.js';

/** Connects a follower; returns its end, and the socket of the holder. */
export async function connectToHolder(
  context: TestContext,
  clock: VirtualClock,
): Promise<{connection: PeerConnection; holderSocket: Socket}> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const accepted = once(server, 'connection');
  const {port} = server.address() as AddressInfo;
  const connection = await PeerConnection.connect(`127.0.0.1:${port}`, {
    clock,
    emit: discardEvents,
  });
  const [holderSocket] = (await accepted) as [Socket];
  context.after(() => {
    connection.close();
    holderSocket.destroy();
    server.close();
  });
  return {connection, holderSocket};
}
