/** Runs the steps of a scenario and checks invariants throughout and expectations at the end. */

import type {HostId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Patch} from '@siskinmux/declarations';
import type {CallerOutcome, OutcomeCounts} from './caller_request.js';
import {createOutcomeCounts, finalOutcome} from './caller_request.js';
import {InvariantChecker} from './invariant_checker.js';
import type {Expectations, Scenario, Step} from './scenario_file.js';
import {ScenarioSimulation} from './scenario_simulation.js';
import {PLATFORM_ADDRESS} from './simulated_node.js';

/** Interval between two checks of the invariants. */
const CHECK_INTERVAL_MILLISECONDS = 50;

/** Result of a scenario. */
export interface ScenarioResult {
  /** Violated invariants and unmet expectations; empty when the scenario passes. */
  readonly failures: readonly string[];
  /** Number of requests by outcome. */
  readonly outcomeCounts: Readonly<Record<CallerOutcome, number>>;
  readonly simulation: ScenarioSimulation;
}

/** Runs a scenario in virtual time until its end. */
export async function runScenario(scenario: Scenario): Promise<ScenarioResult> {
  const simulation = ScenarioSimulation.create(scenario);
  await simulation.deploy();
  const checker = InvariantChecker.create(simulation);
  const steps = [...scenario.steps].sort((left, right) => left.at - right.at);
  const stepsStartedAt = simulation.elapsedMilliseconds;
  for (let at = 0; at <= scenario.end; at += CHECK_INTERVAL_MILLISECONDS) {
    while (steps[0] !== undefined && steps[0].at <= at) {
      const step = steps.shift();
      if (step !== undefined) await runStep(simulation, step, stepsStartedAt);
      checker.checkCurrentState();
    }
    await simulation.clock.advanceTo(simulation.toInstant(stepsStartedAt + at));
    checker.checkCurrentState();
  }
  checker.checkFinalState();
  const outcomeCounts = countOutcomes(simulation);
  const unmet = findUnmetExpectations(
    scenario.expect,
    simulation,
    outcomeCounts,
  );
  return {
    failures: [...checker.violations, ...unmet],
    outcomeCounts,
    simulation,
  };
}

async function runStep(
  simulation: ScenarioSimulation,
  step: Step,
  stepsStartedAt: number,
): Promise<void> {
  switch (step.do) {
    case 'text':
      simulation.sendText({
        ...step,
        timeoutMilliseconds: step.timeout_milliseconds,
        canResend: step.resend,
      });
      break;
    case 'call':
      simulation.sendCall({
        ...step,
        timeoutMilliseconds: step.timeout_milliseconds,
        canResend: step.resend,
      });
      break;
    case 'load':
      scheduleLoad(simulation, step, stepsStartedAt);
      break;
    case 'kill':
      simulation.markNodeInterrupted(step.node);
      simulation.node(step.node).kill();
      break;
    case 'pause':
      simulation.markNodeInterrupted(step.node);
      simulation.node(step.node).gate.pause();
      break;
    case 'resume':
      simulation.node(step.node).gate.resume();
      break;
    case 'stop':
      simulation.stopNode(step.node);
      break;
    case 'start':
      await simulation.startNode(step.node, step.failure_domain);
      break;
    default:
      applyFault(simulation, step);
  }
}

type FaultStep = Exclude<
  Step,
  {
    do:
      'text' | 'call' | 'load' | 'kill' | 'pause' | 'resume' | 'stop' | 'start';
  }
>;

