/**
 * Stops and resumes a node as SIGSTOP and SIGCONT would, or ends it as SIGKILL would:
 * nothing of it goes on past its next timer or answer until it is resumed.
 */

import type {Clock, Instant} from '@siskinmux/kernel';

/** Whether a process runs. */
export type ProcessState = 'running' | 'paused' | 'killed';

/** The state of one simulated process. */
export class ProcessGate {
  private current: ProcessState = 'running';
  private waiting: Array<() => void> = [];
  private readonly killed = new AbortController();

  private constructor() {}

  static create(): ProcessGate {
    return new ProcessGate();
  }

  /** Whether the process runs. */
  get state(): ProcessState {
    return this.current;
  }

  /** Aborted when the process is killed: its connections are closed then. */
  get killSignal(): AbortSignal {
    return this.killed.signal;
  }

  /** Stops the process where it is. */
  pause(): void {
    if (this.current === 'running') this.current = 'paused';
  }

  /** Lets the process go on. */
  resume(): void {
    if (this.current !== 'paused') return;
    this.current = 'running';
    const resumed = this.waiting;
    this.waiting = [];
    for (const resolve of resumed) resolve();
  }

  /** Ends the process; what waits never goes on. */
  kill(): void {
    this.current = 'killed';
    this.waiting = [];
    this.killed.abort();
  }

  /** Resolves while the process runs, at once or when it is resumed. */
  whenRunning(): Promise<void> {
    if (this.current === 'running') return Promise.resolve();
    return new Promise(resolve => this.waiting.push(resolve));
  }

  /** Waits for `work`, then until the process runs, as its event loop would. */
  async pass<Result>(work: Promise<Result>): Promise<Result> {
    try {
      const result = await work;
      await this.whenRunning();
      return result;
    } catch (failure) {
      await this.whenRunning();
      throw failure;
    }
  }

  /** The clock as the process sees it: its timers fire late after a pause. */
  wrapClock(clock: Clock): Clock {
    return {
      now: () => clock.now(),
      schedule: (at: Instant, callback: () => void) => {
        let isCancelled = false;
        const cancel = clock.schedule(at, () => {
          void this.whenRunning().then(() => {
            if (!isCancelled) callback();
          });
        });
        return () => {
          isCancelled = true;
          cancel();
        };
      },
    };
  }
}
