import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ConcurrencyLimit} from '../src/index.js';

const FAST = 2;
const SLOW = 100;

function create(initial: number): ConcurrencyLimit {
  return ConcurrencyLimit.create({initial, least: 1, maximum: 100});
}

/** Runs `count` requests at once, each ending after `latency`. */
function burst(limit: ConcurrencyLimit, count: number, latency: number): void {
  for (let index = 0; index < count; index += 1) limit.start();
  for (let index = 0; index < count; index += 1) limit.finish(latency);
}

describe(ConcurrencyLimit.name, () => {
  it('grows while it is filled and answers come fast', () => {
    const limit = create(4);
    for (let round = 0; round < 20; round += 1) burst(limit, limit.value, FAST);
    expect(limit.value > 4).toEqual(true);
  });

  it('does not grow while it is not filled', () => {
    const limit = create(10);
    for (let round = 0; round < 50; round += 1) burst(limit, 1, FAST);
    expect(limit.value).toEqual(10);
  });

  it('takes one slow burst for one sign of congestion', () => {
    const limit = create(50);
    burst(limit, 1, FAST);
    burst(limit, 50, SLOW);
    expect(limit.value).toEqual(45);
  });

  it('falls to its least when every burst is slow, and recovers', () => {
    const limit = create(50);
    burst(limit, 1, FAST);
    for (let round = 0; round < 60; round += 1) burst(limit, 5, SLOW);
    expect(limit.value).toEqual(1);
    for (let round = 0; round < 60; round += 1) burst(limit, limit.value, FAST);
    expect(limit.value > 5).toEqual(true);
  });

  it('counts what runs, whatever it ends with', () => {
    const limit = create(3);
    for (let index = 0; index < 3; index += 1) limit.start();
    expect(limit.hasRoom).toEqual(false);
    limit.finish(undefined);
    limit.refuse();
    limit.finish(FAST);
    expect(limit.inFlight).toEqual(0);
  });
});
