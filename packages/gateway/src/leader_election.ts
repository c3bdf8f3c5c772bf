/**
 * Leader election by a lease in the platform's store. Each node runs one loop: it follows
 * the lease holder, or takes the lease over and runs the allocators until it loses it.
 */

import type {
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  NodeId,
  Random,
} from '@siskinmux/kernel';
import {SiskinmuxError, eraOf, sleepFor, until} from '@siskinmux/kernel';
import type {
  ClockReading,
  HolderStatus,
  LeaseObservation,
  LeaseRecord,
  LeaseRules,
} from '@siskinmux/leases';
import {
  HeldLease,
  PAUSE_CHECK_INTERVAL_MILLISECONDS,
  RENEWAL_INTERVAL_MILLISECONDS,
  ordersAllowedAt,
  releasedRecord,
  takeoverAllowedAt,
  takeoverRecord,
} from '@siskinmux/leases';
import {VersionConflictError} from '@siskinmux/ports';
import {createPeriodicJob} from '@siskinmux/runtime';
import {
  ALLOCATOR_FOLLOWED,
  ALLOCATOR_LOST,
  LEASE_ENDED,
  LEASE_RESTORED,
  LEASE_TAKEN,
  LEASE_UNREACHABLE,
} from './gateway_events.js';
import type {LeaseStore} from './lease_store.js';

/**
 * Delay before the lease is read again: after a failed call, after a release, or while a
 * takeover is not allowed yet.
 */
const RETRY_DELAY_MILLISECONDS: Milliseconds = 250;

/** Random delay that spreads the calls of nodes that start, or lose their holder, together. */
const ELECTION_JITTER_MILLISECONDS: Milliseconds = 80;

/** A holder that can't renew for this long resigns if another node reaches the store. */
const HANDOVER_AFTER_MILLISECONDS: Milliseconds = 1_600;

/** A connection to the lease holder. */
export interface HolderConnection {
  /** Resolves with the reason once the holder times out, resigns or disconnects. */
  readonly ended: Promise<string>;
}

/** Dependencies of {@link LeaderElection}. */
export interface LeaderElectionOptions {
  readonly leaseStore: LeaseStore;
  readonly clock: Clock;
  readonly readClocks: () => ClockReading;
  readonly random: Random;
  readonly emit: EmitEvent;
  readonly self: NodeId;
  readonly address: string;
  readonly rules: LeaseRules;
  /** Delay before this node competes for the lease; 0 for the most capable nodes. */
  readonly electionDelayMilliseconds: Milliseconds;
  /** Connects to the holder, or returns why it can't be followed. */
  readonly connectToHolder: (
    observation: LeaseObservation,
  ) => Promise<HolderConnection | HolderStatus>;
  /** Starts the allocators under the lease; `end` stops them. */
  readonly startAllocating: (heldLease: HeldLease) => {end: () => void};
  /** Whether a connected follower reports that it reaches the store. */
  readonly canHandOver: () => boolean;
}

/** Takes part in the election of the node that runs the allocators. */
export class LeaderElection {
  private isStopped = false;
  private heldLease: HeldLease | undefined;
  private wake: (() => void) | undefined;

  private constructor(private readonly options: LeaderElectionOptions) {}

  static create(options: LeaderElectionOptions): LeaderElection {
    return new LeaderElection(options);
  }

  /** Runs until {@link stop}; rejects only on programming errors. */
  async run(): Promise<void> {
    await sleepFor(this.options.clock, this.jitteredElectionDelay());
    while (!this.isStopped) {
      try {
        await this.runOnce();
      } catch (failure) {
        if (!(failure instanceof SiskinmuxError)) throw failure;
        this.options.emit(LEASE_UNREACHABLE, {cause: failure.message});
        await sleepFor(this.options.clock, RETRY_DELAY_MILLISECONDS);
      }
    }
  }

  /** Ends the loop and releases the lease if this node holds it. */
  stop(): void {
    this.isStopped = true;
    this.wake?.();
  }

  /** Called when the store has returned from an older copy, which may lack this node's lease. */
  onStoreReturn(): void {
    this.wake?.();
  }

