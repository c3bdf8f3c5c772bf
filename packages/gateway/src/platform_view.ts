/** Keeps the route configuration and the endpoint table up to date with the platform's store. */

import type {
  EndpointDescription,
  EndpointTable,
  EndpointTableChange,
} from '@siskinmux/endpoints';
import {REREGISTRATION_GRACE_MILLISECONDS} from '@siskinmux/endpoints';
import type {
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
  Random,
} from '@siskinmux/kernel';
import {as, later, until} from '@siskinmux/kernel';
import type {
  MetadataChange,
  MetadataObject,
  MetadataStore,
} from '@siskinmux/ports';
import {StoredObjectInvalidError} from '@siskinmux/ports';
import type {RouteVersion} from '@siskinmux/routes';
import type {ActiveRoutes, ChangeOrigin} from './active_routes.js';
import type {FeedUpdate, KindRead} from './change_feed.js';
import {ENDPOINT_CHANGED, ENTRY_UNREADABLE} from './gateway_events.js';
import type {GatewayPlatform} from './gateway_platform.js';
import type {ReadContext} from './kind_watcher.js';
import {KindWatcher} from './kind_watcher.js';
import type {ViewAgeLimits} from './view_age_limits.js';

/** Entries expire after three missed heartbeats, so hardly in an outage of two. */
const OUTAGE_HEARTBEATS = 2;

/** Dependencies of {@link PlatformView}. */
export interface PlatformViewOptions {
  readonly platform: GatewayPlatform;
  readonly store: MetadataStore;
  readonly routes: ActiveRoutes;
  readonly table: EndpointTable;
  readonly clock: Clock;
  readonly random: Random;
  readonly emit: EmitEvent;
  readonly ageLimits: ViewAgeLimits;
  /** Interval at which endpoints renew their entries. */
  readonly endpointHeartbeatMilliseconds: Milliseconds;
  readonly onEndpointChanges: (changes: readonly EndpointTableChange[]) => void;
  /** Whether other nodes rely on this node's reads. */
  readonly isFeedSource: () => boolean;
  /** Number of nodes that read the store. */
  readonly nodeCount: () => number;
  readonly onRead: (read: KindRead) => void;
}

/** Ages of what this node knows; undefined before the first read. */
export interface ViewAge {
  readonly routes: Milliseconds | undefined;
  readonly endpoints: Milliseconds | undefined;
}

/** This node's view of the platform. */
export class PlatformView {
  private readonly watchers: readonly KindWatcher[];
  private hasReadEndpoints = false;

  private constructor(private readonly options: PlatformViewOptions) {
    const {platform} = options;
    this.watchers = [
      this.createWatcher(platform.configuration.kind, () => 0, {
        onList: ({objects}, context) => {
          for (const object of objects)
            this.applyConfiguration(object, context);
        },
        onChanges: (changes, context) => {
          for (const {object, isRemoved} of changes) {
            if (!isRemoved) this.applyConfiguration(object, context);
          }
          return changes;
        },
      }),
      this.createWatcher(
        platform.endpoints.kind,
        () => this.endpointBatchMilliseconds(),
        {
          onList: ({objects}, context) =>
            this.replaceEndpoints(objects, context),
          onChanges: (changes, context) =>
            this.applyEndpointChanges(changes, context),
        },
      ),
    ];
  }

  static create(options: PlatformViewOptions): PlatformView {
    return new PlatformView(options);
  }

  /** Whether the route configuration and the endpoints have been read. */
  get isLoaded(): boolean {
    return this.hasReadEndpoints && this.options.routes.current !== undefined;
  }

  /** Whether the store has responded recently for every kind. */
  get reachesStore(): boolean {
    return this.watchers.every(watcher => watcher.reachesStore);
  }

  /** Since when the list of endpoints has been up to date; see {@link KindWatcher}. */
  get endpointListCurrentSince(): Instant | undefined {
    const {kind} = this.options.platform.endpoints;
    return this.watchers.find(watcher => watcher.kind === kind)?.currentSince;
  }

  /** All changes of endpoints that the store acknowledged before this are known. */
  get endpointsKnownUntil(): Instant | undefined {
    const {kind} = this.options.platform.endpoints;
    return this.watchers.find(watcher => watcher.kind === kind)?.knownUntil;
  }

