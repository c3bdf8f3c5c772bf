import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {EventStreamSplitter} from '../src/index.js';

const MEBIBYTE = 1_048_576;

const create = (passesLongEvents = false): EventStreamSplitter =>
  EventStreamSplitter.create({passesLongEvents});

const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';

describe('an event stream splitter', () => {
  it('passes on complete events and buffers an incomplete one', () => {
    const splitter = create();
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
    const splitter = create();
    splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    splitter.beginContinuation();
    const next = splitter.push(Buffer.from('id: 2\ndata: b\n\n'));
    expect(next.toString()).toEqual('id: 2\ndata: b\n\n');
  });

  // Incomplete events of all streams together could take the memory of the process.
  it('holds no event for which there is no memory', () => {
    const chunk = Buffer.from('x'.repeat(600));
    for (const passesLongEvents of [true, false]) {
      let held = 0;
      const splitter = EventStreamSplitter.create({
        passesLongEvents,
        memory: {
          grow: bytes => {
            if (held + bytes > 2_048) return false;
            held += bytes;
            return true;
          },
          shrink: bytes => {
            held -= bytes;
          },
        },
      });
      const passed = [splitter.push(Buffer.from('data: '))];
      for (let count = 0; count < 10; count += 1)
        passed.push(splitter.push(chunk));
      passed.push(splitter.push(Buffer.from('\n\n')));
      const whole = `data: ${chunk.toString().repeat(10)}\n\n`;
      expect(Buffer.concat(passed).toString()).toEqual(
        passesLongEvents ? whole : '',
      );
      expect(splitter.fault).toEqual(
        passesLongEvents ? undefined : 'an event that is too long',
      );
      expect(held).toEqual(0);
    }
  });

  it('counts a long event as incomplete after its beginning was passed on', () => {
    const splitter = create(true);
    const long = Buffer.alloc(2_000_000, 'data: '.padEnd(500, 'x'));
    expect(splitter.push(long).length).toBeGreaterThan(0);
    expect(splitter.hasPartialEvent).toEqual(true);
    expect(splitter.canContinue).toEqual(false);
    splitter.push(Buffer.from('\n\nid: 2\ndata: a\n\n'));
    expect(splitter.hasPartialEvent).toEqual(false);
    expect(splitter.canContinue).toEqual(true);
  });

  // The gateway resumed a stream of which the caller had got a part of an event.
  it('cannot be continued while a part of a long event has been passed on, however long', () => {
    const splitter = create(true);
    splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: '));
    splitter.push(Buffer.alloc(MEBIBYTE, 'x'));
    for (let size = 0; size < 5; size += 1) {
      splitter.push(Buffer.alloc(size, 'x'));
      expect(splitter.hasPartialEvent).toEqual(true);
      expect(splitter.canContinue).toEqual(false);
    }
  });

  it('passes on no part of an event where another endpoint may have to continue', () => {
    const splitter = create();
    expect(splitter.push(Buffer.from('id: 1\ndata: ')).length).toEqual(0);
    expect(splitter.push(Buffer.alloc(2 * MEBIBYTE, 'x')).length).toEqual(0);
    expect(splitter.fault !== undefined).toEqual(true);
    expect(splitter.canContinue).toEqual(true);
  });

  for (const [name, lineEnd] of [
    ['LF', '\n'],
    ['CRLF', '\r\n'],
    ['CR', '\r'],
  ] as const) {
    it(`accepts line ends of ${name} in chunks of any size`, () => {
      const text = ['id: 7', 'data: a', '', 'data: b', 'id: 8', '', ''];
      const bytes = Buffer.from(text.join(lineEnd));
      for (let size = 1; size <= bytes.length; size += 1) {
        const splitter = create();
        const received: Buffer[] = [];
        for (let index = 0; index < bytes.length; index += size)
          received.push(splitter.push(bytes.subarray(index, index + size)));
        expect(Buffer.concat(received).toString()).toEqual(bytes.toString());
        expect(splitter.lastEventId).toEqual('8');
        expect(splitter.hasPartialEvent).toEqual(false);
      }
    });
  }

  it('accepts comments, fields of any name, blank lines, and a byte order mark at the start', () => {
    const splitter = create();
    const text =
      '\uFEFF\n: comment\n\nweight-versions: 3\nid: 1\ndata\nx.y_Z-1: #\n\n\n\n';
    expect(splitter.push(Buffer.from(text)).toString()).toEqual(text);
    expect(splitter.fault).toEqual(undefined);
    expect(splitter.hasPartialEvent).toEqual(false);
    expect(splitter.lastEventId).toEqual('1');
  });

  for (const [name, wrong] of [
    ['marks', '#'],
    ['JSON', '{"error":1}\n\n'],
    ['a tag', '<html>\n\n'],
    ['a line without a field', 'x'.repeat(65)],
    ['a zero byte', '\0data: a\n\n'],
    ['a head', 'HTTP/1.1 200 OK\r\nA: b\r\n\r\n'],
  ] as const) {
    it(`passes on the events before bytes that are no event, and none of these: ${name}`, () => {
      for (const isSplit of [false, true]) {
        const splitter = create(true);
        const sound = Buffer.from('id: 1\ndata: a\n\n');
        const bytes = Buffer.from(wrong);
        const received = isSplit
          ? [splitter.push(sound), splitter.push(bytes)]
          : [splitter.push(Buffer.concat([sound, bytes]))];
        received.push(splitter.push(Buffer.from('id: 2\ndata: b\n\n')));
        expect(Buffer.concat(received).toString()).toEqual(sound.toString());
        expect(splitter.fault !== undefined).toEqual(true);
        expect(splitter.canContinue).toEqual(true);
      }
    });
  }

  it('goes on after a fault with the events of the next response', () => {
    const splitter = create();
    splitter.push(Buffer.from('id: 1\ndata: a\n\n###'));
    splitter.beginContinuation();
    expect(splitter.fault).toEqual(undefined);
    const rest = '\uFEFFid: 2\ndata: b\n\n';
    expect(splitter.push(Buffer.from(rest)).toString()).toEqual(rest.slice(1));
  });

  for (const first of ['1', '2', '3']) {
    it(`passes on a continuation only if its ids go on: 2, then ${first}`, () => {
      const splitter = create();
      splitter.push(Buffer.from('id: 2\ndata: a\n\nid:'));
      splitter.beginContinuation();
      splitter.push(Buffer.from(': ping\n\n'));
      const rest = `id: ${first}\ndata: b\n\n`;
      const isNext = first === '3';
      expect(splitter.push(Buffer.from(rest)).length > 0).toEqual(isNext);
      expect(splitter.fault === undefined).toEqual(isNext);
    });
  }

  it('cannot be continued after an event without an id, which would be repeated', () => {
    const splitter = create();
    splitter.push(Buffer.from('id: 1\ndata: a\n\n: ping\n\n'));
    expect(splitter.canContinue).toEqual(true);
    splitter.push(Buffer.from('data: b\n\n'));
    expect(splitter.canContinue).toEqual(false);
    splitter.push(Buffer.from('id: 3\ndata: c\n\n'));
    expect(splitter.canContinue).toEqual(true);
  });

  it('passes on the same bytes and only complete events for any chunk sizes', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1, max: 9}), {minLength: 1, maxLength: 40}),
        sizes => {
          const splitter = create();
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
