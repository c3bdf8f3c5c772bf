import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {PromptPartId} from '@siskinmux/forwarding';
import type {Fingerprint, Instant} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {CrashId, Suspect, Trait} from '../src/index.js';
import {
  CrashSuspects,
  MAXIMUM_TRAITS,
  namedTrait,
  promptPartTrait,
  traitsOfPrompt,
} from '../src/index.js';

const NOW = as<Instant>(1_000_000);
const QUARANTINE_MILLISECONDS = 30_000;
const MAXIMUM_SUSPECTS = 2_000;

const content = (name: string): Trait => as<Trait>(name);
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
  suspects.recordCrash(
    [content(name)],
    {crash: crash(crashName), hadResponded},
    now,
  );
  return [...suspects.all].find(({trait}) => trait === name)!;
}

function kindOf(suspects: CrashSuspects, name: string, now = NOW): string {
  return suspects.suspicionOf([content(name)], now).kind;
}

function part(name: string): Trait {
  return promptPartTrait(as<PromptPartId>(name));
}

function crashOn(
  suspects: CrashSuspects,
  crashName: string,
  traits: readonly Trait[],
  hadResponded = false,
  now = NOW,
): void {
  suspects.recordCrash(traits, {crash: crash(crashName), hadResponded}, now);
}

function kindOfRequest(suspects: CrashSuspects, ...traits: Trait[]): string {
  return suspects.suspicionOf(traits, NOW).kind;
}

