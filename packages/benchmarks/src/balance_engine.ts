/** Simulated engine of the load balancing simulation: one batch, a queue and a prefix cache. */

import type {Milliseconds, Random} from '@siskinmux/kernel';

export const SLOTS_PER_ENGINE = 24;
const QUEUE_LIMIT = 72;
const CACHED_PREFIXES = 48;

const MILLISECONDS_PER_PROMPT_TOKEN = 0.2;
const MILLISECONDS_PER_OUTPUT_TOKEN = 5;

/** Extra time for each token while all slots are in use, as a share. */
const FULL_BATCH_SLOWDOWN = 0.4;

/** A caller's request. */
export interface SimulatedRequest {
  readonly prefix: number;
  readonly prefixTokens: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Creates requests; few prefixes are frequent, most are rare. */
export function createRequest(
  random: Random,
  prefixCount: number,
  scale: number,
): SimulatedRequest {
  const prefixTokens = Math.floor(600 * scale);
  return {
    prefix: Math.floor(prefixCount * random() ** 2),
    prefixTokens,
    promptTokens: prefixTokens + Math.floor(400 * scale * random()),
    outputTokens: 1 + Math.floor(-150 * scale * Math.log(1 - random())),
  };
}

/** Mean time of a request on an engine of average speed with half of its slots in use. */
export const MEAN_SERVICE_MILLISECONDS: Milliseconds =
  (500 * MILLISECONDS_PER_PROMPT_TOKEN + 150 * MILLISECONDS_PER_OUTPUT_TOKEN) *
  (1 + FULL_BATCH_SLOWDOWN / 2) *
  1.1;

/** One engine. */
export class SimulatedEngine {
  running = 0;
  isUp = true;
  /** Changes on each start; requests of an earlier one have ended. */
  incarnation = 0;
  reprocessedTokens = 0;
  private queue: Array<() => void> = [];
  private readonly cache = new Map<number, true>();

  constructor(
    readonly index: number,
    /** Time for each token, relative to the fastest engines. */
    public slowness: number,
  ) {}

  get load(): number {
    return this.running + this.queue.length;
  }

  /** Starts a request now or later; false if it is rejected. */
  accept(start: () => void): boolean {
    if (!this.isUp) return false;
    if (this.running < SLOTS_PER_ENGINE) start();
    else if (this.queue.length < QUEUE_LIMIT) this.queue.push(start);
    else return false;
    return true;
  }

  /** Takes a slot; returns the time that the request needs. */
  begin(request: SimulatedRequest): Milliseconds {
    this.running += 1;
    const isCached = this.cache.delete(request.prefix);
    this.cache.set(request.prefix, true);
    const [oldest] = this.cache.keys();
    if (this.cache.size > CACHED_PREFIXES && oldest !== undefined)
      this.cache.delete(oldest);
    const promptTokens =
      request.promptTokens - (isCached ? request.prefixTokens : 0);
    if (!isCached) this.reprocessedTokens += request.prefixTokens;
    const batch = 1 + (FULL_BATCH_SLOWDOWN * this.running) / SLOTS_PER_ENGINE;
    return (
      (promptTokens * MILLISECONDS_PER_PROMPT_TOKEN +
        request.outputTokens * MILLISECONDS_PER_OUTPUT_TOKEN) *
      batch *
      this.slowness
    );
  }

  /** Frees a slot, and starts the next request. */
  end(): void {
    this.running -= 1;
    this.queue.shift()?.();
  }

  /** Ends the process; its requests and its cache are lost. */
  stop(): void {
    this.isUp = false;
    this.incarnation += 1;
    this.running = 0;
    this.queue = [];
    this.cache.clear();
  }
}
