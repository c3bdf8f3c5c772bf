/** Follows the platform's store: the route configuration and the list of endpoints. */

import type {
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Milliseconds,
  Random,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {
  EndpointDescription,
  EndpointTable,
  TableChange,
} from '@siskinmux/endpoints';
import {REAPPEARANCE_MILLISECONDS} from '@siskinmux/endpoints';
import type {ObjectStore, StoreChange, StoreObject} from '@siskinmux/ports';
import {StoredObjectInvalidError} from '@siskinmux/ports';
import type {FeedPart, FollowerProgress} from './change_feed.js';
import {ENDPOINT_CHANGED, ENTRY_UNREADABLE} from './gateway_events.js';
import type {GatewayPlatform} from './gateway_platform.js';
import {KindFollower} from './kind_follower.js';
import type {ActiveRoutes} from './route_state.js';

/** Changes of the list gather this long; endpoints that leave serve on for two seconds. */
const ENDPOINT_GATHER_MILLISECONDS = 600;

/** The same for a node that passes on what it reads, which takes a part of that time. */
const FEEDING_GATHER_MILLISECONDS = 300;

/** What the view keeps up to date. */
export interface PlatformViewOptions {
  readonly platform: GatewayPlatform;
  readonly store: ObjectStore;
  readonly routes: ActiveRoutes;
  readonly table: EndpointTable;
  readonly clock: Clock;
  readonly random: Random;
  readonly emit: EmitEvent;
  readonly onEndpoints: (changes: readonly TableChange[]) => void;
  /** Whether other nodes rely on what this one reads. */
  readonly isFeeding: () => boolean;
  readonly onProgress: (progress: FollowerProgress) => void;
}

/** What this node knows of the platform. */
export class PlatformView {
  private readonly followers: readonly KindFollower[];
  private hasEndpoints = false;

  private constructor(private readonly options: PlatformViewOptions) {
    const {platform} = options;
    this.followers = [
      this.follow(platform.configuration.kind, () => 0, {
        onList: ({objects}) => objects.forEach(this.takeConfiguration),
        onChanges: changes => {
          for (const {object, isRemoved} of changes) {
            if (!isRemoved) this.takeConfiguration(object);
          }
          return changes;
        },
      }),
      this.follow(platform.endpoints.kind, () => this.endpointGather(), {
        onList: ({objects}, mayReturnUntil) =>
          this.takeEndpoints(objects, mayReturnUntil),
        onChanges: (changes, mayReturnUntil) =>
          this.changeEndpoints(changes, mayReturnUntil),
      }),
    ];
  }

  static create(options: PlatformViewOptions): PlatformView {
    return new PlatformView(options);
  }

  /** Whether routes and endpoints have been read. */
  get isComplete(): boolean {
    return this.hasEndpoints && this.options.routes.current !== undefined;
  }

  /** Whether the store answered the last calls of this node. */
  get reachesStore(): boolean {
    return this.followers.every(follower => follower.reachesStore);
  }

  /** Takes over what the holder of the lease has read. */
  takeFeed(parts: readonly FeedPart[]): void {
    for (const part of parts) {
      const follower = this.followers.find(({kind}) => kind === part.kind);
      follower?.takeFeed(part);
    }
  }

  /** The holder of the lease is lost. */
  endFeed(): void {
    for (const follower of this.followers) follower.endFeed();
  }

  /** Follows until {@link stop}; rejects only for defects. */
  async run(): Promise<void> {
    await Promise.all(this.followers.map(follower => follower.run()));
  }

  stop(): void {
    for (const follower of this.followers) follower.stop();
  }

  private follow(
    kind: string,
    gatherMilliseconds: () => Milliseconds,
    reader: Parameters<typeof KindFollower.create>[0]['handler'],
  ): KindFollower {
    return KindFollower.create({
      ...this.options,
      kind,
      gatherMilliseconds,
      reappearanceMilliseconds: REAPPEARANCE_MILLISECONDS,
      handler: reader,
    });
  }

  private endpointGather(): Milliseconds {
    return this.options.isFeeding()
      ? FEEDING_GATHER_MILLISECONDS
      : ENDPOINT_GATHER_MILLISECONDS;
  }

  private readonly takeConfiguration = (object: StoreObject): void => {
    const {platform, routes, emit} = this.options;
    const {kind, name, decode} = platform.configuration;
    if (object.name !== name) return;
    try {
      routes.applyIfNewer(decode(object.content));
    } catch (failure) {
      if (!(failure instanceof StoredObjectInvalidError)) throw failure;
      emit(ENTRY_UNREADABLE, {
        kind,
        name,
        revision: object.revision,
        problem: failure.detail,
      });
    }
  };

  private takeEndpoints(
    objects: readonly StoreObject[],
    mayReturnUntil: Instant | undefined,
  ): void {
    const {table} = this.options;
    const readable = objects.flatMap(object => this.decode(object) ?? []);
    this.hasEndpoints = true;
    this.noteChanges(table.replaceAll(readable, mayReturnUntil));
  }

  private changeEndpoints(
    changes: readonly StoreChange[],
    mayReturnUntil: Instant | undefined,
  ): readonly StoreChange[] {
    const {table} = this.options;
    const applied = table.apply(
      changes.map(({object, isRemoved}) => ({
        id: as<EndpointId>(object.name),
        description: isRemoved ? undefined : this.decode(object),
        isRemoved,
      })),
      mayReturnUntil,
    );
    this.noteChanges(applied);
    const changed = new Set<string>(
      applied.filter(mattersToAll).map(({id}) => id),
    );
    return changes.filter(
      ({object, isRemoved}) => isRemoved || changed.has(object.name),
    );
  }

  private decode(
    object: StoreObject,
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

  private noteChanges(changes: readonly TableChange[]): void {
    if (changes.length === 0) return;
    for (const change of changes) this.log(change);
    this.options.onEndpoints(changes);
  }

  private log({id, before, now}: TableChange): void {
    const isSameLife =
      before !== undefined &&
      now !== undefined &&
      before.incarnation === now.incarnation &&
      before.isDraining === now.isDraining;
    if (isSameLife) return;
    this.options.emit(ENDPOINT_CHANGED, {
      endpoint: id,
      service: (now ?? before)?.service,
      address: now?.address,
      life: now?.incarnation,
      state: now === undefined ? 'gone' : now.isDraining ? 'draining' : 'ready',
    });
  }
}

/** Whether a change is of use to nodes that give no orders; loads and counts are not. */
function mattersToAll({before, now}: TableChange): boolean {
  if (before === undefined || now === undefined) return true;
  return usePart(before) !== usePart(now);
}

function usePart(endpoint: EndpointDescription): string {
  const {incarnation, service, address, failureDomain, slots} = endpoint;
  const {isDraining, models} = endpoint;
  const names = models.map(({model}) => model).join(' ');
  return [
    incarnation,
    service,
    address,
    failureDomain,
    slots,
    isDraining,
    names,
  ].join('\n');
}
