import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Milliseconds} from '@siskinmux/kernel';
import {ReturnFleet} from '../src/store_return_fleet.js';

const SETTLE_MILLISECONDS: Milliseconds = 5_000;
const AFTER_RETURN_MILLISECONDS: Milliseconds = 3_000;

/** Read calls of all nodes that the platform's example settings allow. */
const CALLS_PER_SECOND = 2_000;

describe('store that returns from an older copy', () => {
  for (const nodes of [7, 91, 570]) {
    it(`is not read above its rate by ${nodes} nodes that list at once`, async () => {
      const fleet = new ReturnFleet(nodes, 100);
      await fleet.advance(SETTLE_MILLISECONDS);
      await fleet.comeBack();
      const use = await fleet.advance(AFTER_RETURN_MILLISECONDS);
      fleet.stop();
      expect(use.lists).toEqual(2 * nodes);
      expect(use.peakCalls < CALLS_PER_SECOND).toEqual(true);
    });
  }

  it('gets at most half of the lists of 570 nodes within a tenth of a second', async () => {
    const fleet = new ReturnFleet(570, 100);
    await fleet.advance(SETTLE_MILLISECONDS);
    await fleet.comeBack();
    const use = await fleet.advance(AFTER_RETURN_MILLISECONDS);
    fleet.stop();
    expect(use.peakLists <= use.lists / 2).toEqual(true);
  });
});
