/** Follows the platform's store: the route configuration and the list of endpoints. */

import type {
  Clock,
  EmitEvent,
  EndpointId,
  Instant,
  Random,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {EndpointTable, TableChange} from '@siskinmux/endpoints';
import {REAPPEARANCE_MILLISECONDS} from '@siskinmux/endpoints';
import type {ObjectStore, StoreChange, StoreObject} from '@siskinmux/ports';
import {StoredObjectInvalidError} from '@siskinmux/ports';
import {ENDPOINT_CHANGED, ENTRY_UNREADABLE} from './gateway_events.js';
import type {GatewayPlatform} from './gateway_platform.js';
import {KindFollower} from './kind_follower.js';
import type {RouteState} from './route_state.js';

/** Changes of the list gather this long; endpoints that leave serve on for two seconds. */
const ENDPOINT_GATHER_MILLISECONDS = 600;

/** What the view keeps up to date. */
export interface PlatformViewOptions {
  readonly platform: GatewayPlatform;
  readonly store: ObjectStore;
  readonly routes: RouteState;
  readonly table: EndpointTable;
  readonly clock: Clock;
  readonly random: Random;
  readonly emit: EmitEvent;
  readonly onEndpoints: (changes: readonly TableChange[]) => void;
}

/** What this node knows of the platform. */
export class PlatformView {
  private readonly followers: readonly KindFollower[];
  private hasEndpoints = false;

  private constructor(private readonly options: PlatformViewOptions) {
    const {platform} = options;
    this.followers = [
      this.follow(platform.configuration.kind, 0, {
        onList: ({objects}) => objects.forEach(this.takeConfiguration),
        onChanges: changes =>
          changes.forEach(({object, isRemoved}) => {
            if (!isRemoved) this.takeConfiguration(object);
          }),
      }),
      this.follow(platform.endpoints.kind, ENDPOINT_GATHER_MILLISECONDS, {
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
    return this.followers.every(follower => !follower.isLost);
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
    gatherMilliseconds: number,
    reader: Parameters<typeof KindFollower.create>[0]['reader'],
  ): KindFollower {
    return KindFollower.create({
      ...this.options,
      kind,
      gatherMilliseconds,
      reappearanceMilliseconds: REAPPEARANCE_MILLISECONDS,
      reader,
    });
  }

  private readonly takeConfiguration = (object: StoreObject): void => {
    const {platform, routes, emit} = this.options;
    const {kind, name, decode} = platform.configuration;
    if (object.name !== name) return;
    try {
      routes.take(decode(object.content));
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
  ): void {
    const {table} = this.options;
    this.noteChanges(
      table.apply(
        changes.map(({object, isRemoved}) => ({
          id: as<EndpointId>(object.name),
          description: isRemoved ? undefined : this.decode(object),
          isRemoved,
        })),
        mayReturnUntil,
      ),
    );
  }

  private decode(
    object: StoreObject,
  ): ReturnType<GatewayPlatform['endpoints']['decode']> {
    const {platform, clock, emit} = this.options;
    const {kind, decode} = platform.endpoints;
    const endpoint = decode(object, clock.now());
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
