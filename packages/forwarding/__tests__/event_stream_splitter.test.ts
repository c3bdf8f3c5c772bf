import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {EventStreamSplitter} from '../src/index.js';

const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';

describe('an event stream splitter', () => {
  it('passes on complete events and buffers an incomplete one', () => {
    const splitter = EventStreamSplitter.create();
    expect(
      splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')).toString(),
    ).toEqual('id: 1\ndata: a\n\n');
    expect(splitter.lastEventId).toEqual('1');
    expect(splitter.hasPartialEvent).toEqual(true);
    expect(splitter.push(Buffer.from('ta: b\n\n')).toString()).toEqual(
      'id: 2\ndata: b\n\n',
    );
    expect(splitter.lastEventId).toEqual('2');
    expect(splitter.hasPartialEvent).toEqual(false);
  });

  it('passes on the repeated event after a partial one is discarded', () => {
    const splitter = EventStreamSplitter.create();
    splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    splitter.discardPartialEvent();
    const next = splitter.push(Buffer.from('id: 2\ndata: b\n\n'));
    expect(next.toString()).toEqual('id: 2\ndata: b\n\n');
  });

  it('still counts a long event as incomplete after its beginning was passed on', () => {
    const splitter = EventStreamSplitter.create();
    const long = Buffer.alloc(2_000_000, 'x');
    expect(splitter.push(long).length).toBeGreaterThan(0);
    expect(splitter.hasPartialEvent).toEqual(true);
    splitter.push(Buffer.from('\n\nid: 2\ndata: a\n\n'));
    expect(splitter.hasPartialEvent).toEqual(false);
  });

  it('accepts line ends of LF and of CRLF', () => {
    const splitter = EventStreamSplitter.create();
    const bytes = Buffer.from('id: 7\r\ndata: a\r\n\r\n');
    expect(splitter.push(bytes).length).toEqual(bytes.length);
    expect(splitter.lastEventId).toEqual('7');
  });

  it('passes on the same bytes and only complete events for any chunk sizes', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1, max: 9}), {minLength: 1, maxLength: 40}),
        sizes => {
          const splitter = EventStreamSplitter.create();
          const bytes = Buffer.from(EVENTS);
          let received = '';
          let position = 0;
          for (let index = 0; position < bytes.length; index += 1) {
            const size = sizes[index % sizes.length] ?? 1;
            const complete = splitter.push(
              bytes.subarray(position, position + size),
            );
            received += complete.toString();
            expect(received === '' || received.endsWith('\n\n')).toEqual(true);
            position += size;
          }
          expect(received).toEqual(EVENTS);
          expect(splitter.lastEventId).toEqual('3');
        },
      ),
      {seed: 1, numRuns: 200},
    );
  });
});
