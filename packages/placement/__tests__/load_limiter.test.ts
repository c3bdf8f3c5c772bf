import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {LoadLimiter} from '../src/index.js';

const at = (milliseconds: number): Instant => as<Instant>(milliseconds);
const WINDOW_MILLISECONDS = 5_000;
const UNCONTENDED_MILLISECONDS = 6_000;
const LOADS_PER_SECOND = 20;

/**
 * Starts as many loads as are allowed, each taking `duration(concurrency)`; returns their
 * number.
 */
function runLoads(
  limiter: LoadLimiter,
  now: number,
  duration: (concurrency: number) => number,
): number {
  const finishers = [];
  while (limiter.availableLoads(LOADS_PER_SECOND, at(now)) > 0)
    finishers.push(limiter.startLoad(at(now)));
  for (const finish of finishers)
    finish({
      loadMilliseconds: duration(finishers.length),
      uncontendedMilliseconds: UNCONTENDED_MILLISECONDS,
    });
  return finishers.length;
}

describe('the limit on concurrent loads from the weight store', () => {
  it('counts the loads that the previous lease holder started in the same window', () => {
    const loadsPerSecond = 2;
    const previous = LoadLimiter.create(WINDOW_MILLISECONDS, 8);
    for (let count = 0; count < 8; count += 1) previous.startLoad(at(1_000));
    const next = LoadLimiter.create(
      WINDOW_MILLISECONDS,
      8,
      previous.recentStarts,
    );
    expect(next.availableLoads(loadsPerSecond, at(3_000))).toEqual(0);
    expect(next.availableLoads(loadsPerSecond, at(6_000))).toEqual(8);
  });

  it('converges to the number of loads that the store serves at full speed', () => {
    const limiter = LoadLimiter.create(WINDOW_MILLISECONDS);
    const slowedAbove = (maximum: number) => (concurrency: number) =>
      UNCONTENDED_MILLISECONDS * Math.max(1, concurrency / maximum);
    const loads = [0, 1, 2, 3, 4, 5, 6].map(index =>
      runLoads(limiter, index * 60_000, slowedAbove(4)),
    );
    expect(loads).toEqual([1, 2, 4, 8, 5, 6, 5]);
  });

  it('is not raised twice by loads that others joined at their end', () => {
    const limiter = LoadLimiter.create(WINDOW_MILLISECONDS, 2);
    const timing = {
      loadMilliseconds: UNCONTENDED_MILLISECONDS,
      uncontendedMilliseconds: UNCONTENDED_MILLISECONDS,
    };
    const earlier = [limiter.startLoad(at(0)), limiter.startLoad(at(0))];
    earlier[1]?.(timing);
    expect(limiter.concurrencyLimit).toEqual(2);
    let joined = 0;
    for (; limiter.availableLoads(LOADS_PER_SECOND, at(6_000)) > 0; joined += 1)
      limiter.startLoad(at(6_000));
    expect(joined).toEqual(1);
    earlier[0]?.(timing);
    expect(limiter.concurrencyLimit).toEqual(4);
  });

  // A store that served one load after the other got six at once, which took over a minute each.
  it('is not raised by the first of two loads that the store serves one after the other', () => {
    const limiter = LoadLimiter.create(WINDOW_MILLISECONDS, 2);
    const [first, second] = [
      limiter.startLoad(at(0)),
      limiter.startLoad(at(0)),
    ];
    const uncontendedMilliseconds = UNCONTENDED_MILLISECONDS;
    second({
      loadMilliseconds: UNCONTENDED_MILLISECONDS,
      uncontendedMilliseconds,
    });
    expect(limiter.concurrencyLimit).toEqual(2);
    const loadMilliseconds = 2 * UNCONTENDED_MILLISECONDS;
    first({loadMilliseconds, uncontendedMilliseconds});
    expect(limiter.concurrencyLimit).toEqual(1);
  });

  it('leaves the other engines free for changes, however many loads the store serves', () => {
    const limiter = LoadLimiter.create(WINDOW_MILLISECONDS, 8);
    const maximum = 2;
    let started = 0;
    while (limiter.availableLoads(LOADS_PER_SECOND, at(0), maximum) > 0) {
      limiter.startLoad(at(0));
      started += 1;
    }
    expect(started).toEqual(maximum);
    expect(limiter.concurrencyLimit).toEqual(8);
  });

  it('falls to one when two concurrent loads already slow each other down', () => {
    const limiter = LoadLimiter.create(WINDOW_MILLISECONDS, 4);
    expect(
      runLoads(
        limiter,
        0,
        concurrency => UNCONTENDED_MILLISECONDS * concurrency,
      ),
    ).toEqual(4);
    expect(
      runLoads(
        limiter,
        60_000,
        concurrency => UNCONTENDED_MILLISECONDS * concurrency,
      ),
    ).toEqual(1);
  });

  it('is unchanged by a load that did not complete', () => {
    const limiter = LoadLimiter.create(WINDOW_MILLISECONDS);
    limiter.startLoad(at(0))();
    expect(limiter.concurrencyLimit).toEqual(1);
  });

  it('starts no more loads in a time window than the declared rate allows', () => {
    const limiter = LoadLimiter.create(WINDOW_MILLISECONDS, 8);
    for (let started = 0; started < 2; started += 1) limiter.startLoad(at(0))();
    expect(limiter.availableLoads(0.5, at(100))).toEqual(0);
    expect(limiter.availableLoads(0.5, at(WINDOW_MILLISECONDS)) > 0).toEqual(
      true,
    );
  });
});
