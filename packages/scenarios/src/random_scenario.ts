/** Random fault schedules on a deployment, for property tests. */

import fc from 'fast-check';
import type {Scenario} from './scenario_file.js';
import {validateScenario} from './scenario_file.js';

/** When load ends and no further fault begins; afterwards the system recovers. */
const FAULTS_END_MILLISECONDS = 15_000;
const END_MILLISECONDS = 45_000;

const MAXIMUM_FAULTS = 6;
const MAXIMUM_DUPLICATES = 6;
const MAXIMUM_RETURNS = 3;
const OLDEST_COPY_MILLISECONDS = 6_000;
const LONGEST_OUTAGE_MILLISECONDS = 3_000;

type RawStep = Record<string, unknown>;

const instantMilliseconds = fc.integer({min: 0, max: FAULTS_END_MILLISECONDS});
const durationMilliseconds = fc.integer({min: 50, max: 9_000});

/** Steps that begin a fault and end it after a random duration. */
function temporaryFault(
  begin: (at: number) => RawStep,
  end: (at: number) => RawStep,
): fc.Arbitrary<RawStep[]> {
  return fc
    .tuple(instantMilliseconds, durationMilliseconds)
    .map(([at, duration]) => [begin(at), end(at + duration)]);
}

function randomFault(scenario: Scenario): fc.Arbitrary<RawStep[]> {
  const node = fc.constantFrom(...scenario.nodes);
  const {endpoints} = scenario.declarations;
  const namesOf = (kind: string): fc.Arbitrary<string> =>
    fc.constantFrom(
      ...Object.entries(endpoints)
        .filter(([, endpoint]) => endpoint.kind === kind)
        .map(([name]) => name),
    );
  const engine = namesOf('engine');
  const service = namesOf('service');
  const nodeFault = (action: string): fc.Arbitrary<RawStep[]> =>
    node.chain(({name, failure_domain}) =>
      temporaryFault(
        at => ({at, do: action, node: name}),
        at => ({at, do: 'start', node: name, failure_domain}),
      ),
    );
  return fc.oneof(
    nodeFault('kill'),
    nodeFault('stop'),
    node.chain(({name}) =>
      temporaryFault(
        at => ({at, do: 'pause', node: name}),
        at => ({at, do: 'resume', node: name}),
      ),
    ),
    node.chain(({name}) =>
      temporaryFault(
        at => ({at, do: 'cut', from: [name], to: otherNodes(scenario, name)}),
        at => ({at, do: 'heal'}),
      ),
    ),
    platformFault({is_down: true}),
    platformFault({lost_answer_share: 0.4, lost_write_share: 0.2}),
    platformFault({delay_milliseconds: 800}),
    engine.chain(name =>
      temporaryFault(
        at => ({at, do: 'engine', engine: name, action: 'die'}),
        at => ({at, do: 'engine', engine: name, action: 'restart'}),
      ),
    ),
    engine.chain(name =>
      temporaryFault(
        at => ({at, do: 'engine', engine: name, action: 'leave'}),
        at => ({at, do: 'engine', engine: name, action: 'restart'}),
      ),
    ),
    service.chain(name =>
      temporaryFault(
        at => ({at, do: 'service', endpoint: name, answers_to_lose: 3}),
        at => ({at, do: 'service', endpoint: name}),
      ),
    ),
    service.chain(name =>
      temporaryFault(
        at => ({at, do: 'service', endpoint: name, is_dead: true}),
        at => ({at, do: 'service', endpoint: name}),
      ),
    ),
    fc
      .tuple(instantMilliseconds, fc.integer({min: 0, max: 1}))
      .map(([at, limit]) => [
        {
          at,
          do: 'patch',
          section: 'models',
          entry: 'offers',
          set: {replicas: {a: limit, b: 1}},
        },
      ]),
  );
}

