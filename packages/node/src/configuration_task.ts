/**
 * Keeps the newest configuration active on this node. A few nodes watch the object
 * service and announce new configurations to random peers, which announce them in turn.
 * All other nodes poll the object service at long intervals, in case announcements were
 * lost.
 */

import type {
  Clock,
  ConfigurationNumber,
  EmitEvent,
  Milliseconds,
  NodeId,
  Plugin,
  Random,
} from '@siskinmux/kernel';
import {
  SiskinmuxError,
  after,
  as,
  injectionKey,
  jitter,
  sleepFor,
} from '@siskinmux/kernel';
import type {VersionedHead} from '@siskinmux/configuration';
import {
  ConfigurationState,
  ConfigurationStore,
  HEAD_KEY,
  parsePatches,
  parseSnapshot,
} from '@siskinmux/configuration';
import type {ExpectedVersion, ObjectService} from '@siskinmux/ports';
import type {Membership} from '@siskinmux/membership';
import {rankMembers} from '@siskinmux/routing';
import {Gauge} from 'prom-client';
import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {
  CLOCK,
  EMIT_EVENT,
  METRICS,
  NODE_IDENTITY,
  RANDOM,
} from '@siskinmux/runtime';
import {MEMBERSHIP} from './membership_task.js';
import {
  CONFIGURATION_ACTIVATED,
  CONFIGURATION_READ_FAILED,
} from './node_events.js';
import type {Peers} from './peers.js';
import {PEERS} from './peers.js';
import {PLATFORM} from './platform.js';

/** Number of nodes that watch the object service. */
const WATCHER_COUNT = 4;

/** Time limit of one watch call. */
const WATCH_TIMEOUT_MILLISECONDS: Milliseconds = 20_000;

/** Polling interval of a node that does not watch, randomized by the jitter. */
const POLL_INTERVAL_MILLISECONDS: Milliseconds = 30_000;
const POLL_JITTER = 0.5;

/**
 * Pause after a failed call, and interval at which a polling node checks whether it has
 * become a watcher.
 */
const RETRY_DELAY_MILLISECONDS: Milliseconds = 1_000;

/** Number of peers to which a newer configuration is announced. */
const ANNOUNCEMENT_FANOUT = 3;

/** Time limit of a call to a peer, or of its response's head. */
const PEER_TIMEOUT_MILLISECONDS: Milliseconds = 1_000;

const ANNOUNCE_METHOD = 'configuration.announce';
const UPDATE_SINCE_METHOD = 'configuration.update_since';

const updateSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('current')}),
  z.object({kind: z.literal('patches'), patches: z.unknown()}),
  z.object({
    kind: z.literal('whole'),
    number: z.number().int(),
    declarations: z.unknown(),
  }),
]);

interface ConfigurationTaskOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly node: NodeId;
  readonly objects: ObjectService;
  readonly peers: Peers;
  readonly membership: Membership;
  readonly emit: EmitEvent;
}

/** Task that owns the active configuration. */
export class ConfigurationTask {
  readonly state = ConfigurationState.create();
  readonly store: ConfigurationStore;
  private seenHeadVersion: ExpectedVersion = 'absent';
  private isStopped = false;
  private pendingPull: Promise<void> | undefined;
  /** The peer that was last named as a source while a pull was in progress. */
  private nextSource: string | undefined;

  private constructor(private readonly options: ConfigurationTaskOptions) {
    const {objects, clock, emit, peers} = options;
    this.store = ConfigurationStore.create({
      objects,
      clock,
      createId: randomUUID,
    });
    this.state.onAdvance(({number}) => {
      emit(CONFIGURATION_ACTIVATED, {number});
      this.announce();
    });
    peers.handle(
      ANNOUNCE_METHOD,
      z.tuple([z.string(), z.number().int()]),
      async ([address, number]) => {
        if (number > this.state.current.number) void this.pullFrom(address);
        return true;
      },
    );
    peers.handle(
      UPDATE_SINCE_METHOD,
      z.tuple([z.number().int()]),
      async ([number]) =>
        this.state.updateSince(as<ConfigurationNumber>(number)),
    );
  }

  static create(options: ConfigurationTaskOptions): ConfigurationTask {
    return new ConfigurationTask(options);
  }

  /** Reads the newest configuration from the object service, or else from a peer. */
  async start(): Promise<void> {
    const isRead = await this.refresh();
    if (!isRead) await this.pullFromPeers();
    void this.watchOrPoll();
  }

  /** Ends watching and polling after the call in progress. */
  stop(): void {
    this.isStopped = true;
  }

  /** Reads the object service now; returns false when that failed. */
  async refresh(): Promise<boolean> {
    try {
      await this.applyHead(await this.store.readHead());
      return true;
    } catch (failure) {
      this.reportFailure(failure);
      return false;
    }
  }

  /**
   * Fetches the configuration changes that this node lacks from a peer. While a pull is in
   * progress, only the last of the other peers is kept and asked afterwards: copies of a large
   * configuration would share this node's link.
   */
  pullFrom(address: string): Promise<void> {
    if (this.pendingPull !== undefined) this.nextSource = address;
    this.pendingPull ??= this.pullInTurn(address);
    return this.pendingPull;
  }

