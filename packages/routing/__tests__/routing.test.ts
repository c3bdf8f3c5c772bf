import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EndpointId, FailureDomain, Instant} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {createSeededRandom} from '@siskinmux/testkit';
import type {Candidate} from '../src/index.js';
import {
  OutlierDetector,
  RetryBudget,
  chooseEndpoint,
  ownerOf,
  rankMembers,
  weighEndpoints,
} from '../src/index.js';

const NOW = as<Instant>(1_000_000);
const KEYS = 2_000;

const endpoint = (name: string): EndpointId => as<EndpointId>(name);

function candidate(
  name: string,
  overrides: Partial<Candidate> = {},
): Candidate {
  return {
    endpoint: endpoint(name),
    failureDomain: as<FailureDomain>('a'),
    inFlight: 0,
    limit: 4,
    reportedLoad: 0,
    reportedAt: NOW,
    slots: 4,
    hasAdapter: true,
    isPrefixOwner: false,
    ...overrides,
  };
}

const context = {
  now: NOW,
  failureDomain: as<FailureDomain>('a'),
  random: createSeededRandom(1),
};

describe(chooseEndpoint.name, () => {
  it('chooses the less loaded of two endpoints', () => {
    const chosen = chooseEndpoint(
      [candidate('busy', {reportedLoad: 4}), candidate('free')],
      context,
    );
    expect(chosen?.endpoint).toEqual(endpoint('free'));
  });

  it('prefers the owner of the prompt prefix until its load outweighs the cached prefix', () => {
    const home = candidate('home', {isPrefixOwner: true, inFlight: 0});
    const other = candidate('other');
    expect(chooseEndpoint([other, home], context)?.endpoint).toEqual(
      endpoint('home'),
    );
    const busy = {...home, inFlight: 8, reportedLoad: 8};
    expect(chooseEndpoint([other, busy], context)?.endpoint).toEqual(
      endpoint('other'),
    );
  });

  // Guards against an explanation by other costs than those of the choice.
  it('never chooses an endpoint without a weight, and more often one with more', () => {
    const candidates = [
      candidate('far', {failureDomain: as<FailureDomain>('b')}),
      candidate('first'),
      candidate('second'),
      // Of many slots, so that its cost differs by less than the random part.
      candidate('third', {inFlight: 1, slots: 250}),
    ];
    const weights = weighEndpoints(candidates, context);
    const counts = candidates.map(() => 0);
    for (let index = 0; index < 2_000; index += 1) {
      const chosen = chooseEndpoint(candidates, context);
      const at = candidates.findIndex(each => each === chosen);
      counts[at] = (counts[at] ?? 0) + 1;
    }
    expect([weights[0], counts[0]]).toEqual([0, 0]);
    expect(weights[1]).toEqual(weights[2]);
    expect(weights[3] ?? 0).toBeGreaterThan(0);
    expect(weights[3] ?? 0).toBeLessThan(weights[1] ?? 0);
    expect(counts[3] ?? 0).toBeGreaterThan(0);
    expect(counts[3] ?? 0).toBeLessThan(counts[1] ?? 0);
  });

  it('spreads requests over all endpoints that have equal reports', () => {
    const candidates = ['one', 'two', 'three', 'four'].map(name =>
      candidate(name),
    );
    const counts = new Map<string, number>();
    for (let index = 0; index < 400; index += 1) {
      const name: string = chooseEndpoint(candidates, context)?.endpoint ?? '';
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    expect(Math.max(...counts.values()) < 160).toEqual(true);
    expect(counts.size).toEqual(4);
  });
});

describe(rankMembers.name, () => {
  it('moves only the keys of a member that leaves', () => {
    const members = ['one', 'two', 'three', 'four', 'five'];
    const rest = members.slice(1);
    let moved = 0;
    for (let index = 0; index < KEYS; index += 1) {
      const before = ownerOf(`key ${index}`, members);
      const after = ownerOf(`key ${index}`, rest);
      if (before !== after) moved += 1;
      if (before !== 'one') expect(after === before).toEqual(true);
    }
    expect(moved / KEYS < 0.25).toEqual(true);
    expect(rankMembers('key', members)[0] ?? '').toEqual(
      ownerOf('key', members) ?? '',
    );
  });
});

describe(OutlierDetector.name, () => {
  it('never ejects more than half of the endpoints, even if all of them fail', () => {
    const detector = OutlierDetector.create();
    const all = ['one', 'two', 'three', 'four'].map(endpoint);
    for (const id of all) {
      for (let failure = 0; failure < 5; failure += 1) {
        detector.recordFailure(id, NOW);
      }
    }
    expect(detector.usableEndpoints(all, NOW).length).toEqual(2);
    const later = as<Instant>(NOW + 100_000);
    expect(detector.usableEndpoints(all, later).length).toEqual(4);
  });

  const all = ['paused', 'two', 'three', 'four'].map(endpoint);
  const at = (milliseconds: number): Instant => as<Instant>(NOW + milliseconds);
  const isUsable = (detector: OutlierDetector, milliseconds: number): boolean =>
    detector
      .usableEndpoints(all, at(milliseconds))
      .includes(endpoint('paused'));

  it('ejects an endpoint once for one pause, in which all requests in flight fail', () => {
    const detector = OutlierDetector.create();
    // Sent over half a second, and each given up after 1.2 s.
    for (let sentAt = 0; sentAt < 480; sentAt += 60)
      detector.recordFailure(
        endpoint('paused'),
        at(sentAt + 1_200),
        at(sentAt),
      );
    expect(isUsable(detector, 1_700)).toEqual(false);
    expect(isUsable(detector, 2_400)).toEqual(true);
  });

  it('does not eject an endpoint again for a request that was sent before the ejection and fails after it', () => {
    const detector = OutlierDetector.create();
    for (const failedAt of [1_000, 1_000, 1_000, 2_150])
      detector.recordFailure(endpoint('paused'), at(failedAt), at(950));
    expect(isUsable(detector, 2_200)).toEqual(true);
  });

  it('ejects an endpoint for twice as long if a request that was sent later fails, too', () => {
    const detector = OutlierDetector.create();
    for (const sentAt of [0, 0, 0, 1_100, 1_101])
      detector.recordFailure(endpoint('paused'), at(sentAt + 50), at(sentAt));
    expect(isUsable(detector, 3_100)).toEqual(false);
    expect(isUsable(detector, 3_200)).toEqual(true);
  });
});

describe(RetryBudget.name, () => {
  it('allows retries for a tenth of the requests plus the initial tokens', () => {
    const budget = RetryBudget.create();
    let retries = 0;
    for (let request = 0; request < 1_000; request += 1) {
      budget.recordRequest();
      if (budget.tryAcquireRetry()) retries += 1;
    }
    expect(retries <= 104).toEqual(true);
    expect(retries >= 100).toEqual(true);
  });
});
