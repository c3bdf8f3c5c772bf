/**
 * Runs nodes as separate processes under load on loopback: kills one, freezes one, stops
 * one gracefully and makes the platform unavailable. Verifies the invariants through the
 * stand-ins and the responses that callers get.
 */

import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {systemClock, systemRandom} from '@siskinmux/adapters';
import {diffDeclarations, emptyDeclarations} from '@siskinmux/declarations';
import {DemoCaller, countOutcomes, startLoad} from '@siskinmux/demo';
import {readDeclarationFolder} from '../packages/cli/src/declaration_folder.js';

const DECLARATIONS = 'examples/brindlecote';
const PLATFORM_URL = 'http://127.0.0.1:17100';
const NODE_NUMBERS = [1, 2, 3];
const CALLER_COUNT = 24;
const START_TIMEOUT_MILLISECONDS = 20_000;
const PHASE_MILLISECONDS = 3_000;
const FREEZE_MILLISECONDS = 7_000;
const POLL_INTERVAL_MILLISECONDS = 50;

const children = new Map<string, ChildProcess>();
const liveNodeUrls = new Set<string>();
const failures: string[] = [];
process.once('exit', () => {
  for (const childProcess of children.values()) childProcess.kill('SIGKILL');
});

const declarations = readDeclarationFolder(DECLARATIONS);
const callerUrl = (node: number): string => `http://127.0.0.1:1700${node}`;
const operatorUrl = (node: number): string => `http://127.0.0.1:1702${node}`;

await start('stand-ins', 'scripts/stand_ins.ts', [], `${PLATFORM_URL}/hosts`);
for (const node of NODE_NUMBERS) await startNode(node);
await submitDeclarations();

const caller = DemoCaller.create({
  clock: systemClock,
  random: systemRandom,
  nodes: () => [...liveNodeUrls],
});
const load = startLoad({
  clock: systemClock,
  caller,
  callers: CALLER_COUNT,
  model: 'offers-01',
});
const engineWatch = watchEngines();
await sleep(PHASE_MILLISECONDS);

print('node 1 is killed');
liveNodeUrls.delete(callerUrl(1));
childProcess('node 1').kill('SIGKILL');
await sleep(PHASE_MILLISECONDS);

print('node 2 is frozen, and the load balancer removes it');
liveNodeUrls.delete(callerUrl(2));
childProcess('node 2').kill('SIGSTOP');
await sleep(FREEZE_MILLISECONDS);
childProcess('node 2').kill('SIGCONT');
liveNodeUrls.add(callerUrl(2));
print('node 2 is resumed');
await startNode(1);
print('node 1 is restarted');
await sleep(PHASE_MILLISECONDS);

print('the platform becomes unavailable');
await setFaults({isDown: true});
await sleep(PHASE_MILLISECONDS);
await setFaults({isDown: false});
print('the platform is available again');
await sleep(PHASE_MILLISECONDS);

print('node 3 is stopped gracefully');
liveNodeUrls.delete(callerUrl(3));
const exitCode = await stop('node 3');
expectThat(exitCode === 0, `node 3 must exit with 0, exited with ${exitCode}`);
await sleep(PHASE_MILLISECONDS);

const results = await load.end();
engineWatch.stop();
const counts = countOutcomes(results);
const executions = await fetchMaximumExecutions();
expectThat(executions <= 1, `a coupon was issued ${executions} times`);
expectThat(counts.wrong === 0, `${counts.wrong} wrong responses`);
expectThat(counts.dropped === 0, `${counts.dropped} requests were dropped`);
expectThat(results.length > CALLER_COUNT, 'the load sent too few requests');
print(
  `${results.length} requests: ${JSON.stringify(counts)}; maximum executions of one coupon ${executions}`,
);
for (const failure of failures) print(`NOT MET: ${failure}`);
process.exit(failures.length === 0 ? 0 : 1);

function startNode(node: number): Promise<void> {
  liveNodeUrls.add(callerUrl(node));
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
  const startedProcess = spawn(
    process.execPath,
    ['--import', 'tsx', file, ...arguments_],
    {stdio: ['ignore', 'ignore', 'inherit']},
  );
  children.set(name, startedProcess);
  const deadline = Date.now() + START_TIMEOUT_MILLISECONDS;
  while (!(await isResponding(url))) {
    if (Date.now() > deadline) throw new RangeError(`${name} does not respond`);
    await sleep(POLL_INTERVAL_MILLISECONDS);
  }
}

function childProcess(name: string): ChildProcess {
  const runningProcess = children.get(name);
  if (runningProcess === undefined) throw new RangeError(`no process ${name}`);
  return runningProcess;
}

function stop(name: string): Promise<number | null> {
  const stoppingProcess = childProcess(name);
  return new Promise(resolve => {
    stoppingProcess.once('exit', code => resolve(code));
    stoppingProcess.kill('SIGTERM');
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
  return fetch(`${PLATFORM_URL}/standin/faults`, {
    method: 'POST',
    body: JSON.stringify(faults),
  });
}

/** Checks the memory and the replicas of the engines continuously until stopped. */
function watchEngines(): {stop(): void} {
  let isStopped = false;
  const checkRepeatedly = async (): Promise<void> => {
    while (!isStopped) {
      await checkEngines();
      await sleep(POLL_INTERVAL_MILLISECONDS);
    }
  };
  void checkRepeatedly();
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
    const response = await fetch(`${endpoint.url}/standin/observe`);
    const observed = (await response.json()) as {
      usedBytes: number;
      memoryBytes: number;
      models: string[];
    };
    expectThat(
      observed.usedBytes <= observed.memoryBytes,
      `${name} is overcommitted`,
    );
    for (const model of observed.models) {
      const key = `${model} in ${endpoint.failure_domain}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  }
  for (const [key, count] of counts) {
    const [model = '', domain = ''] = key.split(' in ');
    const limit = declarations.models[model]?.replicas[domain] ?? 0;
    expectThat(count <= limit, `${key}: ${count} replicas, limit ${limit}`);
  }
}

async function fetchMaximumExecutions(): Promise<number> {
  const url = declarations.endpoints['coupon-a']?.url;
  const response = await fetch(`${url}/standin/executions`);
  const {most} = (await response.json()) as {most: number};
  return most;
}

async function isResponding(url: string): Promise<boolean> {
  try {
    return (await fetch(url)).status < 500;
  } catch {
    return false;
  }
}

function expectThat(isMet: boolean, failure: string): void {
  if (!isMet && !failures.includes(failure)) failures.push(failure);
}

function print(line: string): void {
  console.log(line);
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
