/** Large configurations that a node fetches from its peers over a slow link. */

import assert from 'node:assert/strict';
import {it} from 'node:test';
import type {ConfigurationNumber, NodeId} from '@siskinmux/kernel';
import {as, discardEvents, sleepFor} from '@siskinmux/kernel';
import {emptyDeclarations} from '@siskinmux/declarations';
import {Membership} from '@siskinmux/membership';
import {VirtualClock} from '@siskinmux/testkit';
import {ConfigurationTask} from '../src/configuration_task.js';
import type {PeerTransport} from '../src/peers.js';
import {Peers} from '../src/peers.js';

const CONFIGURATION_NUMBER = as<ConfigurationNumber>(7);
const PART_BYTES = 50_000;
const PART_MILLISECONDS = 500;
const TRANSFER_MILLISECONDS = 10_000;

/** Responds with a whole configuration, the bytes of which arrive slowly. */
class SlowTransport implements PeerTransport {
  /** Addresses of the calls for an update, in the order in which they were sent. */
  readonly sources: string[] = [];
  concurrentCalls = 0;
  maximumConcurrentCalls = 0;

  constructor(private readonly clock: VirtualClock) {}

  async send(
    address: string,
    text: string,
    signal: AbortSignal,
    onProgress?: (receivedBytes: number) => void,
  ): Promise<string> {
    const {id, method} = JSON.parse(text);
    const respond = (result: unknown): string =>
      JSON.stringify({jsonrpc: '2.0', id, result});
    if (method !== 'configuration.update_since') return respond(true);
    this.sources.push(address);
    this.concurrentCalls += 1;
    this.maximumConcurrentCalls = Math.max(
      this.maximumConcurrentCalls,
      this.concurrentCalls,
    );
    try {
      await this.transfer(signal, onProgress);
    } finally {
      this.concurrentCalls -= 1;
    }
    return respond({
      kind: 'whole',
      number: CONFIGURATION_NUMBER,
      declarations: emptyDeclarations(),
    });
  }

  private async transfer(
    signal: AbortSignal,
    onProgress?: (receivedBytes: number) => void,
  ): Promise<void> {
    const aborted = new Promise<never>((_, reject) =>
      signal.addEventListener('abort', () => reject(new Error('aborted'))),
    );
    aborted.catch(() => {});
    const partCount = TRANSFER_MILLISECONDS / PART_MILLISECONDS;
    for (let part = 0; part < partCount; part += 1) {
      onProgress?.(part * PART_BYTES);
      await Promise.race([sleepFor(this.clock, PART_MILLISECONDS), aborted]);
    }
  }

  async listen(): Promise<string> {
    return 'http://self';
  }

  async close(): Promise<void> {}

  async abandon(): Promise<void> {}
}

function createTask() {
  const clock = VirtualClock.create();
  const transport = new SlowTransport(clock);
  const node = as<NodeId>('self');
  const random = (): number => 0;
  const unused = (): never => assert.fail('the object service is not used');
  const task = ConfigurationTask.create({
    clock,
    random,
    node,
    objects: {
      read: unused,
      write: unused,
      remove: unused,
      list: unused,
      watch: unused,
    },
    peers: Peers.create({clock, transport, node}),
    membership: Membership.create({
      self: {
        id: node,
        address: 'http://self',
        failureDomain: as('a'),
      },
      clock,
      random,
    }),
    emit: discardEvents,
  });
  return {clock, transport, task};
}

it('takes a configuration that arrives more slowly than a call to a peer may last', async () => {
  const {clock, transport, task} = createTask();
  await clock.runUntilSettled(task.pullFrom('http://a'));
  assert.equal(task.state.current.number, CONFIGURATION_NUMBER);
  assert.deepEqual(transport.sources, ['http://a']);
});

it('does not fetch copies of a configuration from several peers at once', async () => {
  const {clock, transport, task} = createTask();
  const pulled = Promise.all([
    task.pullFrom('http://a'),
    task.pullFrom('http://b'),
    task.pullFrom('http://c'),
  ]);
  await clock.runUntilSettled(pulled);
  assert.equal(transport.maximumConcurrentCalls, 1);
  assert.deepEqual(transport.sources, ['http://a', 'http://c']);
});
