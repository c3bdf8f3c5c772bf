/** Whether the holder of the lease may give an order at this moment. */

import type {
  FencingNumber,
  Instant,
  Milliseconds,
  ObjectVersion,
} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';
import type {LeaseRules} from './lease.js';

/** Pause between two ticks by which a holder notices that it stood still. */
export const TICK_MILLISECONDS: Milliseconds = 150;

/** A gap between ticks from which the process counts as frozen; above any garbage collection. */
const FROZEN_MILLISECONDS: Milliseconds = 600;

/** Both clocks of the machine: a suspended machine's steady clock stands still. */
export interface ClockReading {
  readonly steady: Instant;
  readonly timeOfDay: Instant;
}

/** A lease that this node holds. */
export class Holding {
  private renewedAt: Instant;
  private lastTick: ClockReading;
  private isSuspended = false;
  private isLost = false;

  private constructor(
    readonly term: FencingNumber,
    private currentRevision: ObjectVersion,
    private readonly orderFrom: Instant,
    private readonly rules: LeaseRules,
    reading: ClockReading,
  ) {
    this.renewedAt = reading.steady;
    this.lastTick = reading;
  }

  static create(options: {
    term: FencingNumber;
    revision: ObjectVersion;
    orderFrom: Instant;
    rules: LeaseRules;
    reading: ClockReading;
  }): Holding {
    const {term, revision, orderFrom, rules, reading} = options;
    return new Holding(term, revision, orderFrom, rules, reading);
  }

  get revision(): ObjectVersion {
    return this.currentRevision;
  }

  /** Whether another node holds the lease by now, as far as this one knows. */
  get hasEnded(): boolean {
    return this.isLost;
  }

  /** Notes that the process runs; a gap suspends orders until the next renewal. */
  checkForPause(reading: ClockReading): void {
    if (this.hasStoodStill(reading)) this.isSuspended = true;
    this.lastTick = reading;
  }

  /** Notes a renewal that was sent at `sentAt` and has been acknowledged. */
  noteRenewed(revision: ObjectVersion, sentAt: Instant): void {
    this.currentRevision = revision;
    this.renewedAt = sentAt;
    this.isSuspended = false;
  }

  /** Notes that another has the lease, or that an engine has refused the term. */
  noteLost(): void {
    this.isLost = true;
  }

  /**
   * Whether an order may be sent now. Where engines check terms, a holder that can't
   * reach the store goes on: a successor's first order ends its right at each engine.
   */
  mayOrder(reading: ClockReading): boolean {
    if (this.isLost || this.isSuspended) return false;
    if (reading.steady < this.orderFrom) return false;
    if (this.hasStoodStill(reading)) return false;
    if (this.rules.isFencingEnforced) return true;
    return reading.steady < after(this.renewedAt, this.rules.leaseMilliseconds);
  }

  /** How long ago the last acknowledged renewal was sent. */
  unrenewedFor(now: Instant): Milliseconds {
    return until(this.renewedAt, now);
  }

  private hasStoodStill(reading: ClockReading): boolean {
    const steady = until(this.lastTick.steady, reading.steady);
    const timeOfDay = until(this.lastTick.timeOfDay, reading.timeOfDay);
    return (
      steady > FROZEN_MILLISECONDS ||
      Math.abs(timeOfDay - steady) > FROZEN_MILLISECONDS
    );
  }
}
