import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createSeededRandom} from '@siskinmux/testkit';
import {
  MAXIMUM_RELIST_DELAY_MILLISECONDS,
  relistDelayMilliseconds,
} from '../src/relist_delay.js';

describe('relistDelayMilliseconds', () => {
  it('spreads the lists of many nodes evenly, within its bound', () => {
    const random = createSeededRandom(1);
    const delays = Array.from({length: 1_000}, () =>
      relistDelayMilliseconds(10_000, random),
    );
    const tenth = MAXIMUM_RELIST_DELAY_MILLISECONDS / 10;
    for (
      let from = 0;
      from < MAXIMUM_RELIST_DELAY_MILLISECONDS;
      from += tenth
    ) {
      const count = delays.filter(
        delay => delay >= from && delay < from + tenth,
      ).length;
      expect(count > 70 && count < 130).toEqual(true);
    }
  });

  it('lets few nodes list almost at once', () => {
    expect(relistDelayMilliseconds(3, () => 0.99) < 3).toEqual(true);
  });
});
