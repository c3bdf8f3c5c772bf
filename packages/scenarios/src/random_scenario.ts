/** Random fault schedules over a deployment, for property tests. */

import fc from 'fast-check';
import type {Scenario} from './scenario_file.js';
import {checkScenario} from './scenario_file.js';

/** When load and faults end; the rest of the time is for recovery. */
const FAULTS_END_MILLISECONDS = 15_000;
const END_MILLISECONDS = 45_000;

const MOST_FAULTS = 6;
const MOST_DUPLICATES = 6;

type RawStep = Record<string, unknown>;

const instant = fc.integer({min: 0, max: FAULTS_END_MILLISECONDS});
const span = fc.integer({min: 50, max: 9_000});

/** A fault at one instant and its end at another. */
function during(
  begin: (at: number) => RawStep,
  end: (at: number) => RawStep,
): fc.Arbitrary<RawStep[]> {
  return fc
    .tuple(instant, span)
    .map(([at, length]) => [begin(at), end(at + length)]);
}

function faults(scenario: Scenario): fc.Arbitrary<RawStep[]> {
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
  const onNode = (begin: string): fc.Arbitrary<RawStep[]> =>
    node.chain(({name, failure_domain}) =>
      during(
        at => ({at, do: begin, node: name}),
        at => ({at, do: 'start', node: name, failure_domain}),
      ),
    );
  return fc.oneof(
    onNode('kill'),
    onNode('stop'),
    node.chain(({name}) =>
      during(
        at => ({at, do: 'pause', node: name}),
        at => ({at, do: 'resume', node: name}),
      ),
    ),
    node.chain(({name}) =>
      during(
        at => ({at, do: 'cut', from: [name], to: othersThan(scenario, name)}),
        at => ({at, do: 'heal'}),
      ),
    ),
    platformFault({is_down: true}),
    platformFault({lost_answer_share: 0.4, lost_write_share: 0.2}),
    platformFault({delay_milliseconds: 800}),
    engine.chain(name =>
      during(
        at => ({at, do: 'engine', engine: name, action: 'die'}),
        at => ({at, do: 'engine', engine: name, action: 'restart'}),
      ),
    ),
    engine.chain(name =>
      during(
        at => ({at, do: 'engine', engine: name, action: 'leave'}),
        at => ({at, do: 'engine', engine: name, action: 'restart'}),
      ),
    ),
    service.chain(name =>
      during(
        at => ({at, do: 'service', endpoint: name, answers_to_lose: 3}),
        at => ({at, do: 'service', endpoint: name}),
      ),
    ),
    service.chain(name =>
      during(
        at => ({at, do: 'service', endpoint: name, is_dead: true}),
        at => ({at, do: 'service', endpoint: name}),
      ),
    ),
    fc.tuple(instant, fc.integer({min: 0, max: 1})).map(([at, limit]) => [
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

function platformFault(fault: RawStep): fc.Arbitrary<RawStep[]> {
  return during(
    at => ({at, do: 'platform', ...fault}),
    at => ({at, do: 'platform'}),
  );
}

function othersThan(scenario: Scenario, name: string): string[] {
  return scenario.nodes.map(node => node.name).filter(other => other !== name);
}

/** The same key sent through two nodes at about the same time. */
function duplicates(scenario: Scenario): fc.Arbitrary<RawStep[]> {
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
    .tuple(instant, fc.integer({min: 0, max: 3_000}), node, node, fc.nat())
    .map(([at, later, first, second, serial]) => {
      const key = `twice-${serial}`;
      return [call(at, key, first), call(at + later, key, second)];
    });
}

const LOADS: readonly RawStep[] = [
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

/** Scenarios over `base` with random faults and duplicated calls. */
export function randomScenario(base: Scenario): fc.Arbitrary<Scenario> {
  return fc
    .record({
      seed: fc.integer({min: 1, max: 1_000_000}),
      faults: fc.array(faults(base), {minLength: 1, maxLength: MOST_FAULTS}),
      duplicates: fc.array(duplicates(base), {maxLength: MOST_DUPLICATES}),
    })
    .map(({seed, faults: chosen, duplicates: doubled}) =>
      checkScenario({
        ...base,
        title: `random schedule ${seed}`,
        seed,
        end: END_MILLISECONDS,
        steps: [...LOADS, ...chosen.flat(), ...doubled.flat()],
        expect: {unknown_at_most: 1_000_000, broken_at_most: 1_000_000},
      }),
    );
}
