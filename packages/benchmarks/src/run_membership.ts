/**
 * `npm run bench:membership`: simulates probes to compare detection time and false
 * suspicions.
 */

import type {FailureDomain, NodeId, Random} from '@siskinmux/kernel';
import {after, as, sleepFor} from '@siskinmux/kernel';
import type {Member} from '@siskinmux/membership';
import {Membership} from '@siskinmux/membership';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import {percentile} from './bounds.js';

const SEED = 1;
const PROBE_INTERVAL_MILLISECONDS = 1_000;
const NETWORK_DELAY_MILLISECONDS = 2;
const INDIRECT_PROBERS = 3;
const OBSERVATION_MILLISECONDS = 60_000;
const CRASH_COUNT = 5;
const FLEET_SIZES = [7, 50];
const LOSS_RATES = [0, 0.01, 0.05, 0.15];
const PAUSES_MILLISECONDS = [0, 1_500, 4_000];

interface DetectionResult {
  readonly detectionMilliseconds: readonly number[];
  readonly falseDeaths: number;
  readonly falseSuspicions: number;
}

/** Nodes that probe each other over a lossy network, in virtual time. */
class ProbingFleet {
  private readonly clock = VirtualClock.create();
  private readonly random: Random = createSeededRandom(SEED);
  private readonly views = new Map<NodeId, Membership>();
  private readonly dead = new Set<NodeId>();
  private readonly pausedUntil = new Map<NodeId, number>();
  private falseSuspicions = 0;

  private constructor(
    private readonly size: number,
    private readonly loss: number,
    private readonly pause: number,
  ) {
    const ids = Array.from({length: size}, (_, index) =>
      as<NodeId>(`node-${index}`),
    );
    for (const id of ids) this.views.set(id, this.createView(id));
    for (const view of this.views.values()) {
      for (const other of this.views.values()) view.merge(other.allUpdates());
    }
  }

  static create(size: number, loss: number, pause: number): ProbingFleet {
    return new ProbingFleet(size, loss, pause);
  }

  async run(): Promise<DetectionResult> {
    for (const id of this.views.keys()) this.scheduleProbes(id);
    if (this.pause > 0) this.schedulePauses();
    await this.clock.advance(OBSERVATION_MILLISECONDS);
    const falseDeaths = this.countFalseDeaths();
    const detectionMilliseconds: number[] = [];
    for (let crash = 0; crash < CRASH_COUNT; crash += 1) {
      detectionMilliseconds.push(await this.measureDetection(crash));
    }
    return {
      detectionMilliseconds,
      falseDeaths,
      falseSuspicions: this.falseSuspicions,
    };
  }

  private createView(id: NodeId): Membership {
    return Membership.create({
      self: {
        id,
        address: `http://${id}`,
        failureDomain: as<FailureDomain>('a'),
      },
      clock: this.clock,
      random: this.random,
    });
  }

  /** Probes once per period, with a random offset for each node. */
  private scheduleProbes(id: NodeId): void {
    const {clock, random} = this;
    const first = after(clock.now(), random() * PROBE_INTERVAL_MILLISECONDS);
    const run = (): void => {
      clock.schedule(after(clock.now(), PROBE_INTERVAL_MILLISECONDS), run);
      if (!this.isUnresponsive(id)) void this.probe(id);
    };
    clock.schedule(first, run);
  }

  private async probe(id: NodeId): Promise<void> {
    const view = this.views.get(id);
    view?.processTimeouts();
    const target = view?.nextProbeTarget();
    if (view === undefined || target === undefined) return;
    if (await this.sendProbe(id, target.id)) {
      this.exchange(id, target.id);
      view.markReachable(target.id);
      return;
    }
    const probers = view.selectIndirectProbers(target.id, INDIRECT_PROBERS);
    if (await this.probeIndirectly(probers, id, target)) return;
    if (!this.dead.has(target.id)) this.falseSuspicions += 1;
    view.markUnreachable(target.id);
  }

