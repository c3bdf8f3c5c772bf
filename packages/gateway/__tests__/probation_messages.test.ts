import assert from 'node:assert/strict';
import type {TestContext} from 'node:test';
import {describe, it} from 'node:test';
import type {Trait} from '@siskinmux/containment';
import {as, discardEvents} from '@siskinmux/kernel';
import {VirtualClock} from '@siskinmux/testkit';
import {PeerConnection} from '../src/peer_connection.js';
import {askProbation, handleProbation} from '../src/probation_messages.js';
import {connectToHolder} from './peer_pair.js';

const TRAITS = [as<Trait>('content')];

/** A node that has asked a holder, whose answer the test gives. */
async function askHolder(context: TestContext) {
  const clock = VirtualClock.create();
  const {connection: node, holderSocket} = await connectToHolder(
    context,
    clock,
  );
  const holder = PeerConnection.create(holderSocket, {
    clock,
    emit: discardEvents,
  });
  const ended: string[] = [];
  let answer = (_isAllowed: boolean): void => {};
  const asked = new Promise<void>(resolve => {
    handleProbation(
      holder,
      {
        requestProbation: () => {
          resolve();
          return new Promise(settle => {
            answer = settle;
          });
        },
        endProbation: traits => ended.push(traits.join()),
      },
      clock,
    );
  });
  const result = askProbation(node, TRAITS, clock);
  await asked;
  return {clock, node, ended, result, answer};
}

/** Waits until what one end has written has arrived at the other one. */
async function exchange(): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, 50));
}

describe('permission for a run on probation', () => {
  it('is handed back if it arrives after the request was refused', async context => {
    const {clock, ended, result, answer} = await askHolder(context);
    await clock.advance(400);
    assert.equal(await result, false);
    assert.deepEqual(ended, []);
    answer(true);
    await exchange();
    assert.deepEqual(ended, ['content']);
  });

  it('that another node has is left to it if this one is refused late', async context => {
    const {clock, ended, result, answer} = await askHolder(context);
    await clock.advance(400);
    assert.equal(await result, false);
    answer(false);
    await exchange();
    assert.deepEqual(ended, []);
  });

  it('that arrives in time is kept, also when the connection ends later', async context => {
    const asked = await askHolder(context);
    const {clock, node, ended, result} = asked;
    await clock.advance(300);
    asked.answer(true);
    assert.equal(await result, true);
    await clock.advance(1_000);
    node.close();
    await exchange();
    assert.deepEqual(ended, []);
  });
});
