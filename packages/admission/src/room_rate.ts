/** Measures the rate at which requests leave a backlog. */

import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';

/** Time constant of the measurement, so that a drop of the capacity shows within seconds. */
const TIME_CONSTANT_MILLISECONDS: Milliseconds = 4_000;

/** With fewer departures in the measured time, the rate counts as unknown. */
const MINIMUM_DEPARTURES = 4;

/** A rate measured in an earlier backlog says nothing about this one. */
const VALID_FOR_MILLISECONDS: Milliseconds = 10_000;

/** Departures per time with a backlog; the time without one doesn't count. */
export class RoomRate {
  private departures = 0;
  private backloggedMilliseconds = 0;
  private isBacklogged = false;
  private updatedAt: Instant | undefined;

  private constructor() {}

  static create(): RoomRate {
    return new RoomRate();
  }

  /** Records that requests wait from now on. */
  beginBacklog(now: Instant): void {
    if (this.isBacklogged) return;
    const {updatedAt} = this;
    if (
      updatedAt !== undefined &&
      until(updatedAt, now) > VALID_FOR_MILLISECONDS
    ) {
      this.departures = 0;
      this.backloggedMilliseconds = 0;
    }
    this.isBacklogged = true;
    this.updatedAt = now;
  }

  /** Records that no request waits any more. */
  endBacklog(now: Instant): void {
    this.advance(now);
    this.isBacklogged = false;
  }

  /** Records that a waiting request was sent. */
  recordDeparture(now: Instant): void {
    this.advance(now);
    this.departures += 1;
  }

  /** Requests per millisecond; undefined while too few have been measured. */
  perMillisecond(now: Instant): number | undefined {
    this.advance(now);
    const {departures, backloggedMilliseconds} = this;
    if (backloggedMilliseconds <= 0 || departures < MINIMUM_DEPARTURES)
      return undefined;
    return departures / backloggedMilliseconds;
  }

  private advance(now: Instant): void {
    if (!this.isBacklogged || this.updatedAt === undefined) return;
    const elapsed = Math.max(0, until(this.updatedAt, now));
    const kept = Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
    this.departures *= kept;
    this.backloggedMilliseconds =
      this.backloggedMilliseconds * kept +
      TIME_CONSTANT_MILLISECONDS * (1 - kept);
    this.updatedAt = now;
  }
}