  private async probeIndirectly(
    probers: readonly Member[],
    id: NodeId,
    target: Member,
  ): Promise<boolean> {
    const results = await Promise.all(
      probers.map(
        async prober =>
          (await this.sendProbe(id, prober.id)) &&
          (await this.sendProbe(prober.id, target.id)),
      ),
    );
    return results.includes(true);
  }

  private async sendProbe(from: NodeId, to: NodeId): Promise<boolean> {
    await sleepFor(this.clock, NETWORK_DELAY_MILLISECONDS);
    const isLost = this.random() < this.loss || this.random() < this.loss;
    return !isLost && !this.isUnresponsive(from) && !this.isUnresponsive(to);
  }

  private exchange(from: NodeId, to: NodeId): void {
    const left = this.views.get(from);
    const right = this.views.get(to);
    if (left === undefined || right === undefined) return;
    right.merge(left.updatesToSend());
    left.merge(right.updatesToSend());
  }

  private isUnresponsive(id: NodeId): boolean {
    const pausedUntil = this.pausedUntil.get(id) ?? 0;
    return this.dead.has(id) || pausedUntil > this.clock.now();
  }

  /** Pauses a random node at a fixed interval. */
  private schedulePauses(): void {
    const {clock} = this;
    const at = after(clock.now(), PAUSE_INTERVAL_MILLISECONDS);
    clock.schedule(at, () => {
      const index = Math.floor(this.random() * this.size);
      this.pausedUntil.set(
        as<NodeId>(`node-${index}`),
        clock.now() + this.pause,
      );
      this.schedulePauses();
    });
  }

  private countFalseDeaths(): number {
    const wronglyDead = new Set<NodeId>();
    for (const view of this.views.values()) {
      for (const id of this.views.keys())
        if (view.isTerminated(id)) wronglyDead.add(id);
    }
    return wronglyDead.size;
  }

  /** Kills a node and returns the time until all live nodes consider it dead. */
  private async measureDetection(index: number): Promise<number> {
    const crashedNode = as<NodeId>(`node-${index}`);
    const diedAt = this.clock.now();
    this.dead.add(crashedNode);
    const isDetectedByAll = (): boolean =>
      [...this.views].every(
        ([id, view]) => this.dead.has(id) || view.isTerminated(crashedNode),
      );
    while (
      !isDetectedByAll() &&
      this.clock.now() - diedAt < OBSERVATION_MILLISECONDS
    ) {
      await this.clock.advance(DETECTION_STEP_MILLISECONDS);
    }
    return this.clock.now() - diedAt;
  }
}

const PAUSE_INTERVAL_MILLISECONDS = 5_000;
const DETECTION_STEP_MILLISECONDS = 100;

console.log(
  `probe every ${PROBE_INTERVAL_MILLISECONDS} ms, ${OBSERVATION_MILLISECONDS / 1_000} s observed, then ${CRASH_COUNT} crashes; a pause every ${PAUSE_INTERVAL_MILLISECONDS / 1_000} s; seed ${SEED}`,
);
console.log(
  'nodes  loss  pause ms  known by all p50/worst s  false suspicions  wrongly dead',
);
for (const size of FLEET_SIZES) {
  for (const loss of LOSS_RATES) {
    for (const pause of PAUSES_MILLISECONDS) {
      const {detectionMilliseconds, falseDeaths, falseSuspicions} =
        await ProbingFleet.create(size, loss, pause).run();
      const seconds = (value: number): string => (value / 1_000).toFixed(1);
      console.log(
        [
          String(size).padStart(5),
          `${(100 * loss).toFixed(0)} %`.padStart(5),
          String(pause).padStart(9),
          `${seconds(percentile(detectionMilliseconds, 0.5))}/${seconds(Math.max(...detectionMilliseconds))}`.padStart(
            23,
          ),
          String(falseSuspicions).padStart(17),
          String(falseDeaths).padStart(13),
        ].join(' '),
      );
    }
  }
}
process.exit(0);
