/** Separate processes on loopback for benchmarks, ended when the benchmark ends. */

import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {request} from 'undici';

/** Longest wait for a process to answer. */
const START_MILLISECONDS = 20_000;
const POLL_MILLISECONDS = 50;

/** Kernel clock ticks of `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;

/** Processes of one benchmark. */
export class BenchmarkProcesses {
  private readonly children: ChildProcess[] = [];

  private constructor() {}

  static create(): BenchmarkProcesses {
    const processes = new BenchmarkProcesses();
    process.once('exit', () => processes.killAll());
    return processes;
  }

  /** Starts a TypeScript file and waits until `url` answers. */
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
    const end = Date.now() + START_MILLISECONDS;
    while (!(await answers(url))) {
      if (Date.now() > end) throw new RangeError(`${file} does not answer`);
      await sleep(POLL_MILLISECONDS);
    }
    return child;
  }

  /** Ends all processes that were started here. */
  killAll(): void {
    for (const child of this.children) child.kill('SIGKILL');
  }
}

/** Processor seconds that a process has used. */
export function readProcessorSeconds(child: ChildProcess): number {
  const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8')
    .split(') ')[1]
    ?.split(' ');
  const ticks = Number(fields?.[11]) + Number(fields?.[12]);
  return ticks / TICKS_PER_SECOND;
}

/** Resident memory of a process, in bytes. */
export function readResidentBytes(child: ChildProcess): number {
  const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
  const [, kilobytes = '0'] = /VmRSS:\s+(\d+)/.exec(status) ?? [];
  return Number(kilobytes) * 1_024;
}

/** Waits. */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function answers(url: string): Promise<boolean> {
  try {
    const {statusCode, body} = await request(url);
    await body.dump();
    return statusCode < 500;
  } catch {
    return false;
  }
}
