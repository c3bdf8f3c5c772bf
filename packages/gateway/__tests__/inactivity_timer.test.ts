import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '@siskinmux/testkit';
import {InactivityTimer} from '../src/inactivity_timer.js';

function build() {
  const clock = VirtualClock.create();
  let calls = 0;
  const timer = InactivityTimer.create(clock, 1_000, () => {
    calls += 1;
  });
  return {clock, timer, calls: () => calls};
}

describe(InactivityTimer.name, () => {
  it('calls back again after each further timeout without activity', async () => {
    const {clock, timer, calls} = build();
    await clock.advance(2_500);
    expect(calls()).toEqual(2);
    timer.stop();
    await clock.advance(5_000);
    expect(calls()).toEqual(2);
  });

  it('does not call back while there is activity or while it is suspended', async () => {
    const {clock, timer, calls} = build();
    for (let step = 0; step < 5; step += 1) {
      await clock.advance(800);
      timer.reset();
    }
    timer.suspend();
    await clock.advance(5_000);
    expect(calls()).toEqual(0);
    timer.resume();
    await clock.advance(1_100);
    expect(calls()).toEqual(1);
    timer.stop();
  });
});
