import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '@siskinmux/testkit';
import type {HeadLimits} from '../src/index.js';
import {HeadWatch} from '../src/index.js';

function createWorld(first: HeadLimits | undefined) {
  const clock = VirtualClock.create();
  const state = {limits: first, isHeldBack: false, timeouts: 0};
  const watch = HeadWatch.create({
    clock,
    limits: () => state.limits,
    isHeldBack: () => state.isHeldBack,
    onTimeout: () => {
      state.timeouts += 1;
    },
  });
  return {clock, state, watch};
}

const LIMITS: HeadLimits = {maximumBytes: 100, timeoutMilliseconds: 1_000};

describe('watch over the head of a request', () => {
  it('allows as many bytes as the limit, for each head', () => {
    const {watch} = createWorld(LIMITS);
    expect(watch.record(60, false)).toEqual(true);
    expect(watch.record(40, true)).toEqual(true);
    expect(watch.record(60, false)).toEqual(true);
    expect(watch.record(41, true)).toEqual(false);
  });

  it('times a head out from its first byte on, however it arrives', async () => {
    const {clock, state, watch} = createWorld(LIMITS);
    for (let count = 0; count < 9; count += 1) {
      watch.record(1, false);
      await clock.advance(110);
    }
    expect(state.timeouts).toEqual(0);
    await clock.advance(11);
    expect(state.timeouts).toEqual(1);
  });

  it('does not time out a head that is whole, or whose connection has ended', async () => {
    const {clock, state, watch} = createWorld(LIMITS);
    watch.record(10, false);
    await clock.advance(900);
    watch.record(10, true);
    await clock.advance(2_000);
    watch.record(10, false);
    watch.stop();
    await clock.advance(2_000);
    expect(state.timeouts).toEqual(0);
  });

  // The limits are those of the version in force, which may change while a head arrives.
  it('allows the time of a newer configuration, and has no limits before the first', async () => {
    const {clock, state, watch} = createWorld(undefined);
    expect(watch.record(10_000, false)).toEqual(true);
    await clock.advance(100_000);
    watch.record(1, true);
    state.limits = LIMITS;
    watch.record(1, false);
    await clock.advance(500);
    state.limits = {...LIMITS, timeoutMilliseconds: 3_000};
    await clock.advance(2_400);
    expect(state.timeouts).toEqual(0);
    await clock.advance(200);
    expect(state.timeouts).toEqual(1);
  });

  // The rest of a head may have arrived, and wait for its turn.
  it('does not count the time in which the node itself holds the head back', async () => {
    const {clock, state, watch} = createWorld(LIMITS);
    watch.record(1, false);
    state.isHeldBack = true;
    await clock.advance(5_500);
    expect(state.timeouts).toEqual(0);
    state.isHeldBack = false;
    await clock.advance(1_001);
    expect(state.timeouts).toEqual(1);
  });
});
