/**
 * Polls the status reports of the engines in one failure domain and derives their
 * state.
 */

import type {Clock, EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {SiskinmuxError, after} from '@siskinmux/kernel';
import type {DeclaredEngine} from '@siskinmux/declarations';
import type {Engine, EngineStatus} from '@siskinmux/ports';
import type {EngineSnapshot} from './plan_input.js';
import {fromGibibytes} from './plan_input.js';

/** Timeout for one status report. */
const POLL_TIMEOUT_MILLISECONDS: Milliseconds = 1_000;

/** Time without a report after which an engine counts as unreachable. */
const UNREACHABLE_AFTER_MILLISECONDS: Milliseconds = 2_500;

/** Status of an engine's host in the platform's host list; `unknown` before it is read. */
export type HostStatus = 'live' | 'leaving' | 'unlisted' | 'unknown';

/** Dependencies of an {@link EngineWatcher}. */
export interface EngineWatcherOptions {
  readonly clock: Clock;
  readonly engine: (id: EndpointId) => Engine;
  readonly hostStatusOf: (host: string) => HostStatus;
  /** Engines declared in the failure domain. */
  readonly declaredEngines: () => readonly DeclaredEngine[];
  /** Called when an engine reports for the first time. */
  readonly onFirstReport: () => void;
}

interface PollState {
  status: EngineStatus | undefined;
  reportedAt: Instant | undefined;
  isPolling: boolean;
}

/** Newest reports of the engines in one failure domain. */
export class EngineWatcher {
  private readonly pollStates = new Map<EndpointId, PollState>();
  private readonly releasedAt = new Map<EndpointId, Instant>();
  private readonly startedAt: Instant;

  private constructor(private readonly options: EngineWatcherOptions) {
    this.startedAt = options.clock.now();
  }

  static create(options: EngineWatcherOptions): EngineWatcher {
    return new EngineWatcher(options);
  }

  /** Returns the newest report of an engine. */
  statusOf(engine: EndpointId): EngineStatus | undefined {
    return this.pollStates.get(engine)?.status;
  }

  /** Records that a reservation on an engine is released now. */
  recordRelease(engine: EndpointId): void {
    this.releasedAt.set(engine, this.options.clock.now());
  }

  /** Polls all engines without a poll in progress. */
  pollAll(): void {
    for (const [id] of this.options.declaredEngines()) {
      const pollState = this.pollStates.get(id) ?? {
        status: undefined,
        reportedAt: undefined,
        isPolling: false,
      };
      this.pollStates.set(id, pollState);
      if (!pollState.isPolling) void this.poll(id, pollState);
    }
  }

  /** Whether every engine has reported or has had enough time to do so. */
  get hasInitialReports(): boolean {
    const hasAllReports = this.options
      .declaredEngines()
      .every(([id]) => this.statusOf(id) !== undefined);
    return hasAllReports || this.isInitialReportTimeOver();
  }

  /** Returns the declared engines with their derived state. */
  snapshots(): Map<EndpointId, EngineSnapshot> {
    const snapshots = new Map<EndpointId, EngineSnapshot>();
    for (const [id, endpoint] of this.options.declaredEngines()) {
      const hostStatus = this.options.hostStatusOf(endpoint.host);
      const isReachable = this.isReachable(id);
      const status = this.statusOf(id);
      snapshots.set(id, {
        id,
        memoryBytes: fromGibibytes(endpoint.memory_gib),
        checksFencing: endpoint.checks_fencing,
        status,
        releasedAt: this.releasedAt.get(id) ?? this.startedAt,
        isLeaving: status?.isLeaving === true || hostStatus === 'leaving',
        isReachable,
        isHostReclaimed:
          hostStatus === 'unlisted' &&
          !isReachable &&
          this.isInitialReportTimeOver(),
      });
    }
    return snapshots;
  }

  private async poll(id: EndpointId, pollState: PollState): Promise<void> {
    const {clock, engine, onFirstReport} = this.options;
    pollState.isPolling = true;
    const abort = new AbortController();
    const cancel = clock.schedule(
      after(clock.now(), POLL_TIMEOUT_MILLISECONDS),
      () => abort.abort(),
    );
    try {
      pollState.status = await engine(id).status(abort.signal);
      const isFirst = pollState.reportedAt === undefined;
      pollState.reportedAt = clock.now();
      if (isFirst) onFirstReport();
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
    } finally {
      cancel();
      pollState.isPolling = false;
    }
  }

  private isReachable(id: EndpointId): boolean {
    const reportedAt = this.pollStates.get(id)?.reportedAt;
    if (reportedAt === undefined) return false;
    const reachableUntil = after(reportedAt, UNREACHABLE_AFTER_MILLISECONDS);
    return reachableUntil > this.options.clock.now();
  }

  private isInitialReportTimeOver(): boolean {
    const endsAt = after(this.startedAt, 2 * UNREACHABLE_AFTER_MILLISECONDS);
    return this.options.clock.now() >= endsAt;
  }
}
