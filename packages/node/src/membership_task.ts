/** Keeps the view of the other nodes: probes, gossip and the registry. */

import type {
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  Plugin,
  Random,
} from '@siskinmux/kernel';
import {SiskinmuxError, after, injectionKey, jitter} from '@siskinmux/kernel';
import type {Member, SelfDescription} from '@siskinmux/membership';
import {
  Membership,
  NodeRegistry,
  parseMemberUpdates,
} from '@siskinmux/membership';
import {Gauge} from 'prom-client';
import {z} from 'zod';
import type {Repetition} from '@siskinmux/runtime';
import {
  CLOCK,
  EMIT_EVENT,
  METRICS,
  NODE_IDENTITY,
  RANDOM,
  repeat,
  settingsSection,
  urlSchema,
} from '@siskinmux/runtime';
import {MEMBERSHIP_CHANGED, REGISTRY_FAILED} from './node_events.js';
import type {Peers} from './peers.js';
import {PEERS} from './peers.js';
import {PLATFORM} from './platform.js';

/** Pause between two probes. */
const PROBE_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

/** Time for a direct answer, and for one through helpers. */
const PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 400;
const HELPED_PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 900;

/** Members that are asked to probe one that does not answer. */
const HELPERS = 3;

/** Pause between two visits to the registry, spread by {@link REGISTRY_JITTER}. */
const REGISTRY_INTERVAL_MILLISECONDS: Milliseconds = 60_000;

/** Pause after a visit that failed. */
const REGISTRY_RETRY_MILLISECONDS: Milliseconds = 2_000;

const REGISTRY_JITTER = 0.5;

const section = settingsSection(
  'membership',
  z.strictObject({
    /** Peer addresses of some nodes, for a start while the platform is away. */
    seeds: z.array(urlSchema).default([]),
  }),
);

const PROBE = 'membership.probe';
const PROBE_FOR = 'membership.probe_for';
const JOIN = 'membership.join';
const LEAVE = 'membership.leave';

/** Numbers that travel with each probe, such as the configuration in force. */
export interface ProbeDigest {
  /** Value to send. */
  readonly current: () => number;
  /** Called when a peer has a larger one. */
  readonly onLarger: (address: string) => void;
}

const probeSchema = z.tuple([z.string(), z.unknown(), z.number()]);

/** Task that owns the membership. */
export class MembershipTask {
  readonly membership: Membership;
  private readonly probing: Repetition;
  private readonly visiting: Repetition;
  private digest: ProbeDigest | undefined;
  private hasRegistered = false;

  private constructor(
    private readonly options: {
      clock: Clock;
      random: Random;
      peers: Peers;
      self: SelfDescription;
      registry: NodeRegistry;
      /** Addresses of nodes to ask when the registry can't be read. */
      seeds: readonly string[];
      emit: EmitEvent;
    },
  ) {
    const {clock, random, self} = options;
    this.membership = Membership.create({self, clock, random});
    this.probing = repeat(clock, PROBE_INTERVAL_MILLISECONDS, () =>
      this.probeNext(),
    );
    this.visiting = repeat(
      clock,
      () => this.nextVisit(),
      () => this.visit(),
    );
    this.addMethods();
  }

  static create(options: MembershipTask['options']): MembershipTask {
    return new MembershipTask(options);
  }

  /** Sets what travels with each probe. */
  setProbeDigest(digest: ProbeDigest): void {
    this.digest = digest;
  }

  /** Joins the others; resolves when the registry was read or could not be. */
  async start(): Promise<void> {
    const {emit} = this.options;
    this.membership.onChange(() =>
      emit(MEMBERSHIP_CHANGED, {live: this.membership.live.length}),
    );
    await this.visit();
    this.visiting.startLater();
    this.probing.start();
  }

  /** Says goodbye, so that nobody has to suspect this node. */
  async leave(): Promise<void> {
    this.membership.leave();
    const updates = this.membership.updatesToSend();
    const until = this.soon(PROBE_TIMEOUT_MILLISECONDS);
    await Promise.allSettled(
      this.membership.others.map(member =>
        this.options.peers.call(member.address, LEAVE, [updates], until),
      ),
    );
    await this.options.registry.deregister().catch(() => {});
  }

  /** Ends probes and visits. */
  stop(): void {
    this.probing.stop();
    this.visiting.stop();
  }

  private addMethods(): void {
    const {peers} = this.options;
    peers.handle(PROBE, probeSchema, async ([from, updates, digest]) => {
      this.takeProbe(from, updates, digest);
      return [this.membership.updatesToSend(), this.digest?.current() ?? 0];
    });
    peers.handle(PROBE_FOR, z.tuple([z.string()]), async ([address]) => {
      const until = this.soon(PROBE_TIMEOUT_MILLISECONDS);
      await peers.call(address, PROBE, this.probeParams(), until);
      return true;
    });
    peers.handle(JOIN, z.tuple([z.unknown()]), async ([updates]) => {
      this.membership.merge(parseMemberUpdates(updates));
      return this.membership.allUpdates();
    });
    peers.handle(LEAVE, z.tuple([z.unknown()]), async ([updates]) => {
      this.membership.merge(parseMemberUpdates(updates));
      return true;
    });
  }

