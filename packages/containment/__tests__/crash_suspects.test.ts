import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {Fingerprint, Instant} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {CrashId, Suspect} from '../src/index.js';
import {CrashSuspects} from '../src/index.js';

const NOW = as<Instant>(1_000_000);
const QUARANTINE_MILLISECONDS = 30_000;
const MAXIMUM_SUSPECTS = 2_000;

const content = (name: string): Fingerprint => as<Fingerprint>(name);
const crash = (name: string): CrashId => as<CrashId>(name);

function create(): CrashSuspects {
  return CrashSuspects.create(crashCount =>
    crashCount >= 2 ? QUARANTINE_MILLISECONDS : 0,
  );
}

function record(
  suspects: CrashSuspects,
  name: string,
  crashName: string,
  options: {hadResponded?: boolean; now?: Instant} = {},
): Suspect {
  const {hadResponded = false, now = NOW} = options;
  return suspects.recordCrash(
    content(name),
    {crash: crash(crashName), hadResponded},
    now,
  );
}

function kindOf(suspects: CrashSuspects, name: string, now = NOW): string {
  return suspects.suspicionOf(content(name), now).kind;
}

describe(CrashSuspects.name, () => {
  it('quarantines a request after two crashes until the record expires, and counts a merged crash once', () => {
    const suspects = create();
    const first = record(suspects, 'culprit', 'e1');
    expect(suspects.merge(first, NOW)).toEqual(false);
    expect(kindOf(suspects, 'culprit')).toEqual('suspect');
    record(suspects, 'culprit', 'e2');
    expect(suspects.suspicionOf(content('culprit'), NOW)).toEqual({
      kind: 'quarantined',
      until: after(NOW, QUARANTINE_MILLISECONDS),
    });
    expect(kindOf(suspects, 'culprit', after(NOW, 3_600_000))).toEqual('none');
  });

  it('puts a request on probation after its quarantine, and quarantines it again after one more crash', () => {
    const suspects = create();
    record(suspects, 'culprit', 'e1');
    record(suspects, 'culprit', 'e2');
    const later = after(NOW, QUARANTINE_MILLISECONDS);
    expect(kindOf(suspects, 'culprit', later)).toEqual('probation');
    record(suspects, 'culprit', 'e3', {now: later});
    expect(kindOf(suspects, 'culprit', later)).toEqual('quarantined');
  });

  it('clears a suspect request once an endpoint has completed it', () => {
    const suspects = create();
    record(suspects, 'innocent', 'e1');
    suspects.recordSuccess(content('innocent'));
    expect(kindOf(suspects, 'innocent')).toEqual('none');
  });

  it('does not lose a crash when two nodes each record one at the same time', () => {
    const left = create();
    const right = create();
    const fromLeft = record(left, 'culprit', 'e1');
    const fromRight = record(right, 'culprit', 'e2');
    left.merge(fromRight, NOW);
    right.merge(fromLeft, NOW);
    expect(kindOf(left, 'culprit')).toEqual('quarantined');
    expect(kindOf(right, 'culprit')).toEqual('quarantined');
  });

  it('does not blame a request that shared crashed endpoints with one that crashed more', () => {
    const suspects = create();
    for (const name of ['e1', 'e2', 'e3']) record(suspects, 'culprit', name);
    record(suspects, 'neighbour', 'e1');
    record(suspects, 'neighbour', 'e2');
    expect(kindOf(suspects, 'neighbour')).toEqual('none');
    expect(suspects.crashCountOf(content('culprit'))).toEqual(3);
  });

  it('does not blame a stream that ran beside three requests that each crashed their endpoint', () => {
    const suspects = create();
    for (const name of ['e1', 'e2', 'e3']) {
      record(suspects, `culprit at ${name}`, name);
      record(suspects, 'stream', name, {hadResponded: true});
    }
    expect(kindOf(suspects, 'stream')).toEqual('none');
    expect(suspects.crashCountOf(content('culprit at e1'))).toEqual(1);
  });

  it('blames a request that crashes endpoints after they have begun to respond', () => {
    const suspects = create();
    for (const name of ['e1', 'e2', 'e3', 'e4']) {
      record(suspects, 'culprit', name, {hadResponded: true});
      record(suspects, `neighbour at ${name}`, name);
    }
    expect(kindOf(suspects, 'culprit')).toEqual('quarantined');
  });

  it('keeps a quarantined request when a caller crashes endpoints with ever new requests', () => {
    const suspects = create();
    record(suspects, 'culprit', 'e1');
    record(suspects, 'culprit', 'e2');
    for (let index = 0; index < 2 * MAXIMUM_SUSPECTS; index += 1) {
      record(suspects, `new ${index}`, `n${index}`);
    }
    expect(kindOf(suspects, 'culprit')).toEqual('quarantined');
    expect(suspects.size).toBeLessThanOrEqual(MAXIMUM_SUSPECTS);
  });

  it('reaches the same decisions on all nodes, in whichever order they merge the records', () => {
    const run = fc.record({
      content: fc.constantFrom('a', 'b', 'c'),
      crash: fc.constantFrom('e1', 'e2', 'e3', 'e4'),
      hadResponded: fc.boolean(),
      isServed: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(run, {maxLength: 12}),
        fc.array(fc.nat(), {minLength: 12, maxLength: 12}),
        (runs, order) => {
          const records = runs.map(({content: name, isServed, ...crashed}) => {
            const node = create();
            const suspect = record(node, name, crashed.crash, crashed);
            return isServed
              ? (node.recordSuccess(content(name)) ?? suspect)
              : suspect;
          });
          const shuffled = records
            .map((suspect, index) => ({suspect, rank: order[index] ?? 0}))
            .sort((left, right) => left.rank - right.rank)
            .map(({suspect}) => suspect);
          const nodes = [records, shuffled, [...shuffled, ...records]].map(
            received => {
              const node = create();
              for (const suspect of received) node.merge(suspect, NOW);
              return ['a', 'b', 'c'].map(name =>
                node.crashCountOf(content(name)),
              );
            },
          );
          expect(nodes[1]).toEqual(nodes[0]!);
          expect(nodes[2]).toEqual(nodes[0]!);
        },
      ),
      {seed: 1, numRuns: 300},
    );
  });
});
