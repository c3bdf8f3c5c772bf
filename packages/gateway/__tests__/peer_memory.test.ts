import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import type {TestContext} from 'node:test';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {discardEvents} from '@siskinmux/kernel';
import {VirtualClock} from '@siskinmux/testkit';
import {z} from 'zod';
import {PeerConnection} from '../src/peer_connection.js';
import {PeerMemory} from '../src/peer_memory.js';

function createWorld(limitBytes: number) {
  const memory = PeerMemory.create(limitBytes);
  const closed: string[] = [];
  const open = (name: string) => memory.createHolder(() => closed.push(name));
  return {open, closed};
}

describe('memory of the connections between nodes', () => {
  // Each connection was bounded, and their sum was not.
  it('closes the connection that holds most, whichever grows', () => {
    const {open, closed} = createWorld(100);
    open('crowd').set(60);
    open('sound').set(30);
    open('next').set(20);
    expect(closed).toEqual(['crowd']);
  });

  it('counts neither what has been passed on nor connections that have ended', () => {
    const {open, closed} = createWorld(100);
    const first = open('first');
    first.set(90);
    first.set(0);
    const second = open('second');
    second.set(90);
    second.end();
    open('third').set(90);
    expect(closed).toEqual([]);
  });
});

/** A node's end of a connection, and the socket of a client that may be no node. */
async function connectClient(
  context: TestContext,
  memory: PeerMemory,
): Promise<{connection: PeerConnection; client: Socket}> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const accepted = once(server, 'connection');
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  client.on('error', () => {});
  const [socket] = (await accepted) as [Socket];
  const connection = PeerConnection.create(socket, {
    clock: VirtualClock.create(),
    emit: discardEvents,
    memory,
  });
  context.after(() => {
    connection.close();
    client.destroy();
    server.close();
  });
  return {connection, client};
}

const nextTurn = (): Promise<void> =>
  new Promise(resolve => setImmediate(resolve));

const LIMIT_BYTES = 100_000;
const message = (id: number, size = 0): string =>
  `${JSON.stringify({jsonrpc: '2.0', id, method: 'echo', params: {text: 'x'.repeat(size)}})}\n`;
const paramsSchema = z.object({text: z.string()});

describe('connection of a client that may be no node', () => {
  // Its text was joined anew with each read, in as much memory again.
  it('is closed if a message without an end takes the memory of all', async context => {
    const memory = PeerMemory.create(LIMIT_BYTES);
    const {connection, client} = await connectClient(context, memory);
    const closed = new Promise<void>(resolve => connection.onClosed(resolve));
    client.write(`"${'x'.repeat(LIMIT_BYTES)}`);
    await closed;
  });

  // All messages of a read were handled before anything else ran.
  it('lets others run between its messages, and gets all responses in order', async context => {
    const memory = PeerMemory.create(LIMIT_BYTES);
    const {connection, client} = await connectClient(context, memory);
    let handled = 0;
    let mostInTurn = 0;
    let inTurn = 0;
    connection.handle('echo', paramsSchema, () => {
      handled += 1;
      inTurn += 1;
      mostInTurn = Math.max(mostInTurn, inTurn);
      return handled;
    });
    let received = '';
    client.on('data', (part: Buffer) => {
      received += part.toString();
    });
    client.write(
      Array.from({length: 200}, (_, index) => message(index)).join(''),
    );
    while (received.split('\n').length <= 200) {
      inTurn = 0;
      await nextTurn();
    }
    const ids = received
      .trim()
      .split('\n')
      .map(line => (JSON.parse(line) as {id: number}).id);
    expect(ids).toEqual(Array.from({length: 200}, (_, index) => index));
    expect(mostInTurn).toBeLessThan(20);
  });

  it('gets a message that arrives in many parts', async context => {
    const memory = PeerMemory.create(LIMIT_BYTES);
    const {connection, client} = await connectClient(context, memory);
    const texts: string[] = [];
    connection.handle('echo', paramsSchema, ({text}) => texts.push(text));
    const line = message(1, 5_000) + message(2, 10);
    for (let at = 0; at < line.length; at += 500) {
      client.write(line.slice(at, at + 500));
      await nextTurn();
    }
    while (texts.length < 2) await nextTurn();
    expect(texts.map(({length}) => length)).toEqual([5_000, 10]);
  });
});