  private async pullInTurn(address: string): Promise<void> {
    try {
      let source: string | undefined = address;
      while (source !== undefined) {
        await this.pullOnce(source);
        source = this.takeNextSource();
      }
    } finally {
      this.pendingPull = undefined;
    }
  }

  private takeNextSource(): string | undefined {
    const {nextSource} = this;
    this.nextSource = undefined;
    return nextSource;
  }

  private async pullOnce(address: string): Promise<void> {
    const {clock, peers} = this.options;
    try {
      const headUntil = after(clock.now(), PEER_TIMEOUT_MILLISECONDS);
      const since = this.state.current.number;
      const update = await peers.callForLargeResponse(
        address,
        UPDATE_SINCE_METHOD,
        [since],
        headUntil,
      );
      this.applyUpdate(updateSchema.parse(update));
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
    }
  }

  private async pullFromPeers(): Promise<void> {
    for (const member of this.options.membership.others) {
      await this.pullFrom(member.address);
      if (this.state.current.number > 0) return;
    }
  }

  private applyUpdate(update: z.infer<typeof updateSchema>): void {
    if (update.kind === 'patches') {
      this.state.applyPatches(parsePatches(update.patches));
    } else if (update.kind === 'whole') {
      const text = JSON.stringify(update.declarations);
      this.state.applySnapshot({
        number: as<ConfigurationNumber>(update.number),
        declarations: parseSnapshot('peer', text),
      });
    }
  }

  private async watchOrPoll(): Promise<void> {
    const {random} = this.options;
    while (!this.isStopped) {
      if (this.isWatcher()) {
        await this.watchOnce();
      } else {
        const pause = jitter(random, POLL_INTERVAL_MILLISECONDS, POLL_JITTER);
        await this.sleepUnlessWatcher(pause);
        await this.refresh();
      }
    }
  }

  private async watchOnce(): Promise<void> {
    const {clock, objects} = this.options;
    try {
      const deadline = after(clock.now(), WATCH_TIMEOUT_MILLISECONDS);
      const stored = await objects.watch(
        HEAD_KEY,
        this.seenHeadVersion,
        deadline,
      );
      if (stored !== undefined)
        await this.applyHead(this.store.decodeHead(stored));
    } catch (failure) {
      this.reportFailure(failure);
      await sleepFor(clock, RETRY_DELAY_MILLISECONDS);
    }
  }

  private async applyHead({head, version}: VersionedHead): Promise<void> {
    this.seenHeadVersion = version;
    const {number} = this.state.current;
    if (head.number <= number) return;
    const [first] = head.patches;
    const isContiguous = first !== undefined && first.number <= number + 1;
    if (isContiguous) this.state.applyPatches(head.patches);
    else this.state.applySnapshot(await this.store.load(head));
  }

  private announce(): void {
    const {clock, peers, membership} = this.options;
    const deadline = after(clock.now(), PEER_TIMEOUT_MILLISECONDS);
    const params = [peers.address, this.state.current.number];
    for (const member of membership.randomMembers(ANNOUNCEMENT_FANOUT)) {
      peers
        .call(member.address, ANNOUNCE_METHOD, params, deadline)
        .catch(() => {});
    }
  }

  private isWatcher(): boolean {
    const {membership, node} = this.options;
    const ranked = rankMembers('configuration watch', membership.live);
    return ranked.slice(0, WATCHER_COUNT).includes(node);
  }

  /** Sleeps for `pause`; ends within a second after this node has become a watcher. */
  private async sleepUnlessWatcher(pause: Milliseconds): Promise<void> {
    const {clock} = this.options;
    const wakeAt = after(clock.now(), pause);
    while (clock.now() < wakeAt && !this.isStopped && !this.isWatcher()) {
      await sleepFor(clock, RETRY_DELAY_MILLISECONDS);
    }
  }

  private reportFailure(failure: unknown): void {
    if (!(failure instanceof SiskinmuxError)) throw failure;
    this.options.emit(CONFIGURATION_READ_FAILED, {failure: failure.message});
  }
}

/** Injection key of the configuration task. */
export const CONFIGURATION = injectionKey<ConfigurationTask>('configuration');

/** Provides {@link CONFIGURATION}. */
export const configurationPlugin: Plugin = {
  name: 'configuration',
  install(kernel) {
    const membership = kernel.inject(MEMBERSHIP);
    const task = ConfigurationTask.create({
      clock: kernel.inject(CLOCK),
      random: kernel.inject(RANDOM),
      node: kernel.inject(NODE_IDENTITY).id,
      objects: kernel.inject(PLATFORM).at('configuration'),
      peers: kernel.inject(PEERS),
      membership: membership.membership,
      emit: kernel.inject(EMIT_EVENT),
    });
    kernel.provide(CONFIGURATION, task);
    membership.setProbeDigest({
      current: () => task.state.current.number,
      onNewer: address => void task.pullFrom(address),
    });
    kernel.inject(METRICS).registerMetric(
      new Gauge({
        name: 'siskinmux_configuration_number',
        help: 'Number of the configuration in force',
        registers: [],
        collect() {
          this.set(task.state.current.number);
        },
      }),
    );
    kernel.addTask({
      name: 'configuration',
      start: () => task.start(),
      stop: () => task.stop(),
    });
  },
};
