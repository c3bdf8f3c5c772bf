import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant, Milliseconds, Random, RequestId} from '@siskinmux/kernel';
import {after, as, randomBelow} from '@siskinmux/kernel';
import {createSeededRandom} from '@siskinmux/testkit';
import type {Trait} from '../src/index.js';
import {QuarantineCluster} from './quarantine_cluster.js';

const NODE_COUNT = 7;
const ENGINE_COUNT = 6;
const SEEDS = Number(process.env['REPEATED_CONTENT_SEEDS'] ?? 60);
const STEP_MILLISECONDS = 20;
const STEPS = 1_500;
const RESTART_MILLISECONDS = 3_000;
const STABLE_MILLISECONDS = 3_000;
const ALLOWED_LATE_SENDS = 3;
const ALLOWED_REFUSED_SHARE = 0.02;
const MAXIMUM_RUNS = 2;
const CALLER_ATTEMPTS = 2;
const CRASH_DELAY_MILLISECONDS = 60;
const id = as<RequestId>('id');
const CULPRIT = as<Trait>('culprit');

/** One attempt of a caller, on its way through one node. */
interface Attempt {
  readonly node: number;
  readonly traits: readonly Trait[];
  readonly isCulprit: boolean;
  readonly callerAttempt: number;
  runs: number;
  /** When the engine begins to run it, which is also when it begins to respond. */
  beginsAt: Instant;
  endsAt: Instant;
}

interface Engine {
  readonly attempts: Set<Attempt>;
  startCount: number;
  upAt: Instant;
}

/** What a history draws. */
interface Conditions {
  readonly random: Random;
  readonly culpritChance: number;
  readonly harmlessChance: number;
  /** Longest time that an attempt waits in the queue of its engine. */
  readonly queueMilliseconds: Milliseconds;
  readonly runMilliseconds: Milliseconds;
}

interface Outcome {
  crashes: number;
  lateSends: number;
  harmless: number;
  harmlessRefusals: number;
}

describe('content that crashes each engine and comes again, in random histories', () => {
  it('is sent at most three times later than three seconds after the third crash, while harmless requests wait in the queues of its engines', async () => {
    let harmless = 0;
    let refusals = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const random = createSeededRandom(seed);
      const outcome = await play({
        random,
        culpritChance: 0.01 + 0.03 * random(),
        harmlessChance: 0.1 + 0.5 * random(),
        queueMilliseconds: 50 + 1_500 * random(),
        runMilliseconds: 200 + 1_500 * random(),
      });
      const {lateSends} = outcome;
      expect([seed, lateSends <= ALLOWED_LATE_SENDS]).toEqual([seed, true]);
      harmless += outcome.harmless;
      refusals += outcome.harmlessRefusals;
    }
    expect(refusals).toBeLessThanOrEqual(ALLOWED_REFUSED_SHARE * harmless);
  });
});

/** The culprit arrives among harmless requests, which are sent again when their engine crashes. */
async function play(conditions: Conditions): Promise<Outcome> {
  const {random} = conditions;
  const cluster = new QuarantineCluster(NODE_COUNT);
  const {clock, nodes} = cluster;
  const engines = Array.from({length: ENGINE_COUNT}, (): Engine => ({
    attempts: new Set(),
    startCount: 1,
    upAt: clock.now(),
  }));
  const outcome: Outcome = {
    crashes: 0,
    lateSends: 0,
    harmless: 0,
    harmlessRefusals: 0,
  };
  let contents = 0;
  let thirdCrashAt: Instant | undefined;

  const harmlessTraits = (): Trait[] => {
    contents += 1;
    return [
      as<Trait>(`content-${contents}`),
      as<Trait>(`part:first-${randomBelow(random, 4)}`),
      as<Trait>(`part:second-${randomBelow(random, 40)}`),
    ];
  };

  const send = async (attempt: Attempt): Promise<void> => {
    const {refusal} = await nodes[attempt.node]!.check(attempt.traits, id);
    if (refusal !== undefined) {
      if (!attempt.isCulprit) outcome.harmlessRefusals += 1;
      return;
    }
    const now = clock.now();
    const up = engines.filter(({upAt}) => upAt <= now);
    const engine = up[randomBelow(random, up.length)];
    if (engine === undefined) return;
    const isLate =
      thirdCrashAt !== undefined &&
      now > after(thirdCrashAt, STABLE_MILLISECONDS);
    if (attempt.isCulprit && isLate) outcome.lateSends += 1;
    attempt.runs += 1;
    attempt.beginsAt = after(now, random() * conditions.queueMilliseconds);
    attempt.endsAt = after(
      attempt.beginsAt,
      attempt.isCulprit
        ? CRASH_DELAY_MILLISECONDS
        : random() * conditions.runMilliseconds,
    );
    engine.attempts.add(attempt);
  };

  const arrive = (
    traits: readonly Trait[],
    isCulprit: boolean,
    callerAttempt: number,
  ): Promise<void> => {
    const now = clock.now();
    if (!isCulprit) outcome.harmless += 1;
    return send({
      node: randomBelow(random, NODE_COUNT),
      traits,
      isCulprit,
      callerAttempt,
      runs: 0,
      beginsAt: now,
      endsAt: now,
    });
  };

  const crash = async (engine: Engine, index: number): Promise<void> => {
    const now = clock.now();
    outcome.crashes += 1;
    if (outcome.crashes === 3) thirdCrashAt = now;
    const name = `e${index}@${engine.startCount}`;
    const broken = [...engine.attempts];
    engine.attempts.clear();
    engine.startCount += 1;
    engine.upAt = after(now, RESTART_MILLISECONDS);
    for (const {node, traits, beginsAt} of broken)
      cluster.crash(nodes[node]!, traits, name, beginsAt <= now);
    for (const attempt of broken) {
      if (attempt.runs < MAXIMUM_RUNS) await send(attempt);
      else if (attempt.callerAttempt < CALLER_ATTEMPTS)
        await arrive(
          attempt.traits,
          attempt.isCulprit,
          attempt.callerAttempt + 1,
        );
    }
  };

  for (let step = 0; step < STEPS; step += 1) {
    const now = clock.now();
    for (const [index, engine] of engines.entries()) {
      for (const attempt of [...engine.attempts]) {
        if (attempt.endsAt > now || !engine.attempts.has(attempt)) continue;
        if (attempt.isCulprit) {
          await crash(engine, index);
          continue;
        }
        engine.attempts.delete(attempt);
        nodes[attempt.node]!.recordServed(attempt.traits);
      }
    }
    if (random() < conditions.culpritChance)
      await arrive(
        [CULPRIT, as<Trait>('part:first-0'), as<Trait>('part:second-0')],
        true,
        1,
      );
    if (random() < conditions.harmlessChance)
      await arrive(harmlessTraits(), false, 1);
    await clock.advance(STEP_MILLISECONDS);
  }
  return outcome;
}
