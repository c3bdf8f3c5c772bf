/** Runs a scenario: steps at their instants, invariants in between, expectations at the end. */

import type {HostId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Patch} from '@siskinmux/declarations';
import type {CallerEnd, EndCounts} from './caller_record.js';
import {finalEnd, noEnds} from './caller_record.js';
import {InvariantChecker} from './invariants.js';
import type {Expectations, Scenario, Step} from './scenario_file.js';
import {ScenarioSimulation} from './scenario_world.js';
import {PLATFORM_ADDRESS} from './simulated_node.js';

/** Pause between two checks of the invariants. */
const CHECK_MILLISECONDS = 50;

/** What a scenario came to. */
export interface ScenarioResult {
  /** Broken invariants and expectations; empty when all holds. */
  readonly failures: readonly string[];
  /** How many requests ended how. */
  readonly outcomeCounts: Readonly<Record<CallerEnd, number>>;
  readonly world: ScenarioSimulation;
}

/** Runs a scenario from begin to end. */
export async function runScenario(scenario: Scenario): Promise<ScenarioResult> {
  const world = ScenarioSimulation.create(scenario);
  await world.deploy();
  const checker = InvariantChecker.create(world);
  const steps = [...scenario.steps].sort((left, right) => left.at - right.at);
  const begunAt = world.elapsed;
  for (let at = 0; at <= scenario.end; at += CHECK_MILLISECONDS) {
    while (steps[0] !== undefined && steps[0].at <= at) {
      const step = steps.shift();
      if (step !== undefined) await act(world, step, begunAt);
      checker.checkNow();
    }
    await world.clock.advanceTo(world.toInstant(begunAt + at));
    checker.checkNow();
  }
  checker.checkEnd();
  const ends = countEnds(world);
  const unmet = judge(scenario.expect, world, ends);
  return {failures: [...checker.violations, ...unmet], outcomeCounts: ends, world};
}

async function act(
  world: ScenarioSimulation,
  step: Step,
  begunAt: number,
): Promise<void> {
  switch (step.do) {
    case 'text':
      world.sendText({
        ...step,
        timeoutMilliseconds: step.timeout_milliseconds,
        isResent: step.resend,
      });
      break;
    case 'call':
      world.sendCall({
        ...step,
        timeoutMilliseconds: step.timeout_milliseconds,
        isResent: step.resend,
      });
      break;
    case 'load':
      scheduleLoad(world, step, begunAt);
      break;
    case 'kill':
      world.markFaulted(step.node);
      world.node(step.node).kill();
      break;
    case 'pause':
      world.markFaulted(step.node);
      world.node(step.node).gate.pause();
      break;
    case 'resume':
      world.node(step.node).gate.resume();
      break;
    case 'stop':
      world.stopNode(step.node);
      break;
    case 'start':
      await world.startNode(step.node, step.failure_domain);
      break;
    default:
      disturb(world, step);
  }
}

type Disturbance = Exclude<
  Step,
  {
    do:
      'text' | 'call' | 'load' | 'kill' | 'pause' | 'resume' | 'stop' | 'start';
  }
>;

function disturb(world: ScenarioSimulation, step: Disturbance): void {
  switch (step.do) {
    case 'cut':
      cut(world, step.from, step.to);
      break;
    case 'heal':
      world.network.heal();
      world.isCut = false;
      break;
    case 'platform':
      Object.assign(world.objects.faults, {
        isDown: step.is_down,
        delayMilliseconds: step.delay_milliseconds,
        lostAnswerShare: step.lost_answer_share,
        lostWriteShare: step.lost_write_share,
      });
      world.hosts.isDown = step.is_down;
      break;
    case 'engine':
      actOnEngine(world, step.engine, step.action);
      break;
    case 'service':
      Object.assign(world.services.get(step.endpoint)?.faults ?? {}, {
        isDead: step.is_dead,
        delayMilliseconds: step.delay_milliseconds,
        answersToLose: step.answers_to_lose,
      });
      break;
    case 'host':
      changeHost(world, step.host, step.state);
      break;
    case 'weight_store':
      world.weightStore.rate = step.rate;
      break;
    case 'patch':
      submitPatch(world, step);
  }
}

function cut(
  world: ScenarioSimulation,
  from: readonly string[],
  to: readonly string[],
): void {
  const addresses = (names: readonly string[]): string[] =>
    names.map(name =>
      name === PLATFORM_ADDRESS ? name : world.node(name).address,
    );
  for (const left of addresses(from)) {
    for (const right of addresses(to)) world.network.cut(left, right);
  }
  world.isCut = true;
}

function actOnEngine(
  world: ScenarioSimulation,
  name: string,
  action: 'die' | 'restart' | 'leave' | 'reclaim',
): void {
  const engine = world.engines.get(name);
  switch (action) {
    case 'die':
      engine?.die();
      break;
    case 'restart':
      engine?.restart();
      break;
    case 'leave':
      engine?.leave();
      break;
    case 'reclaim': {
      engine?.die();
      const endpoint = world.scenario.declarations.endpoints[name];
      if (endpoint !== undefined) changeHost(world, endpoint.host, 'gone');
    }
  }
}

