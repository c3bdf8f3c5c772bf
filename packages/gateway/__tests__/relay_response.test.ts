import {describe, it} from 'node:test';
import {expect} from 'earl';
import {BufferBudget, ResponseBody} from '@siskinmux/forwarding';
import {bufferBody} from '../src/relay_response.js';

const LIMIT_BYTES = 6_144;

function createBudget(): BufferBudget {
  return BufferBudget.create({
    limitBytes: LIMIT_BYTES,
    onDenied: () => {},
    onChange: () => {},
  });
}

describe(bufferBody.name, () => {
  it('passes on what has come, and then the rest, without memory for a whole body', async () => {
    let isPaused = true;
    const body = ResponseBody.create({
      pause: () => {
        isPaused = true;
      },
      resume: () => {
        isPaused = false;
      },
    });
    const budget = createBudget();
    const buffering = bufferBody(body, budget.createHolder());
    for (const text of ['a', 'b']) {
      expect(isPaused).toEqual(false);
      body.push(Buffer.from(text.repeat(2_000)));
    }
    body.push(Buffer.from('c'.repeat(2_000)));
    expect(isPaused).toEqual(true);
    const result = await buffering.result;
    expect(result.kind).toEqual('long');
    const passedOn = [(result as {buffered: Buffer}).buffered.toString()];

    buffering.relayRest(chunk => {
      passedOn.push(chunk.toString());
      return true;
    });
    expect(isPaused).toEqual(false);
    expect(budget.heldBytes).toEqual(0);
    body.push(Buffer.from('e'));
    body.end('complete');
    expect(passedOn.join('')).toEqual(
      `${['a', 'b', 'c'].map(text => text.repeat(2_000)).join('')}e`,
    );
  });

  it('keeps the memory of a short body, which has not been sent yet', async () => {
    const body = ResponseBody.create({pause: () => {}, resume: () => {}});
    const budget = createBudget();
    const holder = budget.createHolder();
    const buffering = bufferBody(body, holder);
    body.push(Buffer.from('short'));
    body.end('complete');
    const result = await buffering.result;
    expect(result.kind).toEqual('short');
    expect(budget.heldBytes > 0).toEqual(true);
    holder.release();
    expect(budget.heldBytes).toEqual(0);
  });
});