/** The platform is down for a while, and its object service returns from an older copy. */
function randomReturn(): fc.Arbitrary<RawStep[]> {
  return fc
    .record({
      at: instantMilliseconds,
      age: fc.integer({min: 200, max: OLDEST_COPY_MILLISECONDS}),
      outage: fc.integer({min: 50, max: LONGEST_OUTAGE_MILLISECONDS}),
      keepsCounting: fc.boolean(),
      serial: fc.nat(),
    })
    .map(({at, age, outage, keepsCounting, serial}) => {
      const copy = `copy-${serial}`;
      return [
        {at, do: 'platform_copy', copy},
        {at: at + age, do: 'platform', is_down: true},
        {
          at: at + age + outage,
          do: 'platform_return',
          copy,
          keeps_counting: keepsCounting,
        },
      ];
    });
}

function platformFault(fault: RawStep): fc.Arbitrary<RawStep[]> {
  return temporaryFault(
    at => ({at, do: 'platform', ...fault}),
    at => ({at, do: 'platform'}),
  );
}

function otherNodes(scenario: Scenario, name: string): string[] {
  return scenario.nodes.map(node => node.name).filter(other => other !== name);
}

/** Two calls with the same idempotency key, up to 3 seconds apart, through random nodes. */
function randomDuplicateCalls(scenario: Scenario): fc.Arbitrary<RawStep[]> {
  const node = fc.constantFrom(...scenario.nodes.map(({name}) => name));
  const call = (at: number, key: string, name: string): RawStep => ({
    at,
    do: 'call',
    service: 'coupons',
    path: '/issue',
    key,
    body: JSON.stringify({key}),
    node: name,
    timeout_milliseconds: 6_000,
  });
  return fc
    .tuple(
      instantMilliseconds,
      fc.integer({min: 0, max: 3_000}),
      node,
      node,
      fc.nat(),
    )
    .map(([at, delay, first, second, serial]) => {
      const key = `twice-${serial}`;
      return [call(at, key, first), call(at + delay, key, second)];
    });
}

const LOAD_STEPS: readonly RawStep[] = [
  {
    at: 0,
    do: 'load',
    until: FAULTS_END_MILLISECONDS,
    per_second: 8,
    service: 'coupons',
    path: '/issue',
    timeout_milliseconds: 5_000,
  },
  {
    at: 0,
    do: 'load',
    until: FAULTS_END_MILLISECONDS,
    per_second: 3,
    model: 'offers',
    tokens: 6,
  },
  {
    at: 2_000,
    do: 'load',
    until: FAULTS_END_MILLISECONDS,
    per_second: 0.5,
    model: 'tags',
    tokens: 6,
  },
];

/**
 * Scenarios with the deployment of `base`, a fixed load, random faults and duplicate calls, and
 * returns of the object service from older copies where these are asked for.
 */
export function randomScenario(
  base: Scenario,
  hasReturns = false,
): fc.Arbitrary<Scenario> {
  return fc
    .record({
      ...(hasReturns && {
        returns: fc.array(randomReturn(), {
          minLength: 1,
          maxLength: MAXIMUM_RETURNS,
        }),
      }),
      seed: fc.integer({min: 1, max: 1_000_000}),
      faults: fc.array(randomFault(base), {
        minLength: 1,
        maxLength: MAXIMUM_FAULTS,
      }),
      duplicateCalls: fc.array(randomDuplicateCalls(base), {
        maxLength: MAXIMUM_DUPLICATES,
      }),
    })
    .map(({seed, faults: faultSteps, duplicateCalls, returns}) =>
      validateScenario({
        ...base,
        title: `random schedule ${seed}`,
        seed,
        end: END_MILLISECONDS,
        steps: [
          ...LOAD_STEPS,
          ...faultSteps.flat(),
          ...duplicateCalls.flat(),
          ...(returns ?? []).flat(),
        ],
        expect: {unknown_at_most: 1_000_000, broken_at_most: 1_000_000},
      }),
    );
}
