/**
 * Keeps the newest configuration in force on this node. A few nodes watch the
 * object service; news then travels from node to node, and every node also looks
 * for itself now and then.
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
  CONFIGURATION_IN_FORCE,
  CONFIGURATION_READ_FAILED,
} from './node_events.js';
import type {Peers} from './peers.js';
import {PEERS} from './peers.js';
import {PLATFORM} from './platform.js';

/** Nodes that watch the object service. */
const WATCHERS = 4;

/** Longest wait of one watch. */
const WATCH_MILLISECONDS: Milliseconds = 20_000;

/** Pause between two looks of a node that does not watch, spread by jitter. */
const LOOK_INTERVAL_MILLISECONDS: Milliseconds = 30_000;
const LOOK_JITTER = 0.5;

/** Pause after the object service did not answer. */
const RETRY_MILLISECONDS: Milliseconds = 1_000;

/** Peers that are told at once of a newer configuration. */
const ANNOUNCE_TO = 3;

/** Time for a peer's answer. */
const PEER_TIMEOUT_MILLISECONDS: Milliseconds = 1_000;

const ANNOUNCE = 'configuration.announce';
const UPDATE_SINCE = 'configuration.update_since';

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

/** Task that owns the configuration in force. */
export class ConfigurationTask {
  readonly state = ConfigurationState.create();
  readonly store: ConfigurationStore;
  private seenVersion: ExpectedVersion = 'absent';
  private isStopped = false;
  private readonly pulling = new Set<string>();

  private constructor(private readonly options: ConfigurationTaskOptions) {
    const {objects, clock, emit, peers} = options;
    this.store = ConfigurationStore.create({
      objects,
      clock,
      createId: randomUUID,
    });
    this.state.onAdvance(({number}) => {
      emit(CONFIGURATION_IN_FORCE, {number});
      this.announce();
    });
    peers.handle(
      ANNOUNCE,
      z.tuple([z.string(), z.number().int()]),
      async ([address, number]) => {
        if (number > this.state.current.number) void this.pullFrom(address);
        return true;
      },
    );
    peers.handle(UPDATE_SINCE, z.tuple([z.number().int()]), async ([number]) =>
      this.state.updateSince(as<ConfigurationNumber>(number)),
    );
  }

  static create(options: ConfigurationTaskOptions): ConfigurationTask {
    return new ConfigurationTask(options);
  }

  /** Reads the newest configuration from the object service, or else from a peer. */
  async start(): Promise<void> {
    const isRead = await this.look();
    if (!isRead) await this.pullFromAnyone();
    void this.follow();
  }

  /** Ends the watch. */
  stop(): void {
    this.isStopped = true;
  }

  /** Looks at the object service now; false when it did not answer. */
  async look(): Promise<boolean> {
    try {
      await this.take(await this.store.readHead());
      return true;
    } catch (failure) {
      this.noteFailure(failure);
      return false;
    }
  }

  /** Asks a peer for what this node lacks. */
  async pullFrom(address: string): Promise<void> {
    if (this.pulling.has(address)) return;
    this.pulling.add(address);
    const {clock, peers} = this.options;
    try {
      const until = after(clock.now(), PEER_TIMEOUT_MILLISECONDS);
      const since = this.state.current.number;
      const answer = await peers.call(address, UPDATE_SINCE, [since], until);
      this.takeUpdate(updateSchema.parse(answer));
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
    } finally {
      this.pulling.delete(address);
    }
  }

  private async pullFromAnyone(): Promise<void> {
    for (const member of this.options.membership.others) {
      await this.pullFrom(member.address);
      if (this.state.current.number > 0) return;
    }
  }

  private takeUpdate(update: z.infer<typeof updateSchema>): void {
    if (update.kind === 'patches') {
      this.state.applyPatches(parsePatches(update.patches));
    } else if (update.kind === 'whole') {
      const whole = JSON.stringify(update.declarations);
      this.state.applySnapshot({
        number: as<ConfigurationNumber>(update.number),
        declarations: parseSnapshot('peer', whole),
      });
    }
  }

  private async follow(): Promise<void> {
    const {random} = this.options;
    while (!this.isStopped) {
      if (this.isWatcher()) {
        await this.watchOnce();
      } else {
        const pause = jitter(random, LOOK_INTERVAL_MILLISECONDS, LOOK_JITTER);
        await this.sleepWhileNoWatcher(pause);
        await this.look();
      }
    }
  }

  private async watchOnce(): Promise<void> {
    const {clock, objects} = this.options;
    try {
      const until = after(clock.now(), WATCH_MILLISECONDS);
      const stored = await objects.watch(HEAD_KEY, this.seenVersion, until);
      if (stored !== undefined) await this.take(this.store.decodeHead(stored));
    } catch (failure) {
      this.noteFailure(failure);
      await sleepFor(clock, RETRY_MILLISECONDS);
    }
  }

  private async take({head, version}: VersionedHead): Promise<void> {
    this.seenVersion = version;
    const {number} = this.state.current;
    if (head.number <= number) return;
    const [first] = head.patches;
    const isContinued = first !== undefined && first.number <= number + 1;
    if (isContinued) this.state.applyPatches(head.patches);
    else this.state.applySnapshot(await this.store.load(head));
  }

  private announce(): void {
    const {clock, peers, membership} = this.options;
    const until = after(clock.now(), PEER_TIMEOUT_MILLISECONDS);
    const params = [peers.address, this.state.current.number];
    for (const member of membership.randomMembers(ANNOUNCE_TO)) {
      peers.call(member.address, ANNOUNCE, params, until).catch(() => {});
    }
  }

  private isWatcher(): boolean {
    const {membership, node} = this.options;
    const ranked = rankMembers('configuration watch', membership.live);
    return ranked.slice(0, WATCHERS).includes(node);
  }

  /** A node that becomes a watcher starts to watch within a second. */
  private async sleepWhileNoWatcher(pause: Milliseconds): Promise<void> {
    const {clock} = this.options;
    const end = after(clock.now(), pause);
    while (clock.now() < end && !this.isStopped && !this.isWatcher()) {
      await sleepFor(clock, RETRY_MILLISECONDS);
    }
  }

  private noteFailure(failure: unknown): void {
    if (!(failure instanceof SiskinmuxError)) throw failure;
    this.options.emit(CONFIGURATION_READ_FAILED, {failure: failure.message});
  }
}

/** Key of the configuration task. */
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
      onLarger: address => void task.pullFrom(address),
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
