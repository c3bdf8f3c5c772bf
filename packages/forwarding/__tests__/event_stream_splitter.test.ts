import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {EventStreamSplitter} from '../src/index.js';

const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';

describe('an event stream', () => {
  it('passes on whole events and holds back the rest', () => {
    const stream = EventStreamSplitter.create();
    expect(
      stream.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')).toString(),
    ).toEqual('id: 1\ndata: a\n\n');
    expect(stream.lastEventId).toEqual('1');
    expect(stream.hasPartialEvent).toEqual(true);
    expect(stream.push(Buffer.from('ta: b\n\n')).toString()).toEqual(
      'id: 2\ndata: b\n\n',
    );
    expect(stream.lastEventId).toEqual('2');
    expect(stream.hasPartialEvent).toEqual(false);
  });

  it('goes on behind the last whole event after a break', () => {
    const stream = EventStreamSplitter.create();
    stream.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    stream.discardPartialEvent();
    const next = stream.push(Buffer.from('id: 2\ndata: b\n\n'));
    expect(next.toString()).toEqual('id: 2\ndata: b\n\n');
  });

  it('reads line ends of both kinds', () => {
    const stream = EventStreamSplitter.create();
    const bytes = Buffer.from('id: 7\r\ndata: a\r\n\r\n');
    expect(stream.push(bytes).length).toEqual(bytes.length);
    expect(stream.lastEventId).toEqual('7');
  });

  it('passes on the same bytes, however they are cut', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1, max: 9}), {minLength: 1, maxLength: 40}),
        sizes => {
          const stream = EventStreamSplitter.create();
          const bytes = Buffer.from(EVENTS);
          let passed = '';
          let position = 0;
          for (let index = 0; position < bytes.length; index += 1) {
            const size = sizes[index % sizes.length] ?? 1;
            const whole = stream.push(
              bytes.subarray(position, position + size),
            );
            passed += whole.toString();
            expect(passed === '' || passed.endsWith('\n\n')).toEqual(true);
            position += size;
          }
          expect(passed).toEqual(EVENTS);
          expect(stream.lastEventId).toEqual('3');
        },
      ),
      {seed: 1, numRuns: 200},
    );
  });
});
