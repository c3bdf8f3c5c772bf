/** Asks the engines of one failure domain for their reports, and says what they mean. */

import type {Clock, EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {SiskinmuxError, after} from '@siskinmux/kernel';
import type {DeclaredEngine} from '@siskinmux/declarations';
import type {Engine, EngineStatus} from '@siskinmux/ports';
import type {EngineView} from './facts.js';
import {fromGibibytes} from './facts.js';

/** Time for an engine's report. */
const POLL_TIMEOUT_MILLISECONDS: Milliseconds = 1_000;

/** Silence after which an engine counts as unreachable. */
const UNREACHABLE_AFTER_MILLISECONDS: Milliseconds = 2_500;

/** What the platform's host list says of an engine's host. */
export type HostSighting = 'live' | 'leaving' | 'unlisted' | 'unknown';

/** What a watcher needs from its surroundings. */
export interface EngineWatcherOptions {
  readonly clock: Clock;
  readonly engine: (id: EndpointId) => Engine;
  readonly hostOf: (host: string) => HostSighting;
  /** Engines of the failure domain. */
  readonly declaredEngines: () => readonly DeclaredEngine[];
  /** Called when an engine has reported for the first time. */
  readonly onFirstReport: () => void;
}

interface Polled {
  status: EngineStatus | undefined;
  answeredAt: Instant | undefined;
  isPolling: boolean;
}

/** The newest reports of a domain's engines. */
export class EngineWatcher {
  private readonly polled = new Map<EndpointId, Polled>();
  private readonly releasedAt = new Map<EndpointId, Instant>();
  private readonly startedAt: Instant;

  private constructor(private readonly options: EngineWatcherOptions) {
    this.startedAt = options.clock.now();
  }

  static create(options: EngineWatcherOptions): EngineWatcher {
    return new EngineWatcher(options);
  }

  /** The newest report of one engine. */
  statusOf(engine: EndpointId): EngineStatus | undefined {
    return this.polled.get(engine)?.status;
  }

  /** Notes that something was released on an engine just now. */
  noteRelease(engine: EndpointId): void {
    this.releasedAt.set(engine, this.options.clock.now());
  }

  /** Asks all engines that don't owe a report. */
  pollAll(): void {
    for (const [id] of this.options.declaredEngines()) {
      const polled = this.polled.get(id) ?? {
        status: undefined,
        answeredAt: undefined,
        isPolling: false,
      };
      this.polled.set(id, polled);
      if (!polled.isPolling) void this.poll(id, polled);
    }
  }

  /** Every engine has reported, or has had time to. */
  get hasSettled(): boolean {
    const hasHeardAll = this.options
      .declaredEngines()
      .every(([id]) => this.statusOf(id) !== undefined);
    return hasHeardAll || this.isTimeToSettleOver();
  }

  /** All engines as the planner sees them. */
  views(): Map<EndpointId, EngineView> {
    const views = new Map<EndpointId, EngineView>();
    for (const [id, endpoint] of this.options.declaredEngines()) {
      const host = this.options.hostOf(endpoint.host);
      const isReachable = this.isReachable(id);
      const status = this.statusOf(id);
      views.set(id, {
        id,
        memoryBytes: fromGibibytes(endpoint.memory_gib),
        checksFencing: endpoint.checks_fencing,
        status,
        releasedAt: this.releasedAt.get(id) ?? this.startedAt,
        isLeaving: status?.isLeaving === true || host === 'leaving',
        isReachable,
        isHostGone:
          host === 'unlisted' && !isReachable && this.isTimeToSettleOver(),
      });
    }
    return views;
  }

  private async poll(id: EndpointId, polled: Polled): Promise<void> {
    const {clock, engine, onFirstReport} = this.options;
    polled.isPolling = true;
    const abort = new AbortController();
    const cancel = clock.schedule(
      after(clock.now(), POLL_TIMEOUT_MILLISECONDS),
      () => abort.abort(),
    );
    try {
      polled.status = await engine(id).status(abort.signal);
      const isFirst = polled.answeredAt === undefined;
      polled.answeredAt = clock.now();
      if (isFirst) onFirstReport();
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
    } finally {
      cancel();
      polled.isPolling = false;
    }
  }

  private isReachable(id: EndpointId): boolean {
    const answeredAt = this.polled.get(id)?.answeredAt;
    if (answeredAt === undefined) return false;
    const until = after(answeredAt, UNREACHABLE_AFTER_MILLISECONDS);
    return until > this.options.clock.now();
  }

  private isTimeToSettleOver(): boolean {
    const end = after(this.startedAt, 2 * UNREACHABLE_AFTER_MILLISECONDS);
    return this.options.clock.now() >= end;
  }
}
