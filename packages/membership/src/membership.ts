/**
 * SWIM-style failure detection: each node probes one member at a time, directly and
 * then through other members. A member that does not respond is suspected first and
 * can refute the suspicion. Updates are piggybacked on the probes. This is a state
 * machine without I/O; the caller sends the probes.
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

/** Time in which a suspected node can refute the suspicion, for up to ten nodes. */
const SUSPICION_TIMEOUT_MILLISECONDS: Milliseconds = 2_000;

/** Maximum number of updates about other members in one probe. */
const MAXIMUM_UPDATES_PER_PROBE = 12;

/** Number of transmissions of an update for each doubling of the number of nodes. */
const TRANSMISSIONS_PER_DOUBLING = 3;

/** Retention of terminated members, so that a late update can't revive them. */
const TERMINATED_MEMBER_RETENTION_MILLISECONDS: Milliseconds = 600_000;

/** Called after the set of live nodes has changed. */
export type MembershipListener = () => void;

/** Identity of this node, as announced to the others. */
export interface SelfDescription {
  readonly id: NodeId;
  readonly address: string;
  readonly failureDomain: FailureDomain;
}

/** One node's view of the membership. */
export class Membership {
  private readonly members = new Map<NodeId, Member>();
  private readonly listeners = new Set<MembershipListener>();
  /** Members whose latest update is still disseminated, with its number of transmissions. */
  private readonly transmissionCounts = new Map<NodeId, number>();
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

  /** Ids of the nodes that accept work, including this one unless it is leaving. */
  get live(): readonly NodeId[] {
    this.liveIds ??= this.computeLive();
    return this.liveIds;
  }

  /** Members that have not terminated, without this node. */
  get others(): readonly Member[] {
    return [...this.members.values()].filter(isActive);
  }

  /** The known state of a member. */
  member(id: NodeId): Member | undefined {
    return this.members.get(id);
  }

  /** Whether a node is known to have left or to be dead. */
  isTerminated(id: NodeId): boolean {
    const status = this.members.get(id)?.status;
    return status === 'left' || status === 'dead';
  }

  /** Calls `listener` after each change of {@link live}; returns the unsubscribe function. */
  onChange(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** The next member to probe. Each round probes all members in a random order. */
  nextProbeTarget(): Member | undefined {
    for (let round = 0; round < 2; round += 1) {
      for (
        let id = this.probeOrder.pop();
        id !== undefined;
        id = this.probeOrder.pop()
      ) {
        const member = this.members.get(id);
        if (member !== undefined && isActive(member)) return member;
      }
      this.probeOrder = this.shuffled(this.others.map(member => member.id));
    }
    return undefined;
  }

  /** Selects members that probe `target` on behalf of this node, which can't reach it. */
  selectIndirectProbers(target: NodeId, count: number): Member[] {
    const candidates = this.others.filter(
      member => member.id !== target && member.status === 'alive',
    );
    return this.shuffled(candidates).slice(0, count);
  }

  /** Up to `count` members, chosen at random. */
  randomMembers(count: number): Member[] {
    return this.shuffled(this.others).slice(0, count);
  }

  /** Suspects a member whose direct and indirect probes have all failed. */
  markUnreachable(id: NodeId): void {
    const member = this.members.get(id);
    if (member?.status === 'alive') {
      this.applyUpdate({...toUpdate(member), status: 'suspect'});
    }
  }

  /** Clears a suspicion after direct contact with the member. */
  markReachable(id: NodeId): void {
    const member = this.members.get(id);
    if (member?.status === 'suspect') {
      this.setMember({...member, status: 'alive', suspectUntil: undefined});
    }
  }

  /** Merges updates from a peer or from the registry. */
  merge(updates: readonly MemberUpdate[]): void {
    for (const update of updates) {
      if (update.id === this.self.id) this.refute(update);
      else this.mergeUpdate(update);
    }
  }

  /** Declares suspects dead after the timeout, and removes members that terminated long ago. */
  processTimeouts(): void {
    const now = this.clock.now();
    for (const member of [...this.members.values()]) {
      const {suspectUntil} = member;
      if (member.status === 'suspect' && suspectUntil !== undefined) {
        if (suspectUntil <= now) {
          this.applyUpdate({...toUpdate(member), status: 'dead'});
        }
      } else if (!isActive(member)) {
        const removeAt = after(
          member.changedAt,
          TERMINATED_MEMBER_RETENTION_MILLISECONDS,
        );
        if (removeAt <= now) this.members.delete(member.id);
      }
    }
  }

  /** Updates for the next probe: this node's own, then those with the fewest transmissions. */
  updatesToSend(): MemberUpdate[] {
    const limit =
      TRANSMISSIONS_PER_DOUBLING * Math.ceil(Math.log2(this.members.size + 2));
    const chosen = [...this.transmissionCounts]
      .sort((left, right) => left[1] - right[1])
      .slice(0, MAXIMUM_UPDATES_PER_PROBE);
    const updates: MemberUpdate[] = [this.selfUpdate()];
    for (const [id, count] of chosen) {
      const member = this.members.get(id);
      if (member !== undefined) updates.push(toUpdate(member));
      if (count + 1 >= limit) this.transmissionCounts.delete(id);
      else this.transmissionCounts.set(id, count + 1);
    }
    return updates;
  }

  /** Updates of all members, for a node that has just joined. */
  allUpdates(): MemberUpdate[] {
    return [this.selfUpdate(), ...[...this.members.values()].map(toUpdate)];
  }

  /** Announces from now on that this node has left and accepts no work. */
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
    const isFalseReport = update.status !== 'alive' && !this.isLeaving;
    if (isFalseReport && update.incarnation >= this.incarnation) {
      this.incarnation = update.incarnation + 1;
    }
  }

  private mergeUpdate(update: MemberUpdate): void {
    const known = this.members.get(update.id);
    if (known === undefined) {
      const isNewMember =
        update.status === 'alive' || update.status === 'suspect';
      if (isNewMember) this.applyUpdate(update);
    } else if (supersedes(update, known)) {
      this.applyUpdate(update);
    }
  }

  private applyUpdate(update: MemberUpdate): void {
    const now = this.clock.now();
    const suspectUntil =
      update.status === 'suspect'
        ? after(now, this.suspicionTimeoutMilliseconds())
        : undefined;
    this.transmissionCounts.set(update.id, 0);
    this.setMember({...update, suspectUntil, changedAt: now});
  }

  private setMember(member: Member): void {
    const before = this.members.get(member.id);
    this.members.set(member.id, member);
    const wasLive = before !== undefined && isActive(before);
    if (wasLive !== isActive(member)) {
      this.liveIds = undefined;
      this.notify();
    }
  }

  /** The more nodes, the longer updates and refutations take to spread. */
  private suspicionTimeoutMilliseconds(): Milliseconds {
    const scale = Math.max(1, Math.log10(this.members.size + 1));
    return SUSPICION_TIMEOUT_MILLISECONDS * scale;
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
      const swapIndex = randomBelow(this.random, index + 1);
      const item = shuffled[index] as Item;
      shuffled[index] = shuffled[swapIndex] as Item;
      shuffled[swapIndex] = item;
    }
    return shuffled;
  }
}

/** Suspects count as active, since they may only be slow. */
function isActive(member: Member): boolean {
  return member.status === 'alive' || member.status === 'suspect';
}

function toUpdate(member: Member): MemberUpdate {
  const {id, address, failureDomain, incarnation, status} = member;
  return {id, address, failureDomain, incarnation, status};
}
