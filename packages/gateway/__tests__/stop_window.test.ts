import {describe, it} from 'node:test';
import {expect} from 'earl';
import {after, as} from '@siskinmux/kernel';
import type {Route, RouteName} from '@siskinmux/routes';
import {VirtualClock} from '@siskinmux/testkit';
import {StopWindow} from '../src/stop_window.js';

function route(name: string, kind: Route['kind']): Route {
  return {
    name: as<RouteName>(name),
    host: '',
    pathPrefix: '/',
    kind,
    timeoutMilliseconds: 10_000,
    latencyObjectiveMilliseconds: 1_000,
    priority: 1,
    maximumRuns: 2,
    targets: [],
    isResumable: false,
    maximumEventGapMilliseconds: 100,
  };
}

const safe = route('safe', 'safe');
const unsafe = route('unsafe', 'unsafe');

describe('the requests that a node which stops still begins', () => {
  it('are all while it runs, and those of a route that it does not know', () => {
    const clock = VirtualClock.create();
    const window = StopWindow.create({clock});
    window.recordServed(unsafe.name, 60_000);
    expect(window.hasTimeFor(unsafe)).toEqual(true);
    window.close(after(clock.now(), 5_000));
    expect(window.hasTimeFor(unsafe)).toEqual(false);
    expect(window.hasTimeFor(safe)).toEqual(true);
  });

  it('are those that end in time if the longest did, or most where another node can go on', async () => {
    const clock = VirtualClock.create();
    const window = StopWindow.create({clock});
    for (const {name} of [safe, unsafe])
      for (const duration of [100, 900, 200])
        window.recordServed(name, duration);
    window.close(after(clock.now(), 1_000));
    const decisions = [];
    for (let step = 0; step < 3; step += 1) {
      decisions.push([window.hasTimeFor(safe), window.hasTimeFor(unsafe)]);
      await clock.advance(450);
    }
    expect(decisions).toEqual([
      [true, true],
      [true, false],
      [false, false],
    ]);
  });

  it('forgets durations that are long ago', () => {
    const clock = VirtualClock.create();
    const window = StopWindow.create({clock});
    window.recordServed(unsafe.name, 9_000);
    for (let count = 0; count < 32; count += 1)
      window.recordServed(unsafe.name, 10);
    window.close(after(clock.now(), 1_000));
    expect(window.hasTimeFor(unsafe)).toEqual(true);
  });
});
