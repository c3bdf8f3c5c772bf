import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  FencingNumber,
  Instant,
  NodeId,
  ObjectVersion,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {ClockReading, LeaseRules, LeaseSighting} from '../src/index.js';
import {
  Holding,
  hesitation,
  mayOrderFrom,
  resignedRecord,
  takeoverAt,
  takeoverRecord,
} from '../src/index.js';

const fenced: LeaseRules = {
  leaseMilliseconds: 3_000,
  isFencingEnforced: true,
};
const unfenced: LeaseRules = {...fenced, isFencingEnforced: false};
const node = as<NodeId>('node-2');

function at(milliseconds: number): Instant {
  return as<Instant>(milliseconds);
}

function sighting(holder: string | undefined): LeaseSighting {
  return {
    record: {
      holder: holder === undefined ? undefined : as<NodeId>(holder),
      address: '10.0.0.1:7000',
      term: as<FencingNumber>(4),
    },
    revision: as<ObjectVersion>(17),
    firstSeenAt: at(1_000),
  };
}

describe('taking a lease over', () => {
  it('waits for nothing when the holder has gone or gave the lease back', () => {
    expect(takeoverAt(sighting('node-1'), 'gone', fenced, at(1_100))).toEqual(
      at(1_100),
    );
    expect(
      takeoverAt(sighting(undefined), 'resigned', fenced, at(1_100)),
    ).toEqual(at(1_100));
  });

  it('waits for a renewal that a silent holder has missed', () => {
    const due = takeoverAt(sighting('node-1'), 'silent', fenced, at(1_100));
    expect(due).toEqual(at(2_300));
  });

  it('waits for a holder that may not know yet that it was elected', () => {
    const due = takeoverAt(sighting('node-1'), 'resigned', fenced, at(1_100));
    expect(due).toEqual(at(1_600));
  });

  it('raises the term', () => {
    expect(takeoverRecord(node, 'here', sighting('node-1')).term).toEqual(
      as<FencingNumber>(5),
    );
    expect(takeoverRecord(node, 'here', undefined).term).toEqual(
      as<FencingNumber>(1),
    );
    expect(resignedRecord(as<FencingNumber>(5)).holder).toEqual(undefined);
  });

  it('lets a new holder order at once where terms are checked, else after the old lease', () => {
    expect(mayOrderFrom(at(5_000), sighting('node-1'), fenced)).toEqual(
      at(5_000),
    );
    expect(mayOrderFrom(at(5_000), sighting('node-1'), unfenced)).toEqual(
      at(8_000),
    );
    expect(mayOrderFrom(at(5_000), undefined, unfenced)).toEqual(at(5_000));
  });
});

function reading(steady: number, timeOfDay = steady): ClockReading {
  return {steady: at(steady), timeOfDay: at(timeOfDay)};
}

function hold(rules: LeaseRules, orderFrom = 0): Holding {
  return Holding.create({
    term: as<FencingNumber>(5),
    revision: as<ObjectVersion>(18),
    orderFrom: at(orderFrom),
    rules,
    reading: reading(0),
  });
}

/** Ticks as the process does while it runs. */
function run(holding: Holding, from: number, to: number): void {
  for (let now = from; now <= to; now += 150) holding.checkForPause(reading(now));
}

describe('the holder of a lease', () => {
  it('may order while it runs', () => {
    const holding = hold(fenced);
    run(holding, 0, 1_500);
    expect(holding.mayOrder(reading(1_600))).toEqual(true);
  });

  it('may not order before its predecessor’s lease has run out', () => {
    expect(hold(unfenced, 3_000).mayOrder(reading(100))).toEqual(false);
  });

  it('may not order right after it was frozen, until it has renewed', () => {
    const holding = hold(fenced);
    run(holding, 0, 300);
    expect(holding.mayOrder(reading(4_000))).toEqual(false);
    holding.checkForPause(reading(4_000));
    run(holding, 4_050, 4_500);
    expect(holding.mayOrder(reading(4_600))).toEqual(false);
    holding.noteRenewed(as<ObjectVersion>(19), at(4_500));
    expect(holding.mayOrder(reading(4_600))).toEqual(true);
  });

  it('notices a suspension that its steady clock has not counted', () => {
    const holding = hold(fenced);
    run(holding, 0, 300);
    expect(holding.mayOrder(reading(400, 6_400))).toEqual(false);
  });

  it('orders no more once it has lost the lease', () => {
    const holding = hold(fenced);
    holding.noteLost();
    holding.noteRenewed(as<ObjectVersion>(19), at(100));
    expect(holding.mayOrder(reading(100))).toEqual(false);
    expect(holding.hasEnded).toEqual(true);
  });

  it('goes on without the store where its term is checked, else until its lease ends', () => {
    const checked = hold(fenced);
    const unchecked = hold(unfenced);
    for (const holding of [checked, unchecked]) run(holding, 0, 4_000);
    expect(checked.mayOrder(reading(4_000))).toEqual(true);
    expect(unchecked.mayOrder(reading(2_900))).toEqual(true);
    expect(unchecked.mayOrder(reading(4_000))).toEqual(false);
  });
});

describe('how long a node lets others go first', () => {
  it('is nothing for a node with ample means, and grows as they lack', () => {
    const wait = (processorShare: number, linkMegabits: number): number =>
      hesitation({processorShare, linkMegabits});
    expect(wait(0.675, 1_000)).toEqual(0);
    expect(wait(0.3, 1_000) > wait(0.5, 1_000)).toEqual(true);
    expect(wait(1.35, 7) > wait(0.324, 140)).toEqual(true);
    expect(wait(0.001, 0.001) <= 250).toEqual(true);
  });
});