  /** Reads the endpoints at once; see {@link KindWatcher.refresh}. */
  refreshEndpoints(deadline: Instant): Promise<boolean> {
    const {kind} = this.options.platform.endpoints;
    const watcher = this.watchers.find(candidate => candidate.kind === kind);
    return watcher?.refresh(deadline) ?? Promise.resolve(false);
  }

  /** Up to when the store's changes of any kind are known, by this node's reads or the feed. */
  get latestKnownUntil(): Instant | undefined {
    return this.watchers
      .flatMap(({knownUntil}) => knownUntil ?? [])
      .reduce<Instant | undefined>(
        (latest, instant) => later(latest ?? instant, instant),
        undefined,
      );
  }

  /** Version of the routes; undefined until the first configuration has been read. */
  get routesVersion(): RouteVersion | undefined {
    return this.options.routes.current?.configuration.version;
  }

  /** How old this node's knowledge is now, at most; see {@link KindWatcher.knownUntil}. */
  get age(): ViewAge {
    const {platform, clock} = this.options;
    const now = clock.now();
    const ageOf = (wanted: string): Milliseconds | undefined => {
      const watcher = this.watchers.find(({kind}) => kind === wanted);
      const knownUntil = watcher?.knownUntil;
      return knownUntil === undefined
        ? undefined
        : Math.round(until(knownUntil, now));
    };
    return {
      routes: ageOf(platform.configuration.kind),
      endpoints: ageOf(platform.endpoints.kind),
    };
  }

  /** Applies what the lease holder has read. */
  applyFeed(
    updates: readonly FeedUpdate[],
    writtenAfter: Instant | undefined,
  ): void {
    for (const update of updates) {
      const watcher = this.watchers.find(({kind}) => kind === update.kind);
      watcher?.applyFeed(update, writtenAfter);
    }
  }

  /** Whether everything that is known is recent. */
  get isCurrent(): boolean {
    return this.watchers.every(watcher => watcher.isCurrent);
  }

  /** Whether this node knows every change of the routes that has to be in force. */
  get areRoutesCurrent(): boolean {
    const {kind} = this.options.platform.configuration;
    const watcher = this.watchers.find(candidate => candidate.kind === kind);
    return watcher?.isCurrent ?? false;
  }

  /** Whether requests may be routed and sent by what is known; see {@link KindWatcher}. */
  get isDecidable(): boolean {
    return this.watchers.every(watcher => watcher.isDecidable);
  }

  /** Resolves once {@link isDecidable} holds, or at the deadline, or on abortion. */
  async waitUntilDecidable(
    deadline: Instant,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.options;
    // The knowledge of one kind may become too old while that of another is waited for.
    while (!this.isDecidable && !signal.aborted && clock.now() < deadline) {
      await Promise.all(
        this.watchers.map(watcher =>
          watcher.waitUntilDecidable(deadline, signal),
        ),
      );
    }
  }

  /** Called when the connection to the lease holder is lost. */
  endFeed(): void {
    for (const watcher of this.watchers) watcher.endFeed();
  }

  /** Watches the store until {@link stop}; rejects only on programming errors. */
  async run(): Promise<void> {
    await Promise.all(this.watchers.map(watcher => watcher.run()));
  }

  stop(): void {
    for (const watcher of this.watchers) watcher.stop();
  }

  private createWatcher(
    kind: string,
    batchMilliseconds: () => Milliseconds,
    handler: Parameters<typeof KindWatcher.create>[0]['handler'],
  ): KindWatcher {
    return KindWatcher.create({
      ...this.options,
      kind,
      batchMilliseconds,
      outageMilliseconds:
        OUTAGE_HEARTBEATS * this.options.endpointHeartbeatMilliseconds,
      reregistrationGraceMilliseconds: REREGISTRATION_GRACE_MILLISECONDS,
      handler,
    });
  }

  private endpointBatchMilliseconds(): Milliseconds {
    const {isFeedSource, ageLimits} = this.options;
    return isFeedSource() ? ageLimits.feedSourceBatch : ageLimits.batch;
  }