describe(CrashSuspects.name, () => {
  it('quarantines a request after two crashes until the record expires, and counts a merged crash once', () => {
    const suspects = create();
    const first = record(suspects, 'culprit', 'e1');
    expect(suspects.merge(first, NOW)).toEqual(false);
    expect(kindOf(suspects, 'culprit')).toEqual('suspect');
    record(suspects, 'culprit', 'e2');
    expect(suspects.suspicionOf([content('culprit')], NOW)).toEqual({
      kind: 'quarantined',
      until: after(NOW, QUARANTINE_MILLISECONDS),
      trait: content('culprit'),
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
    suspects.recordSuccess([content('innocent')], NOW);
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

  it('does not blame a stream that ran beside three crashes of a request with four', () => {
    const suspects = create();
    for (const name of ['e1', 'e2', 'e3', 'e4'])
      record(suspects, 'culprit', name, {hadResponded: true});
    for (const name of ['e1', 'e2', 'e3'])
      record(suspects, 'stream', name, {hadResponded: true});
    expect(kindOf(suspects, 'stream')).toEqual('none');
    expect(suspects.crashCountOf(content('culprit'))).toEqual(4);
  });

  it('lets a stream run on probation that ran beside three requests with a part in common, and clears it once it was served', () => {
    const suspects = create();
    const harmful = part('harmful');
    for (const name of ['e1', 'e2', 'e3']) {
      crashOn(suspects, name, [content(`culprit at ${name}`), harmful]);
      record(suspects, 'stream', name, {hadResponded: true});
    }
    expect(kindOf(suspects, 'stream')).toEqual('probation');
    suspects.recordSuccess([content('stream')], NOW);
    expect(kindOf(suspects, 'stream')).toEqual('none');
    expect(kindOfRequest(suspects, content('next'), harmful)).toEqual(
      'quarantined',
    );
  });

  it('blames a request that crashes endpoints after they have begun to respond', () => {
    const suspects = create();
    for (const name of ['e1', 'e2']) {
      record(suspects, 'culprit', name, {hadResponded: true});
      record(suspects, `neighbour at ${name}`, name);
    }
    expect(kindOf(suspects, 'culprit')).toEqual('quarantined');
    expect(kindOf(suspects, 'neighbour at e1')).toEqual('none');
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

  describe('with requests of which no two are alike', () => {
    const HARMFUL = part('harmful');
    const FIRST = part('first');
    const RARE = part('rare');

    it('quarantines the part that they share after two crashes, and no part that was served in between', () => {
      const suspects = create();
      crashOn(suspects, 'e1', [content('c1'), FIRST, HARMFUL]);
      suspects.recordSuccess([content('c2'), FIRST], NOW);
      crashOn(suspects, 'e2', [content('c3'), FIRST, HARMFUL]);
      expect(kindOfRequest(suspects, content('c4'), FIRST, HARMFUL)).toEqual(
        'quarantined',
      );
      expect(kindOfRequest(suspects, content('c5'), FIRST)).toEqual('none');
    });

    it('quarantines the part although the endpoints had begun to respond', () => {
      const suspects = create();
      for (const name of ['1', '2']) {
        crashOn(suspects, `e${name}`, [content(`c${name}`), HARMFUL], true);
        crashOn(suspects, `e${name}`, [content(`neighbour ${name}`)]);
      }
      expect(kindOfRequest(suspects, content('c3'), HARMFUL)).toEqual(
        'quarantined',
      );
    });

    it('lets a request with one of two parts that explain all crashes run on probation, and none with both', () => {
      const suspects = create();
      for (const name of ['1', '2', '3'])
        crashOn(suspects, `e${name}`, [content(`c${name}`), RARE, HARMFUL]);
      expect(suspects.rivalsOf(HARMFUL)).toEqual([RARE]);
      expect(kindOfRequest(suspects, content('c4'), RARE, HARMFUL)).toEqual(
        'quarantined',
      );
      expect(kindOfRequest(suspects, content('c5'), RARE)).toEqual('probation');
      suspects.recordSuccess([content('c5'), RARE], NOW);
      expect(kindOfRequest(suspects, content('c6'), RARE)).toEqual('none');
      expect(kindOfRequest(suspects, content('c7'), HARMFUL)).toEqual(
        'quarantined',
      );
    });

    it('does not quarantine a rare part that was present in two crashes of a part with three', () => {
      const suspects = create();
      crashOn(suspects, 'e1', [content('c1'), HARMFUL]);
      crashOn(suspects, 'e1', [content('n1'), RARE]);
      crashOn(suspects, 'e2', [content('c2'), HARMFUL]);
      crashOn(suspects, 'e2', [content('n2'), RARE]);
      expect(kindOfRequest(suspects, content('n3'), RARE)).toEqual('probation');
      crashOn(suspects, 'e3', [content('c3'), HARMFUL]);
      expect(kindOfRequest(suspects, content('n3'), RARE)).toEqual('none');
      expect(kindOfRequest(suspects, content('c4'), HARMFUL)).toEqual(
        'quarantined',
      );
    });

    it('finds two harmful parts, and a harmful part beside a harmful content', () => {
      const suspects = create();
      const other = part('other');
      for (const name of ['1', '2', '3']) {
        crashOn(suspects, `a${name}`, [content(`c${name}`), FIRST, HARMFUL]);
        crashOn(suspects, `b${name}`, [content(`d${name}`), FIRST, other]);
        crashOn(suspects, `c${name}`, [content('culprit'), FIRST]);
        suspects.recordSuccess([content(`s${name}`), FIRST], NOW);
      }
      for (const culprit of [HARMFUL, other, content('culprit')])
        expect(kindOfRequest(suspects, content('x'), culprit)).toEqual(
          'quarantined',
        );
      expect(kindOfRequest(suspects, content('y'), FIRST)).toEqual('none');
    });

    it('blames a content that crashes endpoints, and not its part, once the part was served', () => {
      const suspects = create();
      for (const name of ['e1', 'e2'])
        crashOn(suspects, name, [content('culprit'), RARE]);
      expect(kindOfRequest(suspects, content('c1'), RARE)).toEqual('probation');
      suspects.recordSuccess([content('c1'), RARE], NOW);
      expect(kindOfRequest(suspects, content('culprit'), RARE)).toEqual(
        'quarantined',
      );
      expect(kindOfRequest(suspects, content('c2'), RARE)).toEqual('none');
    });

    it('attributes crashes to a trait of any other kind', () => {
      const suspects = create();
      const model = namedTrait('model', 'm1');
      for (const name of ['1', '2'])
        crashOn(suspects, `e${name}`, [content(`c${name}`), model]);
      expect(kindOfRequest(suspects, content('c3'), model)).toEqual(
        'quarantined',
      );
    });

    it('does not blame a popular part for endpoints that crash at the same time, but for those that crash later', () => {
      const suspects = create();
      suspects.recordSuccess([FIRST], NOW);
      const crashAt = after(NOW, 10_000);
      for (const name of ['1', '2', '3'])
        crashOn(
          suspects,
          `e${name}`,
          [content(`c${name}`), FIRST],
          false,
          crashAt,
        );
      expect(kindOf(suspects, FIRST, crashAt)).toEqual('none');
      const laterAt = after(crashAt, 2_000);
      for (const name of ['4', '5'])
        crashOn(
          suspects,
          `e${name}`,
          [content(`c${name}`), FIRST],
          false,
          laterAt,
        );
      expect(kindOf(suspects, FIRST, laterAt)).toEqual('quarantined');
    });

    it('keeps a bounded number of records whatever parts callers send', () => {
      const suspects = create();
      for (const name of ['1', '2'])
        crashOn(suspects, `e${name}`, [content(`c${name}`), HARMFUL]);
      for (let index = 0; index < MAXIMUM_SUSPECTS; index += 1) {
        const parts = Array.from({length: 100}, (_, at) =>
          as<PromptPartId>(`${index}x${at}`.repeat(20)),
        );
        const traits = traitsOfPrompt(as<Fingerprint>(`f${index}`), parts);
        expect(traits.length).toEqual(MAXIMUM_TRAITS);
        expect(Math.max(...traits.map(({length}) => length))).toBeLessThan(80);
        crashOn(suspects, `n${index}`, traits);
      }
      expect(suspects.size).toBeLessThanOrEqual(MAXIMUM_SUSPECTS);
      expect(kindOfRequest(suspects, content('c3'), HARMFUL)).toEqual(
        'quarantined',
      );
    });
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
              ? (node.recordSuccess([content(name)], NOW)[0] ?? suspect)
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
