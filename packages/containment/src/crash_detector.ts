/**
 * Finds out whether an endpoint crashed while it ran a request. A broken connection alone
 * doesn't show that: it may have been reset, or its response lost, at a healthy endpoint, and
 * the links of this node may be broken.
 */

import type {
  EndpointDescription,
  EndpointTable,
  EndpointTableChange,
  Incarnation,
} from '@siskinmux/endpoints';
import type {ProbeResult} from '@siskinmux/forwarding';
import type {Clock, Instant, Milliseconds} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {CrashId} from './run_crashes.js';
import type {Trait} from './trait.js';

/** An endpoint that crashed has started again, and its entry has been read, within this time. */
const RESTART_WINDOW_MILLISECONDS: Milliseconds = 15_000;

/** Bound on the runs whose endpoint may turn out to have restarted. */
const MAXIMUM_OPEN_RUNS = 1_000;

/** Stands before the number of a further crash of an incarnation that is still listed. */
const REPEAT_SEPARATOR = '#';

/** A run that ended without a complete response. */
export interface BrokenRun {
  /** Traits of the request, the first of which names it in log lines. */
  readonly traits: readonly Trait[];
  readonly endpoint: EndpointDescription;
  readonly sentAt: Instant;
  /** Whether the endpoint had begun to respond. */
  readonly hadResponded: boolean;
}

/**
 * What showed the crash: no process listened any more, as far as this node and another one
 * can tell, or it has started again.
 */
export type CrashEvidence = 'refused' | 'restarted';

/** Dependencies of {@link CrashDetector}. */
export interface CrashDetectorOptions {
  readonly table: EndpointTable;
  readonly clock: Clock;
  readonly probe: (address: string) => Promise<ProbeResult>;
  /**
   * Whether the process of an endpoint that refused the probe has ended; a broken link of this
   * node may refuse connections, too.
   */
  readonly hasEnded: (endpoint: EndpointDescription) => Promise<boolean>;
  readonly onCrash: (
    run: BrokenRun,
    crash: CrashId,
    evidence: CrashEvidence,
  ) => void;
}

interface OpenRun {
  readonly run: BrokenRun;
  readonly expiresAt: Instant;
  /**
   * A later response over a connection established until then shows that the process survived
   * the run; undefined if no response does.
   */
  readonly clearedByConnectionsUntil: Instant | undefined;
}

interface ConfirmedCrash {
  readonly confirmedAt: Instant;
  readonly count: number;
}

/** Confirms crashes by a probe of the endpoint, or later by its new incarnation. */
export class CrashDetector {
  private readonly probes = new Map<Incarnation, Promise<ProbeResult>>();
  private readonly confirmed = new Map<Incarnation, ConfirmedCrash>();
  /** Incarnations that were listed as draining, and until when that is kept. */
  private readonly drained = new Map<Incarnation, Instant>();
  private openRuns: OpenRun[] = [];

  private constructor(private readonly options: CrashDetectorOptions) {}

  static create(options: CrashDetectorOptions): CrashDetector {
    return new CrashDetector(options);
  }

  /** Checks a run whose connection the endpoint broke; resolves when the probe has ended. */
  async checkBrokenRun(run: BrokenRun): Promise<void> {
    const {endpoint} = run;
    if (this.isLeaving(endpoint)) return;
    const result = await this.probe(endpoint);
    if (this.isLeaving(endpoint)) return;
    if (result === 'refused') this.confirm(run, 'refused');
    else this.watchForRestart(run);
  }

  /**
   * Whether the process that sent a response still runs, as far as this node can tell: nothing
   * shows that it has ended, and its port isn't closed.
   */
  async isRunning({
    id,
    incarnation,
    address,
  }: EndpointDescription): Promise<boolean> {
    const {table, probe} = this.options;
    const hasEnded = (): boolean => {
      const listed = table.get(id);
      return (
        table.hasCrashed(id) ||
        (listed !== undefined && listed.incarnation !== incarnation)
      );
    };
    return !hasEnded() && (await probe(address)) !== 'refused' && !hasEnded();
  }

  /** Reports the run as a crash if the endpoint turns out to have restarted. */
  watchForRestart(run: BrokenRun): void {
    this.watch(run, undefined);
  }

  /** Like {@link watchForRestart}, until the process that got the run responds again. */
  watchWhileSilent(run: BrokenRun): void {
    this.watch(run, this.options.clock.now());
  }

  /**
   * Like {@link watchWhileSilent}, for a silence in which the endpoint may have started again:
   * only a connection from before the run belongs to the process that got it.
   */
  watchAfterLongSilence(run: BrokenRun): void {
    this.watch(run, run.sentAt);
  }

  /**
   * Records a response over a connection established at `connectedAt`. Connections don't survive
   * a process, so the runs that it got meanwhile didn't crash it.
   */
  recordResponse(
    {incarnation}: EndpointDescription,
    connectedAt: Instant | undefined,
  ): void {
    if (connectedAt === undefined || this.openRuns.length === 0) return;
    this.openRuns = this.openRuns.filter(
      ({run, clearedByConnectionsUntil}) =>
        clearedByConnectionsUntil === undefined ||
        run.endpoint.incarnation !== incarnation ||
        clearedByConnectionsUntil < connectedAt,
    );
  }

