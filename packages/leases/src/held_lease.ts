/** The lease from its holder's side: whether orders may be sent to engines now. */

import type {
  FencingNumber,
  Instant,
  Milliseconds,
  ObjectVersion,
} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';
import type {LeaseRules} from './lease.js';
import {HOLDER_SILENCE_MILLISECONDS} from './lease.js';

/** Interval of the checks by which a holder detects that its process was paused. */
export const PAUSE_CHECK_INTERVAL_MILLISECONDS: Milliseconds = 150;

/**
 * A longer gap between checks counts as a process pause; longer than any garbage
 * collection.
 */
const PROCESS_PAUSE_MILLISECONDS: Milliseconds = 600;

/** Both clocks of the host: the steady clock stops while the host is suspended. */
export interface ClockReading {
  readonly steady: Instant;
  readonly timeOfDay: Instant;
}

/** A lease that this node holds. */
export class HeldLease {
  private lastRenewalSentAt: Instant;
  private lastReading: ClockReading;
  private readonly takenAt: Instant;
  private isRenewalRequired = false;
  private isEnded = false;

  private constructor(
    readonly term: FencingNumber,
    private currentRevision: ObjectVersion,
    private readonly ordersAllowedAt: Instant,
    private readonly rules: LeaseRules,
    reading: ClockReading,
  ) {
    this.lastRenewalSentAt = reading.steady;
    this.lastReading = reading;
    this.takenAt = reading.steady;
  }

  static create(options: {
    term: FencingNumber;
    revision: ObjectVersion;
    ordersAllowedAt: Instant;
    rules: LeaseRules;
    reading: ClockReading;
  }): HeldLease {
    const {term, revision, ordersAllowedAt, rules, reading} = options;
    return new HeldLease(term, revision, ordersAllowedAt, rules, reading);
  }

  get revision(): ObjectVersion {
    return this.currentRevision;
  }

  /** Whether this node has stopped using the lease, for any reason. */
  get hasEnded(): boolean {
    return this.isEnded;
  }

  /**
   * Called at a fixed interval; a pause in between suspends orders until the next
   * renewal.
   */
  checkForPause(reading: ClockReading): void {
    if (this.hasPaused(reading)) this.isRenewalRequired = true;
    this.lastReading = reading;
  }

  /** Records that the store acknowledged a renewal sent at `sentAt`. */
  recordRenewal(revision: ObjectVersion, sentAt: Instant): void {
    this.currentRevision = revision;
    this.lastRenewalSentAt = sentAt;
    this.isRenewalRequired = false;
  }

  /**
   * Ends the lease on this node's side: another node holds it, an engine refused the term,
   * it is being handed over, or this process is stopping. No orders may be sent afterwards.
   */
  markEnded(): void {
    this.isEnded = true;
  }

  /**
   * Whether an order may be sent now. Where engines check terms, a holder that can't
   * reach the store continues: each engine refuses its orders after the first order of
   * a successor.
   */
  canSendOrders(reading: ClockReading): boolean {
    if (this.isEnded || this.isRenewalRequired) return false;
    if (reading.steady < this.ordersAllowedAt) return false;
    if (this.hasPaused(reading)) return false;
    if (this.rules.isFencingEnforced) return true;
    return (
      reading.steady <
      after(this.lastRenewalSentAt, this.rules.leaseMilliseconds)
    );
  }

  /**
   * Whether no other node can act as the holder: the previous one's lease has run out, and
   * this one's was renewed too recently for a takeover.
   */
  isExclusive(now: Instant): boolean {
    return (
      now >= after(this.takenAt, this.rules.leaseMilliseconds) &&
      this.millisecondsSinceRenewal(now) < HOLDER_SILENCE_MILLISECONDS
    );
  }

  /**
   * Whether no other node can have held the lease since the last renewal, though the store may
   * have lost the record of it. Engines that check terms refuse the earlier one anyway.
   */
  mayBeRestored(reading: ClockReading): boolean {
    if (this.rules.isFencingEnforced) return true;
    if (this.isRenewalRequired || this.hasPaused(reading)) return false;
    return (
      this.millisecondsSinceRenewal(reading.steady) <
      HOLDER_SILENCE_MILLISECONDS
    );
  }

  /** Time since the last acknowledged renewal was sent. */
  millisecondsSinceRenewal(now: Instant): Milliseconds {
    return until(this.lastRenewalSentAt, now);
  }

  private hasPaused(reading: ClockReading): boolean {
    const steady = until(this.lastReading.steady, reading.steady);
    const timeOfDay = until(this.lastReading.timeOfDay, reading.timeOfDay);
    return (
      steady > PROCESS_PAUSE_MILLISECONDS ||
      Math.abs(timeOfDay - steady) > PROCESS_PAUSE_MILLISECONDS
    );
  }
}
