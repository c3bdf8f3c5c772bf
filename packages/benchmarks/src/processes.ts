/** Runs separate processes for a benchmark and kills them when it exits. */

import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {request} from 'undici';

/** Timeout for a started process to respond. */
const START_TIMEOUT_MILLISECONDS = 20_000;
const POLL_INTERVAL_MILLISECONDS = 50;

/** Unit of the processor times in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;

/** Child processes of one benchmark. */
export class BenchmarkProcesses {
  private readonly children: ChildProcess[] = [];

  private constructor() {}

  static create(): BenchmarkProcesses {
    const processes = new BenchmarkProcesses();
    process.once('exit', () => processes.killAll());
    return processes;
  }

  /** Runs a TypeScript file and waits until `url` responds. */
  async start(
    file: string,
    arguments_: readonly string[],
    url: string,
  ): Promise<ChildProcess> {
    const child = spawn(
      process.execPath,
      ['--import', 'tsx', file, ...arguments_],
      {stdio: ['ignore', 'ignore', 'inherit']},
    );
    this.children.push(child);
    const deadline = Date.now() + START_TIMEOUT_MILLISECONDS;
    while (!(await isResponding(url))) {
      if (Date.now() > deadline)
        throw new RangeError(`${file} does not respond`);
      await sleep(POLL_INTERVAL_MILLISECONDS);
    }
    return child;
  }

  /** Kills all processes that were started here. */
  killAll(): void {
    for (const child of this.children) child.kill('SIGKILL');
  }
}

/** Reads the processor time of a process, in seconds. */
export function readProcessorSeconds(child: ChildProcess): number {
  const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8')
    .split(') ')[1]
    ?.split(' ');
  const ticks = Number(fields?.[11]) + Number(fields?.[12]);
  return ticks / TICKS_PER_SECOND;
}

/** Reads the resident memory of a process, in bytes. */
export function readResidentBytes(child: ChildProcess): number {
  const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
  const [, kilobytes = '0'] = /VmRSS:\s+(\d+)/.exec(status) ?? [];
  return Number(kilobytes) * 1_024;
}

export function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function isResponding(url: string): Promise<boolean> {
  try {
    const {statusCode, body} = await request(url);
    await body.dump();
    return statusCode < 500;
  } catch {
    return false;
  }
}