function changeHost(
  world: ScenarioSimulation,
  host: string,
  state: 'live' | 'leaving' | 'gone',
): void {
  const id = as<HostId>(host);
  if (state === 'gone') {
    world.hosts.remove(id);
    return;
  }
  const endpoint = Object.values(world.scenario.declarations.endpoints).find(
    declared => declared.host === host,
  );
  world.hosts.set({
    id,
    state,
    failureDomain: as(endpoint?.failure_domain ?? ''),
  });
}

function submitPatch(
  world: ScenarioSimulation,
  step: Extract<Step, {do: 'patch'}>,
): void {
  const ready = [...world.nodes.values()].find(node => node.isReady);
  const node = step.node === undefined ? ready : world.node(step.node);
  if (node === undefined) return;
  const {number, declarations} = node.configuration.state.current;
  const section: Record<string, unknown> = declarations[step.section];
  const entry = section[step.entry] as Record<string, unknown> | undefined;
  const patch: Patch = {
    id: step.id ?? `patch-${world.patches.length}-${step.at}`,
    based_on: step.is_stale ? number - 1 : number,
    author: 'scenario',
    reason: 'step',
    changes: [
      {
        section: step.section,
        name: step.entry,
        after: {...entry, ...step.set},
      },
    ],
  };
  void world.submit(node, patch);
}

/** Spreads a load's requests over its time, by the scenario's own chance. */
function scheduleLoad(
  world: ScenarioSimulation,
  step: Extract<Step, {do: 'load'}>,
  begunAt: number,
): void {
  let at = step.at;
  let serial = 0;
  for (;;) {
    at += (-Math.log(1 - world.random()) * 1_000) / step.per_second;
    if (at >= step.until) return;
    serial += 1;
    const key = `load-${step.at}-${serial}`;
    world.clock.schedule(world.toInstant(begunAt + Math.floor(at)), () =>
      sendFromLoad(world, step, key),
    );
  }
}

function sendFromLoad(
  world: ScenarioSimulation,
  step: Extract<Step, {do: 'load'}>,
  key: string,
): void {
  const common = {timeoutMilliseconds: step.timeout_milliseconds, isResent: true};
  if (step.model !== undefined) {
    world.sendText({...common, model: step.model, tokens: step.tokens});
    return;
  }
  const isRepeatable = step.method === 'GET';
  world.sendCall({
    ...common,
    service: step.service ?? '',
    path: step.path ?? '/',
    method: step.method,
    key: isRepeatable ? undefined : key,
    body: isRepeatable ? '' : JSON.stringify({key}),
  });
}

function countEnds(world: ScenarioSimulation): EndCounts {
  const ends = noEnds();
  for (const record of world.requests) ends[finalEnd(record)] += 1;
  return ends;
}

function judge(
  expected: Expectations,
  world: ScenarioSimulation,
  ends: Readonly<Record<CallerEnd, number>>,
): string[] {
  const failures: string[] = [];
  const expectThat = (holds: boolean, what: string): void => {
    if (!holds) failures.push(`expected ${what}`);
  };
  const total = Math.max(1, world.requests.length);
  const share = ends.answered / total;
  const {patches} = world;
  const accepted = patches.filter(end => end === 'accepted').length - 1;
  const refused = patches.filter(end => end === 'conflict').length;
  expectThat(
    share >= expected.answered_share,
    `a share of ${expected.answered_share} answered, found ${share} of ${total}`,
  );
  expectThat(
    ends.unknown <= expected.unknown_at_most,
    `at most ${expected.unknown_at_most} unknown, found ${ends.unknown}`,
  );
  expectThat(
    ends.refused <= (expected.refused_at_most ?? Infinity),
    `at most ${expected.refused_at_most} refused, found ${ends.refused}`,
  );
  expectThat(
    ends.refused >= expected.refused_at_least,
    `at least ${expected.refused_at_least} refused, found ${ends.refused}`,
  );
  expectThat(
    ends.broken <= expected.broken_at_most,
    `at most ${expected.broken_at_most} broken, found ${ends.broken}`,
  );
  expectThat(
    accepted === (expected.patches_accepted ?? accepted),
    `${expected.patches_accepted} patches accepted, found ${accepted}`,
  );
  expectThat(
    refused === (expected.patches_refused ?? refused),
    `${expected.patches_refused} patches refused, found ${refused}`,
  );
  expectThat(
    world.crashes <= expected.engines_crashed_at_most,
    `at most ${expected.engines_crashed_at_most} engines crashed, found ${world.crashes}`,
  );
  judgeEndState(expected, world, expectThat);
  return failures;
}

function judgeEndState(
  expected: Expectations,
  world: ScenarioSimulation,
  expectThat: (holds: boolean, what: string) => void,
): void {
  const models = [...world.engines.values()].flatMap(
    engine => engine.observe().models,
  );
  for (const [model, count] of Object.entries(expected.awake ?? {})) {
    const found = models.filter(held => held === model).length;
    expectThat(
      found === count,
      `${count} replicas of ${model}, found ${found}`,
    );
  }
  const loads = [...world.engines.values()].reduce(
    (sum, engine) => sum + engine.loadCount,
    0,
  );
  expectThat(
    loads <= (expected.loads_at_most ?? Infinity),
    `at most ${expected.loads_at_most} loads, found ${loads}`,
  );
  if (expected.configuration === undefined) return;
  for (const [name, node] of world.nodes) {
    if (!node.isReady) continue;
    const number = node.configurationNumber;
    expectThat(
      number === expected.configuration,
      `configuration ${expected.configuration} at ${name}, found ${number}`,
    );
  }
}
