/**
 * Failure detection by probing one member at a time, indirect probes through
 * others, and suspicion that its subject can refute. Updates travel on the probes.
 * A state machine without I/O: the caller carries out the probes.
 */

import type {
  Clock,
  FailureDomain,
  Milliseconds,
  NodeId,
  Random,
} from '@siskinmux/kernel';
import {after, randomBelow} from '@siskinmux/kernel';
import type {Member, MemberUpdate} from './member.js';
import {supersedes} from './member.js';

/** Time a suspected node has to refute, for a fleet of up to ten. */
const SUSPICION_MILLISECONDS: Milliseconds = 2_000;

/** Updates that one probe carries at most. */
const UPDATES_PER_PROBE = 12;

/** Times that an update is passed on, for each doubling of the fleet. */
const PASSES_PER_DOUBLING = 3;

/** How long ended members are remembered, so that late news doesn't revive them. */
const ENDED_MEMORY_MILLISECONDS: Milliseconds = 600_000;

/** Called after the set of members that take work has changed. */
export type MembershipListener = () => void;

/** This node as others see it. */
export interface SelfDescription {
  readonly id: NodeId;
  readonly address: string;
  readonly failureDomain: FailureDomain;
}

/** A node's view of all nodes. */
export class Membership {
  private readonly members = new Map<NodeId, Member>();
  private readonly listeners = new Set<MembershipListener>();
  /** Updates that are still passed on, with the number of times they were. */
  private readonly gossip = new Map<NodeId, number>();
  private probeOrder: NodeId[] = [];
  private incarnation = 0;
  private isLeaving = false;
  private liveIds: readonly NodeId[] | undefined;

