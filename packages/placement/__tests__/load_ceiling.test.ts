import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {LoadCeiling} from '../src/index.js';

const at = (milliseconds: number): Instant => as<Instant>(milliseconds);
const WINDOW = 5_000;
const ALONE = 6_000;
const PER_SECOND = 20;

/** Loads as many as may begin, each taking `took(beside)`; returns how many. */
function wave(
  ceiling: LoadCeiling,
  now: number,
  took: (beside: number) => number,
): number {
  const ends = [];
  while (ceiling.availableLoads(PER_SECOND, at(now)) > 0)
    ends.push(ceiling.startLoad(at(now)));
  for (const end of ends) end({loadMilliseconds: took(ends.length), alone: ALONE});
  return ends.length;
}

describe('the ceiling of loads from the weight store', () => {
  it('finds out how many the store carries at full speed', () => {
    const ceiling = LoadCeiling.create(WINDOW);
    const carries = (most: number) => (beside: number) =>
      ALONE * Math.max(1, beside / most);
    const waves = [0, 1, 2, 3, 4, 5, 6].map(index =>
      wave(ceiling, index * 60_000, carries(4)),
    );
    expect(waves).toEqual([1, 2, 4, 8, 5, 6, 5]);
  });

  it('stays at one where loads slow each other at once', () => {
    const ceiling = LoadCeiling.create(WINDOW, 4);
    expect(wave(ceiling, 0, beside => ALONE * beside)).toEqual(4);
    expect(wave(ceiling, 60_000, beside => ALONE * beside)).toEqual(1);
  });

  it('learns nothing from a load that did not come to its end', () => {
    const ceiling = LoadCeiling.create(WINDOW);
    ceiling.startLoad(at(0))();
    expect(ceiling.knownAtOnce).toEqual(1);
  });

  it('begins no more in a window than the declared rate allows', () => {
    const ceiling = LoadCeiling.create(WINDOW, 8);
    for (let begun = 0; begun < 2; begun += 1) ceiling.startLoad(at(0))();
    expect(ceiling.availableLoads(0.5, at(100))).toEqual(0);
    expect(ceiling.availableLoads(0.5, at(WINDOW)) > 0).toEqual(true);
  });
});
