/**
 * Finds the holder of the lease and follows it, or becomes it: one loop for each node,
 * which ends only with the node.
 */

import type {
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  NodeId,
  Random,
} from '@siskinmux/kernel';
import {SiskinmuxError, sleepFor, until} from '@siskinmux/kernel';
import type {
  ClockReading,
  HolderSign,
  LeaseRules,
  LeaseSighting,
} from '@siskinmux/leases';
import {
  Holding,
  RENEWAL_MILLISECONDS,
  TICK_MILLISECONDS,
  mayOrderFrom,
  resignedRecord,
  takeoverAt,
  takeoverRecord,
} from '@siskinmux/leases';
import {VersionConflictError} from '@siskinmux/ports';
import {repeat} from '@siskinmux/runtime';
import type {LeaseStore} from './lease_store.js';
import {
  ALLOCATOR_FOLLOWED,
  ALLOCATOR_LOST,
  LEASE_ENDED,
  LEASE_TAKEN,
  LEASE_UNREACHABLE,
} from './gateway_events.js';

/** Pause after the store did not answer a call for the lease. */
const AGAIN_MILLISECONDS: Milliseconds = 250;

/** Spread of the first calls of nodes that start, or lose their holder, together. */
const SPREAD_MILLISECONDS: Milliseconds = 80;

/** A holder without the store for so long hands over, if another node has it. */
const HANDOVER_MILLISECONDS: Milliseconds = 1_600;

/** A connection to the holder; ends when the holder is silent, resigns or dies. */
export interface Following {
  readonly ended: Promise<string>;
}

/** What leadership needs from its surroundings. */
export interface LeaderElectionOptions {
  readonly leaseStore: LeaseStore;
  readonly clock: Clock;
  readonly readClocks: () => ClockReading;
  readonly random: Random;
  readonly emit: EmitEvent;
  readonly self: NodeId;
  readonly address: string;
  readonly rules: LeaseRules;
  /** How long this node lets stronger ones go first. */
  readonly hesitation: Milliseconds;
  /** Connects to the holder, or says what became of it. */
  readonly follow: (sighting: LeaseSighting) => Promise<Following | HolderSign>;
  /** Starts to allocate; `end` stops it. */
  readonly lead: (holding: Holding) => {end: () => void};
  /** Whether another node that is connected says that the store answers it. */
  readonly canHandOver: () => boolean;
}

/** This node's part in who allocates. */
export class Leadership {
  private isStopped = false;
  private holding: Holding | undefined;
  private wake: (() => void) | undefined;

  private constructor(private readonly options: LeaderElectionOptions) {}

  static create(options: LeaderElectionOptions): Leadership {
    return new Leadership(options);
  }

  /** Runs until {@link stop}; rejects only for defects. */
  async run(): Promise<void> {
    await sleepFor(this.options.clock, this.spread());
    while (!this.isStopped) {
      try {
        await this.findHolder();
      } catch (failure) {
        if (!(failure instanceof SiskinmuxError)) throw failure;
        this.options.emit(LEASE_UNREACHABLE, {cause: failure.message});
        await sleepFor(this.options.clock, AGAIN_MILLISECONDS);
      }
    }
  }

  /** Gives the lease back, if this node holds it, and ends. */
  stop(): void {
    this.isStopped = true;
    this.wake?.();
  }

  /** Ends this node's lease: an engine has seen a later term. */
  noteFenced(): void {
    this.holding?.noteLost();
    this.wake?.();
  }

  private async findHolder(): Promise<void> {
    const {leaseStore: lease, self, emit, clock, rules} = this.options;
    const sighting = await lease.read();
    if (sighting === undefined || sighting.record.holder === self) {
      await this.take(sighting);
      return;
    }
    const result = await this.contact(sighting);
    if (typeof result !== 'string') {
      emit(ALLOCATOR_FOLLOWED, {
        holder: sighting.record.holder,
        term: sighting.record.term,
      });
      const reason = await result.ended;
      emit(ALLOCATOR_LOST, {holder: sighting.record.holder, reason});
      await sleepFor(this.options.clock, this.spread());
      return;
    }
    const at = takeoverAt(sighting, result, rules, clock.now());
    if (at > clock.now()) {
      await sleepFor(
        this.options.clock,
        Math.min(until(clock.now(), at), AGAIN_MILLISECONDS),
      );
      return;
    }
    await this.take(sighting);
  }

