import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '@siskinmux/testkit';
import {LineWriter} from '../src/index.js';

describe('line writer', () => {
  it('batches lines into one write', async () => {
    const clock = VirtualClock.create();
    const written: string[] = [];
    const lines = LineWriter.create({
      clock,
      writeText: (text, done) => {
        written.push(text);
        done();
      },
    });
    lines.write('one\n');
    lines.write('two\n');
    await clock.advance(50);
    expect(written).toEqual(['one\ntwo\n']);
  });

  it('drops lines when the reader has stopped, and logs their number once it reads again', async () => {
    const clock = VirtualClock.create();
    const written: string[] = [];
    let completeWrite = (): void => {};
    const lines = LineWriter.create({
      clock,
      writeText: (text, done) => {
        written.push(text);
        completeWrite = done;
      },
    });
    const line = `${'x'.repeat(999)}\n`;
    lines.write(line);
    await clock.advance(50);
    for (let count = 0; count < 2_000; count += 1) lines.write(line);
    expect(lines.droppedLines).toEqual(2_000 - 1_048);
    completeWrite();
    await clock.advance(50);
    completeWrite();
    lines.write('after\n');
    await clock.advance(50);
    expect(written.at(-1)).toEqual(
      '{"message":"log-lines-dropped","lines":952}\nafter\n',
    );
  });
});
