import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {HeadScanner} from '../src/index.js';

/** The parts into which a scanner divides bytes that arrive in pieces. */
function divide(pieces: readonly string[]): string[] {
  const scanner = HeadScanner.create();
  const parts: string[] = [];
  let part = '';
  for (const piece of pieces) {
    let rest = Buffer.from(piece);
    while (rest.length > 0) {
      const count = scanner.advance(rest);
      part += rest.subarray(0, count).toString();
      rest = rest.subarray(count);
      if (!scanner.isAtStart || part.trim() === '') continue;
      parts.push(part);
      part = '';
    }
  }
  return part === '' ? parts : [...parts, part];
}

const HEAD = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

describe('scanner of heads', () => {
  it('ends a part after each head', () => {
    expect(divide([HEAD + HEAD + 'GET'])).toEqual([HEAD, HEAD, 'GET']);
  });

  it('ends a head that has no carriage returns', () => {
    expect(divide(['GET / HTTP/1.1\n\nrest'])).toEqual([
      'GET / HTTP/1.1\n\n',
      'rest',
    ]);
  });

  // A part for each of 32,000 blank lines of a read would cost more than the lines themselves.
  it('takes any number of blank lines before a head as a part of it', () => {
    const lines = '\r\n'.repeat(1_000);
    expect(divide([lines + HEAD])).toEqual([lines + HEAD]);
  });

  // A head that two reads bring in parts would end unnoticed, and the next one with it.
  it('finds the same parts, however the bytes are divided', () => {
    const text = `${HEAD}${HEAD}x\n\r\n\n\ny\r\r\n\r\n${HEAD}`;
    const parts = divide([text]);
    fc.assert(
      fc.property(fc.array(fc.nat(text.length)), cuts => {
        const at = [0, ...cuts.sort((a, b) => a - b), text.length];
        const pieces = at.slice(1).map((end, i) => text.slice(at[i], end));
        expect(divide(pieces)).toEqual(parts);
      }),
    );
  });
});