  /** Ends this node's lease after an engine refused an order because it has seen a later term. */
  onFenced(): void {
    this.heldLease?.markEnded();
    this.wake?.();
  }

  /**
   * Reads the lease and follows its holder until the connection ends. If there is no holder
   * to follow, takes over the lease and holds it until it is lost. While a takeover isn't
   * allowed yet, only sleeps for a short time.
   */
  private async runOnce(): Promise<void> {
    const {leaseStore, self, emit, clock, rules} = this.options;
    const observation = await leaseStore.read();
    if (observation === undefined || observation.record.holder === self) {
      await this.takeOver(observation);
      return;
    }
    const outcome = await this.connect(observation);
    if (typeof outcome !== 'string') {
      emit(ALLOCATOR_FOLLOWED, {
        holder: observation.record.holder,
        term: observation.record.term,
      });
      const reason = await outcome.ended;
      emit(ALLOCATOR_LOST, {holder: observation.record.holder, reason});
      await sleepFor(this.options.clock, this.jitteredElectionDelay());
      return;
    }
    const allowedAt = takeoverAllowedAt(
      observation,
      outcome,
      rules,
      clock.now(),
    );
    if (allowedAt > clock.now()) {
      await sleepFor(
        this.options.clock,
        Math.min(until(clock.now(), allowedAt), RETRY_DELAY_MILLISECONDS),
      );
      return;
    }
    await this.takeOver(observation);
  }

  private async connect(
    observation: LeaseObservation,
  ): Promise<HolderConnection | HolderStatus> {
    if (observation.record.holder === undefined) return 'resigned';
    return this.options.connectToHolder(observation);
  }

  private async takeOver(
    observed: LeaseObservation | undefined,
  ): Promise<void> {
    const {leaseStore, clock, self, address, rules, readClocks} = this.options;
    if (this.isStopped) return;
    const {era} = leaseStore;
    const record = takeoverRecord(self, address, observed, era);
    let revision;
    try {
      revision = await leaseStore.write(record, observed);
    } catch (failure) {
      if (!(failure instanceof VersionConflictError)) throw failure;
      await sleepFor(this.options.clock, this.jitteredElectionDelay());
      return;
    }
    // The write was conditional on what the store has lost meanwhile, and so was the term.
    if (leaseStore.era !== era) return;
    const heldLease = HeldLease.create({
      term: record.term,
      revision,
      ordersAllowedAt: ordersAllowedAt(clock.now(), rules),
      rules,
      reading: readClocks(),
    });
    await this.holdLease(heldLease);
  }

  private async holdLease(heldLease: HeldLease): Promise<void> {
    const {clock, emit, startAllocating, readClocks} = this.options;
    this.heldLease = heldLease;
    emit(LEASE_TAKEN, {term: heldLease.term});
    const allocation = startAllocating(heldLease);
    const pauseCheck = createPeriodicJob(
      clock,
      PAUSE_CHECK_INTERVAL_MILLISECONDS,
      () => heldLease.checkForPause(readClocks()),
    );
    pauseCheck.startAfterPause();
    let reason = '';
    try {
      reason = await this.renewUntilEnded(heldLease);
    } finally {
      pauseCheck.stop();
      heldLease.markEnded();
      allocation.end();
      this.heldLease = undefined;
      emit(LEASE_ENDED, {term: heldLease.term, reason});
    }
    if (reason !== 'replaced') await this.release(heldLease);
  }

  private async renewUntilEnded(heldLease: HeldLease): Promise<string> {
    const {clock} = this.options;
    while (!this.isStopped) {
      await this.sleepOrWake(RENEWAL_INTERVAL_MILLISECONDS);
      if (this.isStopped) break;
      if (heldLease.hasEnded) return 'fenced';
      const sentAt: Instant = clock.now();
      const renewal = await this.renew(heldLease, sentAt);
      if (renewal === 'replaced') return renewal;
      const isRenewalOverdue =
        heldLease.millisecondsSinceRenewal(clock.now()) >
        HANDOVER_AFTER_MILLISECONDS;
      if (isRenewalOverdue && this.options.canHandOver()) return 'handed over';
    }
    return 'stopped';
  }

