/** Maintains the membership: probes and gossip between nodes, and the node registry. */

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
import type {PeriodicJob} from '@siskinmux/runtime';
import {
  CLOCK,
  EMIT_EVENT,
  METRICS,
  NODE_IDENTITY,
  RANDOM,
  createPeriodicJob,
  settingsSection,
  urlSchema,
} from '@siskinmux/runtime';
import {MEMBERSHIP_CHANGED, REGISTRY_FAILED} from './node_events.js';
import type {Peers} from './peers.js';
import {PEERS} from './peers.js';
import {PLATFORM} from './platform.js';

/** Pause between two probes. */
const PROBE_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

/** Time limits of a direct and of an indirect probe. */
const PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 400;
const INDIRECT_PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 900;

/** Number of members that are requested to probe a member whose direct probe failed. */
const INDIRECT_PROBER_COUNT = 3;

/** Pause between two registry updates, randomized by {@link REGISTRY_JITTER}. */
const REGISTRY_INTERVAL_MILLISECONDS: Milliseconds = 60_000;

/** Pause after a failed registry update. */
const REGISTRY_RETRY_MILLISECONDS: Milliseconds = 2_000;

/** Relative jitter of the pause between registry updates. */
const REGISTRY_JITTER = 0.5;

const section = settingsSection(
  'membership',
  z.strictObject({
    /** Peer addresses of some nodes, used to join while the registry is unavailable. */
    seeds: z.array(urlSchema).default([]),
  }),
);

const PROBE_METHOD = 'membership.probe';
const PROBE_FOR_METHOD = 'membership.probe_for';
const JOIN_METHOD = 'membership.join';
const LEAVE_METHOD = 'membership.leave';

/** A version number exchanged with each probe, such as that of the active configuration. */
export interface ProbeDigest {
  /** Returns this node's value. */
  readonly current: () => number;
  /** Called with the address of a peer that sent a larger value. */
  readonly onNewer: (address: string) => void;
}

const probeSchema = z.tuple([z.string(), z.unknown(), z.number()]);

/** Task that owns the membership of this node. */
export class MembershipTask {
  readonly membership: Membership;
  private readonly probeJob: PeriodicJob;
  private readonly registryJob: PeriodicJob;
  private digest: ProbeDigest | undefined;
  private hasRegistered = false;

  private constructor(
    private readonly options: {
      clock: Clock;
      random: Random;
      peers: Peers;
      self: SelfDescription;
      registry: NodeRegistry;
      /** Addresses of nodes to join through when the registry can't be read. */
      seeds: readonly string[];
      emit: EmitEvent;
    },
  ) {
    const {clock, random, self} = options;
    this.membership = Membership.create({self, clock, random});
    this.probeJob = createPeriodicJob(clock, PROBE_INTERVAL_MILLISECONDS, () =>
      this.probeNext(),
    );
    this.registryJob = createPeriodicJob(
      clock,
      () => this.registryPause(),
      () => this.updateRegistry(),
    );
    this.registerMethods();
  }

  static create(options: MembershipTask['options']): MembershipTask {
    return new MembershipTask(options);
  }

  /** Sets the value that is exchanged with each probe. */
  setProbeDigest(digest: ProbeDigest): void {
    this.digest = digest;
  }

  /** Joins the other nodes; resolves after the first registry update, even if that failed. */
  async start(): Promise<void> {
    const {emit} = this.options;
    this.membership.onChange(() =>
      emit(MEMBERSHIP_CHANGED, {live: this.membership.live.length}),
    );
    await this.updateRegistry();
    this.registryJob.startAfterPause();
    this.probeJob.start();
  }

  /** Announces the departure, so that no peer needs to suspect this node. */
  async leave(): Promise<void> {
    this.membership.leave();
    const updates = this.membership.updatesToSend();
    const deadline = this.deadlineIn(PROBE_TIMEOUT_MILLISECONDS);
    await Promise.allSettled(
      this.membership.others.map(member =>
        this.options.peers.call(
          member.address,
          LEAVE_METHOD,
          [updates],
          deadline,
        ),
      ),
    );
    await this.options.registry.deregister().catch(() => {});
  }