  private async contact(
    sighting: LeaseSighting,
  ): Promise<Following | HolderSign> {
    if (sighting.record.holder === undefined) return 'resigned';
    return this.options.follow(sighting);
  }

  private async take(seen: LeaseSighting | undefined): Promise<void> {
    const {leaseStore: lease, clock, self, address, rules, readClocks} = this.options;
    if (this.isStopped) return;
    const record = takeoverRecord(self, address, seen);
    let revision;
    try {
      revision = await lease.write(record, seen);
    } catch (failure) {
      if (!(failure instanceof VersionConflictError)) throw failure;
      await sleepFor(this.options.clock, this.spread());
      return;
    }
    const holding = Holding.create({
      term: record.term,
      revision,
      orderFrom: mayOrderFrom(clock.now(), seen, rules),
      rules,
      reading: readClocks(),
    });
    await this.hold(holding);
  }

  private async hold(holding: Holding): Promise<void> {
    const {clock, emit, lead, readClocks} = this.options;
    this.holding = holding;
    emit(LEASE_TAKEN, {term: holding.term});
    const leading = lead(holding);
    const ticks = repeat(clock, TICK_MILLISECONDS, () =>
      holding.checkForPause(readClocks()),
    );
    ticks.startLater();
    let reason = '';
    try {
      reason = await this.renewUntilLost(holding);
    } finally {
      ticks.stop();
      holding.noteLost();
      leading.end();
      this.holding = undefined;
      emit(LEASE_ENDED, {term: holding.term, reason});
    }
    if (reason !== 'replaced') await this.giveBack(holding);
  }

  private async renewUntilLost(holding: Holding): Promise<string> {
    const {clock} = this.options;
    while (!this.isStopped) {
      await this.sleepOrWake(RENEWAL_MILLISECONDS);
      if (this.isStopped) break;
      if (holding.hasEnded) return 'fenced';
      const sentAt: Instant = clock.now();
      const end = await this.renew(holding, sentAt);
      if (end === 'replaced') return end;
      const isAlone = holding.unrenewedFor(clock.now()) > HANDOVER_MILLISECONDS;
      if (isAlone && this.options.canHandOver()) return 'handed over';
    }
    return 'stopped';
  }

  private async renew(
    holding: Holding,
    sentAt: Instant,
  ): Promise<'renewed' | 'unanswered' | 'replaced'> {
    const {leaseStore: lease, self, address, emit} = this.options;
    const {term} = holding;
    const record = {holder: self, address, term};
    const seen = {record, revision: holding.revision, firstSeenAt: sentAt};
    try {
      holding.noteRenewed(await lease.write(record, seen), sentAt);
      return 'renewed';
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      if (!(failure instanceof VersionConflictError)) {
        emit(LEASE_UNREACHABLE, {cause: failure.message});
        return 'unanswered';
      }
    }
    return this.readBack(holding, sentAt);
  }

  /** After a conflict: one's own renewal may have been carried out late. */
  private async readBack(
    holding: Holding,
    sentAt: Instant,
  ): Promise<'renewed' | 'unanswered' | 'replaced'> {
    const {leaseStore: lease, self, emit} = this.options;
    try {
      const seen = await lease.read();
      const {record} = seen ?? {};
      if (record?.holder !== self || record.term !== holding.term) {
        return 'replaced';
      }
      holding.noteRenewed(seen?.revision ?? holding.revision, sentAt);
      return 'renewed';
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      emit(LEASE_UNREACHABLE, {cause: failure.message});
      return 'unanswered';
    }
  }

  /** Lets another node take over at once; if that can't be written, it waits a little. */
  private async giveBack(holding: Holding): Promise<void> {
    const {leaseStore: lease, self, address, clock, emit} = this.options;
    const record = {holder: self, address, term: holding.term};
    const {revision} = holding;
    try {
      await lease.write(resignedRecord(holding.term), {
        record,
        revision,
        firstSeenAt: clock.now(),
      });
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      emit(LEASE_UNREACHABLE, {cause: failure.message});
    }
    await sleepFor(this.options.clock, AGAIN_MILLISECONDS);
  }

  private spread(): Milliseconds {
    const {random, hesitation} = this.options;
    return random() * SPREAD_MILLISECONDS + hesitation;
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
