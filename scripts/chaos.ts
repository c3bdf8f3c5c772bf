/**
 * Separate processes on loopback under load: one node killed, one frozen, one stopped
 * gracefully, the platform cut off. Checks the invariants from outside.
 */

import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {systemClock, systemRandom} from '@siskinmux/adapters';
import {diffDeclarations, emptyDeclarations} from '@siskinmux/declarations';
import {DemoCaller, countOutcomes, startLoad} from '@siskinmux/demo';
import {readDeclarationFolder} from '../packages/cli/src/declaration_folder.js';

const DECLARATIONS = 'examples/brindlecote';
const PLATFORM = 'http://127.0.0.1:17100';
const NODES = [1, 2, 3];
const CALLERS = 24;
const START_MILLISECONDS = 20_000;
const PHASE_MILLISECONDS = 3_000;
const FREEZE_MILLISECONDS = 7_000;
const POLL_MILLISECONDS = 50;

const children = new Map<string, ChildProcess>();
const live = new Set<string>();
const failures: string[] = [];
process.once('exit', () => {
  for (const child of children.values()) child.kill('SIGKILL');
});

const declarations = readDeclarationFolder(DECLARATIONS);
const callerUrl = (node: number): string => `http://127.0.0.1:1700${node}`;
const operatorUrl = (node: number): string => `http://127.0.0.1:1702${node}`;

await start('stand-ins', 'scripts/stand_ins.ts', [], `${PLATFORM}/hosts`);
for (const node of NODES) await startNode(node);
await submitDeclarations();

const caller = DemoCaller.create({
  clock: systemClock,
  random: systemRandom,
  nodes: () => [...live],
});
const load = startLoad({
  clock: systemClock,
  caller,
  callers: CALLERS,
  model: 'offers-01',
});
const watching = watchEngines();
await sleep(PHASE_MILLISECONDS);

tell('node 1 is killed');
live.delete(callerUrl(1));
child('node 1').kill('SIGKILL');
await sleep(PHASE_MILLISECONDS);

tell('node 2 is frozen, and the balancer takes it out');
live.delete(callerUrl(2));
child('node 2').kill('SIGSTOP');
await sleep(FREEZE_MILLISECONDS);
child('node 2').kill('SIGCONT');
live.add(callerUrl(2));
tell('node 2 goes on');
await startNode(1);
tell('node 1 is started again');
await sleep(PHASE_MILLISECONDS);

tell('the platform is cut off');
await setFaults({isDown: true});
await sleep(PHASE_MILLISECONDS);
await setFaults({isDown: false});
tell('the platform is back');
await sleep(PHASE_MILLISECONDS);

tell('node 3 is stopped gracefully');
live.delete(callerUrl(3));
const exit = await stop('node 3');
expectThat(exit === 0, `node 3 exits with 0, found ${exit}`);
await sleep(PHASE_MILLISECONDS);

const results = await load.end();
watching.stop();
const counts = countOutcomes(results);
const executions = await mostExecutions();
expectThat(executions <= 1, `a coupon was issued ${executions} times`);
expectThat(counts.wrong === 0, `${counts.wrong} wrong answers`);
expectThat(counts.dropped === 0, `${counts.dropped} requests were dropped`);
expectThat(results.length > CALLERS, 'the load ran');
tell(
  `${results.length} requests: ${JSON.stringify(counts)}; most runs of one coupon ${executions}`,
);
for (const failure of failures) tell(`NOT MET: ${failure}`);
process.exit(failures.length === 0 ? 0 : 1);

function startNode(node: number): Promise<void> {
  live.add(callerUrl(node));
  return start(
    `node ${node}`,
    'packages/cli/src/main.ts',
    ['serve', '--settings', `examples/settings/node-${node}.toml`],
    `${callerUrl(node)}/health/live`,
  );
}

async function start(
  name: string,
  file: string,
  arguments_: readonly string[],
  url: string,
): Promise<void> {
  const started = spawn(
    process.execPath,
    ['--import', 'tsx', file, ...arguments_],
    {stdio: ['ignore', 'ignore', 'inherit']},
  );
  children.set(name, started);
  const end = Date.now() + START_MILLISECONDS;
  while (!(await answers(url))) {
    if (Date.now() > end) throw new RangeError(`${name} does not answer`);
    await sleep(POLL_MILLISECONDS);
  }
}

function child(name: string): ChildProcess {
  const found = children.get(name);
  if (found === undefined) throw new RangeError(`no process ${name}`);
  return found;
}

function stop(name: string): Promise<number | null> {
  const stopping = child(name);
  return new Promise(resolve => {
    stopping.once('exit', code => resolve(code));
    stopping.kill('SIGTERM');
  });
}

async function submitDeclarations(): Promise<void> {
  await fetch(`${operatorUrl(1)}/patches`, {
    method: 'POST',
    body: JSON.stringify({
      id: 'chaos-begin',
      based_on: 0,
      author: 'chaos',
      reason: 'begin',
      changes: diffDeclarations(emptyDeclarations(), declarations),
    }),
  });
}

function setFaults(faults: Record<string, unknown>): Promise<Response> {
  return fetch(`${PLATFORM}/standin/faults`, {
    method: 'POST',
    body: JSON.stringify(faults),
  });
}

/** Looks at the engines' own memory and replicas all the while. */
function watchEngines(): {stop(): void} {
  let isStopped = false;
  const look = async (): Promise<void> => {
    while (!isStopped) {
      await checkEngines();
      await sleep(POLL_MILLISECONDS);
    }
  };
  void look();
  return {
    stop: () => {
      isStopped = true;
    },
  };
}

async function checkEngines(): Promise<void> {
  const counts = new Map<string, number>();
  for (const [name, endpoint] of Object.entries(declarations.endpoints)) {
    if (endpoint.kind !== 'engine') continue;
    const answer = await fetch(`${endpoint.url}/standin/observe`);
    const seen = (await answer.json()) as {
      usedBytes: number;
      memoryBytes: number;
      models: string[];
    };
    expectThat(seen.usedBytes <= seen.memoryBytes, `${name} is overcommitted`);
    for (const model of seen.models) {
      const key = `${model} in ${endpoint.failure_domain}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  }
  for (const [key, count] of counts) {
    const [model = '', domain = ''] = key.split(' in ');
    const limit = declarations.models[model]?.replicas[domain] ?? 0;
    expectThat(count <= limit, `${key}: ${count} replicas of ${limit}`);
  }
}

async function mostExecutions(): Promise<number> {
  const url = declarations.endpoints['coupon-a']?.url;
  const answer = await fetch(`${url}/standin/executions`);
  const {most} = (await answer.json()) as {most: number};
  return most;
}

async function answers(url: string): Promise<boolean> {
  try {
    return (await fetch(url)).status < 500;
  } catch {
    return false;
  }
}

function expectThat(holds: boolean, failure: string): void {
  if (!holds && !failures.includes(failure)) failures.push(failure);
}

function tell(line: string): void {
  console.log(line);
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