  /** Stops probes and registry updates. */
  stop(): void {
    this.probeJob.stop();
    this.registryJob.stop();
  }

  private registerMethods(): void {
    const {peers} = this.options;
    peers.handle(PROBE_METHOD, probeSchema, async ([from, updates, digest]) => {
      this.mergeProbe(from, updates, digest);
      return [this.membership.updatesToSend(), this.digest?.current() ?? 0];
    });
    peers.handle(PROBE_FOR_METHOD, z.tuple([z.string()]), async ([address]) => {
      const deadline = this.deadlineIn(PROBE_TIMEOUT_MILLISECONDS);
      await peers.call(address, PROBE_METHOD, this.probeParams(), deadline);
      return true;
    });
    peers.handle(JOIN_METHOD, z.tuple([z.unknown()]), async ([updates]) => {
      this.membership.merge(parseMemberUpdates(updates));
      return this.membership.allUpdates();
    });
    peers.handle(LEAVE_METHOD, z.tuple([z.unknown()]), async ([updates]) => {
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
      if (await this.isReachableIndirectly(target)) return;
      this.membership.markUnreachable(target.id);
    }
  }

  private async probe(target: Member): Promise<void> {
    const {peers} = this.options;
    const deadline = this.deadlineIn(PROBE_TIMEOUT_MILLISECONDS);
    const response = await peers.call(
      target.address,
      PROBE_METHOD,
      this.probeParams(),
      deadline,
    );
    const [updates, digest] = z
      .tuple([z.unknown(), z.number()])
      .parse(response);
    this.mergeProbe(target.address, updates, digest);
  }

  private async isReachableIndirectly(target: Member): Promise<boolean> {
    const deadline = this.deadlineIn(INDIRECT_PROBE_TIMEOUT_MILLISECONDS);
    const probers = this.membership.selectIndirectProbers(
      target.id,
      INDIRECT_PROBER_COUNT,
    );
    const attempts = probers.map(prober =>
      this.options.peers.call(
        prober.address,
        PROBE_FOR_METHOD,
        [target.address],
        deadline,
      ),
    );
    try {
      await Promise.any(attempts);
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

  private mergeProbe(address: string, updates: unknown, digest: number): void {
    this.membership.merge(parseMemberUpdates(updates));
    const {digest: ownDigest} = this;
    if (ownDigest !== undefined && digest > ownDigest.current()) {
      ownDigest.onNewer(address);
    }
  }

  /** Reads the registry, joins unknown nodes, registers this one and removes terminated ones. */
  private async updateRegistry(): Promise<void> {
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
    const unknownAddresses = addresses.filter(
      address => address !== self.address && !known.has(address),
    );
    const deadline = this.deadlineIn(PROBE_TIMEOUT_MILLISECONDS);
    await Promise.allSettled(
      unknownAddresses.map(async address => {
        const updates = this.membership.updatesToSend();
        const response = await peers.callForLargeResponse(
          address,
          JOIN_METHOD,
          [updates],
          deadline,
        );
        this.membership.merge(parseMemberUpdates(response));
      }),
    );
  }

  private registryPause(): Milliseconds {
    const pause = this.hasRegistered
      ? REGISTRY_INTERVAL_MILLISECONDS
      : REGISTRY_RETRY_MILLISECONDS;
    return jitter(this.options.random, pause, REGISTRY_JITTER);
  }

  private deadlineIn(milliseconds: Milliseconds): Instant {
    return after(this.options.clock.now(), milliseconds);
  }
}

/** Injection key of the membership task. */
export const MEMBERSHIP = injectionKey<MembershipTask>('membership');

/** Provides {@link MEMBERSHIP}. */
export const membershipPlugin: Plugin = {
  name: 'membership',
  install(kernel) {
    const {id, failureDomain} = kernel.inject(NODE_IDENTITY);
    const peers = kernel.inject(PEERS);
    // A getter, because the address is known only once the peer interface listens.
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
