/**
 * Lets a stream that a caller resumes in another attempt continue only at the software version
 * that began it. A node knows the streams that began at itself. While a service has endpoints
 * of several versions, nodes report theirs to the lease holder, which stores them.
 */

import type {
  EndpointDescription,
  EndpointTableChange,
  SoftwareVersion,
  VersionRequirement,
} from '@siskinmux/endpoints';
import type {
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  RequestId,
  ServiceName,
  StoreEra,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  after,
  createNotRunRefusal,
  earlier,
  sleepFor,
  until,
} from '@siskinmux/kernel';
import {REREGISTRATION_GRACE_MILLISECONDS} from '@siskinmux/endpoints';
import {STREAM_RESUMED, VERSIONS_CHANGED} from './continuity_events.js';
import {ServiceVersions} from './service_versions.js';
import type {StoredOrigins} from './stored_origins.js';
import {isRecent, observeRecord, originsOf} from './stored_origins.js';
import type {StreamOrigin} from './stream_origins.js';
import {StreamOrigins} from './stream_origins.js';

/** Delay in which origins are batched into one report. */
const REPORT_DELAY_MILLISECONDS: Milliseconds = 25;

/** How long the origin of a stream that has just begun elsewhere takes to be stored. */
const STORE_DELAY_MILLISECONDS: Milliseconds = 600;

/** Longest wait for the list of endpoints. */
const REFRESH_MILLISECONDS: Milliseconds = 400;

/** Pause between two reads of the store for the same request. */
const READ_PAUSE_MILLISECONDS: Milliseconds = 100;

/** `Retry-After` while the store doesn't respond. */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 1_000;

/** Bound on ids in log lines. */
const MAXIMUM_LOGGED_CHARACTERS = 64;

/** Takes origins to the lease holder. */
export interface OriginExchange {
  reportOrigins(origins: readonly StreamOrigin[]): void;
}

/** a request that resumes a stream. */
export interface ResumedStream {
  /** The request's own id, for the log. */
  readonly id: RequestId;
  /** The attempt that delivered the first event; undefined if the caller names none. */
  readonly stream: RequestId | undefined;
  readonly service: ServiceName;
  /** When the caller gives up. */
  readonly deadline: Instant;
}

/** Dependencies of {@link StreamContinuity}. */
export interface StreamContinuityOptions {
  readonly stored: StoredOrigins;
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /**
   * Since when this node's list of endpoints has been up to date without a gap, apart from about
   * the last second; undefined if it isn't now.
   */
  readonly listCurrentSince: () => Instant | undefined;
  /**
   * Resolves to whether this node knows all endpoints that the store had acknowledged when it was
   * called; to false at the deadline at the latest.
   */
  readonly refreshList: (deadline: Instant) => Promise<boolean>;
}

type OriginSource = 'memory' | 'store' | 'only version';

/**
 * What has been read for a request: nothing, the list of endpoints, or the stored origins and
 * versions too.
 */
type OriginEvidence = 'memory' | 'list' | 'store';

/** What one node knows about the origins of streams. */
export class StreamContinuity {
  readonly versions = ServiceVersions.create();
  /** Reads the origins that the lease holder has stored. */
  readonly stored: StoredOrigins;
  /** Streams that began at this node. */
  private readonly own = StreamOrigins.create();
  /** Streams of this node and others. */
  private readonly known = StreamOrigins.create();
  /** The first era that the store named to this process, and when. */
  private firstEra: {readonly era: StoreEra; readonly at: Instant} | undefined;
  private exchange: OriginExchange | undefined;
  private unreported: StreamOrigin[] = [];
  private isReportScheduled = false;

  private constructor(private readonly options: StreamContinuityOptions) {
    this.stored = options.stored;
  }

  static create(options: StreamContinuityOptions): StreamContinuity {
    return new StreamContinuity(options);
  }

  /** Records an era that the store has named. */
  recordEra(era: StoreEra): void {
    this.firstEra ??= {era, at: this.options.clock.now()};
  }

