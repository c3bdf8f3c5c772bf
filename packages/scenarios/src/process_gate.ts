/**
 * Pauses and resumes a simulated process as SIGSTOP and SIGCONT do, or ends it as SIGKILL
 * does. While the process doesn't run, its timers and the results it awaits are withheld.
 */

import type {Clock, Instant} from '@siskinmux/kernel';

/** Execution state of a simulated process. */
export type ProcessState = 'running' | 'paused' | 'killed';

/** Withholds the continuations of one simulated process while it doesn't run. */
export class ProcessGate {
  private currentState: ProcessState = 'running';
  private resumeCallbacks: Array<() => void> = [];
  private readonly killController = new AbortController();

  private constructor() {}

  static create(): ProcessGate {
    return new ProcessGate();
  }

  get state(): ProcessState {
    return this.currentState;
  }

  /** Aborted when the process is killed, which closes its connections. */
  get killSignal(): AbortSignal {
    return this.killController.signal;
  }

  /** Pauses the process, as SIGSTOP does. */
  pause(): void {
    if (this.currentState === 'running') this.currentState = 'paused';
  }

  /** Resumes a paused process, as SIGCONT does. */
  resume(): void {
    if (this.currentState !== 'paused') return;
    this.currentState = 'running';
    const callbacks = this.resumeCallbacks;
    this.resumeCallbacks = [];
    for (const resolve of callbacks) resolve();
  }

  /** Ends the process; withheld continuations never run. */
  kill(): void {
    this.currentState = 'killed';
    this.resumeCallbacks = [];
    this.killController.abort();
  }

  /** Resolves at once if the process runs, else when it is resumed. */
  whenRunning(): Promise<void> {
    if (this.currentState === 'running') return Promise.resolve();
    return new Promise(resolve => this.resumeCallbacks.push(resolve));
  }

  /** Settles as `promise` does, but not before the process runs. */
  async settleWhileRunning<Result>(promise: Promise<Result>): Promise<Result> {
    try {
      const result = await promise;
      await this.whenRunning();
      return result;
    } catch (failure) {
      await this.whenRunning();
      throw failure;
    }
  }

  /** The clock of the process: timers due during a pause fire when it is resumed. */
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
