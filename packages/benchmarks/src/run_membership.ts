/** `npm run bench:membership`: detection time against false suspicions, by simulated probes. */

import type {FailureDomain, NodeId, Random} from '@siskinmux/kernel';
import {after, as, sleepFor} from '@siskinmux/kernel';
import type {Member} from '@siskinmux/membership';
import {Membership} from '@siskinmux/membership';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import {percentile} from './bound.js';

const SEED = 1;
const PROBE_MILLISECONDS = 1_000;
const DELAY_MILLISECONDS = 2;
const HELPERS = 3;
const WATCH_MILLISECONDS = 60_000;
const DEATHS = 5;
const FLEETS = [7, 50];
const LOSSES = [0, 0.01, 0.05, 0.15];
const PAUSES = [0, 1_500, 4_000];

interface Figures {
  readonly detection: readonly number[];
  readonly falseDeaths: number;
  readonly falseSuspicions: number;
}

/** A fleet whose probes are messages in virtual time. */
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

  async run(): Promise<Figures> {
    for (const id of this.views.keys()) this.probeLater(id);
    if (this.pause > 0) this.pauseLater();
    await this.clock.advance(WATCH_MILLISECONDS);
    const falseDeaths = this.countFalseDeaths();
    const detection: number[] = [];
    for (let death = 0; death < DEATHS; death += 1) {
      detection.push(await this.killOne(death));
    }
    return {detection, falseDeaths, falseSuspicions: this.falseSuspicions};
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

  /** Each node probes once in a period, at an instant of its own. */
  private probeLater(id: NodeId): void {
    const {clock, random} = this;
    const first = after(clock.now(), random() * PROBE_MILLISECONDS);
    const run = (): void => {
      clock.schedule(after(clock.now(), PROBE_MILLISECONDS), run);
      if (!this.isSilent(id)) void this.probe(id);
    };
    clock.schedule(first, run);
  }

  private async probe(id: NodeId): Promise<void> {
    const view = this.views.get(id);
    view?.processTimeouts();
    const target = view?.nextProbeTarget();
    if (view === undefined || target === undefined) return;
    if (await this.reaches(id, target.id)) {
      this.exchange(id, target.id);
      view.markReachable(target.id);
      return;
    }
    const helpers = view.selectIndirectProbers(target.id, HELPERS);
    if (await this.isReachedBy(helpers, id, target)) return;
    if (!this.dead.has(target.id)) this.falseSuspicions += 1;
    view.markUnreachable(target.id);
  }

  private async isReachedBy(
    helpers: readonly Member[],
    id: NodeId,
    target: Member,
  ): Promise<boolean> {
    const tries = await Promise.all(
      helpers.map(
        async helper =>
          (await this.reaches(id, helper.id)) &&
          (await this.reaches(helper.id, target.id)),
      ),
    );
    return tries.includes(true);
  }

  private async reaches(from: NodeId, to: NodeId): Promise<boolean> {
    await sleepFor(this.clock, DELAY_MILLISECONDS);
    const isLost = this.random() < this.loss || this.random() < this.loss;
    return !isLost && !this.isSilent(from) && !this.isSilent(to);
  }

  private exchange(from: NodeId, to: NodeId): void {
    const left = this.views.get(from);
    const right = this.views.get(to);
    if (left === undefined || right === undefined) return;
    right.merge(left.updatesToSend());
    left.merge(right.updatesToSend());
  }

  private isSilent(id: NodeId): boolean {
    const pausedUntil = this.pausedUntil.get(id) ?? 0;
    return this.dead.has(id) || pausedUntil > this.clock.now();
  }

  /** Every few seconds some node is paused. */
  private pauseLater(): void {
    const {clock} = this;
    const at = after(clock.now(), PAUSE_EVERY_MILLISECONDS);
    clock.schedule(at, () => {
      const index = Math.floor(this.random() * this.size);
      this.pausedUntil.set(
        as<NodeId>(`node-${index}`),
        clock.now() + this.pause,
      );
      this.pauseLater();
    });
  }

  private countFalseDeaths(): number {
    const wrong = new Set<NodeId>();
    for (const view of this.views.values()) {
      for (const id of this.views.keys()) if (view.isTerminated(id)) wrong.add(id);
    }
    return wrong.size;
  }

  /** Time until every living node has concluded a death. */
  private async killOne(index: number): Promise<number> {
    const victim = as<NodeId>(`node-${index}`);
    const diedAt = this.clock.now();
    this.dead.add(victim);
    const isConcluded = (): boolean =>
      [...this.views].every(
        ([id, view]) => this.dead.has(id) || view.isTerminated(victim),
      );
    while (!isConcluded() && this.clock.now() - diedAt < WATCH_MILLISECONDS) {
      await this.clock.advance(DETECTION_STEP_MILLISECONDS);
    }
    return this.clock.now() - diedAt;
  }
}

const PAUSE_EVERY_MILLISECONDS = 5_000;
const DETECTION_STEP_MILLISECONDS = 100;

console.log(
  `probe every ${PROBE_MILLISECONDS} ms, ${WATCH_MILLISECONDS / 1_000} s watched, then ${DEATHS} deaths; a pause every ${PAUSE_EVERY_MILLISECONDS / 1_000} s; seed ${SEED}`,
);
console.log(
  'nodes  loss  pause ms  known by all p50/worst s  false suspicions  wrongly dead',
);
for (const size of FLEETS) {
  for (const loss of LOSSES) {
    for (const pause of PAUSES) {
      const {detection, falseDeaths, falseSuspicions} =
        await ProbingFleet.create(size, loss, pause).run();
      const seconds = (value: number): string => (value / 1_000).toFixed(1);
      console.log(
        [
          String(size).padStart(5),
          `${(100 * loss).toFixed(0)} %`.padStart(5),
          String(pause).padStart(9),
          `${seconds(percentile(detection, 0.5))}/${seconds(Math.max(...detection))}`.padStart(
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
