/** Runs many random fault schedules: `npm run faults -- --runs 10000 --seed 1`. */

import {fork} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import type {ScheduleReport} from '@siskinmux/scenarios';
import {parseScenario, runSchedules} from '@siskinmux/scenarios';

const DEPLOYMENTS = ['three_nodes', 'three_nodes_unfenced', 'seven_nodes'];

/** Schedules that one worker process runs. */
const CHUNK_SIZE = 25;

const MINUTE_MILLISECONDS = 60_000;

const {values} = parseArgs({
  options: {
    runs: {type: 'string', default: '300'},
    seed: {type: 'string', default: '1'},
    workers: {type: 'string', default: '4'},
    /** Starts no new chunk after this time; completed chunks are still reported. */
    minutes: {type: 'string', default: '60'},
    chunk: {type: 'boolean', default: false},
    deployment: {type: 'string', default: 'three_nodes'},
    /** In each schedule the object service returns from older copies, once or in series. */
    returns: {type: 'boolean', default: false},
  },
});
const runs = Number(values.runs);
const seed = Number(values.seed);

if (values.chunk) {
  const report = await runChunk(values.deployment, runs, seed);
  // A chunk that was started manually has no parent process to report to.
  if (process.send === undefined) {
    console.log(report.counterexample ?? `${report.runs} schedules passed`);
    process.exit(report.counterexample === undefined ? 0 : 1);
  }
  process.send(report, () => process.exit(0));
} else {
  process.exit(await runAll());
}

function runChunk(
  deployment: string,
  count: number,
  chunkSeed: number,
): Promise<ScheduleReport> {
  const base = parseScenario(
    `title = "schedules"\nproves = ["all"]\nend = 0\ndeployment = "${deployment}"`,
    name => readFileSync(`scenarios/deployments/${name}.toml`, 'utf8'),
  );
  return runSchedules({
    base,
    runs: count,
    seed: chunkSeed,
    hasReturns: values.returns,
  });
}

async function runAll(): Promise<number> {
  const chunks = Array.from(
    {length: Math.ceil(runs / CHUNK_SIZE)},
    (_, index) => ({
      seed: seed + index,
      count: Math.min(CHUNK_SIZE, runs - index * CHUNK_SIZE),
      deployment: DEPLOYMENTS[index % DEPLOYMENTS.length] ?? '',
    }),
  );
  const totals: Record<string, number> = {schedules: 0};
  const counterexamples: string[] = [];
  const deadline = Date.now() + Number(values.minutes) * MINUTE_MILLISECONDS;
  const processChunks = async (): Promise<void> => {
    for (let chunk = chunks.shift(); chunk; chunk = chunks.shift()) {
      if (Date.now() > deadline) return;
      const report = await runInWorker(chunk);
      totals['schedules'] = (totals['schedules'] ?? 0) + report.runs;
      for (const [end, count] of Object.entries(report.ends)) {
        totals[end] = (totals[end] ?? 0) + count;
      }
      if (report.counterexample !== undefined) {
        counterexamples.push(`${chunk.deployment}: ${report.counterexample}`);
      }
    }
  };
  await Promise.all(
    Array.from({length: Number(values.workers)}, processChunks),
  );
  for (const [name, count] of Object.entries(totals)) {
    console.log(`${name.padEnd(10)} ${count}`);
  }
  console.log(`violations ${counterexamples.length}`);
  for (const text of counterexamples) console.log(text);
  return counterexamples.length === 0 ? 0 : 1;
}

function runInWorker(chunk: {
  seed: number;
  count: number;
  deployment: string;
}): Promise<ScheduleReport> {
  return new Promise((resolve, reject) => {
    const child = fork(
      fileURLToPath(import.meta.url),
      [
        '--chunk',
        '--runs',
        String(chunk.count),
        '--seed',
        String(chunk.seed),
        '--deployment',
        chunk.deployment,
        ...(values.returns ? ['--returns'] : []),
      ],
      {execArgv: ['--import', 'tsx']},
    );
    child.on('message', message => resolve(message as ScheduleReport));
    child.on('exit', code => {
      if (code !== 0) reject(new RangeError(`worker exited with ${code}`));
    });
  });
}