  private async probeNext(): Promise<void> {
    this.membership.processTimeouts();
    const target = this.membership.nextProbeTarget();
    if (target === undefined) return;
    try {
      await this.probe(target);
      this.membership.markReachable(target.id);
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      if (await this.isReachedByHelpers(target)) return;
      this.membership.markUnreachable(target.id);
    }
  }

  private async probe(target: Member): Promise<void> {
    const {peers} = this.options;
    const until = this.soon(PROBE_TIMEOUT_MILLISECONDS);
    const answer = await peers.call(
      target.address,
      PROBE,
      this.probeParams(),
      until,
    );
    const [updates, digest] = z.tuple([z.unknown(), z.number()]).parse(answer);
    this.takeProbe(target.address, updates, digest);
  }

  private async isReachedByHelpers(target: Member): Promise<boolean> {
    const until = this.soon(HELPED_PROBE_TIMEOUT_MILLISECONDS);
    const helpers = this.membership.selectIndirectProbers(target.id, HELPERS);
    const tries = helpers.map(helper =>
      this.options.peers.call(
        helper.address,
        PROBE_FOR,
        [target.address],
        until,
      ),
    );
    try {
      await Promise.any(tries);
      return true;
    } catch {
      return false;
    }
  }

  private probeParams(): unknown[] {
    const {address} = this.options.self;
    const updates = this.membership.updatesToSend();
    return [address, updates, this.digest?.current() ?? 0];
  }

  private takeProbe(address: string, updates: unknown, digest: number): void {
    this.membership.merge(parseMemberUpdates(updates));
    const {digest: carried} = this;
    if (carried !== undefined && digest > carried.current()) {
      carried.onLarger(address);
    }
  }

  /** Reads and tends the registry; joins whoever is not known yet. */
  private async visit(): Promise<void> {
    const {registry, emit} = this.options;
    try {
      const listed = await registry.readAll();
      await this.join(listed.map(({address}) => address));
      await registry.register(id => this.membership.isTerminated(id));
      this.hasRegistered = true;
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      this.hasRegistered = false;
      await this.join(this.options.seeds);
      emit(REGISTRY_FAILED, {failure: failure.message});
    }
  }

  private async join(addresses: readonly string[]): Promise<void> {
    const {peers, self} = this.options;
    const known = new Set(this.membership.others.map(({address}) => address));
    const strangers = addresses.filter(
      address => address !== self.address && !known.has(address),
    );
    const until = this.soon(PROBE_TIMEOUT_MILLISECONDS);
    await Promise.allSettled(
      strangers.map(async address => {
        const updates = this.membership.updatesToSend();
        const answer = await peers.call(address, JOIN, [updates], until);
        this.membership.merge(parseMemberUpdates(answer));
      }),
    );
  }

  private nextVisit(): Milliseconds {
    const pause = this.hasRegistered
      ? REGISTRY_INTERVAL_MILLISECONDS
      : REGISTRY_RETRY_MILLISECONDS;
    return jitter(this.options.random, pause, REGISTRY_JITTER);
  }

  private soon(milliseconds: Milliseconds): Instant {
    return after(this.options.clock.now(), milliseconds);
  }
}

/** Key of the membership task. */
export const MEMBERSHIP = injectionKey<MembershipTask>('membership');

/** Provides {@link MEMBERSHIP}, once the peer interface listens. */
export const membershipPlugin: Plugin = {
  name: 'membership',
  install(kernel) {
    const {id, failureDomain} = kernel.inject(NODE_IDENTITY);
    const peers = kernel.inject(PEERS);
    // The address is known only once the peer interface listens.
    const self: SelfDescription = {
      id,
      failureDomain,
      get address() {
        return peers.address;
      },
    };
    const task = MembershipTask.create({
      clock: kernel.inject(CLOCK),
      random: kernel.inject(RANDOM),
      peers,
      self,
      registry: NodeRegistry.create({
        objects: kernel.inject(PLATFORM).at('membership'),
        self,
      }),
      seeds: kernel.settings(section).seeds,
      emit: kernel.inject(EMIT_EVENT),
    });
    kernel.provide(MEMBERSHIP, task);
    kernel.inject(METRICS).registerMetric(
      new Gauge({
        name: 'siskinmux_live_nodes',
        help: 'Nodes that this one counts as live',
        registers: [],
        collect() {
          this.set(task.membership.live.length);
        },
      }),
    );
    kernel.addTask({
      name: 'membership',
      start: () => task.start(),
      drain: () => task.leave(),
      stop: () => task.stop(),
    });
  },
};