  /**
   * Whether the versions of this node and of the record are all there are. If the store has returned
   * from an older copy between the last record and the start of this process, both may lack a
   * version, until its endpoints have had time to register again.
   */
  get knowsAllVersions(): boolean {
    return this.versionsKnownAt === undefined;
  }

  /** When all versions will be known; undefined if they are. */
  private get versionsKnownAt(): Instant | undefined {
    const {firstEra, versions} = this;
    if (firstEra === undefined || versions.recordEra >= firstEra.era)
      return undefined;
    const knownAt = after(firstEra.at, REREGISTRATION_GRACE_MILLISECONDS);
    return this.options.clock.now() < knownAt ? knownAt : undefined;
  }

  /** Records that the first event of a stream has been passed on. */
  recordStart(
    stream: RequestId,
    {service, softwareVersion: version}: EndpointDescription,
    expiresAt: Instant,
  ): void {
    if (version === undefined) return;
    const now = this.options.clock.now();
    const origin = {stream, service, version, expiresAt};
    this.own.add(origin, now);
    this.known.add(origin, now);
    if (this.versions.isMixed(service, now)) this.report([origin]);
  }

  /** Reports the streams of services of which several versions serve from now on. */
  applyEndpointChanges(changes: readonly EndpointTableChange[]): void {
    const {clock, emit} = this.options;
    const now = clock.now();
    const services = new Set(
      changes.flatMap(({before, now: listed}) =>
        [before, listed].flatMap(endpoint => endpoint?.service ?? []),
      ),
    );
    const earlierVersions = new Map(
      [...services].map(service => [service, this.versionsText(service, now)]),
    );
    this.versions.applyEndpointChanges(changes, now);
    for (const [service, before] of earlierVersions) {
      const versions = this.versionsText(service, now);
      if (versions === before) continue;
      emit(VERSIONS_CHANGED, {service, versions});
      if (this.versions.isMixed(service, now))
        this.report(this.own.ofService(service, now));
    }
  }

  /** Switches to another lease holder, which needs all origins that callers may refer to. */
  setExchange(exchange: OriginExchange | undefined): void {
    this.exchange = exchange;
    if (exchange === undefined) return;
    const now = this.options.clock.now();
    this.unreported = [...this.versions.services].flatMap(service =>
      this.versions.isMixed(service, now)
        ? this.own.ofService(service, now)
        : [],
    );
    this.scheduleReport();
  }

  /** Streams of services with several versions that callers may still resume. */
  recentOrigins(): StreamOrigin[] {
    const now = this.options.clock.now();
    return [...this.versions.services].flatMap(service =>
      this.versions.isMixed(service, now)
        ? this.known.ofService(service, now)
        : [],
    );
  }

  /** Adds origins that other nodes have reported. */
  merge(origins: readonly StreamOrigin[]): void {
    const now = this.options.clock.now();
    for (const origin of origins) this.known.add(origin, now);
  }

  /**
   * The versions at which a stream may continue. Throws a `RefusalError` if that isn't known,
   * with a time to return if it may become known.
   */
  async requirementOf(
    taken: ResumedStream,
    signal: AbortSignal,
  ): Promise<VersionRequirement> {
    const {stored} = this;
    const {clock} = this.options;
    const resumedAt = clock.now();
    let isStoreRead = false;
    const isListRefreshed =
      this.findOrigin(taken, 'memory') === undefined &&
      (await this.refreshList(taken));
    const storedBy = earlier(
      after(resumedAt, STORE_DELAY_MILLISECONDS),
      taken.deadline,
    );
    const evidence = (): OriginEvidence =>
      !isListRefreshed ? 'memory' : isStoreRead ? 'store' : 'list';
    let found = this.findOrigin(taken, evidence());
    while (found === undefined && !signal.aborted) {
      const parts = await stored.read();
      isStoreRead = parts !== undefined;
      const now = clock.now();
      if (parts !== undefined) {
        observeRecord(parts, this.versions, now);
        const recent = parts.filter(part => isRecent(part, now));
        this.merge(recent.flatMap(originsOf));
      }
      found = this.findOrigin(taken, evidence());
      if (found !== undefined) break;
      const isFinal = taken.stream === undefined || now >= storedBy;
      if (!isStoreRead || isFinal) break;
      await sleepFor(clock, READ_PAUSE_MILLISECONDS);
    }
    this.log(taken, found, resumedAt);
    if (found !== undefined && found.version !== undefined)
      return {kind: 'only', version: found.version};
    throw createNotRunRefusal(
      ErrorCode.StreamOriginUnknown,
      taken.service,
      found === undefined ? this.originKnownAt(isStoreRead) : undefined,
    );
  }