  private async renew(
    heldLease: HeldLease,
    sentAt: Instant,
  ): Promise<'renewed' | 'unanswered' | 'replaced'> {
    const {leaseStore, emit} = this.options;
    const record = this.recordOf(heldLease);
    const observed = {
      record,
      revision: heldLease.revision,
      firstSeenAt: sentAt,
    };
    const era = eraOf(heldLease.revision);
    try {
      const revision = await leaseStore.write(record, observed);
      // The revision was that of another write, which this one has replaced.
      if (leaseStore.era !== era) return 'replaced';
      heldLease.recordRenewal(revision, sentAt);
      return 'renewed';
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      if (!(failure instanceof VersionConflictError)) {
        emit(LEASE_UNREACHABLE, {cause: failure.message});
        return 'unanswered';
      }
    }
    return this.resolveConflict(heldLease, sentAt);
  }

  /**
   * Finds out after a conflict whether an earlier renewal of this node was applied late, or the
   * store has lost the lease.
   */
  private async resolveConflict(
    heldLease: HeldLease,
    sentAt: Instant,
  ): Promise<'renewed' | 'unanswered' | 'replaced'> {
    const {leaseStore, self, emit} = this.options;
    try {
      const observed = await leaseStore.read();
      if (leaseStore.era !== eraOf(heldLease.revision))
        return await this.restore(heldLease, observed, sentAt);
      const {record} = observed ?? {};
      if (record?.holder !== self || record.term !== heldLease.term) {
        return 'replaced';
      }
      heldLease.recordRenewal(observed?.revision ?? heldLease.revision, sentAt);
      return 'renewed';
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      emit(LEASE_UNREACHABLE, {cause: failure.message});
      return 'unanswered';
    }
  }

  /**
   * Writes the lease again after the store has returned from an older copy. A takeover since
   * has a later term than all of the eras before; one before may be lost with its record, so a
   * holder that others may have taken for silent is elected again.
   */
  private async restore(
    heldLease: HeldLease,
    observed: LeaseObservation | undefined,
    sentAt: Instant,
  ): Promise<'renewed' | 'unanswered' | 'replaced'> {
    const {leaseStore, self, emit, readClocks} = this.options;
    const {term} = heldLease;
    const found = observed?.record;
    const isOwn = found?.holder === self && found.term === term;
    if (found !== undefined && !isOwn && found.term >= term) return 'replaced';
    if (!heldLease.mayBeRestored(readClocks())) return 'replaced';
    const {era} = leaseStore;
    let revision;
    try {
      revision = await leaseStore.write(this.recordOf(heldLease), observed);
    } catch (failure) {
      if (!(failure instanceof VersionConflictError)) throw failure;
      return 'unanswered';
    }
    // The write may have been executed after another node's takeover.
    const isLost = leaseStore.era !== era;
    if (isLost || !heldLease.mayBeRestored(readClocks())) return 'replaced';
    heldLease.recordRenewal(revision, sentAt);
    emit(LEASE_RESTORED, {term, found: found?.term, era});
    return 'renewed';
  }

  private recordOf({term}: HeldLease): LeaseRecord {
    const {self, address} = this.options;
    return {holder: self, address, term};
  }

  /**
   * Releases the lease so that another node can take over at once. If the write fails, the
   * takeover takes slightly longer.
   */
  private async release(heldLease: HeldLease): Promise<void> {
    const {leaseStore, clock, emit} = this.options;
    const record = this.recordOf(heldLease);
    const {revision} = heldLease;
    try {
      await leaseStore.write(releasedRecord(heldLease.term), {
        record,
        revision,
        firstSeenAt: clock.now(),
      });
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      emit(LEASE_UNREACHABLE, {cause: failure.message});
    }
    await sleepFor(this.options.clock, RETRY_DELAY_MILLISECONDS);
  }

  private jitteredElectionDelay(): Milliseconds {
    const {random, electionDelayMilliseconds} = this.options;
    return random() * ELECTION_JITTER_MILLISECONDS + electionDelayMilliseconds;
  }

  private sleepOrWake(milliseconds: Milliseconds): Promise<void> {
    return Promise.race([
      sleepFor(this.options.clock, milliseconds),
      new Promise<void>(resolve => {
        this.wake = resolve;
      }),
    ]);
  }
}