  private watch(
    run: BrokenRun,
    clearedByConnectionsUntil: Instant | undefined,
  ): void {
    const {clock, table} = this.options;
    if (this.drained.has(run.endpoint.incarnation)) return;
    const listed = table.get(run.endpoint.id);
    if (
      listed !== undefined &&
      listed.incarnation !== run.endpoint.incarnation
    ) {
      this.confirm(run, 'restarted');
      return;
    }
    this.openRuns.push({
      run,
      expiresAt: after(clock.now(), RESTART_WINDOW_MILLISECONDS),
      clearedByConnectionsUntil,
    });
    if (this.openRuns.length > MAXIMUM_OPEN_RUNS) this.openRuns.shift();
  }

  /** Compares the changes of the endpoint table with the open runs. */
  applyEndpointChanges(changes: readonly EndpointTableChange[]): void {
    const now = this.options.clock.now();
    this.openRuns = this.openRuns.filter(({expiresAt}) => expiresAt > now);
    for (const [incarnation, {confirmedAt}] of this.confirmed) {
      if (after(confirmedAt, RESTART_WINDOW_MILLISECONDS) <= now)
        this.confirmed.delete(incarnation);
    }
    for (const [incarnation, end] of this.drained)
      if (end <= now) this.drained.delete(incarnation);
    const keptUntil = after(now, RESTART_WINDOW_MILLISECONDS);
    for (const {now: listed} of changes) {
      if (listed?.isDraining) this.drained.set(listed.incarnation, keptUntil);
      else if (listed) this.drained.delete(listed.incarnation);
    }
    for (const {now: listed} of changes) {
      if (listed === undefined || this.openRuns.length === 0) continue;
      const concerned = this.openRuns.filter(({run}) =>
        isSameEndpoint(run.endpoint, listed),
      );
      const isRestart = (run: BrokenRun): boolean =>
        run.endpoint.incarnation !== listed.incarnation;
      this.openRuns = this.openRuns.filter(
        open =>
          !concerned.includes(open) ||
          (!isRestart(open.run) && !listed.isDraining),
      );
      for (const {run} of concerned) {
        if (isRestart(run)) this.confirm(run, 'restarted');
      }
    }
  }

  /**
   * An endpoint that drains ends on purpose, with the requests that it still runs. A node that was
   * paused meanwhile may list its next run already.
   */
  private isLeaving({id, incarnation}: EndpointDescription): boolean {
    if (this.drained.has(incarnation)) return true;
    const listed = this.options.table.get(id);
    if (listed === undefined) return true;
    return listed.incarnation === incarnation && listed.isDraining;
  }

  private probe(endpoint: EndpointDescription): Promise<ProbeResult> {
    const {incarnation} = endpoint;
    const pending = this.probes.get(incarnation);
    if (pending !== undefined) return pending;
    const probe = this.probeConfirmed(endpoint).finally(() => {
      this.probes.delete(incarnation);
    });
    this.probes.set(incarnation, probe);
    return probe;
  }

  /** `refused` only if the endpoint has ended. */
  private async probeConfirmed(
    endpoint: EndpointDescription,
  ): Promise<ProbeResult> {
    const {probe, hasEnded} = this.options;
    const result = await probe(endpoint.address);
    if (result !== 'refused' || (await hasEnded(endpoint))) return result;
    return 'unknown';
  }

  private confirm(run: BrokenRun, evidence: CrashEvidence): void {
    this.options.onCrash(run, this.crashIdOf(run), evidence);
  }

  /**
   * The listed incarnation lags behind. A run that began after a confirmed crash ran at the
   * next start of the endpoint, so its crash is another one.
   */
  private crashIdOf({endpoint, sentAt}: BrokenRun): CrashId {
    const {incarnation} = endpoint;
    const earlier = this.confirmed.get(incarnation);
    const isSameCrash = earlier !== undefined && sentAt <= earlier.confirmedAt;
    const count = (earlier?.count ?? 0) + (isSameCrash ? 0 : 1);
    if (!isSameCrash) {
      const confirmedAt = this.options.clock.now();
      this.confirmed.set(incarnation, {confirmedAt, count});
    }
    return as<CrashId>(
      count === 1 ? incarnation : `${incarnation}${REPEAT_SEPARATOR}${count}`,
    );
  }
}

/** The incarnation that ended, as far as it was listed; see `crashIdOf`. */
export function incarnationOf(crash: CrashId): Incarnation {
  return as<Incarnation>(crash.split(REPEAT_SEPARATOR, 1)[0] ?? crash);
}

/** Whether an entry describes the same endpoint, possibly after a restart under another id. */
function isSameEndpoint(
  known: EndpointDescription,
  listed: EndpointDescription,
): boolean {
  return (
    known.id === listed.id ||
    (known.address === listed.address && known.service === listed.service)
  );
}
