/**
 * A node's access to the object service, with a rate limit and priorities. While the
 * service is unavailable, a circuit breaker admits only single probe calls, so that
 * the nodes do not overload the service as soon as it recovers.
 */

import type {Clock, Instant, Random} from '@siskinmux/kernel';
import {after, jitter} from '@siskinmux/kernel';
import type {ObjectService} from '@siskinmux/ports';
import {
  PlatformBusyError,
  PlatformUnavailableError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';

/** Purposes of calls, highest priority first. Queued calls are sent in this order. */
export const CALL_PRIORITIES = [
  'claims',
  'allocation',
  'configuration',
  'membership',
  'status',
] as const;

/** One of {@link CALL_PRIORITIES}. */
export type CallPriority = (typeof CALL_PRIORITIES)[number];

/** Consecutive failures after which the service counts as unavailable. */
const FAILURES_UNTIL_UNAVAILABLE = 3;

/** First and maximum delay between probe calls while the service is unavailable. */
const INITIAL_PROBE_DELAY_MILLISECONDS = 100;
const MAXIMUM_PROBE_DELAY_MILLISECONDS = 2_000;

/** Share by which probe delays are randomized, so that nodes do not probe at the same time. */
const PROBE_JITTER = 0.5;

/** Maximum number of calls of one priority that wait for the rate limit. */
const MAXIMUM_QUEUED_CALLS = 1_000;

/** Dependencies of {@link PlatformClient}. */
export interface PlatformClientOptions {
  readonly objects: ObjectService;
  readonly clock: Clock;
  readonly random: Random;
  readonly callsPerSecond: number;
}

/** Call counts, for metrics. */
export interface CallCounts {
  sent: number;
  failed: number;
  refused: number;
}

/** A node's rate-limited access to the object service. */
export class PlatformClient {
  /** Calls sent, failed and refused without being sent, by priority. */
  readonly counts = Object.fromEntries(
    CALL_PRIORITIES.map(priority => [
      priority,
      {sent: 0, failed: 0, refused: 0},
    ]),
  ) as Record<CallPriority, CallCounts>;

  private tokens: number;
  private refilledAt: Instant;
  private readonly queues = new Map<CallPriority, Array<() => void>>(
    CALL_PRIORITIES.map(priority => [priority, []]),
  );
  private isReleaseScheduled = false;
  private consecutiveFailures = 0;
  private nextProbeAt: Instant;

  private constructor(private readonly options: PlatformClientOptions) {
    this.tokens = options.callsPerSecond;
    this.refilledAt = options.clock.now();
    this.nextProbeAt = this.refilledAt;
  }

  static create(options: PlatformClientOptions): PlatformClient {
    return new PlatformClient(options);
  }

  /** Whether the latest calls got no response. */
  get isUnavailable(): boolean {
    return this.consecutiveFailures >= FAILURES_UNTIL_UNAVAILABLE;
  }

  /** The object service, with all calls sent at `priority`. */
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
    if (this.isUnavailable && !this.tryAcquireProbe()) {
      counts.refused += 1;
      // Nothing was sent, so a write has certainly not taken effect.
      throw new PlatformBusyError('away; the next trial call comes later');
    }
    await this.acquireToken(priority);
    counts.sent += 1;
    try {
      const result = await send();
      this.consecutiveFailures = 0;
      return result;
    } catch (failure) {
      if (isNoResponse(failure)) {
        counts.failed += 1;
        this.recordNoResponse();
      } else {
        this.consecutiveFailures = 0;
      }
      throw failure;
    }
  }

  /** Admits at most one probe call per probe delay. */
  private tryAcquireProbe(): boolean {
    const now = this.options.clock.now();
    if (now < this.nextProbeAt) return false;
    this.nextProbeAt = this.computeNextProbeAt();
    return true;
  }

  private recordNoResponse(): void {
    this.consecutiveFailures += 1;
    this.nextProbeAt = this.computeNextProbeAt();
  }

  private computeNextProbeAt(): Instant {
    const {clock, random} = this.options;
    const excessFailures = Math.max(
      0,
      this.consecutiveFailures - FAILURES_UNTIL_UNAVAILABLE,
    );
    const delayMilliseconds = Math.min(
      MAXIMUM_PROBE_DELAY_MILLISECONDS,
      INITIAL_PROBE_DELAY_MILLISECONDS * 2 ** Math.min(excessFailures, 10),
    );
    return after(clock.now(), jitter(random, delayMilliseconds, PROBE_JITTER));
  }

  private acquireToken(priority: CallPriority): Promise<void> | undefined {
    this.refill();
    if (this.tokens >= 1) {
      this.tokens -= 1;
      return undefined;
    }
    const queue = this.queues.get(priority) ?? [];
    if (queue.length >= MAXIMUM_QUEUED_CALLS) {
      this.counts[priority].refused += 1;
      throw new PlatformBusyError('too many calls wait for the budget');
    }
    return new Promise(resolve => {
      queue.push(resolve);
      this.scheduleRelease();
    });
  }

  private refill(): void {
    const now = this.options.clock.now();
    const {callsPerSecond} = this.options;
    const earnedTokens = ((now - this.refilledAt) / 1_000) * callsPerSecond;
    this.tokens = Math.min(callsPerSecond, this.tokens + earnedTokens);
    this.refilledAt = now;
  }

  private scheduleRelease(): void {
    if (this.isReleaseScheduled) return;
    this.isReleaseScheduled = true;
    const missingTokens = Math.max(0, 1 - this.tokens);
    const delayMilliseconds = Math.ceil(
      (missingTokens / this.options.callsPerSecond) * 1_000,
    );
    const {clock} = this.options;
    clock.schedule(after(clock.now(), Math.max(1, delayMilliseconds)), () => {
      this.isReleaseScheduled = false;
      this.releaseQueued();
    });
  }

  private releaseQueued(): void {
    this.refill();
    for (const queue of this.queues.values()) {
      while (this.tokens >= 1) {
        const release = queue.shift();
        if (release === undefined) break;
        this.tokens -= 1;
        release();
      }
      if (queue.length > 0) {
        this.scheduleRelease();
        return;
      }
    }
  }
}

function isNoResponse(failure: unknown): boolean {
  return (
    failure instanceof PlatformUnavailableError ||
    failure instanceof WriteOutcomeUnknownError
  );
}
