import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  FencingNumber,
  Instant,
  NodeId,
  ObjectVersion,
  StoreEra,
} from '@siskinmux/kernel';
import {as, versionOf} from '@siskinmux/kernel';
import type {ClockReading, LeaseObservation, LeaseRules} from '../src/index.js';
import {
  HeldLease,
  electionDelayMilliseconds,
  ordersAllowedAt,
  releasedRecord,
  takeoverAllowedAt,
  takeoverRecord,
} from '../src/index.js';

const fenced: LeaseRules = {
  leaseMilliseconds: 3_000,
  isFencingEnforced: true,
};
const unfenced: LeaseRules = {...fenced, isFencingEnforced: false};
const node = as<NodeId>('node-2');
const ERA = as<StoreEra>(1);

function at(milliseconds: number): Instant {
  return as<Instant>(milliseconds);
}

function observation(holder: string | undefined): LeaseObservation {
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

describe('takeover of a lease', () => {
  it('is allowed at once when the process of the holder ended or the lease was released', () => {
    expect(
      takeoverAllowedAt(observation('node-1'), 'gone', fenced, at(1_100)),
    ).toEqual(at(1_100));
    expect(
      takeoverAllowedAt(observation(undefined), 'resigned', fenced, at(1_100)),
    ).toEqual(at(1_100));
  });

  it('is allowed once a silent holder has missed a renewal', () => {
    const allowedAt = takeoverAllowedAt(
      observation('node-1'),
      'silent',
      fenced,
      at(1_100),
    );
    expect(allowedAt).toEqual(at(2_300));
  });

  it('is delayed while a newly elected holder may not know of its election', () => {
    const allowedAt = takeoverAllowedAt(
      observation('node-1'),
      'resigned',
      fenced,
      at(1_100),
    );
    expect(allowedAt).toEqual(at(1_600));
  });

  it('takes the replaced version as its term, and a released record names no holder', () => {
    const record = takeoverRecord(node, 'here', observation('node-1'), ERA);
    expect(record.term).toEqual(as<FencingNumber>(17));
    expect(releasedRecord(as<FencingNumber>(5)).holder).toEqual(undefined);
  });

  it('raises the term of a record that an earlier build wrote, whatever its version', () => {
    const earlier = observation('node-1');
    const replaced = {
      ...earlier,
      record: {...earlier.record, term: as<FencingNumber>(40)},
    };
    expect(takeoverRecord(node, 'here', replaced, ERA).term).toEqual(
      as<FencingNumber>(41),
    );
  });

  it('has a later term in a later era, though the store has lost all records', () => {
    const before = {
      ...observation('node-1'),
      revision: versionOf(ERA, 1_000_000_000),
    };
    const {term} = takeoverRecord(node, 'here', before, ERA);
    const next = as<StoreEra>(ERA + 1);
    const created = takeoverRecord(node, 'here', undefined, next).term;
    expect(created).toBeGreaterThan(term);
    const replaced = {...before, revision: versionOf(next, 2)};
    expect(takeoverRecord(node, 'here', replaced, next).term).toBeGreaterThan(
      created,
    );
  });

  it('allows orders at once where engines check terms, otherwise after the previous lease has expired', () => {
    expect(ordersAllowedAt(at(5_000), fenced)).toEqual(at(5_000));
    expect(ordersAllowedAt(at(5_000), unfenced)).toEqual(at(8_000));
  });
});

function reading(steady: number, timeOfDay = steady): ClockReading {
  return {steady: at(steady), timeOfDay: at(timeOfDay)};
}

function createLease(rules: LeaseRules, allowedAt = 0): HeldLease {
  return HeldLease.create({
    term: as<FencingNumber>(5),
    revision: as<ObjectVersion>(18),
    ordersAllowedAt: at(allowedAt),
    rules,
    reading: reading(0),
  });
}

/** Checks for pauses at the regular interval, as a running process does. */
function runWithoutPauses(lease: HeldLease, from: number, to: number): void {
  for (let now = from; now <= to; now += 150) lease.checkForPause(reading(now));
}

describe('the holder of a lease', () => {
  it('may send orders while its process runs without pauses', () => {
    const lease = createLease(fenced);
    runWithoutPauses(lease, 0, 1_500);
    expect(lease.canSendOrders(reading(1_600))).toEqual(true);
  });

  it('may not send orders before the lease of the previous holder has expired', () => {
    expect(createLease(unfenced, 3_000).canSendOrders(reading(100))).toEqual(
      false,
    );
  });

  it('may not send orders after a process pause until it has renewed the lease', () => {
    const lease = createLease(fenced);
    runWithoutPauses(lease, 0, 300);
    expect(lease.canSendOrders(reading(4_000))).toEqual(false);
    lease.checkForPause(reading(4_000));
    runWithoutPauses(lease, 4_050, 4_500);
    expect(lease.canSendOrders(reading(4_600))).toEqual(false);
    lease.recordRenewal(as<ObjectVersion>(19), at(4_500));
    expect(lease.canSendOrders(reading(4_600))).toEqual(true);
  });

  it('detects a suspension of the host during which the steady clock stopped', () => {
    const lease = createLease(fenced);
    runWithoutPauses(lease, 0, 300);
    expect(lease.canSendOrders(reading(400, 6_400))).toEqual(false);
  });

  it('may not send orders after losing the lease, even if a late renewal is acknowledged', () => {
    const lease = createLease(fenced);
    lease.markEnded();
    lease.recordRenewal(as<ObjectVersion>(19), at(100));
    expect(lease.canSendOrders(reading(100))).toEqual(false);
    expect(lease.hasEnded).toEqual(true);
  });

  it('may send orders without the store indefinitely where engines check terms, otherwise until the lease expires', () => {
    const checked = createLease(fenced);
    const unchecked = createLease(unfenced);
    for (const lease of [checked, unchecked]) runWithoutPauses(lease, 0, 4_000);
    expect(checked.canSendOrders(reading(4_000))).toEqual(true);
    expect(unchecked.canSendOrders(reading(2_900))).toEqual(true);
    expect(unchecked.canSendOrders(reading(4_000))).toEqual(false);
  });
});

describe('the election delay of a node', () => {
  it('is zero with ample capacity and grows up to 250 ms with less processor time or bandwidth', () => {
    const delay = (processorShare: number, linkMegabits: number): number =>
      electionDelayMilliseconds({processorShare, linkMegabits});
    expect(delay(0.675, 1_000)).toEqual(0);
    expect(delay(0.3, 1_000) > delay(0.5, 1_000)).toEqual(true);
    expect(delay(1.35, 7) > delay(0.324, 140)).toEqual(true);
    expect(delay(0.001, 0.001) <= 250).toEqual(true);
  });
});
