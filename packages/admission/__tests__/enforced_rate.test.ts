import {describe, it} from 'node:test';
import {expect} from 'earl';
import {enforcedRate} from '../src/index.js';

const RULES = {windowMilliseconds: 8_000, overage: 0.1, tolerance: 7_400};
const WINDOW_SECONDS = 8;

describe('enforcedRate', () => {
  it('admits what a window allows in each window, if the burst is several seconds of the rate', () => {
    const quota = {unit: 'tokens', perSecond: 26_177, burst: 94_235} as const;
    const {perSecond, burst} = enforcedRate(quota, RULES);
    const allowed = quota.perSecond * WINDOW_SECONDS + quota.burst;
    expect(Math.round(perSecond * WINDOW_SECONDS + burst)).toEqual(allowed);
    expect(perSecond).toBeGreaterThan(quota.perSecond * 1.2);
  });

  it('leaves a quota unchanged whose burst is a second of its rate or less', () => {
    for (const burst of [0, 500, 1_000]) {
      const quota = {unit: 'requests', perSecond: 1_000, burst} as const;
      expect(enforcedRate(quota, RULES)).toEqual(quota);
    }
  });

  it('admits nothing beyond the burst of a team without a rate in a window', () => {
    const quota = {unit: 'requests', perSecond: 0, burst: 90} as const;
    const {perSecond, burst} = enforcedRate(quota, RULES);
    expect(perSecond * WINDOW_SECONDS + burst).toEqual(90);
  });
});
