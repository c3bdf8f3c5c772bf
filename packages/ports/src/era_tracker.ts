/** Follows the era that the responses of a metadata store name. */

import type {StoreEra} from '@siskinmux/kernel';
import {UNKNOWN_ERA, as, isEra} from '@siskinmux/kernel';

/** Called when a response names another era than those before. */
export interface EraObserver {
  /** The store has returned from an older copy, or names its era for the first time. */
  onEra(era: StoreEra, before: StoreEra): void;
  /** An era that is missing, unreadable or lower than before; reported once in a row. */
  onUnusableEra(text: string | undefined, known: StoreEra): void;
}

/** The latest era of a store, as one client knows it. */
export class EraTracker {
  private latest = UNKNOWN_ERA;
  private unusable: {readonly text: string | undefined} | undefined;

  private constructor(private readonly observer: EraObserver) {}

  static create(observer: EraObserver): EraTracker {
    return new EraTracker(observer);
  }

  get current(): StoreEra {
    return this.latest;
  }

  /**
   * The era of a response that names `text`, to a call that was sent while `knownWhenSent` was
   * the latest one. An unusable era changes nothing: the response counts as one of that era.
   */
  observe(text: string | undefined, knownWhenSent: StoreEra): StoreEra {
    const named = text === undefined ? NaN : Number(text);
    if (!isEra(named) || named < knownWhenSent) {
      if (text !== undefined || this.latest !== UNKNOWN_ERA)
        this.reportUnusable(text);
      return knownWhenSent;
    }
    this.unusable = undefined;
    const era = as<StoreEra>(named);
    if (era > this.latest) {
      const before = this.latest;
      this.latest = era;
      this.observer.onEra(era, before);
    }
    return era;
  }

  private reportUnusable(text: string | undefined): void {
    if (this.unusable !== undefined && this.unusable.text === text) return;
    this.unusable = {text};
    this.observer.onUnusableEra(text, this.latest);
  }
}
