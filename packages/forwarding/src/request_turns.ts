/** Lets connections with pipelined requests take turns. */

import type {OnNextTurn} from './receive_scheduler.js';

/** Pipelined requests that begin in one turn of the event loop, of all connections together. */
const REQUESTS_PER_TURN = 8;

/** Calls back the connections that wait, in the order in which they began to. */
export class RequestTurns {
  private readonly waiting = new Set<() => void>();
  private isScheduled = false;

  private constructor(private readonly onNextTurn: OnNextTurn) {}

  static create(onNextTurn: OnNextTurn): RequestTurns {
    return new RequestTurns(onNextTurn);
  }

  /** Calls back once, in a later turn of the event loop. */
  enqueue(callback: () => void): void {
    this.waiting.add(callback);
    this.schedule();
  }

  remove(callback: () => void): void {
    this.waiting.delete(callback);
  }

  private schedule(): void {
    if (this.isScheduled || this.waiting.size === 0) return;
    this.isScheduled = true;
    this.onNextTurn(() => {
      this.isScheduled = false;
      // Those that wait again from now on come after the others.
      for (const callback of [...this.waiting].slice(0, REQUESTS_PER_TURN)) {
        this.waiting.delete(callback);
        callback();
      }
      this.schedule();
    });
  }
}
