import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ConcurrencyLimit} from '../src/index.js';

const LOW_LATENCY_MILLISECONDS = 2;
const HIGH_LATENCY_MILLISECONDS = 100;

function create(initial: number): ConcurrencyLimit {
  return ConcurrencyLimit.create({initial, minimum: 1, maximum: 100});
}

/** Runs `count` requests concurrently, each with the same latency. */
function runConcurrently(
  limit: ConcurrencyLimit,
  count: number,
  latency: number,
): void {
  for (let index = 0; index < count; index += 1) limit.start();
  for (let index = 0; index < count; index += 1) limit.finish(latency);
}

describe(ConcurrencyLimit.name, () => {
  it('increases the limit while it is used up and latency stays low', () => {
    const limit = create(4);
    for (let round = 0; round < 20; round += 1)
      runConcurrently(limit, limit.value, LOW_LATENCY_MILLISECONDS);
    expect(limit.value > 4).toEqual(true);
  });

  it('does not increase the limit while it is not used up', () => {
    const limit = create(10);
    for (let round = 0; round < 50; round += 1)
      runConcurrently(limit, 1, LOW_LATENCY_MILLISECONDS);
    expect(limit.value).toEqual(10);
  });

  it('decreases the limit only once for a burst of concurrent slow requests', () => {
    const limit = create(50);
    runConcurrently(limit, 1, LOW_LATENCY_MILLISECONDS);
    runConcurrently(limit, 50, HIGH_LATENCY_MILLISECONDS);
    expect(limit.value).toEqual(45);
  });

  it('decreases the limit to the minimum while all requests are slow, and recovers afterwards', () => {
    const limit = create(50);
    runConcurrently(limit, 1, LOW_LATENCY_MILLISECONDS);
    for (let round = 0; round < 60; round += 1)
      runConcurrently(limit, 5, HIGH_LATENCY_MILLISECONDS);
    expect(limit.value).toEqual(1);
    for (let round = 0; round < 60; round += 1)
      runConcurrently(limit, limit.value, LOW_LATENCY_MILLISECONDS);
    expect(limit.value > 5).toEqual(true);
  });

  it('releases a slot for each request that ends, whether measured, unmeasured or refused', () => {
    const limit = create(3);
    for (let index = 0; index < 3; index += 1) limit.start();
    expect(limit.canStart).toEqual(false);
    limit.finish(undefined);
    limit.finishRefused();
    limit.finish(LOW_LATENCY_MILLISECONDS);
    expect(limit.inFlight).toEqual(0);
  });
});