  private applyConfiguration(
    object: MetadataObject,
    context: ReadContext,
  ): void {
    const {platform, routes, emit} = this.options;
    const {kind, name, decode} = platform.configuration;
    if (object.name !== name) return;
    try {
      routes.applyIfNewer(decode(object.content), this.originOf(context));
    } catch (failure) {
      if (!(failure instanceof StoredObjectInvalidError)) throw failure;
      emit(ENTRY_UNREADABLE, {
        kind,
        name,
        revision: object.revision,
        problem: failure.detail,
      });
    }
  }

  private replaceEndpoints(
    objects: readonly MetadataObject[],
    context: ReadContext,
  ): void {
    const {table, clock} = this.options;
    const {keepMissingUntil, isOlderCopy} = context;
    const readable = objects.flatMap(object => this.decode(object) ?? []);
    this.hasReadEndpoints = true;
    const changes =
      isOlderCopy && keepMissingUntil !== undefined
        ? table.replaceByOlder(readable, keepMissingUntil, clock.now())
        : table.replaceAll(readable, keepMissingUntil);
    this.publishChanges(changes, context);
  }

  private applyEndpointChanges(
    changes: readonly MetadataChange[],
    context: ReadContext,
  ): readonly MetadataChange[] {
    const {table} = this.options;
    const entries = changes.map(({object, isRemoved}) => ({
      id: as<EndpointId>(object.name),
      description: isRemoved ? undefined : this.decode(object),
      isRemoved,
    }));
    // A follower may know less than this node keeps beyond what is listed.
    const changed = new Set<string>(
      entries
        .filter(({id, description}) =>
          isNeededByFollowers(table.listedEntry(id), description),
        )
        .map(({id}) => id),
    );
    this.publishChanges(
      table.apply(entries, context.keepMissingUntil),
      context,
    );
    return changes.filter(
      ({object, isRemoved}) => isRemoved || changed.has(object.name),
    );
  }

  private decode(
    object: MetadataObject,
  ): ReturnType<GatewayPlatform['endpoints']['decode']> {
    const {platform, emit} = this.options;
    const {kind, decode} = platform.endpoints;
    const endpoint = decode(object);
    if (endpoint === undefined) {
      emit(ENTRY_UNREADABLE, {
        kind,
        name: object.name,
        revision: object.revision,
      });
    }
    return endpoint;
  }

  private publishChanges(
    changes: readonly EndpointTableChange[],
    context: ReadContext,
  ): void {
    if (changes.length === 0) return;
    for (const change of changes) this.logChange(change, context);
    this.options.onEndpointChanges(changes);
  }

  /** How a change reached this node, for the log, with its greatest possible delay. */
  private originOf({source, knownUntil}: ReadContext): ChangeOrigin {
    const now = this.options.clock.now();
    const delayUpTo =
      knownUntil === undefined ? undefined : Math.round(until(knownUntil, now));
    return {source, delayUpTo};
  }

  private logChange(
    {id, before, now}: EndpointTableChange,
    context: ReadContext,
  ): void {
    const hasSameState =
      before !== undefined &&
      now !== undefined &&
      before.incarnation === now.incarnation &&
      before.isDraining === now.isDraining;
    if (hasSameState) return;
    this.options.emit(ENDPOINT_CHANGED, {
      endpoint: id,
      service: (now ?? before)?.service,
      address: now?.address,
      life: now?.incarnation,
      softwareVersion: now?.softwareVersion,
      state: now === undefined ? 'gone' : now.isDraining ? 'draining' : 'ready',
      ...this.originOf(context),
    });
  }
}

/**
 * Whether followers of the lease holder need a change. They only choose endpoints, so
 * changes of adapters, local weight copies and order counts are not forwarded to them.
 */
function isNeededByFollowers(
  before: EndpointDescription | undefined,
  now: EndpointDescription | undefined,
): boolean {
  if (before === undefined || now === undefined) return before !== now;
  return forwardedFields(before) !== forwardedFields(now);
}

function forwardedFields(endpoint: EndpointDescription): string {
  const {incarnation, service, address, failureDomain, slots} = endpoint;
  const {isDraining, models, softwareVersion} = endpoint;
  const names = models.map(({model}) => model).join(' ');
  return [
    incarnation,
    softwareVersion,
    service,
    address,
    failureDomain,
    slots,
    isDraining,
    names,
  ].join('\n');
}
