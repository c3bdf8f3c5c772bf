import {describe, it} from 'node:test';
import {expect} from 'earl';
import {playReturns} from './store_return_cluster.js';

const SEEDS = Array.from({length: 40}, (_, index) => index + 1);

describe('nodes whose store returns from older copies in series', () => {
  // Nodes followed no change any more, and removed endpoints that live.
  for (const nodeCount of [1, 3]) {
    it(`follow each change, and go back in none, with ${nodeCount} nodes`, async () => {
      const broken: string[] = [];
      for (const seed of SEEDS) {
        const violations = await playReturns(seed, nodeCount);
        if (violations.length > 0)
          broken.push(`seed ${seed}: ${violations.slice(0, 3).join('; ')}`);
      }
      expect(broken).toEqual([]);
    });
  }
});