  /** When the origin of a stream may become known; undefined if it won't. */
  private originKnownAt(isStoreRead: boolean): Instant | undefined {
    return isStoreRead
      ? this.versionsKnownAt
      : after(this.options.clock.now(), RETRY_AFTER_MILLISECONDS);
  }

  /** An endpoint of another version may have joined since this node's list was read. */
  private refreshList({deadline}: ResumedStream): Promise<boolean> {
    const {clock, refreshList} = this.options;
    const refreshBy = after(clock.now(), REFRESH_MILLISECONDS);
    return refreshList(earlier(refreshBy, deadline));
  }

  /** The version that began a stream; `version` is undefined if it is certain that none fits. */
  private findOrigin(
    {stream, service}: ResumedStream,
    evidence: OriginEvidence,
  ):
    | {
        readonly version: SoftwareVersion | undefined;
        readonly source: OriginSource;
      }
    | undefined {
    const now = this.options.clock.now();
    const known = stream && this.known.get(stream, now);
    if (known !== undefined) {
      const fits = known !== 'ambiguous' && known.service === service;
      return {
        version: fits ? known.version : undefined,
        source: evidence === 'store' ? 'store' : 'memory',
      };
    }
    const isHistoryCertain = this.isHistoryCertain(service, evidence);
    const only = this.versions.only(service, now);
    return isHistoryCertain && only !== undefined
      ? {version: only, source: 'only version'}
      : undefined;
  }

  /** Whether no version of the service can have gone unseen, before this node's start either. */
  private isHistoryCertain(
    service: ServiceName,
    evidence: OriginEvidence,
  ): boolean {
    const recordReadAt = this.versions.recordReadAt(service);
    if (recordReadAt === undefined || evidence === 'memory') return false;
    if (!this.knowsAllVersions) return false;
    if (evidence === 'store') return true;
    const currentSince = this.options.listCurrentSince();
    return currentSince !== undefined && currentSince <= recordReadAt;
  }

  private report(origins: readonly StreamOrigin[]): void {
    this.unreported.push(...origins);
    this.scheduleReport();
  }

  private scheduleReport(): void {
    if (this.isReportScheduled || this.unreported.length === 0) return;
    this.isReportScheduled = true;
    const {clock} = this.options;
    clock.schedule(after(clock.now(), REPORT_DELAY_MILLISECONDS), () => {
      this.isReportScheduled = false;
      // The next lease holder gets all of them from `setExchange`.
      const origins = this.unreported;
      this.unreported = [];
      this.exchange?.reportOrigins(origins);
    });
  }

  private versionsText(service: ServiceName, now: Instant): string {
    return this.versions
      .recent(service, now)
      .map(version => version ?? 'unknown')
      .sort()
      .join(' ');
  }

  private log(
    {id, stream, service}: ResumedStream,
    found: ReturnType<StreamContinuity['findOrigin']>,
    resumedAt: Instant,
  ): void {
    const {clock, emit} = this.options;
    const now = clock.now();
    emit(STREAM_RESUMED, {
      id,
      resumes: stream?.slice(0, MAXIMUM_LOGGED_CHARACTERS),
      service,
      source: found?.version === undefined ? 'unknown' : found.source,
      softwareVersion: found?.version,
      versions: this.versionsText(service, now),
      waited: Math.round(until(resumedAt, now)),
    });
  }
}
