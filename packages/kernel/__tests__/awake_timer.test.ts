import {describe, it} from 'node:test';
import {expect} from 'earl';
import {PausableClock} from '@siskinmux/testkit';
import {after, scheduleWhileAwake} from '../src/index.js';

function build(milliseconds: number) {
  const clock = PausableClock.create();
  let calls = 0;
  const cancel = scheduleWhileAwake(
    clock,
    after(clock.now(), milliseconds),
    () => {
      calls += 1;
    },
  );
  return {clock, cancel, calls: () => calls};
}

describe(scheduleWhileAwake.name, () => {
  it('calls back at its instant, once, in a process that runs', () => {
    const {clock, calls} = build(260);
    clock.run(259);
    expect(calls()).toEqual(0);
    clock.run(1);
    expect(calls()).toEqual(1);
    clock.run(1_000);
    expect(calls()).toEqual(1);
  });

  it('does not count pauses of its process, at the beginning or in between', () => {
    for (const awakeBefore of [0, 130, 250]) {
      const {clock, calls} = build(300);
      clock.run(awakeBefore);
      clock.pause(2_000);
      clock.run(300 - awakeBefore - 50);
      expect(calls()).toEqual(0);
      clock.run(50);
      expect(calls()).toEqual(1);
    }
  });

  it('ends after a few turns while its process has no more than a turn in each second', () => {
    const {clock, calls} = build(300);
    for (let turn = 0; turn < 7; turn += 1) {
      expect(calls()).toEqual(0);
      clock.pause(1_000);
      clock.run(1);
    }
    expect(calls()).toEqual(1);
  });

  it('does not call back once it is cancelled', () => {
    const {clock, cancel, calls} = build(300);
    clock.run(200);
    cancel();
    clock.run(1_000);
    expect(calls()).toEqual(0);
  });
});
