import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '@siskinmux/testkit';
import type {SilenceHandler} from '../src/inactivity_timer.js';
import {InactivityTimer} from '../src/inactivity_timer.js';

function build(result: () => ReturnType<SilenceHandler> = () => 'decided') {
  const clock = VirtualClock.create();
  const silences: number[] = [];
  const timer = InactivityTimer.create(clock, 1_000, silentFor => {
    silences.push(silentFor);
    return result();
  });
  return {clock, timer, silences, calls: () => silences.length};
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

  it('calls back each 100 ms of a silence while nothing is decided about it', async () => {
    let result: ReturnType<SilenceHandler> = 'undecided';
    const {clock, timer, silences} = build(() => result);
    await clock.advance(1_250);
    expect(silences).toEqual([1_000, 1_100, 1_200]);
    result = 'decided';
    await clock.advance(1_000);
    expect(silences).toEqual([1_000, 1_100, 1_200, 1_300]);
    await clock.advance(100);
    expect(silences.at(-1)).toEqual(1_000);
    timer.stop();
  });

  it('calls back no sooner than after the timeout if there is activity while nothing is decided', async () => {
    const {clock, timer, silences} = build(() => 'undecided');
    await clock.advance(1_050);
    timer.reset();
    await clock.advance(950);
    expect(silences).toEqual([1_000]);
    await clock.advance(100);
    expect(silences).toEqual([1_000, 1_000]);
    timer.stop();
  });
});
