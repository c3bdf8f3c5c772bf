/** The rate limits that one node owns for all nodes, and the timers of those who wait. */

import type {CancelTimer, Clock} from '@siskinmux/kernel';
import type {PermitDecision, PermitRequest} from './shared_rate.js';
import {SharedRate} from './shared_rate.js';

interface OwnedRate {
  readonly rate: SharedRate;
  perSecond: number;
  cancelTimer: CancelTimer | undefined;
}

/** Dependencies of {@link SharedRates}. */
export interface SharedRatesOptions {
  readonly clock: Clock;
  /** Part of each limit that this node may give out; below 1 while there may be another owner. */
  readonly share: () => number;
}

/** Rate limits by key. */
export class SharedRates<Key extends string> {
  private readonly owned = new Map<Key, OwnedRate>();

  private constructor(private readonly options: SharedRatesOptions) {}

  static create<Key extends string>(
    options: SharedRatesOptions,
  ): SharedRates<Key> {
    return new SharedRates(options);
  }

  /** Sets a limit, or ends it with undefined: those who wait may send. */
  setLimit(key: Key, perSecond: number | undefined): void {
    const {clock} = this.options;
    const now = clock.now();
    const owned = this.owned.get(key);
    if (perSecond === undefined) {
      owned?.cancelTimer?.();
      owned?.rate.end(now);
      this.owned.delete(key);
      return;
    }
    if (owned === undefined) {
      const rate = SharedRate.create(perSecond * this.options.share(), now);
      this.owned.set(key, {rate, perSecond, cancelTimer: undefined});
      return;
    }
    owned.perSecond = perSecond;
    owned.rate.setRate(perSecond * this.options.share(), now);
    this.schedule(owned);
  }

  /** Whether permits would be lost because nobody needs them. */
  hasUnused(key: Key): boolean {
    const {rate} = this.owned.get(key) ?? {};
    return rate === undefined || rate.hasUnused(this.options.clock.now());
  }

  /** Requests a permit; resolves at once unless the request waits. */
  request(key: Key, request: PermitRequest): Promise<PermitDecision> {
    const {clock, share} = this.options;
    const owned = this.owned.get(key);
    const now = clock.now();
    if (owned === undefined)
      return Promise.resolve({kind: 'granted', count: 1, validUntil: now});
    return new Promise(resolve => {
      owned.rate.setRate(owned.perSecond * share(), now);
      owned.rate.request(request, resolve, now);
      this.schedule(owned);
    });
  }

  /** Ends the ownership of all limits; those who wait may ask the next owner. */
  stop(): void {
    const now = this.options.clock.now();
    for (const {rate, cancelTimer} of this.owned.values()) {
      cancelTimer?.();
      rate.abandon(now);
    }
    this.owned.clear();
  }

  private schedule(owned: OwnedRate): void {
    const {clock, share} = this.options;
    owned.cancelTimer?.();
    owned.cancelTimer = undefined;
    const at = owned.rate.nextAdvanceAt(clock.now());
    if (at === undefined) return;
    owned.cancelTimer = clock.schedule(at, () => {
      const now = clock.now();
      owned.rate.setRate(owned.perSecond * share(), now);
      owned.rate.advance(now);
      this.schedule(owned);
    });
  }
}
