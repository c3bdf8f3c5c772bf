import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {Instant, Random, RequestId} from '@siskinmux/kernel';
import {after, as, randomBelow} from '@siskinmux/kernel';
import {createSeededRandom} from '@siskinmux/testkit';
import type {CrashQuarantine, Trait} from '../src/index.js';
import {QuarantineCluster, RandomFaults} from './quarantine_cluster.js';

const NODE_COUNT = 5;
const SEEDS = 150;
const STEPS = 240;
const STEP_MILLISECONDS = 250;
const STABLE_MILLISECONDS = 3_000;
const FIFTH = 5;
const ALLOWED_LATE_SENDS = 3;

const id = as<RequestId>('id');
const FIRST = as<Trait>('part:first');
const HARMFUL = as<Trait>('part:harmful');

/** What happens in one history. */
interface History {
  readonly random: Random;
  /** Chances in each step. */
  readonly harmfulChance: number;
  readonly faultChance: number;
  /** Rare parts that harmful and harmless requests have in common. */
  readonly subjectCount: number;
  /** Most requests that run beside one that crashes its endpoint. */
  readonly neighbourCount: number;
}

/** Sends of the harmful part, and how harmless requests with the first part fared. */
interface Outcome {
  crashes: number;
  lateSends: number;
  harmlessRequests: number;
  harmlessRefusals: number;
}

describe('part of a prompt that crashes endpoints, in random histories', () => {
  it('is sent at most three times later than three seconds after the fifth crash by nodes in touch, and costs few harmless requests', async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const random = createSeededRandom(seed);
      const outcome = await play({
        random,
        harmfulChance: 0.1 + 0.5 * random(),
        faultChance: 0.1 * random(),
        subjectCount: 1 + randomBelow(random, 8),
        neighbourCount: randomBelow(random, 6),
      });
      expect([seed, outcome.lateSends <= ALLOWED_LATE_SENDS]).toEqual([
        seed,
        true,
      ]);
      expect([
        seed,
        outcome.harmlessRefusals <= outcome.harmlessRequests / 2,
      ]).toEqual([seed, true]);
    }
  });

  it('crashes at most four endpoints one after the other while no node fails', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(),
        fc.integer({min: 1, max: 8}),
        fc.integer({min: 0, max: 6}),
        async (seed, subjectCount, neighbourCount) => {
          const {crashes} = await play({
            random: createSeededRandom(seed),
            harmfulChance: 0.5,
            faultChance: 0,
            subjectCount,
            neighbourCount,
          });
          expect(crashes).toBeLessThanOrEqual(4);
        },
      ),
      {seed: 1, numRuns: 60},
    );
  });
});

/** Harmful and harmless requests arrive at random nodes while nodes restart or are cut off. */
async function play(history: History): Promise<Outcome> {
  const {random} = history;
  const cluster = new QuarantineCluster(NODE_COUNT);
  const {clock, nodes} = cluster;
  const outcome: Outcome = {
    crashes: 0,
    lateSends: 0,
    harmlessRequests: 0,
    harmlessRefusals: 0,
  };
  const faults = new RandomFaults(cluster, random, STABLE_MILLISECONDS);
  let contents = 0;
  let fifthCrashAt: Instant | undefined;

  const pick = (): number => randomBelow(random, nodes.length);
  const harmlessTraits = (): Trait[] => {
    contents += 1;
    const subject = randomBelow(random, history.subjectCount);
    return [
      as<Trait>(`content-${contents}`),
      FIRST,
      as<Trait>(`part:subject-${subject}`),
    ];
  };
  const isAllowed = async (
    node: CrashQuarantine,
    traits: readonly Trait[],
  ): Promise<boolean> => (await node.check(traits, id)).refusal === undefined;

  const sendHarmful = async (): Promise<void> => {
    const index = pick();
    const traits = [...harmlessTraits(), HARMFUL];
    if (!(await isAllowed(nodes[index]!, traits))) return;
    const isLate =
      fifthCrashAt !== undefined &&
      clock.now() > after(fifthCrashAt, STABLE_MILLISECONDS);
    if (isLate && faults.isInTouch(index)) outcome.lateSends += 1;
    outcome.crashes += 1;
    if (outcome.crashes === FIFTH) fifthCrashAt = clock.now();
    const name = `crash-${outcome.crashes}`;
    cluster.crash(nodes[index]!, traits, name);
    for (let rest = history.neighbourCount; rest > 0; rest -= 1)
      cluster.crash(nodes[pick()]!, harmlessTraits(), name);
  };
  const sendHarmless = async (): Promise<void> => {
    const node = nodes[pick()]!;
    const traits = harmlessTraits();
    outcome.harmlessRequests += 1;
    if (await isAllowed(node, traits)) node.recordServed(traits);
    else outcome.harmlessRefusals += 1;
  };

  for (let step = 0; step < STEPS; step += 1) {
    if (random() < history.faultChance) faults.cause(pick());
    faults.restoreHolder();
    if (random() < history.harmfulChance) await sendHarmful();
    await sendHarmless();
    await clock.advance(STEP_MILLISECONDS);
  }
  return outcome;
}