function applyFault(simulation: ScenarioSimulation, step: FaultStep): void {
  switch (step.do) {
    case 'cut':
      cutLinks(simulation, step.from, step.to);
      break;
    case 'heal':
      simulation.network.heal();
      simulation.isPartitioned = false;
      break;
    case 'platform':
      Object.assign(simulation.objects.faults, {
        isDown: step.is_down,
        delayMilliseconds: step.delay_milliseconds,
        lostAnswerShare: step.lost_answer_share,
        lostWriteShare: step.lost_write_share,
      });
      simulation.hosts.isDown = step.is_down;
      break;
    case 'platform_copy':
      simulation.copyObjects(step.copy);
      break;
    case 'platform_return':
      simulation.returnObjects(step.copy, step.keeps_counting);
      break;
    case 'engine':
      applyEngineAction(simulation, step.engine, step.action);
      break;
    case 'service':
      Object.assign(simulation.services.get(step.endpoint)?.faults ?? {}, {
        isDead: step.is_dead,
        delayMilliseconds: step.delay_milliseconds,
        answersToLose: step.answers_to_lose,
      });
      break;
    case 'host':
      setHostState(simulation, step.host, step.state);
      break;
    case 'weight_store':
      simulation.weightStore.rate = step.rate;
      break;
    case 'patch':
      submitPatch(simulation, step);
  }
}

function cutLinks(
  simulation: ScenarioSimulation,
  from: readonly string[],
  to: readonly string[],
): void {
  const addresses = (names: readonly string[]): string[] =>
    names.map(name =>
      name === PLATFORM_ADDRESS ? name : simulation.node(name).address,
    );
  for (const left of addresses(from)) {
    for (const right of addresses(to)) simulation.network.cut(left, right);
  }
  simulation.isPartitioned = true;
}

function applyEngineAction(
  simulation: ScenarioSimulation,
  name: string,
  action: 'die' | 'restart' | 'leave' | 'reclaim',
): void {
  const engine = simulation.engines.get(name);
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
      const endpoint = simulation.scenario.declarations.endpoints[name];
      if (endpoint !== undefined)
        setHostState(simulation, endpoint.host, 'gone');
    }
  }
}

function setHostState(
  simulation: ScenarioSimulation,
  host: string,
  state: 'live' | 'leaving' | 'gone',
): void {
  const id = as<HostId>(host);
  if (state === 'gone') {
    simulation.hosts.remove(id);
    return;
  }
  const endpoint = Object.values(
    simulation.scenario.declarations.endpoints,
  ).find(declared => declared.host === host);
  simulation.hosts.set({
    id,
    state,
    failureDomain: as(endpoint?.failure_domain ?? ''),
  });
}

