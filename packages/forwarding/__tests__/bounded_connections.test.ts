import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ConnectionUse} from '../src/index.js';
import {BoundedConnections} from '../src/index.js';

class FakeSocket extends EventEmitter {
  destroyed = false;
  bytesWritten = 0;
  writableLength = 0;

  constructor(
    readonly remoteAddress: string,
    readonly use: ConnectionUse = 'serving',
  ) {
    super();
  }

  destroy(): void {
    this.destroyed = true;
    setImmediate(() => this.emit('close'));
  }
}

function createWorld(total: number, perAddress: number) {
  const limited: string[] = [];
  const connections = BoundedConnections.create({
    limits: {total, perAddress},
    useOf: socket => (socket as unknown as FakeSocket).use,
    onLimited: limit => limited.push(limit),
  });
  const open = (address: string, use?: ConnectionUse): FakeSocket => {
    const socket = new FakeSocket(address, use);
    connections.accept(socket as unknown as Socket);
    return socket;
  };
  return {connections, limited, open};
}

describe('connections of a listener', () => {
  // One client could take all descriptors and the memory of the process.
  it('are closed above the limit of their address, and no others are', () => {
    const {open, limited} = createWorld(10, 2);
    const other = open('other', 'held_back');
    const first = open('a', 'idle');
    const second = open('a', 'idle');
    const third = open('a', 'idle');
    expect([first, second, third, other].map(s => s.destroyed)).toEqual([
      true,
      false,
      false,
      false,
    ]);
    expect(limited).toEqual(['connections_per_address']);
  });

  for (const [uses, closed] of [
    [['serving', 'receiving', 'idle', 'held_back'], 3],
    [['serving', 'receiving', 'idle', 'idle'], 2],
    [['serving', 'receiving', 'serving', 'receiving'], 1],
    [['serving', 'serving', 'serving', 'serving'], 4],
  ] as const) {
    it(`at the limit, beside ${uses.join(', ')}: number ${closed + 1} is closed`, () => {
      const {open} = createWorld(4, 4);
      const sockets = [...uses.map(use => open('a', use)), open('a', 'idle')];
      expect(sockets.findIndex(socket => socket.destroyed)).toEqual(closed);
    });
  }

  // A crowd would otherwise push out the clients that came before it.
  it('are closed at the address that has most, if there are too many in total', () => {
    const {open, limited} = createWorld(3, 3);
    const sound = open('sound', 'idle');
    open('crowd', 'idle');
    open('crowd', 'idle');
    const added = open('next', 'idle');
    expect([sound.destroyed, added.destroyed]).toEqual([false, false]);
    expect(limited).toEqual(['connections']);
  });

  it('make room when they close', async () => {
    const {open, limited} = createWorld(1, 1);
    open('a').destroy();
    await new Promise(resolve => setImmediate(resolve));
    open('a');
    expect(limited).toEqual([]);
  });

  // Responses that nobody reads would be kept for as long as the client stays.
  it('are closed if their clients take nothing for half a minute', () => {
    const {open, connections, limited} = createWorld(3, 3);
    const slow = open('a');
    const stalled = open('a');
    const quiet = open('a');
    slow.writableLength = stalled.writableLength = 10;
    for (let second = 0; second <= 31; second += 1) {
      slow.bytesWritten += 1;
      connections.closeUnread();
    }
    expect([slow, stalled, quiet].map(s => s.destroyed)).toEqual([
      false,
      true,
      false,
    ]);
    expect(limited).toEqual(['unread']);
  });
});
