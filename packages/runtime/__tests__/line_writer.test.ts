import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '@siskinmux/testkit';
import {LineWriter} from '../src/index.js';

describe('the log writer', () => {
  it('gathers lines into one write', async () => {
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

  it('never waits for a reader that has stopped, and says what it dropped', async () => {
    const clock = VirtualClock.create();
    const written: string[] = [];
    let goOn = (): void => {};
    const lines = LineWriter.create({
      clock,
      writeText: (text, done) => {
        written.push(text);
        goOn = done;
      },
    });
    const line = `${'x'.repeat(999)}\n`;
    lines.write(line);
    await clock.advance(50);
    for (let count = 0; count < 2_000; count += 1) lines.write(line);
    expect(lines.droppedLines).toEqual(2_000 - 1_048);
    goOn();
    await clock.advance(50);
    goOn();
    lines.write('after\n');
    await clock.advance(50);
    expect(written.at(-1)).toEqual(
      '{"message":"log-lines-dropped","lines":952}\nafter\n',
    );
  });
});