  private constructor(
    private readonly self: SelfDescription,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  static create(options: {
    self: SelfDescription;
    clock: Clock;
    random: Random;
  }): Membership {
    return new Membership(options.self, options.clock, options.random);
  }

  /** This node's own failure domain. */
  get failureDomain(): FailureDomain {
    return this.self.failureDomain;
  }

  /** Ids of the nodes that take work, this one included unless it leaves. */
  get live(): readonly NodeId[] {
    this.liveIds ??= this.computeLive();
    return this.liveIds;
  }

  /** All members that have not ended, this node excluded. */
  get others(): readonly Member[] {
    return [...this.members.values()].filter(isReachable);
  }

  /** What is known of one member. */
  member(id: NodeId): Member | undefined {
    return this.members.get(id);
  }

  /** Whether a node is known to have ended. */
  isTerminated(id: NodeId): boolean {
    const status = this.members.get(id)?.status;
    return status === 'left' || status === 'dead';
  }

  /** Calls `listener` after changes of {@link live}; returns the way to stop that. */
  onChange(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** The next member to probe; all are probed in a random order, round by round. */
  nextProbeTarget(): Member | undefined {
    for (let tries = 0; tries < 2; tries += 1) {
      for (
        let id = this.probeOrder.pop();
        id !== undefined;
        id = this.probeOrder.pop()
      ) {
        const member = this.members.get(id);
        if (member !== undefined && isReachable(member)) return member;
      }
      this.probeOrder = this.shuffled(this.others.map(member => member.id));
    }
    return undefined;
  }

  /** Members that are asked to probe `target` when this node can't reach it. */
  selectIndirectProbers(target: NodeId, count: number): Member[] {
    const candidates = this.others.filter(
      member => member.id !== target && member.status === 'alive',
    );
    return this.shuffled(candidates).slice(0, count);
  }

  /** Some members, chosen at random. */
  randomMembers(count: number): Member[] {
    return this.shuffled(this.others).slice(0, count);
  }

  /** A probe and all indirect ones failed. */
  markUnreachable(id: NodeId): void {
    const member = this.members.get(id);
    if (member?.status === 'alive') {
      this.store({...toUpdate(member), status: 'suspect'});
    }
  }

  /** A member answered, or sent something, itself: that refutes an older suspicion here. */
  markReachable(id: NodeId): void {
    const member = this.members.get(id);
    if (member?.status === 'suspect') {
      this.setMember({...member, status: 'alive', suspectUntil: undefined});
    }
  }

  /** Takes news from a peer or from the registry. */
  merge(updates: readonly MemberUpdate[]): void {
    for (const update of updates) {
      if (update.id === this.self.id) this.refute(update);
      else this.mergeOne(update);
    }
  }

  /** Concludes expired suspicions and forgets members that ended long ago. */
  processTimeouts(): void {
    const now = this.clock.now();
    for (const member of [...this.members.values()]) {
      const {suspectUntil} = member;
      if (member.status === 'suspect' && suspectUntil !== undefined) {
        if (suspectUntil <= now) {
          this.store({...toUpdate(member), status: 'dead'});
        }
      } else if (!isReachable(member)) {
        const forgetAt = after(member.changedAt, ENDED_MEMORY_MILLISECONDS);
        if (forgetAt <= now) this.members.delete(member.id);
      }
    }
  }

  /** Updates for the next probe, least passed on first; this node's own is always there. */
  updatesToSend(): MemberUpdate[] {
    const passes =
      PASSES_PER_DOUBLING * Math.ceil(Math.log2(this.members.size + 2));
    const chosen = [...this.gossip]
      .sort((left, right) => left[1] - right[1])
      .slice(0, UPDATES_PER_PROBE);
    const updates: MemberUpdate[] = [this.selfUpdate()];
    for (const [id, passed] of chosen) {
      const member = this.members.get(id);
      if (member !== undefined) updates.push(toUpdate(member));
      if (passed + 1 >= passes) this.gossip.delete(id);
      else this.gossip.set(id, passed + 1);
    }
    return updates;
  }

  /** Everything known, for a node that has just joined. */
  allUpdates(): MemberUpdate[] {
    return [this.selfUpdate(), ...[...this.members.values()].map(toUpdate)];
  }

  /** Says from now on that this node takes no work any more. */
  leave(): void {
    this.isLeaving = true;
    this.liveIds = undefined;
    this.notify();
  }

  private selfUpdate(): MemberUpdate {
    return {
      ...this.self,
      incarnation: this.incarnation,
      status: this.isLeaving ? 'left' : 'alive',
    };
  }

  private refute(update: MemberUpdate): void {
    const isWrong = update.status !== 'alive' && !this.isLeaving;
    if (isWrong && update.incarnation >= this.incarnation) {
      this.incarnation = update.incarnation + 1;
    }
  }

  private mergeOne(update: MemberUpdate): void {
    const known = this.members.get(update.id);
    if (known === undefined) {
      const isNews = update.status === 'alive' || update.status === 'suspect';
      if (isNews) this.store(update);
    } else if (supersedes(update, known)) {
      this.store(update);
    }
  }

  private store(update: MemberUpdate): void {
    const now = this.clock.now();
    const suspectUntil =
      update.status === 'suspect'
        ? after(now, this.suspicionTime())
        : undefined;
    this.gossip.set(update.id, 0);
    this.setMember({...update, suspectUntil, changedAt: now});
  }

  private setMember(member: Member): void {
    const before = this.members.get(member.id);
    this.members.set(member.id, member);
    const wasLive = before !== undefined && isReachable(before);
    if (wasLive !== isReachable(member)) {
      this.liveIds = undefined;
      this.notify();
    }
  }

  /** Larger fleets need longer for news and refutations to travel. */
  private suspicionTime(): Milliseconds {
    const scale = Math.max(1, Math.log10(this.members.size + 1));
    return SUSPICION_MILLISECONDS * scale;
  }

  private computeLive(): NodeId[] {
    const ids = this.others.map(member => member.id);
    if (!this.isLeaving) ids.push(this.self.id);
    return ids.sort();
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }

  private shuffled<Item>(items: readonly Item[]): Item[] {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index -= 1) {
      const other = randomBelow(this.random, index + 1);
      const item = shuffled[index] as Item;
      shuffled[index] = shuffled[other] as Item;
      shuffled[other] = item;
    }
    return shuffled;
  }
}

/** A suspect still counts: it may be merely slow. */
function isReachable(member: Member): boolean {
  return member.status === 'alive' || member.status === 'suspect';
}

function toUpdate(member: Member): MemberUpdate {
  const {id, address, failureDomain, incarnation, status} = member;
  return {id, address, failureDomain, incarnation, status};
}
