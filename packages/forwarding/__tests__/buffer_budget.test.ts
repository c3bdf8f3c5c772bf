import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createSeededRandom} from '@siskinmux/testkit';
import type {BufferUse} from '../src/index.js';
import {BufferBudget} from '../src/index.js';

const LIMIT_BYTES = 1_048_576;
/** What larger holders may use together. */
const LARGE_BYTES = (LIMIT_BYTES * 3) / 4;
const SMALL_BYTES = 65_536;
const HISTORIES = 200;
const STEPS = 300;

interface World {
  readonly budget: BufferBudget;
  readonly changes: [boolean, BufferUse][];
  deniedCount: number;
}

function createWorld(): World {
  const changes: [boolean, BufferUse][] = [];
  const world: World = {
    budget: BufferBudget.create({
      limitBytes: LIMIT_BYTES,
      onDenied: () => {
        world.deniedCount += 1;
      },
      onChange: (...change) => changes.push(change),
    }),
    changes,
    deniedCount: 0,
  };
  return world;
}

describe(BufferBudget.name, () => {
  it('denies what exceeds it, and leaves what others hold', () => {
    const {budget} = createWorld();
    const first = budget.createHolder();
    const second = budget.createHolder();
    expect(first.grow(LARGE_BYTES)).toEqual(true);
    expect(second.grow(LARGE_BYTES)).toEqual(false);
    expect(budget.heldBytes).toEqual(LARGE_BYTES);
    first.release();
    expect(second.grow(LARGE_BYTES)).toEqual(true);
  });

  it('leaves a part to small holders', () => {
    const {budget} = createWorld();
    expect(budget.createHolder().grow(LARGE_BYTES)).toEqual(true);
    expect(budget.createHolder().grow(SMALL_BYTES + 1)).toEqual(false);
    const small = budget.createHolder();
    expect(small.grow(SMALL_BYTES)).toEqual(true);
    // It is none any more.
    expect(small.grow(1)).toEqual(false);
  });

  it('knows what no holder can ever have', () => {
    const holder = createWorld().budget.createHolder();
    expect([holder.fits(LARGE_BYTES), holder.fits(LARGE_BYTES + 1)]).toEqual([
      true,
      false,
    ]);
  });

  it('gives nothing to a holder that has been released', () => {
    const {budget} = createWorld();
    const holder = budget.createHolder();
    holder.grow(10);
    holder.release();
    expect(holder.grow(10)).toEqual(false);
    holder.release();
    expect(budget.heldBytes).toEqual(0);
  });

  it('reports once that it is used up, and once that half of it is free', () => {
    const world = createWorld();
    const {budget, changes} = world;
    const holder = budget.createHolder();
    holder.grow(LARGE_BYTES);
    holder.grow(1);
    holder.grow(1);
    expect(world.deniedCount).toEqual(2);
    expect(changes).toEqual([
      [true, {heldBytes: LARGE_BYTES, limitBytes: LIMIT_BYTES}],
    ]);
    holder.shrink(1);
    expect(changes.length).toEqual(1);
    holder.release();
    expect(changes.slice(1)).toEqual([
      [false, {heldBytes: 0, limitBytes: LIMIT_BYTES}],
    ]);
  });

  it('holds what its holders hold, and never more than its limit, in any order', () => {
    for (let seed = 1; seed <= HISTORIES; seed += 1) {
      const random = createSeededRandom(seed);
      const {budget} = createWorld();
      const holders = Array.from({length: 20}, () => ({
        holder: budget.createHolder(),
        bytes: 0,
      }));
      for (let step = 0; step < STEPS; step += 1) {
        const index = Math.floor(random() * holders.length);
        const entry = holders[index] as (typeof holders)[number];
        const bytes = Math.floor(random() * 2 * SMALL_BYTES);
        const choice = random();
        if (choice < 0.6) {
          if (entry.holder.grow(bytes)) entry.bytes += bytes;
        } else if (choice < 0.8) {
          entry.holder.shrink(bytes);
          entry.bytes = Math.max(0, entry.bytes - bytes);
        } else {
          entry.holder.release();
          holders[index] = {holder: budget.createHolder(), bytes: 0};
        }
        const sum = holders.reduce((total, held) => total + held.bytes, 0);
        expect(budget.heldBytes).toEqual(sum);
        expect(sum <= LIMIT_BYTES).toEqual(true);
      }
    }
  });
});
