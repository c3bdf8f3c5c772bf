/**
 * The one way to the object service: a budget for each node, priorities, and a
 * pause while the service is away, so that a recovery sees no stampede.
 */

import type {Clock, Instant, Random} from '@siskinmux/kernel';
import {after, jitter} from '@siskinmux/kernel';
import type {ObjectService} from '@siskinmux/ports';
import {
  PlatformBusyError,
  PlatformUnavailableError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';

/** What a call is for; earlier ones go first when the budget is short. */
export const CALL_PRIORITIES = [
  'claims',
  'allocation',
  'configuration',
  'membership',
  'status',
] as const;

/** One of {@link CALL_PRIORITIES}. */
export type CallPriority = (typeof CALL_PRIORITIES)[number];

/** Failures in a row after which the service counts as away. */
const FAILURES_UNTIL_AWAY = 3;

/** First and longest pause between trial calls while the service is away. */
const FIRST_TRIAL_PAUSE_MILLISECONDS = 100;
const LONGEST_TRIAL_PAUSE_MILLISECONDS = 2_000;

/** Share by which trial pauses differ between nodes. */
const TRIAL_JITTER = 0.5;

/** Calls that may wait for the budget. */
const MAXIMUM_WAITING_CALLS = 1_000;

/** What the client needs from its surroundings. */
export interface PlatformClientOptions {
  readonly objects: ObjectService;
  readonly clock: Clock;
  readonly random: Random;
  readonly callsPerSecond: number;
}

/** Counts of calls, for metrics. */
export interface CallCounts {
  sent: number;
  failed: number;
  refused: number;
}

/** A node's budgeted access to the object service. */
export class PlatformClient {
  /** Calls sent, failed and refused by the budget, by priority. */
  readonly counts = Object.fromEntries(
    CALL_PRIORITIES.map(priority => [
      priority,
      {sent: 0, failed: 0, refused: 0},
    ]),
  ) as Record<CallPriority, CallCounts>;

  private tokens: number;
  private filledAt: Instant;
  private readonly waiting = new Map<CallPriority, Array<() => void>>(
    CALL_PRIORITIES.map(priority => [priority, []]),
  );
  private isTimerSet = false;
  private failuresInARow = 0;
  private trialAt: Instant;

  private constructor(private readonly options: PlatformClientOptions) {
    this.tokens = options.callsPerSecond;
    this.filledAt = options.clock.now();
    this.trialAt = this.filledAt;
  }

  static create(options: PlatformClientOptions): PlatformClient {
    return new PlatformClient(options);
  }

  /** Whether recent calls got no answer. */
  get isUnavailable(): boolean {
    return this.failuresInARow >= FAILURES_UNTIL_AWAY;
  }

  /** The object service, with calls sent at this priority. */
  at(priority: CallPriority): ObjectService {
    const {objects} = this.options;
    return {
      read: key => this.call(priority, () => objects.read(key)),
      write: (key, value, expected) =>
        this.call(priority, () => objects.write(key, value, expected)),
      remove: (key, expected) =>
        this.call(priority, () => objects.remove(key, expected)),
      list: prefix => this.call(priority, () => objects.list(prefix)),
      watch: (key, afterVersion, waitUntil) =>
        this.call(priority, () => objects.watch(key, afterVersion, waitUntil)),
    };
  }

  private async call<Result>(
    priority: CallPriority,
    send: () => Promise<Result>,
  ): Promise<Result> {
    const counts = this.counts[priority];
    if (this.isUnavailable && !this.takeTrial()) {
      counts.refused += 1;
      // Nothing was sent, so a write certainly did not take effect.
      throw new PlatformBusyError('away; the next trial call comes later');
    }
    await this.takeToken(priority);
    counts.sent += 1;
    try {
      const result = await send();
      this.failuresInARow = 0;
      return result;
    } catch (failure) {
      if (isNoAnswer(failure)) {
        counts.failed += 1;
        this.noteNoAnswer();
      } else {
        this.failuresInARow = 0;
      }
      throw failure;
    }
  }

  /** One call at a time may find out whether the service is back. */
  private takeTrial(): boolean {
    const now = this.options.clock.now();
    if (now < this.trialAt) return false;
    this.trialAt = this.nextTrialAt();
    return true;
  }

  private noteNoAnswer(): void {
    this.failuresInARow += 1;
    this.trialAt = this.nextTrialAt();
  }

  private nextTrialAt(): Instant {
    const {clock, random} = this.options;
    const excess = Math.max(0, this.failuresInARow - FAILURES_UNTIL_AWAY);
    const pause = Math.min(
      LONGEST_TRIAL_PAUSE_MILLISECONDS,
      FIRST_TRIAL_PAUSE_MILLISECONDS * 2 ** Math.min(excess, 10),
    );
    return after(clock.now(), jitter(random, pause, TRIAL_JITTER));
  }

  private takeToken(priority: CallPriority): Promise<void> | undefined {
    this.fill();
    if (this.tokens >= 1) {
      this.tokens -= 1;
      return undefined;
    }
    const queue = this.waiting.get(priority) ?? [];
    if (queue.length >= MAXIMUM_WAITING_CALLS) {
      this.counts[priority].refused += 1;
      throw new PlatformBusyError('too many calls wait for the budget');
    }
    return new Promise(resolve => {
      queue.push(resolve);
      this.setTimer();
    });
  }

  private fill(): void {
    const now = this.options.clock.now();
    const {callsPerSecond} = this.options;
    const earned = ((now - this.filledAt) / 1_000) * callsPerSecond;
    this.tokens = Math.min(callsPerSecond, this.tokens + earned);
    this.filledAt = now;
  }

  private setTimer(): void {
    if (this.isTimerSet) return;
    this.isTimerSet = true;
    const missing = Math.max(0, 1 - this.tokens);
    const wait = Math.ceil((missing / this.options.callsPerSecond) * 1_000);
    const {clock} = this.options;
    clock.schedule(after(clock.now(), Math.max(1, wait)), () => {
      this.isTimerSet = false;
      this.releaseWaiting();
    });
  }

  private releaseWaiting(): void {
    this.fill();
    for (const queue of this.waiting.values()) {
      while (this.tokens >= 1) {
        const release = queue.shift();
        if (release === undefined) break;
        this.tokens -= 1;
        release();
      }
      if (queue.length > 0) {
        this.setTimer();
        return;
      }
    }
  }
}

function isNoAnswer(failure: unknown): boolean {
  return (
    failure instanceof PlatformUnavailableError ||
    failure instanceof WriteOutcomeUnknownError
  );
}
