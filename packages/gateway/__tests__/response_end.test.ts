import {describe, it} from 'node:test';
import {EventStreamSplitter} from '@siskinmux/forwarding';
import {expect} from 'earl';
import fc from 'fast-check';
import {findBreak} from '../src/response_end.js';

const FRAMINGS = ['length', 'chunks', 'close'] as const;

/** What ends the connection of a response. */
const ENDINGS = ['finished', 'closed', 'crashed', 'reset'] as const;

describe('end of a response', () => {
  it('is never complete if the endpoint crashed, was reset, or stopped inside an event', async () => {
    const events = fc.array(fc.stringMatching(/^[a-z]{1,8}$/), {minLength: 1});
    await fc.assert(
      fc.asyncProperty(
        events,
        fc.double({min: 0, max: 1, noNaN: true}),
        fc.constantFrom(...FRAMINGS),
        fc.constantFrom(...ENDINGS),
        async (texts, share, framing, ending) => {
          const whole = texts.map(text => `data: ${text}\n\n`).join('');
          const isFinished = ending === 'finished';
          const sent = isFinished
            ? whole
            : whole.slice(0, Math.floor(share * whole.length));
          const splitter = EventStreamSplitter.create({
            passesLongEvents: true,
          });
          const passedOn = splitter.push(Buffer.from(sent)).toString();
          // A plain close ends a body that has neither a length nor chunks.
          const isEnd =
            isFinished || (framing === 'close' && ending !== 'reset');
          const cause = await findBreak(
            {
              end: isEnd ? 'complete' : 'broken',
              framing,
              hasPartialEvent: splitter.hasPartialEvent,
            },
            () => Promise.resolve(ending !== 'crashed'),
          );
          if (isFinished) {
            expect([cause, passedOn]).toEqual([undefined, whole]);
            return;
          }
          // Nothing tells that a living process closed between two events.
          const canTell = ending !== 'closed' || framing !== 'close';
          const isTorn = passedOn !== sent;
          if (canTell || isTorn) expect(cause).not.toEqual(undefined);
        },
      ),
      {seed: 31, numRuns: 500},
    );
  });
});