function submitPatch(
  simulation: ScenarioSimulation,
  step: Extract<Step, {do: 'patch'}>,
): void {
  const readyNode = [...simulation.nodes.values()].find(node => node.isReady);
  const node = step.node === undefined ? readyNode : simulation.node(step.node);
  if (node === undefined) return;
  const {number, declarations} = node.configuration.state.current;
  const section: Record<string, unknown> = declarations[step.section];
  const entry = section[step.entry] as Record<string, unknown> | undefined;
  const patch: Patch = {
    id: step.id ?? `patch-${simulation.patches.length}-${step.at}`,
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
  void simulation.submitPatch(node, patch);
}

/** Schedules the requests of a load at random intervals, as a Poisson process. */
function scheduleLoad(
  simulation: ScenarioSimulation,
  step: Extract<Step, {do: 'load'}>,
  stepsStartedAt: number,
): void {
  let at = step.at;
  let serial = 0;
  for (;;) {
    at += (-Math.log(1 - simulation.random()) * 1_000) / step.per_second;
    if (at >= step.until) return;
    serial += 1;
    const key = `load-${step.at}-${serial}`;
    simulation.clock.schedule(
      simulation.toInstant(stepsStartedAt + Math.floor(at)),
      () => sendLoadRequest(simulation, step, key),
    );
  }
}

function sendLoadRequest(
  simulation: ScenarioSimulation,
  step: Extract<Step, {do: 'load'}>,
  key: string,
): void {
  const common = {
    timeoutMilliseconds: step.timeout_milliseconds,
    canResend: true,
  };
  if (step.model !== undefined) {
    simulation.sendText({...common, model: step.model, tokens: step.tokens});
    return;
  }
  const isRepeatable = step.method === 'GET';
  simulation.sendCall({
    ...common,
    service: step.service ?? '',
    path: step.path ?? '/',
    method: step.method,
    key: isRepeatable ? undefined : key,
    body: isRepeatable ? '' : JSON.stringify({key}),
  });
}

function countOutcomes(simulation: ScenarioSimulation): OutcomeCounts {
  const outcomeCounts = createOutcomeCounts();
  for (const request of simulation.requests)
    outcomeCounts[finalOutcome(request)] += 1;
  return outcomeCounts;
}

function findUnmetExpectations(
  expected: Expectations,
  simulation: ScenarioSimulation,
  outcomeCounts: Readonly<Record<CallerOutcome, number>>,
): string[] {
  const failures: string[] = [];
  const expectThat = (isMet: boolean, expectation: string): void => {
    if (!isMet) failures.push(`expected ${expectation}`);
  };
  const total = Math.max(1, simulation.requests.length);
  const share = outcomeCounts.answered / total;
  const {patches} = simulation;
  // The first patch is the one that submits the declarations of the scenario.
  const accepted = patches.filter(outcome => outcome === 'accepted').length - 1;
  const refused = patches.filter(outcome => outcome === 'conflict').length;
  expectThat(
    share >= expected.answered_share,
    `at least a share of ${expected.answered_share} of requests answered, found ${share} of ${total}`,
  );
  expectThat(
    outcomeCounts.unknown <= expected.unknown_at_most,
    `at most ${expected.unknown_at_most} requests with an unknown outcome, found ${outcomeCounts.unknown}`,
  );
  expectThat(
    outcomeCounts.refused <= (expected.refused_at_most ?? Infinity),
    `at most ${expected.refused_at_most} refused requests, found ${outcomeCounts.refused}`,
  );
  expectThat(
    outcomeCounts.refused >= expected.refused_at_least,
    `at least ${expected.refused_at_least} refused requests, found ${outcomeCounts.refused}`,
  );
  expectThat(
    outcomeCounts.broken <= expected.broken_at_most,
    `at most ${expected.broken_at_most} requests with a broken connection, found ${outcomeCounts.broken}`,
  );
  expectThat(
    accepted === (expected.patches_accepted ?? accepted),
    `${expected.patches_accepted} patches accepted, found ${accepted}`,
  );
  expectThat(
    refused === (expected.patches_refused ?? refused),
    `${expected.patches_refused} patches refused as conflicts, found ${refused}`,
  );
  expectThat(
    simulation.engineCrashCount <= expected.engines_crashed_at_most,
    `at most ${expected.engines_crashed_at_most} engines crashed, found ${simulation.engineCrashCount}`,
  );
  checkEndState(expected, simulation, expectThat);
  return failures;
}

function checkEndState(
  expected: Expectations,
  simulation: ScenarioSimulation,
  expectThat: (isMet: boolean, expectation: string) => void,
): void {
  const models = [...simulation.engines.values()].flatMap(
    engine => engine.observe().models,
  );
  for (const [model, count] of Object.entries(expected.awake ?? {})) {
    const found = models.filter(loaded => loaded === model).length;
    expectThat(
      found === count,
      `${count} loaded replicas of ${model} at the end, found ${found}`,
    );
  }
  const loads = [...simulation.engines.values()].reduce(
    (sum, engine) => sum + engine.loadCount,
    0,
  );
  expectThat(
    loads <= (expected.loads_at_most ?? Infinity),
    `at most ${expected.loads_at_most} model loads, found ${loads}`,
  );
  if (expected.configuration === undefined) return;
  for (const [name, node] of simulation.nodes) {
    if (!node.isReady) continue;
    const number = node.configurationNumber;
    expectThat(
      number === expected.configuration,
      `configuration ${expected.configuration} active at ${name}, found ${number}`,
    );
  }
}
